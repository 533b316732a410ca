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

// bench drives one balancer and collects what it does.
type bench struct {
	*Balancer
	now       time.Time
	last      CallID
	service   validator.Service
	endpoints []Endpoint
	// away are endpoints that nobody announces for now.
	away       []Endpoint
	dispatched []Dispatch
	delivered  []Deliver
	refused    []Refuse
	cancelled  []Cancel
	claims     []ProposeCommand
	probes     []Probe
	// single are the calls that may run on no more than one endpoint.
	single map[CallID]bool
}

func newBench(endpoints, retryPercent int) *bench {
	service := validator.Service{Name: "rounds", QueueLimit: 4, RetryPercent: retryPercent}
	w := &bench{now: time.Unix(1_700_000_000, 0), service: service, single: map[CallID]bool{}}
	w.Balancer = New("entry", service, WithRand(rand.New(rand.NewPCG(1, 1))))
	for i := range endpoints {
		w.endpoints = append(w.endpoints, Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "rounds", Endpoint: fmt.Sprint("e", i)}, Address: fmt.Sprint("127.0.0.1:", i),
			Slots: 2, Connections: 250, State: registrar.StateServing, Incarnation: 1,
		}})
	}
	w.do(ConfigLeaseChanged{Until: w.now.Add(time.Hour)})
	w.configure()
	return w
}

func (w *bench) configure() {
	w.do(Reconfigured{Service: w.service, Endpoints: w.endpoints, Entries: 24})
}

func (w *bench) do(in Input) {
	for _, a := range w.Handle(w.now, in) {
		switch v := a.(type) {
		case Dispatch:
			w.dispatched = append(w.dispatched, v)
		case Deliver:
			w.delivered = append(w.delivered, v)
		case Refuse:
			w.refused = append(w.refused, v)
		case Cancel:
			w.cancelled = append(w.cancelled, v)
		case ProposeCommand:
			w.claims = append(w.claims, v)
		case Probe:
			w.probes = append(w.probes, v)
		}
	}
}

func (w *bench) pass(d time.Duration) {
	end := w.now.Add(d)
	for due := w.Due(); !due.IsZero() && !due.After(end); due = w.Due() {
		w.now = latest(w.now, due)
		w.do(Tick{})
	}
	w.now = end
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (w *bench) call(e router.Execution) CallID {
	w.last++
	w.single[w.last] = e == router.SingleAttempt
	key := ""
	if e == router.OnceOnly {
		key = fmt.Sprint("key-", w.last)
	}
	w.do(CallArrived{Call: Call{ID: w.last, Execution: e, Class: validator.ClassInteractive, Deadline: w.now.Add(time.Second), Key: key}})
	return w.last
}

func (w *bench) answer(d Dispatch, status int) {
	w.do(ResponseStarted{Attempt: d.Attempt, Status: status, Report: Report{Load: -1}})
	w.do(AttemptEnded{Attempt: d.Attempt, Ending: EndingComplete, Report: Report{Load: -1}})
}

func (w *bench) fail(d Dispatch, ending Ending) {
	w.do(AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: Report{Load: -1}})
}

func (w *bench) grant() {
	claim := w.claims[len(w.claims)-1]
	attempt := claim.Command.(claimer.Claim).Attempt
	w.do(ClaimDecided{Call: claim.Call, Attempt: attempt, Verdict: claimer.VerdictGranted})
}

func TestFailureIsRepeatedOnlyWhenItMayBe(t *testing.T) {
	tests := []struct {
		execution router.Execution
		ending    Ending
		repeats   bool
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
			w := newBench(3, 20)
			w.call(tt.execution)
			if tt.execution == router.OnceOnly {
				w.grant()
			}
			w.fail(w.dispatched[0], tt.ending)
			if !tt.repeats {
				assert.Equal(t, len(w.dispatched), 1)
				assert.Equal(t, w.refused[0].Outcome, tt.outcome)
				return
			}
			assert.Equal(t, len(w.dispatched), 2)
			w.answer(w.dispatched[1], 200)
			assert.Equal(t, len(w.delivered), 1)
		})
	}
}

func TestCallIsTriedOnceAtEachEndpoint(t *testing.T) {
	w := newBench(2, 100)
	for range 50 {
		first := len(w.dispatched)
		w.call(router.Repeatable)
		w.fail(w.dispatched[first], EndingRefused)
		assert.Equal(t, len(w.dispatched), first+2)
		assert.Assert(t, w.dispatched[first].Endpoint != w.dispatched[first+1].Endpoint)
		w.answer(w.dispatched[first+1], 200)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	w := newBench(6, 10)
	for range 1000 {
		w.call(router.Repeatable)
		w.fail(w.dispatched[len(w.dispatched)-1], EndingLost)
		for _, d := range w.dispatched[max(0, len(w.dispatched)-2):] {
			w.fail(d, EndingLost)
		}
		w.now = w.now.Add(time.Millisecond)
	}
	first := 0
	for _, d := range w.dispatched {
		if d.Number == 1 {
			first++
		}
	}
	extra := len(w.dispatched) - first
	assert.Assert(t, extra <= first/10+4, "%d extra attempts for %d first ones", extra, first)
}

func TestChainedCallIsNotMultiplied(t *testing.T) {
	w := newBench(3, 100)
	w.last++
	w.do(CallArrived{Call: Call{ID: w.last, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: w.now.Add(time.Second), Chained: true}})
	w.pass(500 * time.Millisecond)
	assert.Equal(t, len(w.dispatched), 1)
	w.fail(w.dispatched[0], EndingLost)
	assert.Equal(t, len(w.dispatched), 1)
}

func TestSlowAnswerIsHedgedAndLoserCancelled(t *testing.T) {
	w := newBench(3, 50)
	for range 20 {
		w.call(router.Repeatable)
		w.now = w.now.Add(6 * time.Millisecond)
		w.answer(w.dispatched[len(w.dispatched)-1], 200)
	}
	before := len(w.dispatched)
	id := w.call(router.Repeatable)
	w.pass(100 * time.Millisecond)
	assert.Equal(t, len(w.dispatched), before+2)
	slow, hedge := w.dispatched[before], w.dispatched[before+1]
	assert.Assert(t, slow.Endpoint != hedge.Endpoint)
	w.answer(hedge, 200)
	assert.Equal(t, w.delivered[len(w.delivered)-1], Deliver{Call: id, Attempt: hedge.Attempt})
	assert.Equal(t, w.cancelled[0].Attempt, slow.Attempt)
	w.answer(slow, 200) // comes late, and goes nowhere
	assert.Equal(t, len(w.delivered), 21)
}

func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	w := newBench(1, 0)
	w.call(router.SingleAttempt)
	sent := w.now
	w.pass(2 * doubtAfter)
	w.call(router.OnceOnly)
	w.grant()
	last := w.dispatched[1]
	assert.Equal(t, last.VerifiedAfter, sent)
	assert.Equal(t, last.MaxIdle, OnceQuiet)
}

func TestQueueIsBoundedAndInteractiveGoesFirst(t *testing.T) {
	w := newBench(1, 0) // 4 in flight
	for range 4 {
		w.call(router.Repeatable)
	}
	bulk := w.last + 1
	w.last++
	w.do(CallArrived{Call: Call{ID: bulk, Execution: router.Repeatable, Class: validator.ClassBulk, Deadline: w.now.Add(time.Second)}})
	for range 5 {
		w.call(router.Repeatable)
	}
	assert.Equal(t, len(w.dispatched), 4)
	assert.Equal(t, len(w.refused), 1)
	assert.Equal(t, w.refused[0], Refuse{Call: w.last, Outcome: OutcomeNotRun, Reason: ReasonQueueFull})
	w.answer(w.dispatched[0], 200)
	assert.Equal(t, w.dispatched[4].Call, bulk+1)
}

func TestRefusingEndpointGetsLessAndRecovers(t *testing.T) {
	w := newBench(1, 0)
	for range 3 {
		w.call(router.Repeatable)
		w.fail(w.dispatched[len(w.dispatched)-1], EndingRefused)
	}
	assert.Assert(t, w.candidates[0].Limit < 4)
	for range 30 {
		w.call(router.Repeatable)
		w.answer(w.dispatched[len(w.dispatched)-1], 200)
	}
	assert.Equal(t, w.candidates[0].Limit, 4)
}

func TestFailingEndpointIsEjectedAndReturns(t *testing.T) {
	w := newBench(6, 100)
	bad := "e2"
	run := func(n int) (hits int) {
		for range n {
			w.call(router.Repeatable)
			d := w.dispatched[len(w.dispatched)-1]
			if d.Endpoint == bad {
				hits++
				w.answer(d, 500)
				continue
			}
			w.answer(d, 200)
		}
		return hits
	}
	run(200)
	assert.Equal(t, run(200), 0)
	w.pass(ejectionBase)
	bad = "none"
	run(50)
	assert.Assert(t, !w.endpoints0("e2").ejected())
}

func (w *bench) endpoints0(name string) *endpoint { return w.named[name] }

func TestGeneralFailureEjectsFew(t *testing.T) {
	w := newBench(9, 0)
	for range 500 {
		w.call(router.Repeatable)
		w.answer(w.dispatched[len(w.dispatched)-1], 500)
	}
	ejected := 0
	for _, e := range w.Balancer.endpoints {
		if e.ejected() {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

func TestEntryWithoutStandingUsesOnlyWhatItKnowsDirectly(t *testing.T) {
	w := newBench(3, 0)
	w.do(ConfigLeaseChanged{Until: w.now})
	w.call(router.Repeatable)
	assert.Equal(t, w.refused[0].Outcome, OutcomeNotRun)
	w.call(router.OnceOnly)
	assert.Equal(t, w.refused[1].Reason, ReasonStanding)
	w.endpoints[1].LastDirectReport = w.now
	w.configure()
	w.call(router.Repeatable)
	assert.Equal(t, w.dispatched[0].Endpoint, "e1")
	w.pass(DirectLife + time.Second)
	w.call(router.Repeatable)
	assert.Equal(t, len(w.dispatched), 1)
}

func TestOnceOnlyClaimsBeforeItIsSent(t *testing.T) {
	w := newBench(3, 10)
	w.call(router.OnceOnly)
	assert.Equal(t, len(w.dispatched), 0)
	w.grant()
	assert.Equal(t, len(w.dispatched), 1)
	w.answer(w.dispatched[0], 201)
	settle := w.claims[1].Command.(claimer.Settle)
	assert.Equal(t, settle.Unknown, false)
}

func TestClaimIsMadeAgainUntilThereIsALeader(t *testing.T) {
	w := newBench(3, 10)
	w.call(router.OnceOnly)
	attempt := w.claims[0].Command.(claimer.Claim).Attempt
	w.do(ClaimDecided{Call: 1, Attempt: attempt, NotProposed: true})
	assert.Equal(t, len(w.refused), 0)
	w.pass(claimAgain)
	assert.Equal(t, len(w.claims), 2)
	w.grant()
	assert.Equal(t, len(w.dispatched), 1)
	w.call(router.OnceOnly)
	w.do(ClaimDecided{Call: 2, Attempt: w.claims[2].Command.(claimer.Claim).Attempt, NotProposed: true})
	w.do(ClaimDecided{Call: 2, Attempt: attempt, NotProposed: true}) // of another call
	w.pass(2 * time.Second)
	assert.Equal(t, w.refused[len(w.refused)-1].Outcome, OutcomeNotRun)
}

func TestLateGrantIsGivenBack(t *testing.T) {
	w := newBench(3, 10)
	w.call(router.OnceOnly)
	w.pass(2 * time.Second)
	assert.Equal(t, w.refused[0], Refuse{Call: 1, Outcome: OutcomeNotRun, Reason: ReasonClaim})
	_, released := w.claims[1].Command.(claimer.Release)
	assert.Assert(t, released)
	w.do(ClaimDecided{Call: 1, Attempt: w.claims[0].Command.(claimer.Claim).Attempt, Verdict: claimer.VerdictGranted})
	assert.Equal(t, len(w.dispatched), 0)
}

func TestCallerWhoLeavesLetsOnceOnlyRequestEnd(t *testing.T) {
	w := newBench(3, 10)
	w.call(router.Repeatable)
	w.do(CallerDisconnected{Call: 1})
	assert.Equal(t, len(w.cancelled), 1)
	w.call(router.OnceOnly)
	w.grant()
	w.do(CallerDisconnected{Call: 2})
	assert.Equal(t, len(w.cancelled), 1)
	w.answer(w.dispatched[1], 200)
	_, settled := w.claims[1].Command.(claimer.Settle)
	assert.Assert(t, settled)
	assert.Equal(t, len(w.delivered), 0)
}

func TestProbesAreSpentWithinTheShare(t *testing.T) {
	w := newBench(4, 0)
	const share = 100_000 // us of endpoint time each second
	for second := range 20 {
		w.do(ShareGranted{Share: allotter.Share{ProbeMicros: share, ProbeBytes: 1 << 20}, Until: w.now.Add(time.Second)})
		before := len(w.probes)
		w.pass(time.Second)
		spent := time.Duration(len(w.probes)-before) * prober.Timeout
		assert.Assert(t, spent <= 100*time.Millisecond+prober.Timeout, "second %d: %s", second, spent)
		for _, p := range w.probes[before:] {
			w.do(ProbeEnded{Endpoint: p.Endpoint, OK: true, Elapsed: prober.Timeout, Report: Report{Load: 0}})
		}
	}
	count := len(w.probes)
	assert.Assert(t, count >= 20, "%d", count)
	w.pass(5 * time.Second) // the share has expired
	assert.Assert(t, len(w.probes) <= count+1)
}

// TestRandomEvents asserts that whatever happens in whatever order, each call gets
// one end, and a call told not run has no attempt that may have run.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newBench(rapid.IntRange(1, 5).Draw(rt, "endpoints"), rapid.SampledFrom([]int{0, 10, 100}).Draw(rt, "percent"))
		ended := map[AttemptID]Ending{}
		if rapid.Bool().Draw(rt, "sampling") {
			w.sampling = Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 20}
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			w.randomStep(rt, ended)
		}
		for _, d := range w.dispatched {
			if _, ok := ended[d.Attempt]; !ok {
				ended[d.Attempt] = EndingLost
				w.fail(d, EndingLost)
			}
		}
		w.pass(3 * time.Second)
		for _, d := range w.dispatched {
			if _, ok := ended[d.Attempt]; !ok {
				ended[d.Attempt] = EndingLost
				w.fail(d, EndingLost)
			}
		}
		w.pass(time.Second)
		w.judge(rt, ended)
	})
}

func (w *bench) randomStep(rt *rapid.T, ended map[AttemptID]Ending) {
	open := slices.DeleteFunc(slices.Clone(w.dispatched), func(d Dispatch) bool { _, ok := ended[d.Attempt]; return ok })
	switch rapid.IntRange(0, 10).Draw(rt, "event") {
	case 0, 1:
		w.call(rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt, router.OnceOnly}).Draw(rt, "execution"))
	case 2:
		w.pass(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
	case 3, 4:
		if len(open) == 0 {
			return
		}
		d := open[rapid.IntRange(0, len(open)-1).Draw(rt, "attempt")]
		ending := rapid.SampledFrom([]Ending{EndingComplete, EndingComplete, EndingNotSent, EndingRefused, EndingLost}).Draw(rt, "ending")
		ended[d.Attempt] = ending
		if ending == EndingComplete {
			w.answer(d, rapid.SampledFrom([]int{200, 500, 503}).Draw(rt, "status"))
			return
		}
		w.fail(d, ending)
	case 5:
		if len(w.claims) > 0 {
			w.decide(rt)
		}
	case 6:
		i := rapid.IntRange(0, len(w.endpoints)-1).Draw(rt, "endpoint")
		w.endpoints[i].State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
		w.configure()
	case 8, 9:
		w.answerProbe(rt)
	case 10:
		w.swapEndpoints(rt)
	case 7:
		if w.last > 0 {
			w.do(CallerDisconnected{Call: CallID(rapid.IntRange(1, int(w.last)).Draw(rt, "gone"))})
		}
	}
}

// swapEndpoints takes endpoints away, or brings them back.
func (w *bench) swapEndpoints(rt *rapid.T) {
	w.away, w.endpoints = append(w.away, w.endpoints[1:]...), w.endpoints[:1:1]
	back := rapid.IntRange(0, len(w.away)).Draw(rt, "back")
	w.endpoints = append(w.endpoints, w.away[:back]...)
	w.away = w.away[back:]
	w.configure()
}

// answerProbe answers the oldest question in one of the ways in which it may end.
func (w *bench) answerProbe(rt *rapid.T) {
	if len(w.probes) == 0 {
		return
	}
	p := w.probes[0]
	w.probes = w.probes[1:]
	ending := rapid.SampledFrom([]Ending{EndingComplete, EndingComplete, EndingLost, EndingMisdirected}).Draw(rt, "probe")
	report := Report{Load: rapid.IntRange(0, 4).Draw(rt, "load"), Slowdown: rapid.SampledFrom([]float64{0, 1, 5}).Draw(rt, "pace")}
	w.do(ProbeEnded{
		Call: p.Call, Endpoint: p.Endpoint, OK: ending == EndingComplete, Misdirected: ending == EndingMisdirected, Report: report,
	})
}

func (w *bench) decide(rt *rapid.T) {
	c := w.claims[rapid.IntRange(0, len(w.claims)-1).Draw(rt, "claim")]
	claim, ok := c.Command.(claimer.Claim)
	if !ok {
		return
	}
	verdicts := []claimer.Verdict{claimer.VerdictGranted, claimer.VerdictGranted, claimer.VerdictPending, claimer.VerdictDone, claimer.VerdictUnknown, claimer.VerdictMismatch}
	w.do(ClaimDecided{Call: c.Call, Attempt: claim.Attempt, Verdict: rapid.SampledFrom(verdicts).Draw(rt, "verdict")})
}

// judge asserts what must hold once everything has ended.
func (w *bench) judge(rt *rapid.T, ended map[AttemptID]Ending) {
	if w.InFlight() != 0 {
		rt.Fatalf("%d calls or attempts never ended", w.InFlight())
	}
	ran := map[CallID]bool{}
	mayRun := map[CallID]int{}
	for _, d := range w.dispatched {
		if e := ended[d.Attempt]; e == EndingComplete || e == EndingLost {
			ran[d.Call] = true
			mayRun[d.Call]++
		}
	}
	ends := map[CallID]int{}
	for _, d := range w.delivered {
		ends[d.Call]++
	}
	for _, r := range w.refused {
		ends[r.Call]++
		if r.Outcome == OutcomeNotRun && ran[r.Call] {
			rt.Fatalf("call %d ran and was told not run: %s", r.Call, r.Reason)
		}
	}
	for id, n := range ends {
		if n > 1 {
			rt.Fatalf("call %d ended %d times", id, n)
		}
	}
	for id, n := range mayRun {
		if w.single[id] && n > 1 {
			rt.Fatalf("call %d that may run once may have run %d times", id, n)
		}
	}
	for _, c := range w.claims {
		if mayRun[c.Call] > 1 {
			rt.Fatalf("once-only call %d may have run %d times", c.Call, mayRun[c.Call])
		}
	}
}

func TestTimersOfEndedCallsDoNotPileUp(t *testing.T) {
	w := newBench(3, 10)
	for range 20_000 {
		w.last++
		w.do(CallArrived{Call: Call{ID: w.last, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: w.now.Add(10 * time.Minute)}})
		w.answer(w.dispatched[len(w.dispatched)-1], 200)
		if w.last%50 == 0 {
			w.pass(5 * time.Millisecond)
		}
	}
	assert.Assert(t, len(w.timers) < 2*spareTimers, "%d", len(w.timers))
}

func BenchmarkCall(b *testing.B) {
	w := newBench(12, 10)
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(100 * time.Microsecond)
		w.dispatched = w.dispatched[:0]
		w.delivered = w.delivered[:0]
		w.call(router.Repeatable)
		w.answer(w.dispatched[0], 200)
		if w.last%100 == 0 {
			w.do(Tick{})
		}
	}
}
