package registrar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWarmUpIsPassedOn guards against an endpoint that turns cold without a restart and whose announcement counts as a
// renewal, and against a change with each announcement.
func TestWarmUpIsPassedOn(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name          string
		before, after time.Duration
		elapsed       time.Duration
		want          Outcome
	}{
		{"never cold", 0, 0, time.Second, OutcomeRenewed},
		{"turns cold", 0, 5 * time.Second, time.Second, OutcomeChanged},
		{"turns cold for a moment", 0, time.Millisecond, time.Second, OutcomeChanged},
		{"goes on", 5 * time.Second, 4 * time.Second, time.Second, OutcomeRenewed},
		{"goes on, late", 5 * time.Second, 4 * time.Second, 1900 * time.Millisecond, OutcomeRenewed},
		{"lasts longer", 5 * time.Second, 9 * time.Second, time.Second, OutcomeChanged},
		{"ends sooner", 9 * time.Second, 2 * time.Second, time.Second, OutcomeChanged},
		{"has ended early", 5 * time.Second, 0, time.Second, OutcomeChanged},
		{"has ended", time.Second, 0, 2 * time.Second, OutcomeRenewed},
		{"has ended a moment early", time.Second, 0, 500 * time.Millisecond, OutcomeRenewed},
		{"cold again", time.Second, 5 * time.Second, 4 * time.Second, OutcomeChanged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			a := Announcement{Name: Name{Service: "s", Endpoint: "e"}, State: StateServing, Incarnation: 1, Sequence: 1, WarmUp: tt.before}
			r.Announce(start, a)
			digest := r.Digest()
			a.Sequence = 2
			a.WarmUp = tt.after
			assert.Equal(t, r.Announce(start.Add(tt.elapsed), a), tt.want)
			assert.Equal(t, r.Digest(), digest, "the registries of replicas don't differ by it")
		})
	}
}

// TestWarmUpIsAged guards against an announcement that is passed on long after its arrival, with the time that was left then.
func TestWarmUpIsAged(t *testing.T) {
	start := time.Unix(1000, 0)
	r := New()
	r.Announce(start, Announcement{Name: Name{Service: "s", Endpoint: "e"}, State: StateServing, Incarnation: 1, Sequence: 1, WarmUp: 5 * time.Second})
	tests := []struct{ elapsed, want time.Duration }{{0, 5 * time.Second}, {2 * time.Second, 3 * time.Second}, {9 * time.Second, 0}}
	for _, tt := range tests {
		now := start.Add(tt.elapsed)
		assert.Equal(t, r.CurrentWarmUps(now, r.All(""))[0].WarmUp, tt.want)
		inWarmUp := 0
		if tt.want > 0 {
			inWarmUp = 1
		}
		assert.Equal(t, r.InWarmUp(now), inWarmUp)
	}
}
