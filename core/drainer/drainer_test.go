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

// TestPartsOfAStopAreOneBudget guards against parts of a stop that are longer together than its time:
// whatever delays one of them, it takes that time from the next.
func TestPartsOfAStopAreOneBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	for total := time.Second; total <= time.Minute; total += 500 * time.Millisecond {
		for _, notice := range []time.Duration{0, total / 3, total, 2 * total} {
			for _, idle := range []time.Duration{0, total / 4, total, 2 * total} {
				for _, delay := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, total / 3} {
					d := New(notice).WithIdleWait(250*time.Millisecond, idle).WithTotal(total).WithStop(start)
					now := start
					for d.Phase() < PhaseFinishing {
						now = now.Add(delay)
						d = d.Advance(now, 1)
					}
					assert.Equal(t, d.End(), start.Add(total))
					assert.Assert(t, now.Sub(start) < total+delay, "total %s, notice %s, idle %s: idle connections are closed after %s", total, notice, idle, now.Sub(start))
				}
			}
		}
	}
}

// TestRequestsDuringAStopEndWithinIt guards against requests that are accepted though the stop could cut
// them off.
func TestRequestsDuringAStopEndWithinIt(t *testing.T) {
	const notice, total = 2 * time.Second, 6 * time.Second
	start := time.Unix(1000, 0)
	running := New(notice).WithTotal(total)
	stopping := running.WithStop(start)
	tests := []struct {
		name              string
		drainer           Drainer
		arrives, deadline time.Duration
		// by is until when the request is served; zero if it is refused.
		by time.Duration
	}{
		{"no stop", running, 0, time.Hour, time.Hour},
		{"no bound", New(notice).WithStop(start), 5 * time.Second, time.Hour, time.Hour},
		{"notice", stopping, time.Second, 3 * time.Second, 3 * time.Second},
		{"notice, long deadline", stopping, time.Second, 9 * time.Second, total - total/answerShare},
		{"notice, deadline as the process ends", stopping, time.Second, total, total - total/answerShare},
		{"after the notice", stopping, notice, 5 * time.Second, 5 * time.Second},
		{"after the notice, long deadline", stopping, notice, 7 * time.Second, 0},
		{"after the notice, deadline as the process ends", stopping, notice, total - time.Millisecond, 0},
		{"at the end", stopping, total, 7 * time.Second, 0},
	}
	for _, tt := range tests {
		by, ok := tt.drainer.Accepts(start.Add(tt.arrives), start.Add(tt.deadline))
		assert.Equal(t, ok, tt.by > 0, tt.name)
		if ok {
			assert.Equal(t, by, start.Add(tt.by), tt.name)
		}
	}
}
