package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/throttler"
)

// pauseOf returns what a response states that asks for a pause.
func pauseOf(d time.Duration) pauser.Pause { return pauser.Pause{Kind: pauser.Asked, For: d} }

// Bounds of the rule on pauses: how long after its answer an endpoint may still get requests, and how many
// requests it may get from then to the end.
const (
	pauseNotice      = 500 * time.Millisecond
	requestsInAPause = 2
)

// statementHarness drives a balancer and keeps what each incarnation of an endpoint has said.
type statementHarness struct {
	*harness
	open  []Dispatch
	asked []Probe
	// sentTo holds the incarnation that each attempt was sent to, which is the one that answers it.
	sentTo map[AttemptID]string
	leaves map[string]bool
	pauses map[string][]pausing
}

// pausing is a pause that an endpoint has asked for, and how many requests reached it meanwhile.
type pausing struct {
	from, until time.Time
	requests    int
}

func newStatementHarness(endpoints int, sampling bool) *statementHarness {
	h := &statementHarness{harness: newHarness(endpoints, 100), leaves: map[string]bool{}, pauses: map[string][]pausing{}, sentTo: map[AttemptID]string{}}
	if sampling {
		h.sampling = Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 1000}
	}
	return h
}

// incarnationOf names the incarnation of an endpoint that is announced.
func (h *statementHarness) incarnationOf(name string) string {
	return fmt.Sprintf("%s/%d", name, h.endpointsByName[name].Incarnation)
}

// handle passes an input to the balancer and checks where requests go.
func (h *statementHarness) handle(t assert.TestingT, in Input) {
	for _, a := range h.Handle(h.now, in) {
		switch v := a.(type) {
		case Dispatch:
			h.open = append(h.open, v)
			h.dispatched = append(h.dispatched, v)
			incarnation := h.incarnationOf(v.Endpoint)
			h.sentTo[v.Attempt] = incarnation
			assert.Assert(t, !h.leaves[incarnation], "%s gets a request though it leaves", incarnation)
			h.countRequest(t, incarnation)
		case Probe:
			h.asked = append(h.asked, v)
			h.countRequest(t, h.incarnationOf(v.Endpoint))
		case Refuse:
			h.refused = append(h.refused, v)
		}
	}
}

func (h *statementHarness) countRequest(t assert.TestingT, incarnation string) {
	for i := range h.pauses[incarnation] {
		p := &h.pauses[incarnation][i]
		if !h.now.Before(p.from.Add(pauseNotice)) && h.now.Before(p.until) {
			p.requests++
			assert.Assert(t, p.requests <= requestsInAPause, "%s gets %d requests in its pause", incarnation, p.requests)
		}
	}
}

// say lets the endpoint of an attempt end it with a statement.
func (h *statementHarness) say(t assert.TestingT, d Dispatch, ending Ending, leaving bool, pause time.Duration) {
	incarnation := h.sentTo[d.Attempt]
	h.open = slices.DeleteFunc(h.open, func(o Dispatch) bool { return o.Attempt == d.Attempt })
	if ending != EndingMisdirected {
		h.leaves[incarnation] = h.leaves[incarnation] || leaving
		h.pauses[incarnation] = append(h.pauses[incarnation], pausing{from: h.now, until: h.now.Add(pause)})
	}
	report := Report{Load: -1, Leaving: leaving, Limit: throttler.Statement{Kind: throttler.StatementNone}}
	if pause > 0 {
		report.Pause = pauseOf(pause)
	}
	if ending == EndingComplete {
		h.handle(t, ResponseStarted{Attempt: d.Attempt, Status: 503, Report: report})
	}
	h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: report})
}

func (h *statementHarness) call(t assert.TestingT, e router.Execution) {
	h.lastCall++
	h.handle(t, CallArrived{Call: Call{ID: h.lastCall, Execution: e, Deadline: h.now.Add(3 * time.Second), LatencyTarget: 500 * time.Millisecond}})
}

func (h *statementHarness) wait(t assert.TestingT, d time.Duration) {
	end := h.now.Add(d)
	for due := h.Due(); !due.IsZero() && !due.After(end); due = h.Due() {
		h.now = latest(h.now, due)
		h.handle(t, Tick{})
	}
	h.now = end
	h.handle(t, Tick{})
}

// TestLeavingEndpointGetsNoRequests guards against requests to an endpoint that has said that it leaves, by
// any path, and against announcements and documents that take its word back.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	renew := func(h *statementHarness) {
		for i := range h.endpoints {
			h.endpoints[i].Sequence += 10
		}
		h.handle(t, Reconfigured{Service: h.service, Endpoints: slices.Clone(h.endpoints), Entries: 24})
	}
	tests := []struct {
		name string
		// after happens once the endpoint has said that it leaves.
		after func(h *statementHarness)
		// returns is set if the endpoint may get requests again.
		returns bool
	}{
		{"first attempts", func(*statementHarness) {}, false},
		{"renewal and newer document", renew, false},
		{"draining and serving again", func(h *statementHarness) {
			h.endpoints[0].State = registrar.StateDraining
			renew(h)
			h.endpoints[0].State = registrar.StateServing
			renew(h)
		}, false},
		{"no announcement for a time", func(h *statementHarness) {
			h.handle(t, EndpointsChanged{Removed: []string{"e0"}})
			h.wait(t, 30*time.Second)
			renew(h)
		}, false},
		{"an earlier incarnation announced again", func(h *statementHarness) {
			h.endpoints[0].Incarnation--
			renew(h)
			h.endpoints[0].Incarnation++
			renew(h)
		}, false},
		{"restart", func(h *statementHarness) {
			h.endpoints[0].Incarnation++
			renew(h)
		}, true},
		{"another address", func(h *statementHarness) {
			h.endpoints[0].Address = "127.0.0.1:99"
			renew(h)
		}, false},
	}
	for _, tt := range tests {
		for _, sampling := range []bool{false, true} {
			h := newStatementHarness(1, sampling)
			h.call(t, router.Repeatable)
			assert.Equal(t, len(h.open), 1, tt.name)
			h.say(t, h.open[0], EndingRefused, true, 0)
			tt.after(h)
			before := len(h.dispatched)
			for _, e := range []router.Execution{router.Repeatable, router.SingleAttempt} {
				h.call(t, e)
				h.wait(t, 100*time.Millisecond)
			}
			assert.Equal(t, len(h.dispatched) > before, tt.returns, tt.name)
		}
	}
}

// TestLateStatementOfAnEarlierIncarnation guards against an endpoint that is shut out for good, as the last response of
// the process before it arrives once the new one is known.
func TestLateStatementOfAnEarlierIncarnation(t *testing.T) {
	restart := func(h *statementHarness) {
		h.endpoints[0].Incarnation++
		h.handle(t, Reconfigured{Service: h.service, Endpoints: slices.Clone(h.endpoints), Entries: 24})
	}
	reports := []struct {
		name   string
		report Report
	}{
		{"leaving", Report{Load: -1, Leaving: true}},
		{"pause", Report{Load: -1, Pause: pauseOf(time.Minute)}},
	}
	for _, tt := range reports {
		for _, ending := range []Ending{EndingComplete, EndingRefused} {
			h := newStatementHarness(1, false)
			h.call(t, router.Repeatable)
			h.call(t, router.Repeatable)
			restart(h)
			for _, d := range slices.Clone(h.open) {
				if ending == EndingComplete {
					h.handle(t, ResponseStarted{Attempt: d.Attempt, Status: 200, Report: tt.report})
				}
				h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: tt.report})
			}
			before := len(h.dispatched)
			h.call(t, router.Repeatable)
			assert.Equal(t, len(h.dispatched), before+1, "%s, ending %v", tt.name, ending)
		}
		h := newStatementHarness(1, true)
		h.wait(t, time.Second)
		restart(h)
		h.handle(t, ProbeEnded{Endpoint: "e0", OK: true, Elapsed: 10 * time.Millisecond, Report: tt.report})
		h.call(t, router.Repeatable)
		h.wait(t, 50*time.Millisecond)
		assert.Equal(t, len(h.dispatched), 1, "%s, probe", tt.name)
	}
}

// TestQueuedCallsLeaveALeavingEndpoint guards against calls that wait for an endpoint until their deadline
// though it has said that it leaves or wants a pause, and nothing else serves.
func TestQueuedCallsLeaveALeavingEndpoint(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		h := newStatementHarness(1, false)
		for range 30 {
			h.call(t, router.Repeatable)
		}
		assert.Assert(t, h.queue.Len() > 0)
		refused := len(h.refused)
		pause := 2 * time.Second
		if leaving {
			pause = 0
		}
		h.say(t, h.open[0], EndingRefused, leaving, pause)
		assert.Equal(t, h.queue.Len(), 0)
		for _, r := range h.refused[refused:] {
			assert.Equal(t, r.Outcome, OutcomeNotRun)
		}
	}
}

// TestPausesLast guards against pauses that end early, or keep an endpoint from its work for longer than it
// asked for.
func TestPausesLast(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		// pauses are asked for one after the other, a tenth of a second apart.
		pauses []time.Duration
		// until is when the last pause ends.
		until time.Duration
	}{
		{"one", []time.Duration{2 * second}, 2 * second},
		{"shorter later", []time.Duration{2 * second, second / 2}, 2 * second},
		{"longer later", []time.Duration{second, 2 * second}, 2*second + 100*time.Millisecond},
		{"none later", []time.Duration{2 * second, 0}, 2 * second},
	}
	for _, tt := range tests {
		h := newStatementHarness(1, false)
		start := h.now
		for range tt.pauses {
			h.call(t, router.Repeatable)
		}
		for i, pause := range tt.pauses {
			h.now = start.Add(time.Duration(i) * 100 * time.Millisecond)
			h.say(t, h.open[0], EndingRefused, false, pause)
		}
		before := len(h.dispatched)
		for h.now.Before(start.Add(tt.until)) {
			h.call(t, router.Repeatable)
			h.wait(t, 10*time.Millisecond)
		}
		assert.Equal(t, len(h.dispatched), before, tt.name)
		h.wait(t, tt.until/4+100*time.Millisecond)
		h.call(t, router.Repeatable)
		assert.Assert(t, len(h.dispatched) > before, "%s: no requests after the pause", tt.name)
	}
}

// TestAllPausingIsToldAtOnce guards against callers that wait until their deadline, or return together, while
// all endpoints pause.
func TestAllPausingIsToldAtOnce(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Minute} {
		h := newStatementHarness(3, false)
		for range 3 {
			h.call(t, router.SingleAttempt)
		}
		for _, d := range slices.Clone(h.open) {
			h.say(t, d, EndingRefused, false, pause)
		}
		delays := map[time.Duration]int{}
		for range 50 {
			refused := len(h.refused)
			h.call(t, router.Repeatable)
			assert.Equal(t, len(h.refused), refused+1, "the caller isn't told at once")
			r := h.refused[refused]
			assert.Equal(t, r.Reason, ReasonPaused)
			assert.Assert(t, r.RetryAfter > 0 && r.RetryAfter <= time.Second, "%s", r.RetryAfter)
			if pause <= 400*time.Millisecond {
				assert.Assert(t, r.RetryAfter >= pause, "%s before the end of the pause", pause-r.RetryAfter)
			}
			delays[r.RetryAfter.Truncate(50*time.Millisecond)]++
		}
		for _, n := range delays {
			assert.Assert(t, n <= 25, "%d of 50 callers return within 50 ms", n)
		}
	}
}

// TestGarbledPauseChangesNothing guards against an endpoint that is out of use by a statement that can't be
// read.
func TestGarbledPauseChangesNothing(t *testing.T) {
	h := newStatementHarness(1, false)
	h.call(t, router.Repeatable)
	d := h.open[0]
	h.open = nil
	h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: EndingRefused, Report: Report{Load: -1, Pause: pauser.Pause{Kind: pauser.Invalid}}})
	h.wait(t, 50*time.Millisecond)
	h.call(t, router.Repeatable)
	assert.Equal(t, len(h.open), 1)
}

// TestRandomStatements plays random histories of statements, restarts, documents and announcements against
// the rules on leaving endpoints and pauses.
func TestRandomStatements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newStatementHarness(rapid.IntRange(1, 4).Draw(rt, "endpoints"), rapid.Bool().Draw(rt, "sampling"))
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			h.randomStep(rt)
		}
	})
}

func (h *statementHarness) randomStep(rt *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(rt, "event") {
	case 0, 1:
		h.call(rt, rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt}).Draw(rt, "execution"))
	case 2:
		h.wait(rt, time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms"))*time.Millisecond)
	case 3, 4:
		if len(h.open) == 0 {
			return
		}
		d := h.open[rapid.IntRange(0, len(h.open)-1).Draw(rt, "attempt")]
		ending := rapid.SampledFrom([]Ending{EndingRefused, EndingComplete, EndingLost, EndingMisdirected}).Draw(rt, "ending")
		pause := time.Duration(rapid.SampledFrom([]int{0, 0, 200, 900, 3000}).Draw(rt, "pause")) * time.Millisecond
		h.say(rt, d, ending, rapid.IntRange(0, 5).Draw(rt, "leaving") == 0, pause)
	case 5:
		i := rapid.IntRange(0, len(h.endpoints)-1).Draw(rt, "endpoint")
		h.endpoints[i].Sequence++
		if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
			h.endpoints[i].Incarnation++
		}
		h.handle(rt, Reconfigured{Service: h.service, Endpoints: slices.Clone(h.endpoints), Entries: 24})
	case 6:
		i := rapid.IntRange(0, len(h.endpoints)-1).Draw(rt, "removed")
		h.handle(rt, EndpointsChanged{Removed: []string{h.endpoints[i].Endpoint}})
		if rapid.Bool().Draw(rt, "back") {
			h.handle(rt, EndpointsChanged{Changed: []Endpoint{h.endpoints[i]}})
		}
	case 7:
		if len(h.asked) > 0 {
			p := h.asked[0]
			h.asked = h.asked[1:]
			h.handle(rt, ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: rapid.Bool().Draw(rt, "ok"), Report: Report{Load: 0}})
		}
	}
}
