package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/retrier"
	"comfreyplank.org/core/router"
)

// Tuning of hedges and claims.
const (
	hedgeFactor = 1.5
	hedgeFloor  = 5 * time.Millisecond
	// hedgePressure is the load against the slots above which nothing is hedged.
	hedgePressure = 0.8
	// doubtAfter is how long an attempt may be without an answer before the
	// connections opened before it are in doubt.
	doubtAfter = 250 * time.Millisecond
	// claimAgain is how long a claim on a key that another attempt holds waits
	// before it is made again.
	claimAgain = 100 * time.Millisecond
)

// phase is where a call stands.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseWaiting // for the attempt that holds the key, or a leader
	phaseQueued
	phaseSampling // for endpoints to tell their load
	phaseHeld     // for a better endpoint
	phaseRunning
)

// call is a call without an answer.
type call struct {
	Call
	phase     phase
	arrivedAt time.Time
	// live attempts are in flight; at most most() were ever made.
	live  []AttemptID
	tried []*endpoint
	// samples are the endpoints that were asked before the first attempt.
	samples []sample
	// silent are the endpoints that were asked and did not answer, in so many rounds.
	silent []*endpoint
	rounds int
	// sampleDue is when the present wait for answers, or for better ones, ends.
	sampleDue time.Time
	// sampled is set once endpoints have been asked.
	sampled bool
	made    int
	// firstAt is when the first attempt was sent.
	firstAt time.Time
	// mayHaveRun is set once an attempt may have run without our learning it.
	mayHaveRun bool
	// claim is the attempt that the key was claimed for; empty without a claim.
	claim string
	// granted is set while the claim is ours.
	granted bool
	// gone is set once nobody waits for the answer.
	gone bool
	// last is the reason of the latest failure.
	last Reason
}

// attempt is a request in flight at an endpoint.
type attempt struct {
	id       AttemptID
	call     *call // nil once the call has ended without this attempt
	endpoint *endpoint
	start    time.Time
	answered bool
	// number counts the attempts of the call from 1.
	number int
	// expected is what was known when it was sent.
	expected expectation
}

// expectation is how long an attempt was to take, in usual times; zero when that is not
// known.
type expectation struct {
	estimate float64
	// alone is the estimate without what was learned of the endpoint.
	alone float64
	// running is how many requests were to run at the endpoint then.
	running int
}

// most returns how many attempts may be made.
func (c *call) most() int {
	if c.AttemptLimit == 0 {
		return retrier.MaxAttempts
	}
	return c.AttemptLimit
}

func (b *Balancer) onArrived(now time.Time, v Call) {
	c := &call{Call: v, arrivedAt: now}
	b.calls[v.ID] = c
	if !now.Before(v.Deadline) {
		b.refuse(now, c, ReasonDeadline)
		return
	}
	b.schedule(v.Deadline, v.ID, timerDeadline)
	if v.Execution == router.OnceOnly {
		b.claim(now, c)
		return
	}
	b.start(now, c)
}

// start asks endpoints where the call should go, or sends it at once.
func (b *Balancer) start(now time.Time, c *call) {
	if b.queue.Len() > 0 || !b.beginSampling(now, c) {
		b.startAtOnce(now, c)
	}
}

// startAtOnce sends the first attempt, or puts the call in the queue.
func (b *Balancer) startAtOnce(now time.Time, c *call) {
	if b.queue.Len() == 0 && b.attempt(now, c) {
		return
	}
	if !b.anyAccepts(now) {
		b.refuse(now, c, ReasonNoEndpoint)
		return
	}
	if !b.enqueue(now, c) {
		b.refuse(now, c, ReasonQueueFull)
	}
}

// enqueue lets the call wait for an endpoint, if there is room and time.
func (b *Balancer) enqueue(now time.Time, c *call) bool {
	if !b.queue.Push(now, uint64(c.ID), c.Class, c.Deadline, b.picker.TypicalLatency()) {
		return false
	}
	c.phase = phaseQueued
	return true
}

func (b *Balancer) anyAccepts(now time.Time) bool {
	for _, e := range b.endpoints {
		if b.accepts(now, e) {
			return true
		}
	}
	return false
}

// drainQueue starts calls that wait, as long as an endpoint takes them.
func (b *Balancer) drainQueue(now time.Time) {
	for b.queue.Len() > 0 && b.picker.Pick(now, b.candidates, nil) != picker.None {
		id, late, _ := b.queue.Pop(now)
		c, ok := b.calls[CallID(id)]
		switch {
		case !ok:
		case late:
			b.refuse(now, c, ReasonDeadline)
		case b.attempt(now, c):
		case !b.anyUntried(now, c) || !b.enqueue(now, c):
			b.refuse(now, c, c.reason())
		default:
			return // what is free now is what this call has tried
		}
	}
}

// reason returns why the call has no answer yet.
func (c *call) reason() Reason {
	if c.last == "" {
		return ReasonNoEndpoint
	}
	return c.last
}

// attempt sends the call to an endpoint that it has not tried, and reports
// whether there was one.
func (b *Balancer) attempt(now time.Time, c *call) bool {
	if e := b.roomiest(now, c, math.Inf(1)); e != nil {
		b.dispatch(now, c, e)
		return true
	}
	i := b.pick(now, c, c.silent)
	if i == picker.None {
		i = b.pick(now, c, nil)
	}
	if i == picker.None {
		return false
	}
	b.dispatch(now, c, b.endpoints[i])
	return true
}

// pick chooses an endpoint that the call may go to, but none of those to avoid. A
// request that can't be repeated is not used for the trial of an ejected endpoint.
func (b *Balancer) pick(now time.Time, c *call, avoid []*endpoint) int {
	return b.picker.Pick(now, b.candidates, func(i int) bool {
		e := b.endpoints[i]
		return c.hasTried(e) || slices.Contains(avoid, e) || (e.ejected() && c.Execution != router.Repeatable)
	})
}

func (c *call) hasTried(e *endpoint) bool {
	for _, t := range c.tried {
		if t == e {
			return true
		}
	}
	return false
}

func (b *Balancer) dispatch(now time.Time, c *call, e *endpoint) {
	b.lastAttempt++
	a := &attempt{id: b.lastAttempt, call: c, endpoint: e, start: now}
	b.attempts[a.id] = a
	e.flights = append(e.flights, flight{a.id, now})
	e.sent++
	e.trial = e.ejected()
	b.candidates[e.at].RecordSent(now)
	if e.trial {
		b.reviewOne(now, e.at, e)
	}
	c.phase = phaseRunning
	c.made++
	a.number = c.made
	c.live = append(c.live, a.id)
	c.tried = append(c.tried, e)
	if c.made == 1 {
		c.firstAt = now
		b.budget.RecordFirstAttempt(now)
		b.scheduleHedge(now, c)
	}
	b.traceSent(now, c, a)
	b.do(Dispatch{
		Call: c.ID, Attempt: a.id, Endpoint: e.name(), Address: e.Address,
		Number: c.made, Deadline: c.Deadline, ConnectionPolicy: b.connection(c, e),
	})
}

// connection keeps a request that can't be repeated off connections in doubt. A
// second attempt uses only connections that have worked since the first was sent:
// what has silenced one connection may have silenced those to other endpoints too.
func (b *Balancer) connection(c *call, e *endpoint) ConnectionPolicy {
	rule := ConnectionPolicy{MaxIdle: MaxIdleRepeatable, VerifiedAfter: e.provenAfter, MaxOpen: b.connectionCap(e.Connections)}
	if c.Execution != router.Repeatable {
		rule.MaxIdle = OnceQuiet
	}
	if c.made > 1 && rule.VerifiedAfter.Before(c.firstAt) {
		rule.VerifiedAfter = c.firstAt
	}
	return rule
}

func (b *Balancer) scheduleHedge(now time.Time, c *call) {
	delay := doubtAfter
	if b.mayHedge(c) && b.quantile.value > 0 {
		delay = max(hedgeFloor, time.Duration(hedgeFactor*float64(b.quantile.value)))
	}
	if at := now.Add(min(delay, doubtAfter)); at.Before(c.Deadline) {
		b.schedule(at, c.ID, timerHedge)
	}
}

func (b *Balancer) mayHedge(c *call) bool {
	return !c.Streamed && retrier.MayHedge(c.Execution, c.made, c.most(), c.Chained)
}

func mayRepeat(c *call, proof retrier.Proof) bool {
	return !c.Streamed && retrier.MayRetry(c.Execution, proof, c.made, c.most(), c.Chained)
}

// onHedgeDue sends a second attempt beside one that takes long. After an even
// longer time the connections of the endpoint are in doubt.
func (b *Balancer) onHedgeDue(now time.Time, c *call) {
	if len(c.live) == 0 {
		return
	}
	a := b.attempts[c.live[0]]
	silent := now.Sub(a.start) >= doubtAfter
	if silent {
		b.doubt(a)
	} else if at := a.start.Add(doubtAfter); at.Before(c.Deadline) {
		b.schedule(at, c.ID, timerHedge)
	}
	if len(c.live) > 1 || c.gone || !b.mayHedge(c) {
		return
	}
	if !silent && b.picker.Utilisation() > hedgePressure {
		return
	}
	if b.hedge(now, c) {
		b.record(recorder.KindAttemptHedged, c, a.endpoint, fmt.Sprintf("no answer after %s", now.Sub(a.start).Round(time.Millisecond)))
	}
}

// hasTarget reports whether another endpoint could take the call.
func (b *Balancer) hasTarget(now time.Time, c *call) bool { return b.pick(now, c, nil) != picker.None }

// doubt puts every connection that was open when the attempt began in doubt.
func (b *Balancer) doubt(a *attempt) {
	if a.endpoint.provenAfter.Before(a.start) {
		a.endpoint.provenAfter = a.start
		b.record(recorder.KindConnectionsSuspected, a.call, a.endpoint, "no answer; older connections are not used unless they answer")
	}
}

// onCallerGone cancels what nobody waits for. A once-only request that is on its
// way goes on, so that its outcome is learned and stored.
func (b *Balancer) onCallerGone(now time.Time, id CallID) {
	c, ok := b.calls[id]
	if !ok {
		return
	}
	c.gone = true
	b.traceAbandoned(now, c)
	if c.Execution == router.OnceOnly && len(c.live) > 0 {
		return
	}
	if c.phase == phaseQueued {
		b.queue.Remove(uint64(c.ID))
	}
	b.giveUpClaim(c)
	b.end(now, c)
}

func (b *Balancer) onDeadline(now time.Time, c *call) {
	if c.phase == phaseQueued {
		b.queue.Remove(uint64(c.ID))
	}
	reason := ReasonDeadline
	switch {
	case len(c.live) > 0:
		c.mayHaveRun = true
		c.last = ReasonTimeout
		reason = c.last
		for _, id := range c.live {
			b.doubt(b.attempts[id])
		}
	case c.mayHaveRun:
		reason = ReasonKeyPending
	case c.phase == phaseClaiming || c.phase == phaseWaiting:
		reason = ReasonClaim
	}
	b.refuse(now, c, reason)
}

// comebackShare is the part of the time that is left after which a refused caller
// should come again at the latest, with time for an answer.
const comebackShare = 3

const (
	connectTime   = 30 * time.Millisecond
	leastComeback = 10 * time.Millisecond
)

// retryAfter spreads the callers that are refused together. Zero leaves it to the
// protocol.
func (b *Balancer) retryAfter(now time.Time, c *call) time.Duration {
	left := c.Deadline.Sub(now)
	if !c.sampled || left <= 0 {
		return 0
	}
	most := left / comebackShare
	inTime := c.arrivedAt.Add(c.LatencyTarget).Sub(now) - scaled(b.work.of(c.LatencyTarget), workMargin) - connectTime
	if inTime >= leastComeback {
		return leastComeback + time.Duration(b.rand.Int64N(int64(min(most, inTime))))
	}
	return most/2 + time.Duration(b.rand.Int64N(int64(most/2)+1))
}

// refuse ends a call without an answer, and says truthfully whether it may have
// run.
func (b *Balancer) refuse(now time.Time, c *call, reason Reason) {
	outcome := OutcomeNotRun
	kind := recorder.KindCallRefused
	if c.mayHaveRun {
		outcome = OutcomeUnknown
		kind = recorder.KindCallUnknown
		b.settle(c, claimer.Settle{Unknown: true})
	}
	b.giveUpClaim(c)
	b.record(kind, c, nil, b.explain(now, c, reason))
	if !c.gone {
		b.do(Refuse{Call: c.ID, Outcome: outcome, Reason: reason, RetryAfter: b.retryAfter(now, c)})
	}
	b.end(now, c)
}
