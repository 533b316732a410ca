package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEarliestPassesOverNever(t *testing.T) {
	never, soon, late := time.Time{}, time.Unix(1, 0), time.Unix(2, 0)
	tests := []struct {
		name  string
		times []time.Time
		want  time.Time
	}{
		{"nothing", nil, never},
		{"never only", []time.Time{never, never}, never},
		{"one of them never", []time.Time{never, late}, late},
		{"the first", []time.Time{soon, late}, soon},
		{"the last", []time.Time{late, never, soon}, soon},
	}
	for _, tt := range tests {
		assert.Equal(t, Earliest(tt.times...), tt.want, tt.name)
	}
}
