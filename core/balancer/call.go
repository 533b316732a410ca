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

// Parameters of hedges and claims.
const (
	hedgeDelayFactor = 1.5
	minHedgeDelay    = 5 * time.Millisecond
	// maxHedgePressure is the ratio of load to slots above which no call is hedged before
	// suspectAfter.
	maxHedgePressure = 0.8
	// suspectAfter is how long an attempt may go without a response before the connections that
	// were opened before it become suspect.
	suspectAfter = 250 * time.Millisecond
	// claimRetryInterval is the delay before a claim is repeated when another attempt holds the
	// key or the claims log has no leader.
	claimRetryInterval = 100 * time.Millisecond
)

// phase is the state of a call.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseClaimRetry // waiting for the attempt that holds the key, or for a leader
	phaseQueued
	phaseSampling // waiting for endpoints to report their load
	phaseHeld     // waiting for a better endpoint
	phasePermit   // waiting for a permit, while other endpoints need none
	phaseRunning
)

// call is a call that has no response yet.
type call struct {
	Call
	phase     phase
	arrivedAt time.Time
	// liveAttempts are the attempts in flight. At most attemptLimit() attempts are made in total.
	liveAttempts []AttemptID
	tried        []*endpoint
	// samples are the endpoints that were probed before the first attempt.
	samples []sample
	// unresponsive are the endpoints that did not reply to probes, and samplingRounds counts the
	// rounds in which none did.
	unresponsive   []*endpoint
	samplingRounds int
	// samplingDue is when the current wait for replies, or for a better endpoint, ends.
	samplingDue time.Time
	// permitFrom is the endpoint that the call would use if there were a permit for it; nil once the call goes elsewhere.
	permitFrom *endpoint
	// permitSought is set once the call has looked for a permit.
	permitSought bool
	// sampled is set once endpoints have been chosen for sampling.
	sampled      bool
	attemptsMade int
	// firstSentAt is when the first attempt was sent.
	firstSentAt time.Time
	// mayHaveRun is set once an attempt may have run without this entry learning its outcome.
	mayHaveRun bool
	// claim is the attempt that the key was claimed for; empty without a claim.
	claim string
	// claimGranted is set while this call holds the claim.
	claimGranted bool
	// disconnected is set once nobody waits for the response.
	disconnected bool
	// lastFailure is why the latest attempt failed.
	lastFailure Reason
}

// attempt is a request in flight at an endpoint.
type attempt struct {
	id       AttemptID
	call     *call // nil once the call has ended without this attempt
	endpoint *endpoint
	// incarnation is that of the endpoint as the attempt was sent.
	incarnation uint64
	sentAt      time.Time
	responded   bool
	// number is the position of the attempt among those of the call, counted from 1.
	number int
	// expected is the prediction that was made when the attempt was sent.
	expected expectation
}

// current reports whether the endpoint is still the one that the attempt was sent to, as far as the entry knows: what an
// earlier incarnation says does not hold for a later one.
func (a *attempt) current() bool { return a.incarnation == a.endpoint.Incarnation }

// expectation is the predicted duration of an attempt, as a multiple of the usual time; zero when
// unknown.
type expectation struct {
	estimate float64
	// unbiased is the estimate without what was learned of the endpoint.
	unbiased float64
	// running is how many requests were predicted to run at the endpoint, this one included.
	running int
}

// attemptLimit returns how many attempts the call may make.
func (c *call) attemptLimit() int {
	if c.AttemptLimit == 0 {
		return retrier.MaxAttempts
	}
	return c.AttemptLimit
}

// onStopping shortens the deadlines of the calls that could still be in flight as the process ends.
func (b *Balancer) onStopping(v Stopping) {
	b.answerBy = v.AnswerBy
	for _, c := range b.calls {
		if c.Deadline.After(v.AnswerBy) {
			c.Deadline = v.AnswerBy
			b.schedule(v.AnswerBy, c.ID, timerDeadline)
		}
	}
}

func (b *Balancer) onCallArrived(now time.Time, v Call) {
	if !b.answerBy.IsZero() && v.Deadline.After(b.answerBy) { // the caller took long to send it
		v.Deadline = b.answerBy
	}
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

// start uses a permit for a call, or samples endpoints for it. It starts the call without sampling when others are
// queued, or when sampling is not possible.
func (b *Balancer) start(now time.Time, c *call) {
	if b.lacksKeyLease(now, c) {
		b.refuse(now, c, ReasonNoKeyLease)
		return
	}
	if b.queue.Len() > 0 {
		b.wantPermit(now, c)
	} else if b.usePermit(now, c) || b.seekPermit(now, c) {
		return
	}
	b.passOver(c)
	if b.queue.Len() > 0 || !b.beginSampling(now, c) {
		b.startWithoutSampling(now, c)
	}
}

// startWithoutSampling sends the first attempt, queues the call, or refuses it.
func (b *Balancer) startWithoutSampling(now time.Time, c *call) {
	if b.queue.Len() == 0 && b.attempt(now, c) {
		return
	}
	if !b.anyEndpointAccepts(now) {
		b.refuse(now, c, b.reasonClosed(now))
		return
	}
	if !b.enqueue(now, c) {
		b.refuse(now, c, b.reasonNotQueued(now, c))
	}
}

// enqueue queues the call if the queue has room and the wait is expected to end before the
// deadline. It reports whether it did.
func (b *Balancer) enqueue(now time.Time, c *call) bool {
	if b.awaitsPermit(now, c) {
		return b.enqueueForPermit(now, c)
	}
	if !b.queue.Push(now, uint64(c.ID), c.Class, c.Deadline, b.picker.TypicalLatency()) {
		return false
	}
	c.phase = phaseQueued
	return true
}

func (b *Balancer) anyEndpointAccepts(now time.Time) bool {
	for _, e := range b.endpoints {
		if b.accepts(now, e) {
			return true
		}
	}
	return false
}

// dispatchQueued sends queued calls for as long as an endpoint has room.
func (b *Balancer) dispatchQueued(now time.Time) {
	for b.queue.Len() > 0 && b.hasRoom(now) {
		id, late, _ := b.queue.Pop(now)
		c, ok := b.calls[CallID(id)]
		switch {
		case !ok:
		case late:
			b.refuse(now, c, ReasonDeadline)
		case b.lacksKeyLease(now, c):
			b.refuse(now, c, ReasonNoKeyLease)
		case b.attempt(now, c):
		case !b.hasUntriedEndpoint(now, c) || !b.enqueue(now, c):
			b.refuse(now, c, c.reason())
		default:
			return // this call has tried every endpoint that has room
		}
	}
}

// reason returns why the call has no response yet.
func (c *call) reason() Reason {
	if c.lastFailure == "" {
		return ReasonNoEndpoint
	}
	return c.lastFailure
}

// attempt sends the call to an endpoint that it has not tried, and reports whether there was one.
func (b *Balancer) attempt(now time.Time, c *call) bool {
	if e := b.fastestFree(now, c, math.Inf(1)); e != nil {
		b.dispatch(now, c, e)
		return true
	}
	i := b.pick(now, c, c.unresponsive)
	if i == picker.None {
		i = b.pick(now, c, nil)
	}
	if i == picker.None {
		return false
	}
	b.dispatch(now, c, b.endpoints[i])
	return true
}

// pick chooses an endpoint that the call has not tried and that is not listed in avoid. A request
// that can't be repeated is not used as the trial of an ejected endpoint.
func (b *Balancer) pick(now time.Time, c *call, avoid []*endpoint) int {
	return b.picker.Pick(now, b.candidates, func(i int) bool {
		e := b.endpoints[i]
		return c.hasTried(e) || slices.Contains(avoid, e) || (e.ejected() && c.Execution != router.Repeatable) || e.throttled(now)
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
	a := &attempt{id: b.lastAttempt, call: c, endpoint: e, incarnation: e.Incarnation, sentAt: now}
	b.attempts[a.id] = a
	b.takePermit(now, e)
	e.inFlight = append(e.inFlight, inFlightAttempt{a.id, now})
	e.sent++
	e.trial = e.ejected()
	b.candidates[e.index].RecordSent(now)
	if e.trial {
		b.updateCandidate(now, e.index, e)
	}
	c.phase = phaseRunning
	c.attemptsMade++
	a.number = c.attemptsMade
	c.liveAttempts = append(c.liveAttempts, a.id)
	c.tried = append(c.tried, e)
	if c.attemptsMade == 1 {
		c.firstSentAt = now
		b.budget.RecordFirstAttempt(now)
		b.scheduleHedge(now, c)
	}
	b.traceSent(now, c, a)
	b.emit(Dispatch{
		Call: c.ID, Attempt: a.id, Endpoint: e.name(), Address: e.Address,
		Number: c.attemptsMade, Deadline: c.Deadline, ConnectionPolicy: b.connectionPolicy(c, e),
	})
}

// connectionPolicy excludes suspect connections, and for a request that can't be repeated also
// those that have been idle for long. A second attempt uses only connections that were opened or
// returned a response after the first was sent: the fault that silenced one connection may affect
// those to other endpoints too.
func (b *Balancer) connectionPolicy(c *call, e *endpoint) ConnectionPolicy {
	policy := ConnectionPolicy{MaxIdle: MaxIdleRepeatable, VerifiedAfter: e.verifiedAfter, MaxOpen: b.maxConnections(e.Connections)}
	if c.Execution != router.Repeatable {
		policy.MaxIdle = MaxIdleUnrepeatable
	}
	if c.attemptsMade > 1 && policy.VerifiedAfter.Before(c.firstSentAt) {
		policy.VerifiedAfter = c.firstSentAt
	}
	return policy
}

func (b *Balancer) scheduleHedge(now time.Time, c *call) {
	delay := suspectAfter
	if b.mayHedge(c) && b.quantile.value > 0 {
		delay = max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(b.quantile.value)))
	}
	if at := now.Add(min(delay, suspectAfter)); at.Before(c.Deadline) {
		b.schedule(at, c.ID, timerHedge)
	}
}

func (b *Balancer) mayHedge(c *call) bool {
	return !c.Streamed && retrier.MayHedge(c.Execution, c.attemptsMade, c.attemptLimit(), c.Chained)
}

func mayRepeat(c *call, proof retrier.Proof) bool {
	return !c.Streamed && retrier.MayRetry(c.Execution, proof, c.attemptsMade, c.attemptLimit(), c.Chained)
}

// onHedgeDue sends a second attempt when the first is slow. After suspectAfter, the connections
// of the endpoint become suspect too.
func (b *Balancer) onHedgeDue(now time.Time, c *call) {
	if len(c.liveAttempts) == 0 {
		return
	}
	a := b.attempts[c.liveAttempts[0]]
	unresponsive := now.Sub(a.sentAt) >= suspectAfter
	if unresponsive {
		b.suspectConnections(a)
	} else if at := a.sentAt.Add(suspectAfter); at.Before(c.Deadline) {
		b.schedule(at, c.ID, timerHedge)
	}
	if len(c.liveAttempts) > 1 || c.disconnected || !b.mayHedge(c) || b.lacksKeyLease(now, c) {
		return
	}
	if !unresponsive && b.picker.Utilisation() > maxHedgePressure {
		return
	}
	if b.hedge(now, c) {
		b.record(recorder.KindAttemptHedged, c, a.endpoint, fmt.Sprintf("no answer after %s", now.Sub(a.sentAt).Round(time.Millisecond)))
	}
}

// hasAvailableEndpoint reports whether another endpoint could take the call now.
func (b *Balancer) hasAvailableEndpoint(now time.Time, c *call) bool {
	return b.pick(now, c, nil) != picker.None
}

// suspectConnections marks as suspect every connection to the endpoint that was opened before the
// attempt was sent.
func (b *Balancer) suspectConnections(a *attempt) {
	if a.endpoint.verifiedAfter.Before(a.sentAt) {
		a.endpoint.verifiedAfter = a.sentAt
		b.record(recorder.KindConnectionsSuspected, a.call, a.endpoint, "no answer; older connections are not used unless they answer")
	}
}

// onCallerDisconnected cancels a call that nobody waits for. A once-only request that was sent
// continues, so that its outcome is learned and stored.
func (b *Balancer) onCallerDisconnected(now time.Time, id CallID) {
	c, ok := b.calls[id]
	if !ok {
		return
	}
	c.disconnected = true
	b.traceAbandoned(now, c)
	if c.Execution == router.OnceOnly && len(c.liveAttempts) > 0 {
		return
	}
	if c.phase == phaseQueued {
		b.queue.Remove(uint64(c.ID))
	}
	b.releaseClaim(c)
	b.endCall(now, c)
}

func (b *Balancer) onDeadline(now time.Time, c *call) {
	if c.phase == phaseQueued {
		b.queue.Remove(uint64(c.ID))
	}
	reason := ReasonDeadline
	switch {
	case len(c.liveAttempts) > 0:
		c.mayHaveRun = true
		c.lastFailure = ReasonTimeout
		reason = c.lastFailure
		for _, id := range c.liveAttempts {
			b.suspectConnections(b.attempts[id])
		}
	case c.mayHaveRun:
		reason = ReasonKeyPending
	case c.phase == phaseClaiming || c.phase == phaseClaimRetry:
		reason = ReasonClaimFailed
	}
	b.refuse(now, c, reason)
}

// retryAfterDivisor bounds the retry delay to a third of the time until the deadline, which
// leaves time for a response.
const retryAfterDivisor = 3

const (
	connectTime   = 30 * time.Millisecond
	minRetryAfter = 10 * time.Millisecond
)

// retryAfter returns a random delay, so that callers that are refused together don't retry
// together. Zero leaves the delay to the protocol.
func (b *Balancer) retryAfter(now time.Time, c *call, reason Reason) time.Duration {
	switch reason {
	case ReasonLimit:
		return b.permitRetryAfter(now, c)
	case ReasonNoKeyLease:
		return RetryAfter // no other endpoint helps, and another entry may be in contact
	}
	if earliest := b.earliestReturn(now); !earliest.IsZero() && !b.anyEndpointAccepts(now) {
		return b.pauseRetryAfter(now, c, earliest)
	}
	maxDelay := c.Deadline.Sub(now) / retryAfterDivisor
	if !c.sampled || maxDelay <= 0 {
		return 0
	}
	slack := c.arrivedAt.Add(c.LatencyTarget).Sub(now) - scale(b.usualTime.of(c.LatencyTarget), workTimeMargin) - connectTime
	if slack >= minRetryAfter {
		return minRetryAfter + time.Duration(b.rand.Int64N(int64(min(maxDelay, slack))))
	}
	return maxDelay/2 + time.Duration(b.rand.Int64N(int64(maxDelay/2)+1))
}

// refuse ends a call without a response, and reports whether it may have run.
func (b *Balancer) refuse(now time.Time, c *call, reason Reason) {
	outcome := OutcomeNotRun
	kind := recorder.KindCallRefused
	if c.mayHaveRun {
		outcome = OutcomeUnknown
		kind = recorder.KindCallUnknown
		b.settleClaim(c, claimer.Settle{Unknown: true})
	}
	b.releaseClaim(c)
	b.record(kind, c, nil, b.refusalDetail(now, c, reason))
	if reason == ReasonLimit {
		b.limitCounts.Refused++
	}
	if !c.disconnected {
		b.emit(Refuse{Call: c.ID, Outcome: outcome, Reason: reason, RetryAfter: b.retryAfter(now, c, reason)})
	}
	b.endCall(now, c)
}
