package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/retrier"
)

func (b *Balancer) onResponseStarted(now time.Time, v ResponseStarted) {
	a, ok := b.attempts[v.Attempt]
	if !ok || a.responded {
		return
	}
	a.responded = true
	latency := now.Sub(a.sentAt)
	b.recordStatements(now, a.endpoint, a.call, v.Report, a.incarnation)
	if a.current() {
		b.recordReport(now, a.endpoint, v.Report, len(a.endpoint.inFlight)-1)
		b.observeLimit(now, a, v.Report.Limit)
		b.observeWarmUp(now, a, v.Report)
	}
	b.recordLatency(now, a.endpoint, v.Report, latency)
	if !isFailure(v.Status) {
		b.learnWorkTime(now, a, latency)
	}
	if c := a.call; c != nil && b.retryOnStatus(now, c, a, v.Status) {
		return
	}
	if isFailure(v.Status) {
		b.recordFailure(now, a.endpoint)
	} else {
		b.recordSuccess(now, a.endpoint)
	}
	if a.call == nil {
		b.emit(Cancel{Attempt: a.id})
		return
	}
	b.deliver(now, a, v)
}

// recordLatency adds the latency of a response to the moving averages.
func (b *Balancer) recordLatency(now time.Time, e *endpoint, r Report, latency time.Duration) {
	b.candidates[e.index].RecordLatency(now, latency)
	b.noteLatency(now)
	b.picker.RecordResponse(latency, r.Load, e.Slots)
	b.quantile.observe(latency, hedgeQuantile)
}

// isFailure reports whether a response status counts as a failure of the endpoint.
func isFailure(status int) bool { return status >= 500 && status != 501 }

// retryOnStatus retries a call on another endpoint when the response status shows that this one
// could not do the work and the call may be repeated. It reports whether it did.
func (b *Balancer) retryOnStatus(now time.Time, c *call, a *attempt, status int) bool {
	if status != 502 && status != 503 && status != 504 {
		return false
	}
	if c.disconnected || len(c.liveAttempts) > 1 || !mayRepeat(c, retrier.ProofNone) || b.lacksKeyLease(now, c) {
		return false
	}
	if !b.hasAvailableEndpoint(now, c) || !b.budget.Spend(now) {
		return false
	}
	b.recordFailure(now, a.endpoint)
	b.detach(a)
	c.mayHaveRun = true
	b.emit(Cancel{Attempt: a.id})
	b.record(recorder.KindAttemptRetried, c, a.endpoint, fmt.Sprintf("status %d", status))
	b.attempt(now, c)
	return true
}

// deliver passes a response to the caller and ends the call.
func (b *Balancer) deliver(now time.Time, a *attempt, v ResponseStarted) {
	c := a.call
	b.settleClaim(c, claimer.Settle{Response: v.StoredResponse})
	b.traceResponse(now, c, a, v.Status)
	if c.disconnected {
		b.emit(Cancel{Attempt: a.id})
	} else {
		b.emit(Deliver{Call: c.ID, Attempt: a.id})
	}
	b.endCall(now, c)
}

// endCall removes a call and cancels its attempts that have not responded.
func (b *Balancer) endCall(_ time.Time, c *call) {
	delete(b.calls, c.ID)
	for _, id := range c.liveAttempts {
		a := b.attempts[id]
		if a == nil {
			continue
		}
		a.call = nil
		if !a.responded {
			b.emit(Cancel{Attempt: id})
		}
	}
}

// detach removes an attempt from its call.
func (b *Balancer) detach(a *attempt) {
	c := a.call
	a.call = nil
	if c == nil {
		return
	}
	for i, id := range c.liveAttempts {
		if id == a.id {
			c.liveAttempts = append(c.liveAttempts[:i:i], c.liveAttempts[i+1:]...)
			return
		}
	}
}
