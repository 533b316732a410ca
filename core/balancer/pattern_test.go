package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/retrier"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// workload is a load on the endpoints of one service, simulated in virtual time: entries that get
// a dozen calls per second each, and endpoints whose speed changes several times a second.
type workload struct {
	entries, endpoints, slots int
	// rate is the number of calls per second over all entries, and work their usual time.
	rate float64
	work time.Duration
	// An endpoint takes slowFactor times as long for slowShare of the time. Whether it is slow is
	// drawn again at each redrawInterval.
	slowShare, slowFactor float64
	redrawInterval        time.Duration
	// hiddenSlow is how many endpoints take slowFactor times as long all the time without
	// reporting it.
	hiddenSlow int
	// When more than contentionThreshold of the slots are in use, work takes contentionFactor
	// times as long.
	contentionThreshold, contentionFactor float64
	// shedShare is the share of requests that endpoints refuse although they have room.
	shedShare float64
	// retryRefused makes callers retry a call that was not run once, on a random entry.
	retryRefused     bool
	target, deadline time.Duration
	duration         time.Duration
}

// shiftingLoad is a usual load, on endpoints that slow down while other work runs on their
// machines.
var shiftingLoad = workload{
	entries: 16, endpoints: 12, slots: 6, rate: 110, work: 160 * time.Millisecond, slowShare: 0.25, slowFactor: 5,
	redrawInterval: 150 * time.Millisecond, target: 400 * time.Millisecond, deadline: 1200 * time.Millisecond, duration: 20 * time.Second,
}

// surgeLoad returns a load that the endpoints can't handle in time.
func surgeLoad() workload {
	load := shiftingLoad
	load.rate = 480
	load.duration = 8 * time.Second
	return load
}

type simEndpoint struct {
	hiddenSlow bool
	name       string
	slow       bool
	redrawAt   time.Duration
	running    int
	waiting    []func()
}

// simulation runs a workload with real balancers.
type simulation struct {
	workload
	rand         *rand.Rand
	now          time.Duration
	simEndpoints []*simEndpoint
	balancers    []*Balancer
	callers      []map[CallID]caller
	running      []map[AttemptID]*simAttempt
	scheduled    map[time.Duration][]func()
	inTime       int
	responded    int
	refused      int
	calls        int
	lastCall     CallID
	// probedPairs holds the pairs of entries and endpoints between which a probe was sent.
	probedPairs map[[2]string]bool
	// refusedLate counts the calls that were refused as not run after a quarter of the latency
	// target.
	refusedLate int
}

// caller waits for the response to its first call or to its retry.
type caller struct {
	firstArrival time.Duration
	retried      bool
}

// simAttempt is one attempt at a simulated endpoint.
type simAttempt struct{ cancelled bool }

var epoch = time.Unix(1_700_000_000, 0)

const step = time.Millisecond

func simulate(load workload, opts ...Option) *simulation {
	s := &simulation{workload: load, rand: rand.New(rand.NewPCG(7, 11)), scheduled: map[time.Duration][]func(){}, probedPairs: map[[2]string]bool{}}
	for i := range load.endpoints {
		s.simEndpoints = append(s.simEndpoints, &simEndpoint{name: fmt.Sprint("m", i), hiddenSlow: i < load.hiddenSlow, redrawAt: time.Duration(i) * load.redrawInterval / time.Duration(load.endpoints)})
	}
	for i := range load.entries {
		b := New(fmt.Sprint("e", i), validator.Service{Name: "s", QueueLimit: 64, RetryPercent: 18},
			append([]Option{WithOptionalConfigLease(), WithRand(rand.New(rand.NewPCG(uint64(i), 3))), WithRetryBudget(retrier.NewBudget(18, retrier.WithBurst(2)))}, opts...)...)
		s.balancers = append(s.balancers, b)
		s.callers = append(s.callers, map[CallID]caller{})
		s.running = append(s.running, map[AttemptID]*simAttempt{})
		s.handle(i, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 64, RetryPercent: 18}, Endpoints: s.announced(), Entries: 1})
	}
	for s.now = 0; s.now < load.duration; s.now += step {
		s.tick()
	}
	return s
}

func (s *simulation) announced() []Endpoint {
	var announced []Endpoint
	for _, e := range s.simEndpoints {
		announced = append(announced, Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "s", Endpoint: e.name}, Address: e.name, Slots: s.slots, Connections: 260,
			State: registrar.StateServing, Incarnation: 1,
		}})
	}
	return announced
}

func (s *simulation) tick() {
	for _, e := range s.simEndpoints {
		if s.now >= e.redrawAt {
			e.slow = s.rand.Float64() < s.slowShare
			e.redrawAt = s.now + s.redrawInterval
		}
	}
	due := s.scheduled[s.now]
	delete(s.scheduled, s.now)
	for _, run := range due {
		run()
	}
	for i, b := range s.balancers {
		if s.rand.Float64() < s.rate/float64(s.entries)*step.Seconds() {
			s.calls++
			s.arrive(i, caller{firstArrival: s.now})
		}
		if due := b.Due(); !due.IsZero() && !s.clockTime().Before(due) {
			s.carryOut(i, b.Handle(s.clockTime(), Tick{}))
		}
	}
}

func (s *simulation) clockTime() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now + max(d, step).Truncate(step)
	s.scheduled[at] = append(s.scheduled[at], run)
}

func (s *simulation) arrive(i int, c caller) {
	s.lastCall++
	s.callers[i][s.lastCall] = c
	s.handle(i, CallArrived{Call: Call{
		ID: s.lastCall, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: epoch.Add(c.firstArrival + s.deadline), AttemptLimit: 2, LatencyTarget: s.target,
	}})
}

// refuse schedules the retry of a refused call, or counts the call as refused.
func (s *simulation) refuse(i int, v Refuse) {
	c := s.callers[i][v.Call]
	if s.retryRefused && !c.retried && v.Outcome == OutcomeNotRun {
		other := s.rand.IntN(s.entries)
		s.after(v.RetryAfter+2*step, func() { s.arrive(other, caller{firstArrival: c.firstArrival, retried: true}) })
		return
	}
	s.refused++
	if v.Outcome == OutcomeNotRun && s.now-c.firstArrival > s.target/4 {
		s.refusedLate++
	}
}

func (s *simulation) handle(i int, in Input) {
	s.carryOut(i, append([]Action(nil), s.balancers[i].Handle(s.clockTime(), in)...))
}

func (s *simulation) carryOut(i int, actions []Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case Probe:
			s.probe(i, v)
		case Dispatch:
			s.send(i, v)
		case Deliver:
			s.responded++
			if s.now-s.callers[i][v.Call].firstArrival <= s.target {
				s.inTime++
			}
		case Refuse:
			s.refuse(i, v)
		case Cancel:
			if attempt := s.running[i][v.Attempt]; attempt != nil {
				attempt.cancelled = true
			}
		}
	}
}

func (s *simulation) find(name string) *simEndpoint {
	for _, e := range s.simEndpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (s *simulation) report(e *simEndpoint) Report {
	slowdown := 1.0
	if e.slow {
		slowdown = s.slowFactor
	}
	return Report{Load: e.running + len(e.waiting), Slowdown: slowdown}
}

// probedPairCount returns the minimum number of connections that the probes needed.
func (s *simulation) probedPairCount() int { return len(s.probedPairs) }

func (s *simulation) probe(i int, v Probe) {
	s.probedPairs[[2]string{s.balancers[i].entry, v.Endpoint}] = true
	e := s.find(v.Endpoint)
	s.after(3*step, func() {
		report := s.report(e)
		s.after(step, func() { s.handle(i, ProbeEnded{Call: v.Call, Endpoint: v.Endpoint, OK: true, Report: report}) })
	})
}

func (s *simulation) send(i int, v Dispatch) {
	e := s.find(v.Endpoint)
	attempt := &simAttempt{}
	s.running[i][v.Attempt] = attempt
	if s.rand.Float64() < s.shedShare {
		s.after(3*step, func() { s.endAttempt(i, e, v, EndingRefused, false) })
		return
	}
	s.after(step, func() { s.run(i, e, v, attempt) })
}

// run processes an attempt once a slot is free.
func (s *simulation) run(i int, e *simEndpoint, v Dispatch, attempt *simAttempt) {
	if e.running >= s.slots {
		e.waiting = append(e.waiting, func() { s.run(i, e, v, attempt) })
		return
	}
	if attempt.cancelled {
		s.endAttempt(i, e, v, EndingCancelled, false)
		return
	}
	e.running++
	elapsed := time.Duration(float64(s.work) * (0.7 + 0.6*s.rand.Float64()) * s.report(e).Slowdown)
	if s.contentionThreshold > 0 && float64(e.running) > s.contentionThreshold*float64(s.slots) {
		elapsed = time.Duration(float64(elapsed) * s.contentionFactor)
	}
	if e.hiddenSlow {
		elapsed = time.Duration(float64(elapsed) * s.slowFactor)
	}
	s.after(elapsed, func() { s.endAttempt(i, e, v, EndingComplete, true) })
}

func (s *simulation) endAttempt(i int, e *simEndpoint, v Dispatch, ending Ending, ran bool) {
	if ran {
		e.running--
	}
	attempt := s.running[i][v.Attempt]
	delete(s.running[i], v.Attempt)
	if ending == EndingComplete && !attempt.cancelled {
		s.handle(i, ResponseStarted{Attempt: v.Attempt, Status: 200, Report: s.report(e)})
	}
	s.handle(i, AttemptEnded{Attempt: v.Attempt, Ending: ending, Report: NoReport})
	if len(e.waiting) > 0 && e.running < s.slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}

func (s *simulation) inTimeShare() float64 { return float64(s.inTime) / float64(s.calls) }

var withSampling = WithSampling(Sampling{Endpoints: 3, Timeout: 20 * time.Millisecond, ProbesPerSecond: 150})

// TestEndpointsWithChangingSpeed asserts that nearly all calls meet their latency target on
// endpoints that are slow a quarter of the time, where shared reports would be too old to help.
func TestEndpointsWithChangingSpeed(t *testing.T) {
	without := simulate(shiftingLoad)
	with := simulate(shiftingLoad, withSampling)
	t.Logf("in time: %.3f without sampling, %.3f with it", without.inTimeShare(), with.inTimeShare())
	assert.Assert(t, with.inTimeShare() > 0.95)
	assert.Assert(t, with.inTimeShare() > without.inTimeShare()+0.1)
}

// TestEndpointsThatHideTheirSlowdown asserts that entries learn from responses which endpoints
// are slower than they report.
func TestEndpointsThatHideTheirSlowdown(t *testing.T) {
	load := shiftingLoad
	load.hiddenSlow = 2
	with := simulate(load, withSampling)
	t.Logf("in time: %.3f", with.inTimeShare())
	assert.Assert(t, with.inTimeShare() > 0.9) // without learning, 2 slow endpoints of 12 would leave 0.83
}

// TestSurgeIsRefusedEarly asserts that excess calls of a surge are refused early instead of all
// calls being late, and that more responses are in time than without sampling.
func TestSurgeIsRefusedEarly(t *testing.T) {
	without := simulate(surgeLoad())
	with := simulate(surgeLoad(), withSampling)
	t.Logf("in time: %.3f without sampling, %.3f with it; refused %d, %d of them late", without.inTimeShare(), with.inTimeShare(), with.refused, with.refusedLate)
	assert.Assert(t, with.inTimeShare() > 2*without.inTimeShare())
	assert.Assert(t, with.inTimeShare() > 0.5)
	assert.Assert(t, with.refusedLate*20 < with.calls)
}

// TestEndpointsThatShed asserts that most calls meet their latency target by retries when
// endpoints refuse half of all requests although they have room.
func TestEndpointsThatShed(t *testing.T) {
	load := shiftingLoad
	load.shedShare = 0.5
	load.retryRefused = true
	with := simulate(load, withSampling)
	t.Logf("in time: %.3f; late %d, refused %d of %d", with.inTimeShare(), with.responded-with.inTime, with.refused, with.calls)
	assert.Assert(t, with.inTimeShare() > 0.75) // without second attempts, a call and its retry would succeed for 3 in 4
	assert.Assert(t, (with.responded-with.inTime)*10 < with.calls)
}

// TestEndpointsThatSlowDownWhenNearlyFull asserts that in a surge endpoints are not filled to the
// point where they complete fewer requests, and that entries continue to probe while many calls
// wait.
func TestEndpointsThatSlowDownWhenNearlyFull(t *testing.T) {
	tests := []struct {
		rate float64
		// minInTime is the share of calls that must be in time: 12 endpoints complete about 200
		// per second with 4 requests each, and fewer with 6.
		minInTime float64
	}{
		{150, 0.95}, {200, 0.9}, {250, 0.65}, {300, 0.55}, {400, 0.35},
	}
	for _, tt := range tests {
		load := surgeLoad()
		load.rate = tt.rate
		load.contentionThreshold = 0.8
		load.contentionFactor = 1.7
		load.retryRefused = true
		with := simulate(load, withSampling)
		t.Logf("%.0f calls per second, in time: %.3f; late %d, refused %d of %d", tt.rate, with.inTimeShare(), with.responded-with.inTime, with.refused, with.calls)
		assert.Assert(t, with.inTimeShare() > tt.minInTime)
	}
}
