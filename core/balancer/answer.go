package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/retrier"
)

func (b *Balancer) onAnswerBegan(now time.Time, v ResponseStarted) {
	a, ok := b.attempts[v.Attempt]
	if !ok || a.answered {
		return
	}
	a.answered = true
	latency := now.Sub(a.start)
	b.reported(now, a.endpoint, v.Report, len(a.endpoint.flights)-1)
	b.measure(now, a.endpoint, v.Report, latency)
	if !isFailure(v.Status) {
		b.learn(now, a, latency)
	}
	if c := a.call; c != nil && b.retryStatus(now, c, a, v.Status) {
		return
	}
	if isFailure(v.Status) {
		b.failed(now, a.endpoint)
	} else {
		b.succeeded(now, a.endpoint)
	}
	if a.call == nil {
		b.do(Cancel{Attempt: a.id})
		return
	}
	b.deliver(now, a, v)
}

// measure takes the latency of an answer into the averages.
func (b *Balancer) measure(now time.Time, e *endpoint, r Report, latency time.Duration) {
	b.candidates[e.at].RecordLatency(now, latency)
	b.latenciesChanged = true
	b.picker.RecordResponse(latency, r.Load, e.Slots)
	b.quantile.observe(latency, hedgeTarget)
}

// isFailure tells the statuses that speak against an endpoint.
func isFailure(status int) bool { return status >= 500 && status != 501 }

// retryStatus tries again elsewhere when an endpoint answers that it could not do
// the work, as long as the call may be repeated.
func (b *Balancer) retryStatus(now time.Time, c *call, a *attempt, status int) bool {
	if status != 502 && status != 503 && status != 504 {
		return false
	}
	if c.gone || len(c.live) > 1 || !mayRepeat(c, retrier.ProofNone) {
		return false
	}
	if !b.hasTarget(now, c) || !b.budget.Spend(now) {
		return false
	}
	b.failed(now, a.endpoint)
	b.drop(a)
	c.mayHaveRun = true
	b.do(Cancel{Attempt: a.id})
	b.record(recorder.KindAttemptRetried, c, a.endpoint, fmt.Sprintf("status %d", status))
	b.attempt(now, c)
	return true
}

// deliver passes an answer on and ends the call.
func (b *Balancer) deliver(now time.Time, a *attempt, v ResponseStarted) {
	c := a.call
	b.settle(c, claimer.Settle{Response: v.StoredResponse})
	b.traceAnswered(now, c, a, v.Status)
	if c.gone {
		b.do(Cancel{Attempt: a.id})
	} else {
		b.do(Deliver{Call: c.ID, Attempt: a.id})
	}
	b.end(now, c)
}

// end forgets a call, and cancels the attempts whose answer nobody needs.
func (b *Balancer) end(_ time.Time, c *call) {
	delete(b.calls, c.ID)
	for _, id := range c.live {
		a := b.attempts[id]
		if a == nil {
			continue
		}
		a.call = nil
		if !a.answered {
			b.do(Cancel{Attempt: id})
		}
	}
}

// drop takes an attempt out of its call.
func (b *Balancer) drop(a *attempt) {
	c := a.call
	a.call = nil
	if c == nil {
		return
	}
	for i, id := range c.live {
		if id == a.id {
			c.live = append(c.live[:i:i], c.live[i+1:]...)
			return
		}
	}
}
