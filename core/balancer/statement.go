package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/scheduler"
)

// statements is what an endpoint has said in its responses about new requests. It holds for one
// incarnation: no announcement, document or later response takes it back.
type statements struct {
	// leaving is set once the endpoint has said that it leaves.
	leaving bool
	// pausedUntil is when the latest pause that the endpoint asked for ends, for this entry.
	pausedUntil time.Time
}

func (s statements) allow(now time.Time) bool { return !s.leaving && !now.Before(s.pausedUntil) }

// recordStatements takes in what a response says about new requests to its endpoint.
func (b *Balancer) recordStatements(now time.Time, e *endpoint, c *call, r Report) {
	switch {
	case r.Leaving && !e.said.leaving:
		e.said.leaving = true
		b.record(recorder.KindEndpointStopped, c, e, fmt.Sprintf("it says that it leaves, %d in flight", len(e.inFlight)))
	case r.Pause.Kind == pauser.None:
		return
	}
	if r.Pause.Kind == pauser.Invalid {
		b.record(recorder.KindEndpointPaused, c, e, "its Retry-After can't be read and changes nothing")
	}
	if until := r.Pause.Until(now, b.rand); until.After(e.said.pausedUntil) {
		e.said.pausedUntil = until
		b.candidates[e.index].WarmUpStart = until // it gets its usual share only some time after its return
		b.record(recorder.KindEndpointPaused, c, e, fmt.Sprintf("it asks for %s, no requests for %s", r.Pause.For, until.Sub(now).Round(time.Millisecond)))
	}
	b.updateCandidate(now, e.index, e)
	b.refuseQueuedIfClosed(now)
}

// refuseQueuedIfClosed refuses the calls that wait for an endpoint once none takes new requests.
func (b *Balancer) refuseQueuedIfClosed(now time.Time) {
	if b.queue.Len() == 0 || b.anyEndpointAccepts(now) {
		return
	}
	for b.queue.Len() > 0 {
		id, _, _ := b.queue.Pop(now)
		if c, ok := b.calls[CallID(id)]; ok {
			b.refuse(now, c, b.reasonClosed(now))
		}
	}
}

// reasonClosed returns why no endpoint takes new requests.
func (b *Balancer) reasonClosed(now time.Time) Reason {
	if b.earliestReturn(now).IsZero() {
		return ReasonNoEndpoint
	}
	return ReasonPaused
}

// earliestReturn returns when the first pause of an endpoint ends that takes requests otherwise; zero if
// there is none.
func (b *Balancer) earliestReturn(now time.Time) time.Time {
	var earliest time.Time
	for _, e := range b.endpoints {
		if now.Before(e.said.pausedUntil) && !e.said.leaving && b.isServing(now, e) {
			earliest = scheduler.Earliest(earliest, e.said.pausedUntil)
		}
	}
	return earliest
}

// pauseRetryAfter returns when a caller should come back that found all endpoints pausing: at a random
// time after the first of them is expected back, if the caller can wait so long.
func (b *Balancer) pauseRetryAfter(now time.Time, c *call, earliest time.Time) time.Duration {
	maxDelay := c.Deadline.Sub(now) / retryAfterDivisor
	if maxDelay <= 0 {
		return 0
	}
	delay := min(earliest.Sub(now), maxDelay/2)
	return delay + time.Duration(b.rand.Int64N(int64(maxDelay-delay)+1))
}

// Bounds of what is remembered of endpoints that are no longer announced.
const (
	// rememberStatements is longer than a late announcement of an endpoint may take.
	rememberStatements = pauser.MaxPause
	maxRemembered      = 1000
)

// rememberedStatements is what an endpoint has said that is no longer announced.
type rememberedStatements struct {
	name        string
	incarnation uint64
	said        statements
	until       time.Time
}

// rememberSaid keeps what a removed endpoint has said, in case it is announced again.
func (b *Balancer) rememberSaid(now time.Time, e *endpoint) {
	if e.said.allow(now) {
		return
	}
	kept := b.remembered[:0]
	for _, r := range b.remembered {
		if now.Before(r.until) && r.name != e.name() {
			kept = append(kept, r)
		}
	}
	if len(kept) == maxRemembered {
		kept = kept[1:]
	}
	kept = append(kept, rememberedStatements{e.name(), e.Incarnation, e.said, now.Add(rememberStatements)})
	b.remembered = kept
}

// recallSaid returns what an endpoint has said before it was removed, if this is the same incarnation.
func (b *Balancer) recallSaid(now time.Time, next Endpoint) statements {
	for _, r := range b.remembered {
		if r.name == next.Endpoint && r.incarnation == next.Incarnation && now.Before(r.until) {
			return r.said
		}
	}
	return statements{}
}
