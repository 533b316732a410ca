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
	b.land(a)
	b.judge(now, a, v)
	if c := a.call; c != nil {
		b.drop(a)
		b.afterFailure(now, c, a, v.Ending)
	}
	if a.endpoint.gone {
		b.removeGone()
	}
	b.drainQueue(now)
}

// land takes the attempt off its endpoint.
func (b *Balancer) land(a *attempt) {
	e := a.endpoint
	for i, f := range e.flights {
		if f.attempt == a.id {
			e.flights = append(e.flights[:i], e.flights[i+1:]...)
			break
		}
	}
	b.oldest(e.at)
}

// judge lets the ending speak for or against the endpoint.
func (b *Balancer) judge(now time.Time, a *attempt, v AttemptEnded) {
	e := a.endpoint
	switch v.Ending {
	case EndingRefused:
		b.reported(now, e, v.Report, len(e.flights))
		e.limit.RecordRefusal(len(e.flights), b.limitOf(e))
		e.trial = false
		b.reviewOne(now, e.at, e)
	case EndingNotSent, EndingLost:
		b.failed(now, e)
	case EndingTimeout:
		b.doubt(a)
		b.failed(now, e)
	case EndingMisdirected:
		b.displace(now, e)
	case EndingCancelled:
		e.trial = false
		b.reviewOne(now, e.at, e)
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
		return ReasonFailed
	case EndingRefused:
		return ReasonShed
	case EndingMisdirected:
		return ReasonMisdirected
	case EndingTimeout:
		return ReasonTimeout
	}
	return ReasonLost
}

// afterFailure tries the call again, waits for another attempt, or ends it.
func (b *Balancer) afterFailure(now time.Time, c *call, a *attempt, ending Ending) {
	proof := proofOf(ending)
	c.last = reasonOf(ending)
	if proof == retrier.ProofNone {
		c.mayHaveRun = true
	}
	if len(c.live) > 0 {
		return
	}
	if b.repeat(now, c, proof) {
		b.record(recorder.KindAttemptRetried, c, a.endpoint, string(c.last))
		return
	}
	b.refuse(now, c, c.last)
}

func (b *Balancer) repeat(now time.Time, c *call, proof retrier.Proof) bool {
	if c.gone || !now.Before(c.Deadline) || !mayRepeat(c, proof) {
		return false
	}
	if !b.anyUntried(now, c) || !b.budget.Spend(now) {
		return false
	}
	return b.attempt(now, c) || b.enqueue(now, c)
}

// anyUntried reports whether an endpoint that the call has not tried takes new
// work, now or when it has room.
func (b *Balancer) anyUntried(now time.Time, c *call) bool {
	for _, e := range b.endpoints {
		if b.accepts(now, e) && !e.ejected() && !c.hasTried(e) {
			return true
		}
	}
	return false
}
