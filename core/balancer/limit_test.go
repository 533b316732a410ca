package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/throttler"
)

// limitHarness drives a balancer whose endpoints name limits, and keeps its requests for permits.
type limitHarness struct {
	*harness
	wanted []RequestPermits
}

func newLimitHarness(endpoints, retryPercent int) *limitHarness {
	return &limitHarness{harness: newHarness(endpoints, retryPercent)}
}

func (h *limitHarness) handle(in Input) {
	for _, a := range h.Handle(h.now, in) {
		switch v := a.(type) {
		case Dispatch:
			h.dispatched = append(h.dispatched, v)
		case Refuse:
			h.refused = append(h.refused, v)
		case RequestPermits:
			h.wanted = append(h.wanted, v)
		case ProposeCommand:
			h.claims = append(h.claims, v)
		}
	}
}

func (h *limitHarness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Millisecond)
		h.handle(Tick{})
	}
}

func (h *limitHarness) call(e router.Execution) CallID {
	h.lastCall++
	c := Call{ID: h.lastCall, Execution: e, Deadline: h.now.Add(time.Second)}
	if e == router.OnceOnly {
		c.Key = "key"
	}
	h.handle(CallArrived{Call: c})
	return c.ID
}

// nameAll lets every endpoint name a limit, as control knows it.
func (h *limitHarness) nameAll(rate float64) {
	for i := range h.endpoints {
		h.endpoints[i].Limit = throttler.Limit{Rate: rate, Version: h.endpoints[i].Limit.Version + 1}
	}
	h.handle(EndpointsChanged{Changed: h.endpoints})
}

// reply answers the oldest request for permits.
func (h *limitHarness) reply(permits int, retryAfter time.Duration) {
	w := h.wanted[0]
	h.wanted = h.wanted[1:]
	h.handle(PermitsGranted{Endpoint: w.Endpoint, Incarnation: w.Incarnation, SentAt: h.now, Grant: throttler.Grant{
		Limit: throttler.Limit{Rate: w.Request.Limit.Rate, Version: w.Request.Limit.Version}, Permits: permits, RetryAfter: retryAfter,
	}})
}

// TestEveryAttemptNeedsAPermit guards against work that is not counted against a limit: second
// attempts, hedges, once-only work and calls that waited.
func TestEveryAttemptNeedsAPermit(t *testing.T) {
	tests := []struct {
		name string
		// prepare brings a call to the point at which an attempt would be sent.
		prepare func(h *limitHarness)
		// before is how many attempts were sent by then.
		before int
	}{
		{"a first attempt", func(h *limitHarness) {
			h.nameAll(2)
			h.call(router.Repeatable)
		}, 0},
		{"once-only work", func(h *limitHarness) {
			h.nameAll(2)
			id := h.call(router.OnceOnly)
			claim := h.claims[0].Command.(claimer.Claim)
			h.handle(ClaimDecided{Call: id, Attempt: claim.Attempt, Verdict: claimer.VerdictGranted})
		}, 0},
		{"a retry", func(h *limitHarness) {
			h.call(router.Repeatable)
			h.nameAll(2)
			h.handle(AttemptEnded{Attempt: h.dispatched[0].Attempt, Ending: EndingLost, Report: NoReport})
		}, 1},
		{"work that waited for a slot", func(h *limitHarness) {
			for range 9 { // two endpoints with four requests each
				h.call(router.Repeatable)
			}
			h.nameAll(2)
			h.handle(AttemptEnded{Attempt: h.dispatched[0].Attempt, Ending: EndingComplete, Report: NoReport})
		}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newLimitHarness(2, 100)
			tt.prepare(h)
			assert.Equal(t, len(h.dispatched), tt.before)
			h.advance(50 * time.Millisecond)
			assert.Equal(t, len(h.dispatched), tt.before)
			for len(h.wanted) > 0 && h.wanted[0].Request.Permits == 0 {
				h.wanted = h.wanted[1:]
			}
			assert.Assert(t, len(h.wanted) > 0, "a permit is requested")
			h.reply(1, 0)
			assert.Equal(t, len(h.dispatched), tt.before+1)
			h.advance(50 * time.Millisecond)
			assert.Equal(t, len(h.dispatched), tt.before+1)
		})
	}
}

// TestHedgeNeedsAPermit guards against hedges beyond a limit.
func TestHedgeNeedsAPermit(t *testing.T) {
	h := newLimitHarness(2, 100)
	h.call(router.Repeatable)
	assert.Equal(t, len(h.dispatched), 1)
	h.nameAll(2)
	h.advance(400 * time.Millisecond)
	assert.Equal(t, len(h.dispatched), 1)
}

// TestCallsAreRefusedAtOnceWithoutRoom guards against callers that wait until their deadline for
// permits that control has denied, and against calls refused while there is another endpoint.
func TestCallsAreRefusedAtOnceWithoutRoom(t *testing.T) {
	h := newLimitHarness(2, 0)
	h.nameAll(0.5)
	h.call(router.Repeatable)
	h.reply(0, 2*time.Second)
	assert.Equal(t, len(h.refused), 0, "the other endpoint was not asked yet")
	h.reply(0, 2*time.Second)
	assert.Equal(t, len(h.refused), 1)
	assert.Equal(t, h.refused[0].Reason, ReasonLimit)
	assert.Equal(t, h.refused[0].Outcome, OutcomeNotRun)
	assert.Assert(t, h.refused[0].RetryAfter > 0 && h.refused[0].RetryAfter <= time.Second/retryAfterDivisor)
	h.call(router.Repeatable)
	assert.Equal(t, len(h.refused), 2, "the denial holds for later calls")
	h.endpoints[1].Limit = throttler.Limit{Version: 2}
	h.handle(EndpointsChanged{Changed: h.endpoints})
	h.call(router.Repeatable)
	assert.Equal(t, len(h.refused), 2)
	assert.Equal(t, len(h.dispatched), 1)
}

// TestAttemptsInFlightGoOn asserts that a limit cancels nothing that was sent before.
func TestAttemptsInFlightGoOn(t *testing.T) {
	h := newLimitHarness(1, 0)
	h.call(router.Repeatable)
	h.nameAll(0.1)
	h.handle(ResponseStarted{Attempt: h.dispatched[0].Attempt, Status: 200, Report: NoReport})
	assert.Equal(t, len(h.refused), 0)
	assert.Equal(t, h.InFlight(), 1)
}

// TestLimitIsLearnedFromResponses asserts what an entry tells control: a limit that a response
// names, at once, and its end.
func TestLimitIsLearnedFromResponses(t *testing.T) {
	h := newLimitHarness(1, 0)
	limit := throttler.Statement{Kind: throttler.StatementLimit, Rate: 3}
	h.call(router.Repeatable)
	h.handle(ResponseStarted{Attempt: h.dispatched[0].Attempt, Status: 200, Report: Report{Load: -1, Limit: limit}})
	assert.Equal(t, len(h.wanted), 1)
	assert.DeepEqual(t, h.wanted[0].Request, throttler.Request{Limit: throttler.Limit{Rate: 3}, Observed: true})
	h.wanted = nil
	h.call(router.Repeatable)
	h.reply(1, 0)
	h.handle(ResponseStarted{Attempt: h.dispatched[1].Attempt, Status: 200, Report: Report{Load: -1, Limit: throttler.Statement{Kind: throttler.StatementNone}}})
	last := h.wanted[len(h.wanted)-1]
	assert.Assert(t, last.Request.Observed && last.Request.Limit.Rate == 0)
	h.call(router.Repeatable)
	assert.Equal(t, len(h.dispatched), 3)
}

// TestProbeWithoutLimitDoesNotLift guards against replies to probes that never name a limit and
// would end one that responses name.
func TestProbeWithoutLimitDoesNotLift(t *testing.T) {
	none := Report{Load: 0, Limit: throttler.Statement{Kind: throttler.StatementNone}}
	named := Report{Load: 0, Limit: throttler.Statement{Kind: throttler.StatementLimit, Rate: 3}}
	h := newLimitHarness(1, 0)
	h.nameAll(3)
	e := h.endpointNamed("e0")
	h.now = h.now.Add(time.Second)
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Report: none})
	assert.Assert(t, e.limited())
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Report: named})
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Report: none})
	assert.Assert(t, !e.limited())
}

// TestPassedOverEndpointsAreCounted guards against limits whose effect an operator can't see: the metric of the calls
// that went elsewhere for lack of a permit.
func TestPassedOverEndpointsAreCounted(t *testing.T) {
	tests := []struct {
		name string
		// end ends the wait of a call for a permit of the one endpoint with a limit.
		end  func(h *limitHarness)
		want uint64
	}{
		{"a permit comes", func(h *limitHarness) { h.reply(1, 0) }, 0},
		{"control denies it", func(h *limitHarness) { h.reply(0, time.Second) }, 1},
		{"control doesn't reply in time", func(h *limitHarness) { h.advance(maxPermitWait) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newLimitHarness(2, 100)
			h.endpoints[0].Limit = throttler.Limit{Rate: 2, Version: 1}
			h.handle(EndpointsChanged{Changed: h.endpoints[:1]})
			h.wanted = nil // the entry asks for none yet
			sent := 0
			for range 4 { // as many as the endpoint without a limit takes
				if len(h.wanted) > 0 {
					break
				}
				sent = len(h.dispatched)
				h.call(router.Repeatable)
				assert.Equal(t, h.LimitCounts().PassedOver, uint64(0))
			}
			assert.Equal(t, len(h.wanted), 1)
			assert.Equal(t, len(h.dispatched), sent, "the call waits")
			tt.end(h)
			assert.Equal(t, len(h.dispatched), sent+1)
			assert.Equal(t, h.LimitCounts().PassedOver, tt.want)
		})
	}
}
