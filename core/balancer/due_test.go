package balancer

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/throttler"
)

// balancerPair holds two balancers that get the same inputs. One is called when it is due, the
// other one every millisecond.
type balancerPair struct {
	*harness
	polled *Balancer
	// wanted are the requests for permits without a reply.
	wanted []RequestPermits
}

func randomStatement(rt *rapid.T) throttler.Statement {
	return rapid.SampledFrom([]throttler.Statement{
		{Kind: throttler.StatementNone}, {Kind: throttler.StatementInvalid},
		{Kind: throttler.StatementLimit, Rate: 0.5}, {Kind: throttler.StatementLimit, Rate: 3}, {Kind: throttler.StatementLimit, Rate: 40},
	}).Draw(rt, "statement")
}

func newBalancerPair(endpoints, retryPercent int, sampling Sampling) *balancerPair {
	h := &balancerPair{harness: newHarness(endpoints, retryPercent)}
	h.Balancer = New("entry", h.service, WithRand(rand.New(rand.NewPCG(1, 1))), WithSampling(sampling))
	h.polled = New("entry", h.service, WithRand(rand.New(rand.NewPCG(1, 1))), WithSampling(sampling))
	return h
}

// handleBoth passes an input to both balancers and asserts that they return the same actions.
func (h *balancerPair) handleBoth(rt *rapid.T, in Input) {
	want := append([]Action(nil), h.polled.Handle(h.now, in)...)
	got := append([]Action(nil), h.Handle(h.now, in)...)
	if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		rt.Fatalf("%T at %s: %v if called when due, %v if polled", in, h.now.Format(time.StampMicro), got, want)
	}
	for _, a := range got {
		if d, ok := a.(Dispatch); ok {
			h.dispatched = append(h.dispatched, d)
		}
		if p, ok := a.(Probe); ok {
			h.probes = append(h.probes, p)
		}
		if w, ok := a.(RequestPermits); ok {
			h.wanted = append(h.wanted, w)
		}
	}
}

// advance lets time pass. The polled balancer must return no actions before the other one is due.
func (h *balancerPair) advance(rt *rapid.T, d time.Duration) {
	end := h.now.Add(d)
	for h.now.Before(end) {
		due := h.Due()
		if next := h.now.Add(time.Millisecond); due.IsZero() || due.After(next) {
			h.now = next
			if idle := h.polled.Handle(h.now, Tick{}); len(idle) > 0 {
				rt.Fatalf("unexpected actions %v at %s, due at %s", idle, h.now.Format(time.StampMicro), due.Format(time.StampMicro))
			}
			continue
		}
		h.now = latest(h.now, due)
		h.handleBoth(rt, Tick{})
		if again := h.Due(); !again.IsZero() && !again.After(h.now) {
			rt.Fatalf("still due at %s after a Tick at that time", again.Format(time.StampMicro))
		}
	}
}

func (h *balancerPair) randomInput(rt *rapid.T) Input {
	switch rapid.IntRange(0, 9).Draw(rt, "input") {
	case 0:
		until := h.now.Add(time.Duration(rapid.IntRange(-1, 2000).Draw(rt, "standing")) * time.Millisecond)
		return ConfigLeaseChanged{Until: until}
	case 1:
		i := rapid.IntRange(0, len(h.endpoints)-1).Draw(rt, "endpoint")
		h.endpoints[i].State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
		return Reconfigured{Service: h.service, Endpoints: append([]Endpoint(nil), h.endpoints...), Entries: 24}
	case 2:
		return ShareGranted{Share: allotter.Share{ProbeMicros: 100_000, ProbeBytes: 20_000}, Until: h.now.Add(time.Second)}
	case 3:
		if len(h.dispatched) == 0 {
			break
		}
		d := h.dispatched[0]
		h.dispatched = h.dispatched[1:]
		report := Report{Load: rapid.IntRange(-1, 3).Draw(rt, "load"), State: rapid.SampledFrom([]registrar.State{"", registrar.StateServing}).Draw(rt, "reported state"), Leaving: rapid.IntRange(0, 9).Draw(rt, "leaving") == 0}
		report.Pause.For = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50, 700}).Draw(rt, "pause")) * time.Millisecond
		if report.Pause.For > 0 {
			report.Pause.Kind = pauser.Asked
		}
		return AttemptEnded{Attempt: d.Attempt, Ending: rapid.SampledFrom([]Ending{EndingNotSent, EndingRefused, EndingLost, EndingTimeout}).Draw(rt, "ending"), Report: report}
	case 5:
		if len(h.dispatched) > 0 {
			return ResponseStarted{Attempt: h.dispatched[0].Attempt, Status: 200, Report: Report{Load: 1, Limit: randomStatement(rt)}}
		}
	case 6:
		if len(h.wanted) > 0 {
			w := h.wanted[0]
			h.wanted = h.wanted[1:]
			return PermitsGranted{Endpoint: w.Endpoint, Incarnation: w.Incarnation, SentAt: h.now, Grant: throttler.Grant{
				Limit:   throttler.Limit{Rate: w.Request.Limit.Rate, Version: w.Request.Limit.Version + 1},
				Entries: 3, Permits: rapid.IntRange(0, w.Request.Permits).Draw(rt, "permits"),
				Delay: time.Duration(rapid.IntRange(-100, 200).Draw(rt, "delay")) * time.Millisecond, Interval: 30 * time.Millisecond,
				RetryAfter: time.Duration(rapid.IntRange(0, 300).Draw(rt, "retry after")) * time.Millisecond,
			}}
		}
	case 4:
		if len(h.probes) == 0 {
			break
		}
		p := h.probes[0]
		h.probes = h.probes[1:]
		return ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: rapid.Bool().Draw(rt, "ok"), Report: Report{Load: rapid.IntRange(0, 3).Draw(rt, "load"), State: registrar.StateServing}}
	}
	h.lastCall++
	execution := rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt}).Draw(rt, "execution")
	timeout := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "timeout")) * time.Millisecond
	return CallArrived{Call: Call{ID: h.lastCall, Execution: execution, Deadline: h.now.Add(timeout), LatencyTarget: timeout / 4}}
}

// TestRandomTicksAreNeededOnlyWhenDue compares a balancer that is called when it is due with one
// that is called every millisecond. Both must return the same actions at the same times.
func TestRandomTicksAreNeededOnlyWhenDue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var sampling Sampling
		if rapid.Bool().Draw(rt, "sampling") {
			sampling = Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 20}
		}
		h := newBalancerPair(rapid.IntRange(1, 5).Draw(rt, "endpoints"), 100, sampling)
		h.handleBoth(rt, Reconfigured{Service: h.service, Endpoints: h.endpoints, Entries: 24})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			h.handleBoth(rt, h.randomInput(rt))
			h.advance(rt, time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms"))*time.Millisecond)
		}
	})
}

// TestIdleBalancerIsNotDue asserts that nothing is due after the response to the last call.
func TestIdleBalancerIsNotDue(t *testing.T) {
	h := newHarness(3, 10)
	for range 20 {
		h.newCall(router.Repeatable)
		h.respond(h.dispatched[len(h.dispatched)-1], 200)
	}
	assert.Assert(t, h.Due().IsZero(), "%s", h.Due())
}

// TestQueuedCallIsSentWhenEjectionEnds asserts that a call that is queued while the only endpoint
// is ejected is sent as soon as a trial request may be made.
func TestQueuedCallIsSentWhenEjectionEnds(t *testing.T) {
	h := newHarness(1, 0)
	e := h.endpointNamed("e0")
	h.eject(h.now, e)
	h.updateCandidate(h.now, e.index, e)
	h.lastCall++
	h.handle(CallArrived{Call: Call{ID: h.lastCall, Execution: router.Repeatable, Deadline: h.now.Add(time.Minute)}})
	assert.Equal(t, len(h.dispatched), 0)
	h.advance(baseEjection - time.Millisecond)
	assert.Equal(t, len(h.dispatched), 0)
	h.advance(time.Millisecond)
	assert.Equal(t, len(h.dispatched), 1)
}
