package drainer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestStopServesOnThenFinishes(t *testing.T) {
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
		{time.Second, 0, PhaseNoticing},
		{5 * time.Second, 2, PhaseFinishing},
		{6 * time.Second, 1, PhaseFinishing},
		{7 * time.Second, 0, PhaseDone},
	}
	for _, s := range steps {
		d = d.WithStop(start.Add(s.after)).Advance(start.Add(s.after), s.inFlight)
		assert.Equal(t, d.Phase(), s.want)
	}
}

// TestIdleConnectionsWaitForQuiet: they are closed once nothing was in flight for a while, or
// when patience is over.
func TestIdleConnectionsWaitForQuiet(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// busyUntil is how long after the start something is in flight.
		busyUntil, want time.Duration
	}{
		{"nothing in flight", 0, 1200 * time.Millisecond},
		{"an answer that ends soon", 1500 * time.Millisecond, 1700 * time.Millisecond},
		{"answers that don't end", time.Hour, 4 * time.Second},
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

// TestRandomStops lets a stop come at any time while requests come and go: its phases follow
// each other, the notice lasts as long as it should, and nothing in flight is left behind.
func TestRandomStops(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		notice := time.Duration(rapid.IntRange(0, 50).Draw(rt, "notice")) * time.Millisecond
		d := New(notice).WithIdleWait(time.Duration(rapid.IntRange(0, 20).Draw(rt, "quiet"))*time.Millisecond, 30*time.Millisecond)
		var stopped time.Time
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
				if stopped.IsZero() && rapid.Bool().Draw(rt, "stop") {
					stopped = now
				}
				if !stopped.IsZero() {
					d = d.WithStop(now) // a second signal changes nothing
				}
			}
			d = d.Advance(now, inFlight)
			switch {
			case d.Phase() < before:
				rt.Fatalf("phase %d after %d", d.Phase(), before)
			case d.Ready() != stopped.IsZero():
				rt.Fatalf("ready is %t, and the stop was asked for at %s", d.Ready(), stopped)
			case d.Phase() >= PhaseFinishing && now.Sub(stopped) < notice:
				rt.Fatalf("the notice ended after %s of %s", now.Sub(stopped), notice)
			case d.Phase() == PhaseDone && before != PhaseDone && inFlight > 0:
				rt.Fatalf("done with %d in flight", inFlight)
			}
		}
	})
}
