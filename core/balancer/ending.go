package balancer

import (
	"time"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/retrier"
)

func (b *Balancer) onAttemptEnded(now time.Time, v AttemptEnded) {
	a, ok := b.attempts[v.Attempt]
	if !ok {
		return
	}
	delete(b.attempts, v.Attempt)
	b.removeInFlight(a)
	b.recordEnding(now, a, v)
	if c := a.call; c != nil {
		b.detach(a)
		b.onAttemptFailed(now, c, a, v.Ending)
	}
	if a.endpoint.removed {
		b.pruneRemoved(now)
	}
	b.dispatchQueued(now)
}

// removeInFlight removes the attempt from those in flight at its endpoint.
func (b *Balancer) removeInFlight(a *attempt) {
	e := a.endpoint
	for i, other := range e.inFlight {
		if other.attempt == a.id {
			e.inFlight = append(e.inFlight[:i], e.inFlight[i+1:]...)
			break
		}
	}
	b.updateInFlight(e.index)
}

// recordEnding updates the state of the endpoint according to how the attempt ended.
func (b *Balancer) recordEnding(now time.Time, a *attempt, v AttemptEnded) {
	e := a.endpoint
	if v.Ending != EndingMisdirected { // otherwise another endpoint has responded
		b.recordStatements(now, e, a.call, v.Report, a.incarnation)
	}
	switch v.Ending {
	case EndingRefused:
		if a.current() {
			b.recordReport(now, e, v.Report, len(e.inFlight))
			b.observeRefusal(now, a, v.Report.Limit)
			b.observeWarmUp(now, a, v.Report)
		}
		e.limit.RecordRefusal(len(e.inFlight), b.limitOf(e))
		e.trial = false
		b.updateCandidate(now, e.index, e)
	case EndingNotSent, EndingLost:
		b.recordFailure(now, e)
	case EndingTimeout:
		b.suspectConnections(a)
		b.recordFailure(now, e)
	case EndingMisdirected:
		b.markAddressReused(now, e)
	case EndingCancelled:
		e.trial = false
		b.recordNoResponse(now, a)
		b.updateCandidate(now, e.index, e)
	}
}

// recordNoResponse counts the time for which an attempt had no response until another one of its call had. Without that an endpoint
// that answers nothing would get calls as long as their hedges are answered.
func (b *Balancer) recordNoResponse(now time.Time, a *attempt) {
	if a.call != nil || a.responded {
		return
	}
	if b.picker.RecordNoResponse(now, &b.candidates[a.endpoint.index], now.Sub(a.sentAt)) {
		b.noteLatency(now)
	}
}

func proofOf(ending Ending) retrier.Proof {
	if ending == EndingNotSent || ending == EndingRefused || ending == EndingMisdirected {
		return retrier.ProofNotRun
	}
	return retrier.ProofNone
}

func reasonOf(ending Ending) Reason {
	switch ending {
	case EndingNotSent:
		return ReasonUnreachable
	case EndingRefused:
		return ReasonShed
	case EndingMisdirected:
		return ReasonMisdirected
	case EndingTimeout:
		return ReasonTimeout
	}
	return ReasonConnectionLost
}

// onAttemptFailed retries the call, waits for another attempt, or refuses the call.
func (b *Balancer) onAttemptFailed(now time.Time, c *call, a *attempt, ending Ending) {
	proof := proofOf(ending)
	c.lastFailure = reasonOf(ending)
	if proof == retrier.ProofNone {
		c.mayHaveRun = true
	}
	if len(c.liveAttempts) > 0 {
		return
	}
	if b.retry(now, c, proof) {
		b.record(recorder.KindAttemptRetried, c, a.endpoint, string(c.lastFailure))
		return
	}
	if b.lacksKeyLease(now, c) && !c.mayHaveRun {
		c.lastFailure = ReasonNoKeyLease
	}
	b.refuse(now, c, c.lastFailure)
}

func (b *Balancer) retry(now time.Time, c *call, proof retrier.Proof) bool {
	if c.disconnected || !now.Before(c.Deadline) || !mayRepeat(c, proof) || b.lacksKeyLease(now, c) {
		return false
	}
	if !b.hasUntriedEndpoint(now, c) || !b.budget.Spend(now) {
		return false
	}
	return b.attempt(now, c) || b.enqueue(now, c)
}

// hasUntriedEndpoint reports whether an endpoint that the call has not tried accepts new
// requests, now or once it has room.
func (b *Balancer) hasUntriedEndpoint(now time.Time, c *call) bool {
	for _, e := range b.endpoints {
		if b.accepts(now, e) && !e.ejected() && !c.hasTried(e) {
			return true
		}
	}
	return false
}
