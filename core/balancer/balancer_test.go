package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/prober"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// harness drives one balancer and records its actions.
type harness struct {
	*Balancer
	now       time.Time
	lastCall  CallID
	service   validator.Service
	endpoints []Endpoint
	// removed are endpoints that are not announced for now.
	removed    []Endpoint
	dispatched []Dispatch
	delivered  []Deliver
	refused    []Refuse
	cancelled  []Cancel
	claims     []ProposeCommand
	probes     []Probe
	// singleAttempt holds the calls that may run on at most one endpoint.
	singleAttempt map[CallID]bool
}

func newHarness(endpoints, retryPercent int) *harness {
	service := validator.Service{Name: "rounds", QueueLimit: 4, RetryPercent: retryPercent}
	h := &harness{now: time.Unix(1_700_000_000, 0), service: service, singleAttempt: map[CallID]bool{}}
	h.Balancer = New("entry", service, WithRand(rand.New(rand.NewPCG(1, 1))))
	for i := range endpoints {
		h.endpoints = append(h.endpoints, Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "rounds", Endpoint: fmt.Sprint("e", i)}, Address: fmt.Sprint("127.0.0.1:", i),
			Slots: 2, Connections: 250, State: registrar.StateServing, Incarnation: 1,
		}})
	}
	h.handle(ConfigLeaseChanged{Until: h.now.Add(time.Hour)})
	h.configure()
	return h
}

func (h *harness) configure() {
	h.handle(Reconfigured{Service: h.service, Endpoints: h.endpoints, Entries: 24})
}

func (h *harness) handle(in Input) {
	for _, a := range h.Handle(h.now, in) {
		switch v := a.(type) {
		case Dispatch:
			h.dispatched = append(h.dispatched, v)
		case Deliver:
			h.delivered = append(h.delivered, v)
		case Refuse:
			h.refused = append(h.refused, v)
		case Cancel:
			h.cancelled = append(h.cancelled, v)
		case ProposeCommand:
			h.claims = append(h.claims, v)
		case Probe:
			h.probes = append(h.probes, v)
		}
	}
}

func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for due := h.Due(); !due.IsZero() && !due.After(end); due = h.Due() {
		h.now = latest(h.now, due)
		h.handle(Tick{})
	}
	h.now = end
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (h *harness) newCall(e router.Execution) CallID {
	h.lastCall++
	h.singleAttempt[h.lastCall] = e == router.SingleAttempt
	key := ""
	if e == router.OnceOnly {
		key = fmt.Sprint("key-", h.lastCall)
	}
	h.handle(CallArrived{Call: Call{ID: h.lastCall, Execution: e, Class: validator.ClassInteractive, Deadline: h.now.Add(time.Second), Key: key}})
	return h.lastCall
}

func (h *harness) respond(d Dispatch, status int) {
	h.handle(ResponseStarted{Attempt: d.Attempt, Status: status, Report: Report{Load: -1}})
	h.handle(AttemptEnded{Attempt: d.Attempt, Ending: EndingComplete, Report: Report{Load: -1}})
}

func (h *harness) fail(d Dispatch, ending Ending) {
	h.handle(AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: Report{Load: -1}})
}

func (h *harness) grantClaim() {
	claim := h.claims[len(h.claims)-1]
	attempt := claim.Command.(claimer.Claim).Attempt
	h.handle(ClaimDecided{Call: claim.Call, Attempt: attempt, Verdict: claimer.VerdictGranted})
}

func TestFailureIsRetriedOnlyIfAllowed(t *testing.T) {
	tests := []struct {
		execution router.Execution
		ending    Ending
		retried   bool
		outcome   Outcome
	}{
		{router.Repeatable, EndingNotSent, true, 0},
		{router.Repeatable, EndingRefused, true, 0},
		{router.Repeatable, EndingLost, true, 0},
		{router.SingleAttempt, EndingNotSent, true, 0},
		{router.SingleAttempt, EndingRefused, true, 0},
		{router.SingleAttempt, EndingLost, false, OutcomeUnknown},
		{router.OnceOnly, EndingNotSent, true, 0},
		{router.OnceOnly, EndingRefused, true, 0},
		{router.OnceOnly, EndingLost, false, OutcomeUnknown},
		{router.OnceOnly, EndingTimeout, false, OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.execution, tt.ending), func(t *testing.T) {
			h := newHarness(3, 20)
			h.newCall(tt.execution)
			if tt.execution == router.OnceOnly {
				h.grantClaim()
			}
			h.fail(h.dispatched[0], tt.ending)
			if !tt.retried {
				assert.Equal(t, len(h.dispatched), 1)
				assert.Equal(t, h.refused[0].Outcome, tt.outcome)
				return
			}
			assert.Equal(t, len(h.dispatched), 2)
			h.respond(h.dispatched[1], 200)
			assert.Equal(t, len(h.delivered), 1)
		})
	}
}

func TestRetryUsesAnotherEndpoint(t *testing.T) {
	h := newHarness(2, 100)
	for range 50 {
		first := len(h.dispatched)
		h.newCall(router.Repeatable)
		h.fail(h.dispatched[first], EndingRefused)
		assert.Equal(t, len(h.dispatched), first+2)
		assert.Assert(t, h.dispatched[first].Endpoint != h.dispatched[first+1].Endpoint)
		h.respond(h.dispatched[first+1], 200)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	h := newHarness(6, 10)
	for range 1000 {
		h.newCall(router.Repeatable)
		h.fail(h.dispatched[len(h.dispatched)-1], EndingLost)
		for _, d := range h.dispatched[max(0, len(h.dispatched)-2):] {
			h.fail(d, EndingLost)
		}
		h.now = h.now.Add(time.Millisecond)
	}
	first := 0
	for _, d := range h.dispatched {
		if d.Number == 1 {
			first++
		}
	}
	extra := len(h.dispatched) - first
	assert.Assert(t, extra <= first/10+4, "%d extra attempts for %d first ones", extra, first)
}

func TestChainedCallIsNotRetried(t *testing.T) {
	h := newHarness(3, 100)
	h.lastCall++
	h.handle(CallArrived{Call: Call{ID: h.lastCall, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: h.now.Add(time.Second), Chained: true}})
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.dispatched), 1)
	h.fail(h.dispatched[0], EndingLost)
	assert.Equal(t, len(h.dispatched), 1)
}

func TestSlowResponseIsHedgedAndLoserCancelled(t *testing.T) {
	h := newHarness(3, 50)
	for range 20 {
		h.newCall(router.Repeatable)
		h.now = h.now.Add(6 * time.Millisecond)
		h.respond(h.dispatched[len(h.dispatched)-1], 200)
	}
	before := len(h.dispatched)
	id := h.newCall(router.Repeatable)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.dispatched), before+2)
	slow, hedge := h.dispatched[before], h.dispatched[before+1]
	assert.Assert(t, slow.Endpoint != hedge.Endpoint)
	h.respond(hedge, 200)
	assert.Equal(t, h.delivered[len(h.delivered)-1], Deliver{Call: id, Attempt: hedge.Attempt})
	assert.Equal(t, h.cancelled[0].Attempt, slow.Attempt)
	h.respond(slow, 200) // arrives late and is discarded
	assert.Equal(t, len(h.delivered), 21)
}

func TestSuspectConnectionsAreNotReused(t *testing.T) {
	h := newHarness(1, 0)
	h.newCall(router.SingleAttempt)
	sent := h.now
	h.advance(2 * suspectAfter)
	h.newCall(router.OnceOnly)
	h.grantClaim()
	last := h.dispatched[1]
	assert.Equal(t, last.VerifiedAfter, sent)
	assert.Equal(t, last.MaxIdle, MaxIdleUnrepeatable)
}

func TestQueueIsBoundedAndInteractiveCallsGoFirst(t *testing.T) {
	h := newHarness(1, 0) // allows 4 requests in flight
	for range 4 {
		h.newCall(router.Repeatable)
	}
	bulk := h.lastCall + 1
	h.lastCall++
	h.handle(CallArrived{Call: Call{ID: bulk, Execution: router.Repeatable, Class: validator.ClassBulk, Deadline: h.now.Add(time.Second)}})
	for range 5 {
		h.newCall(router.Repeatable)
	}
	assert.Equal(t, len(h.dispatched), 4)
	assert.Equal(t, len(h.refused), 1)
	assert.Equal(t, h.refused[0], Refuse{Call: h.lastCall, Outcome: OutcomeNotRun, Reason: ReasonQueueFull})
	h.respond(h.dispatched[0], 200)
	assert.Equal(t, h.dispatched[4].Call, bulk+1)
}

func TestLimitShrinksAfterRefusalsAndRecovers(t *testing.T) {
	h := newHarness(1, 0)
	for range 3 {
		h.newCall(router.Repeatable)
		h.fail(h.dispatched[len(h.dispatched)-1], EndingRefused)
	}
	assert.Assert(t, h.candidates[0].Limit < 4)
	for range 30 {
		h.newCall(router.Repeatable)
		h.respond(h.dispatched[len(h.dispatched)-1], 200)
	}
	assert.Equal(t, h.candidates[0].Limit, 4)
}

func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	h := newHarness(6, 100)
	bad := "e2"
	serve := func(n int) (hits int) {
		for range n {
			h.newCall(router.Repeatable)
			d := h.dispatched[len(h.dispatched)-1]
			if d.Endpoint == bad {
				hits++
				h.respond(d, 500)
				continue
			}
			h.respond(d, 200)
		}
		return hits
	}
	serve(200)
	assert.Equal(t, serve(200), 0)
	h.advance(baseEjection)
	bad = "none"
	serve(50)
	assert.Assert(t, !h.endpointNamed("e2").ejected())
}

func (h *harness) endpointNamed(name string) *endpoint { return h.endpointsByName[name] }

func TestGeneralFailureEjectsFew(t *testing.T) {
	h := newHarness(9, 0)
	for range 500 {
		h.newCall(router.Repeatable)
		h.respond(h.dispatched[len(h.dispatched)-1], 500)
	}
	ejected := 0
	for _, e := range h.Balancer.endpoints {
		if e.ejected() {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

func TestEntryWithoutConfigLeaseUsesOnlyDirectReports(t *testing.T) {
	h := newHarness(3, 0)
	h.handle(ConfigLeaseChanged{Until: h.now})
	h.newCall(router.Repeatable)
	assert.Equal(t, h.refused[0].Outcome, OutcomeNotRun)
	h.newCall(router.OnceOnly)
	assert.Equal(t, h.refused[1].Reason, ReasonNoConfigLease)
	h.endpoints[1].LastDirectReport = h.now
	h.configure()
	h.newCall(router.Repeatable)
	assert.Equal(t, h.dispatched[0].Endpoint, "e1")
	h.advance(DirectReportTTL + time.Second)
	h.newCall(router.Repeatable)
	assert.Equal(t, len(h.dispatched), 1)
}

func TestOnceOnlyCallIsClaimedBeforeDispatch(t *testing.T) {
	h := newHarness(3, 10)
	h.newCall(router.OnceOnly)
	assert.Equal(t, len(h.dispatched), 0)
	h.grantClaim()
	assert.Equal(t, len(h.dispatched), 1)
	h.respond(h.dispatched[0], 201)
	settle := h.claims[1].Command.(claimer.Settle)
	assert.Equal(t, settle.Unknown, false)
}

func TestClaimIsRepeatedUntilThereIsALeader(t *testing.T) {
	h := newHarness(3, 10)
	h.newCall(router.OnceOnly)
	attempt := h.claims[0].Command.(claimer.Claim).Attempt
	h.handle(ClaimDecided{Call: 1, Attempt: attempt, NotProposed: true})
	assert.Equal(t, len(h.refused), 0)
	h.advance(claimRetryInterval)
	assert.Equal(t, len(h.claims), 2)
	h.grantClaim()
	assert.Equal(t, len(h.dispatched), 1)
	h.newCall(router.OnceOnly)
	h.handle(ClaimDecided{Call: 2, Attempt: h.claims[2].Command.(claimer.Claim).Attempt, NotProposed: true})
	h.handle(ClaimDecided{Call: 2, Attempt: attempt, NotProposed: true}) // belongs to another call
	h.advance(2 * time.Second)
	assert.Equal(t, h.refused[len(h.refused)-1].Outcome, OutcomeNotRun)
}

func TestLateGrantIsIgnoredAndReleased(t *testing.T) {
	h := newHarness(3, 10)
	h.newCall(router.OnceOnly)
	h.advance(2 * time.Second)
	assert.Equal(t, h.refused[0], Refuse{Call: 1, Outcome: OutcomeNotRun, Reason: ReasonClaimFailed})
	_, released := h.claims[1].Command.(claimer.Release)
	assert.Assert(t, released)
	h.handle(ClaimDecided{Call: 1, Attempt: h.claims[0].Command.(claimer.Claim).Attempt, Verdict: claimer.VerdictGranted})
	assert.Equal(t, len(h.dispatched), 0)
}

func TestOnceOnlyRequestContinuesAfterDisconnection(t *testing.T) {
	h := newHarness(3, 10)
	h.newCall(router.Repeatable)
	h.handle(CallerDisconnected{Call: 1})
	assert.Equal(t, len(h.cancelled), 1)
	h.newCall(router.OnceOnly)
	h.grantClaim()
	h.handle(CallerDisconnected{Call: 2})
	assert.Equal(t, len(h.cancelled), 1)
	h.respond(h.dispatched[1], 200)
	_, settled := h.claims[1].Command.(claimer.Settle)
	assert.Assert(t, settled)
	assert.Equal(t, len(h.delivered), 0)
}

func TestProbesStayWithinBudgetShare(t *testing.T) {
	h := newHarness(4, 0)
	const share = 100_000 // microseconds of endpoint time per second
	for second := range 20 {
		h.handle(ShareGranted{Share: allotter.Share{ProbeMicros: share, ProbeBytes: 1 << 20}, Until: h.now.Add(time.Second)})
		before := len(h.probes)
		h.advance(time.Second)
		spent := time.Duration(len(h.probes)-before) * prober.Timeout
		assert.Assert(t, spent <= 100*time.Millisecond+prober.Timeout, "second %d: %s", second, spent)
		for _, p := range h.probes[before:] {
			h.handle(ProbeEnded{Endpoint: p.Endpoint, OK: true, Elapsed: prober.Timeout, Report: Report{Load: 0}})
		}
	}
	count := len(h.probes)
	assert.Assert(t, count >= 20, "%d", count)
	h.advance(5 * time.Second) // the share has expired
	assert.Assert(t, len(h.probes) <= count+1)
}

// TestRandomEvents asserts that, whatever the order of events, each call ends once and a call
// that was refused as not run has no attempt that may have run.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rapid.IntRange(1, 5).Draw(rt, "endpoints"), rapid.SampledFrom([]int{0, 10, 100}).Draw(rt, "percent"))
		ended := map[AttemptID]Ending{}
		if rapid.Bool().Draw(rt, "sampling") {
			h.sampling = Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 20}
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.randomStep(rt, ended)
		}
		for _, d := range h.dispatched {
			if _, ok := ended[d.Attempt]; !ok {
				ended[d.Attempt] = EndingLost
				h.fail(d, EndingLost)
			}
		}
		h.advance(3 * time.Second)
		for _, d := range h.dispatched {
			if _, ok := ended[d.Attempt]; !ok {
				ended[d.Attempt] = EndingLost
				h.fail(d, EndingLost)
			}
		}
		h.advance(time.Second)
		h.checkInvariants(rt, ended)
	})
}

func (h *harness) randomStep(rt *rapid.T, ended map[AttemptID]Ending) {
	open := slices.DeleteFunc(slices.Clone(h.dispatched), func(d Dispatch) bool { _, ok := ended[d.Attempt]; return ok })
	switch rapid.IntRange(0, 10).Draw(rt, "event") {
	case 0, 1:
		h.newCall(rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt, router.OnceOnly}).Draw(rt, "execution"))
	case 2:
		h.advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
	case 3, 4:
		if len(open) == 0 {
			return
		}
		d := open[rapid.IntRange(0, len(open)-1).Draw(rt, "attempt")]
		ending := rapid.SampledFrom([]Ending{EndingComplete, EndingComplete, EndingNotSent, EndingRefused, EndingLost}).Draw(rt, "ending")
		ended[d.Attempt] = ending
		if ending == EndingComplete {
			h.respond(d, rapid.SampledFrom([]int{200, 500, 503}).Draw(rt, "status"))
			return
		}
		h.fail(d, ending)
	case 5:
		if len(h.claims) > 0 {
			h.decideClaim(rt)
		}
	case 6:
		i := rapid.IntRange(0, len(h.endpoints)-1).Draw(rt, "endpoint")
		h.endpoints[i].State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
		h.configure()
	case 8, 9:
		h.replyToProbe(rt)
	case 10:
		h.replaceEndpoints(rt)
	case 7:
		if h.lastCall > 0 {
			h.handle(CallerDisconnected{Call: CallID(rapid.IntRange(1, int(h.lastCall)).Draw(rt, "gone"))})
		}
	}
}

// replaceEndpoints removes endpoints and adds some of the removed ones again.
func (h *harness) replaceEndpoints(rt *rapid.T) {
	h.removed, h.endpoints = append(h.removed, h.endpoints[1:]...), h.endpoints[:1:1]
	back := rapid.IntRange(0, len(h.removed)).Draw(rt, "back")
	h.endpoints = append(h.endpoints, h.removed[:back]...)
	h.removed = h.removed[back:]
	h.configure()
}

// replyToProbe ends the oldest probe with a random result.
func (h *harness) replyToProbe(rt *rapid.T) {
	if len(h.probes) == 0 {
		return
	}
	p := h.probes[0]
	h.probes = h.probes[1:]
	ending := rapid.SampledFrom([]Ending{EndingComplete, EndingComplete, EndingLost, EndingMisdirected}).Draw(rt, "probe")
	report := Report{Load: rapid.IntRange(0, 4).Draw(rt, "load"), Slowdown: rapid.SampledFrom([]float64{0, 1, 5}).Draw(rt, "slowdown")}
	h.handle(ProbeEnded{
		Call: p.Call, Endpoint: p.Endpoint, OK: ending == EndingComplete, Misdirected: ending == EndingMisdirected, Report: report,
	})
}

func (h *harness) decideClaim(rt *rapid.T) {
	c := h.claims[rapid.IntRange(0, len(h.claims)-1).Draw(rt, "claim")]
	claim, ok := c.Command.(claimer.Claim)
	if !ok {
		return
	}
	verdicts := []claimer.Verdict{claimer.VerdictGranted, claimer.VerdictGranted, claimer.VerdictPending, claimer.VerdictDone, claimer.VerdictUnknown, claimer.VerdictMismatch}
	h.handle(ClaimDecided{Call: c.Call, Attempt: claim.Attempt, Verdict: rapid.SampledFrom(verdicts).Draw(rt, "verdict")})
}

// checkInvariants asserts what must hold once all calls and attempts have ended.
func (h *harness) checkInvariants(rt *rapid.T, ended map[AttemptID]Ending) {
	if h.InFlight() != 0 {
		rt.Fatalf("%d calls or attempts never ended", h.InFlight())
	}
	ran := map[CallID]bool{}
	mayRun := map[CallID]int{}
	for _, d := range h.dispatched {
		if e := ended[d.Attempt]; e == EndingComplete || e == EndingLost {
			ran[d.Call] = true
			mayRun[d.Call]++
		}
	}
	ends := map[CallID]int{}
	for _, d := range h.delivered {
		ends[d.Call]++
	}
	for _, r := range h.refused {
		ends[r.Call]++
		if r.Outcome == OutcomeNotRun && ran[r.Call] {
			rt.Fatalf("call %d ran but was refused as not run: %s", r.Call, r.Reason)
		}
	}
	for id, n := range ends {
		if n > 1 {
			rt.Fatalf("call %d ended %d times", id, n)
		}
	}
	for id, n := range mayRun {
		if h.singleAttempt[id] && n > 1 {
			rt.Fatalf("call %d that may run once may have run %d times", id, n)
		}
	}
	for _, c := range h.claims {
		if mayRun[c.Call] > 1 {
			rt.Fatalf("once-only call %d may have run %d times", c.Call, mayRun[c.Call])
		}
	}
}

func TestTimersOfEndedCallsDoNotAccumulate(t *testing.T) {
	h := newHarness(3, 10)
	for range 20_000 {
		h.lastCall++
		h.handle(CallArrived{Call: Call{ID: h.lastCall, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: h.now.Add(10 * time.Minute)}})
		h.respond(h.dispatched[len(h.dispatched)-1], 200)
		if h.lastCall%50 == 0 {
			h.advance(5 * time.Millisecond)
		}
	}
	assert.Assert(t, len(h.timers) < 2*staleTimerAllowance, "%d", len(h.timers))
}

func BenchmarkCall(b *testing.B) {
	h := newHarness(12, 10)
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(100 * time.Microsecond)
		h.dispatched = h.dispatched[:0]
		h.delivered = h.delivered[:0]
		h.newCall(router.Repeatable)
		h.respond(h.dispatched[0], 200)
		if h.lastCall%100 == 0 {
			h.handle(Tick{})
		}
	}
}
