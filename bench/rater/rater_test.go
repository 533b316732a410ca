package rater

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusiestWindow checks which requests count together.
func TestBusiestWindow(t *testing.T) {
	named := time.Unix(1_700_000_000, 0)
	at := func(seconds ...float64) []time.Time {
		times := make([]time.Time, 0, len(seconds))
		for _, s := range seconds {
			times = append(times, named.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	tests := []struct {
		name  string
		times []time.Time
		end   float64
		want  int
	}{
		{"none", nil, 0, 0},
		{"before the time of contact", at(0, 1, 2, 2.9), 0, 0},
		{"the windows that end later hold earlier ones", at(0, 1, 2, 3), 3, 4},
		{"requests before the naming don't count", at(-1, -0.5, 1, 3), 3, 2},
		{"only those before the naming", at(-2, -1), 0, 0},
		{"a window is shorter than its length", at(1, 3, 5, 7, 9), 3, 2},
		{"the busiest of several", at(3, 8, 9, 10, 20), 10, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			end, n := Busiest(tt.times, named)
			assert.Equal(t, n, tt.want)
			if n > 0 {
				assert.Equal(t, end.Sub(named).Seconds(), tt.end)
			}
		})
	}
	assert.Equal(t, Allowed(2.6), 20)
}
