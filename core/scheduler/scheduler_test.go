package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEarliestIgnoresZeroTimes(t *testing.T) {
	zero, sooner, later := time.Time{}, time.Unix(1, 0), time.Unix(2, 0)
	tests := []struct {
		name  string
		times []time.Time
		want  time.Time
	}{
		{"no times", nil, zero},
		{"only zero times", []time.Time{zero, zero}, zero},
		{"one zero time", []time.Time{zero, later}, later},
		{"first is earliest", []time.Time{sooner, later}, sooner},
		{"last is earliest", []time.Time{later, zero, sooner}, sooner},
	}
	for _, tt := range tests {
		assert.Equal(t, Earliest(tt.times...), tt.want, tt.name)
	}
}
