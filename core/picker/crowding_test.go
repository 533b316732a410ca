package picker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContentionIsLearned records responses of endpoints with different latency curves and
// checks the resulting useful concurrency.
func TestContentionIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		curve func(running int) float64
		want  int
	}{
		{"constant latency", 6, func(int) float64 { return 1 }, 6},
		{"constant latency, few slots", 4, func(int) float64 { return 1 }, 4},
		{"slower from 5 of 6 slots", 6, slowerFrom(5, 1.7), 4},
		{"slower with all slots taken", 4, slowerFrom(4, 2), 3},
		// 30 is the upper end of the level below the one that contains 33.
		{"many slots", 40, slowerFrom(33, 1.7), 30},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		var c Contention
		for range 50 {
			for n := 1; n <= tt.slots; n++ {
				now = now.Add(time.Millisecond)
				c.RecordRatio(now, n, tt.slots, tt.curve(n)/c.Factor(now, n, tt.slots))
			}
		}
		assert.Equal(t, c.UsefulConcurrency(now, tt.slots), tt.want, tt.name)
	}
}

// slowerFrom returns a latency curve that rises to factor at the given number of requests.
func slowerFrom(threshold int, factor float64) func(int) float64 {
	return func(running int) float64 {
		if running >= threshold {
			return factor
		}
		return 1
	}
}

func TestContentionDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Contention
	initial := c.UsefulConcurrency(now, 6)
	for range 50 {
		for n := 5; n <= 6; n++ {
			c.RecordRatio(now, n, 6, 1.7/c.Factor(now, n, 6))
		}
	}
	assert.Equal(t, c.UsefulConcurrency(now, 6), 4)
	assert.Equal(t, c.UsefulConcurrency(now.Add(5*contentionDecayTime), 6), initial)
}
