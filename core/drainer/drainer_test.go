package drainer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestShutdownServesDuringNoticeThenFinishes(t *testing.T) {
	start := time.Unix(1000, 0)
	d := New(5 * time.Second)
	assert.Assert(t, d.Advance(start, 3).Ready())
	d = d.WithStop(start)
	assert.Assert(t, !d.Ready())
	steps := []struct {
		after    time.Duration
		inFlight int
		want     Phase
	}{
		{time.Second, 0, PhaseNotice},
		{5 * time.Second, 2, PhaseFinishing},
		{6 * time.Second, 1, PhaseFinishing},
		{7 * time.Second, 0, PhaseDone},
	}
	for _, s := range steps {
		d = d.WithStop(start.Add(s.after)).Advance(start.Add(s.after), s.inFlight)
		assert.Equal(t, d.Phase(), s.want)
	}
}

// TestIdleWait checks that idle connections are closed once nothing has been in flight for the
// idle time, or when the timeout has passed.
func TestIdleWait(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// busyUntil is how long after the start a request is in flight.
		busyUntil, want time.Duration
	}{
		{"nothing in flight", 0, 1200 * time.Millisecond},
		{"response that ends soon", 1500 * time.Millisecond, 1700 * time.Millisecond},
		{"responses that don't end", time.Hour, 4 * time.Second},
	}
	for _, tt := range tests {
		d := New(time.Second).WithIdleWait(200*time.Millisecond, 3*time.Second).WithStop(start)
		now := start
		for d.Phase() < PhaseFinishing {
			now = now.Add(10 * time.Millisecond)
			inFlight := 0
			if now.Sub(start) <= tt.busyUntil {
				inFlight = 1
			}
			d = d.Advance(now, inFlight)
		}
		assert.Equal(t, now.Sub(start), tt.want, tt.name)
	}
}

// TestRandomShutdowns begins a shutdown at a random time while requests start and end. The phases
// must follow their order, the notice must not be cut short, and nothing may be in flight when
// the shutdown is done.
func TestRandomShutdowns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		notice := time.Duration(rapid.IntRange(0, 50).Draw(rt, "notice")) * time.Millisecond
		d := New(notice).WithIdleWait(time.Duration(rapid.IntRange(0, 20).Draw(rt, "idle"))*time.Millisecond, 30*time.Millisecond)
		var stoppedAt time.Time
		inFlight := 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(rt, "ms")) * time.Millisecond)
			before := d.Phase()
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				if before < PhaseFinishing {
					inFlight++
				}
			case 1:
				inFlight = max(0, inFlight-1)
			case 2:
				if stoppedAt.IsZero() && rapid.Bool().Draw(rt, "stop") {
					stoppedAt = now
				}
				if !stoppedAt.IsZero() {
					d = d.WithStop(now) // a second signal has no effect
				}
			}
			d = d.Advance(now, inFlight)
			switch {
			case d.Phase() < before:
				rt.Fatalf("phase %d follows phase %d", d.Phase(), before)
			case d.Ready() != stoppedAt.IsZero():
				rt.Fatalf("ready is %t, but the shutdown was requested at %s", d.Ready(), stoppedAt)
			case d.Phase() >= PhaseFinishing && now.Sub(stoppedAt) < notice:
				rt.Fatalf("the notice ended after %s, want at least %s", now.Sub(stoppedAt), notice)
			case d.Phase() == PhaseDone && before != PhaseDone && inFlight > 0:
				rt.Fatalf("done with %d requests in flight", inFlight)
			}
		}
	})
}
