package picker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrowdingIsLearned feeds answers of endpoints of several kinds, and asserts how many
// requests at once each should get.
func TestCrowdingIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		took  func(running int) float64
		want  int
	}{
		{"never slower", 6, func(int) float64 { return 1 }, 6},
		{"never slower, few slots", 4, func(int) float64 { return 1 }, 4},
		{"slower from the fifth on", 6, slowerFrom(5, 1.7), 4},
		{"slower when full", 4, slowerFrom(4, 2), 3},
		{"many slots", 40, slowerFrom(33, 1.7), 30}, // the level that the 33rd begins, below it
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		var c Contention
		for range 50 {
			for n := 1; n <= tt.slots; n++ {
				now = now.Add(time.Millisecond)
				c.RecordRatio(now, n, tt.slots, tt.took(n)/c.Factor(now, n, tt.slots))
			}
		}
		assert.Equal(t, c.UsefulConcurrency(now, tt.slots), tt.want, tt.name)
	}
}

func slowerFrom(full int, factor float64) func(int) float64 {
	return func(running int) float64 {
		if running >= full {
			return factor
		}
		return 1
	}
}

func TestCrowdingIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Contention
	before := c.UsefulConcurrency(now, 6)
	for range 50 {
		for n := 5; n <= 6; n++ {
			c.RecordRatio(now, n, 6, 1.7/c.Factor(now, n, 6))
		}
	}
	assert.Equal(t, c.UsefulConcurrency(now, 6), 4)
	assert.Equal(t, c.UsefulConcurrency(now.Add(5*crowdingLife), 6), before)
}
