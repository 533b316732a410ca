package drainer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStopServesOnThenFinishes(t *testing.T) {
	start := time.Unix(1000, 0)
	d := New(5 * time.Second)
	assert.Assert(t, d.With(start, 3).Ready())
	d = d.WithStop(start)
	assert.Assert(t, !d.Ready())
	steps := []struct {
		after    time.Duration
		inFlight int
		want     Phase
	}{
		{time.Second, 0, PhaseNoticing},
		{5 * time.Second, 2, PhaseFinishing},
		{6 * time.Second, 1, PhaseFinishing},
		{7 * time.Second, 0, PhaseDone},
	}
	for _, s := range steps {
		d = d.WithStop(start.Add(s.after)).With(start.Add(s.after), s.inFlight)
		assert.Equal(t, d.Phase(), s.want)
	}
}
