package balancer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
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

// heard returns the statements after one more response.
func (s statements) heard(now time.Time, r Report, source *rand.Rand) statements {
	s.leaving = s.leaving || r.Leaving
	if until := r.Pause.Until(now, source); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return s
}

// recordStatements takes in what a response says about new requests to its endpoint. It speaks of the incarnation that
// it names, or else of the one that the request was sent to. What a later incarnation says than the entry knows also
// holds for the known one, which has ended.
func (b *Balancer) recordStatements(now time.Time, e *endpoint, c *call, r Report, sentTo uint64) {
	speaker := cmp.Or(r.Incarnation, sentTo)
	if speaker < e.Incarnation || (!r.Leaving && r.Pause.Kind == pauser.None) {
		return
	}
	if speaker > e.Incarnation {
		b.remember(now, e.name(), speaker, b.recall(now, e.name(), speaker).heard(now, r, b.rand))
	}
	if r.Pause.Kind == pauser.Invalid {
		b.record(recorder.KindEndpointPaused, c, e, "its Retry-After can't be read and changes nothing")
	}
	b.applyStatements(now, e, c, e.said.heard(now, r, b.rand), r)
}

// applyStatements replaces what an endpoint has said about new requests.
func (b *Balancer) applyStatements(now time.Time, e *endpoint, c *call, said statements, r Report) {
	if said.leaving && !e.said.leaving {
		b.record(recorder.KindEndpointStopped, c, e, fmt.Sprintf("it says that it leaves, %d in flight", len(e.inFlight)))
	}
	if until := said.pausedUntil; until.After(e.said.pausedUntil) {
		b.candidates[e.index].WarmUpStart = until // it gets its usual share only some time after its return
		b.record(recorder.KindEndpointPaused, c, e, fmt.Sprintf("it asks for %s, no requests for %s", r.Pause.For, until.Sub(now).Round(time.Millisecond)))
	}
	e.said = said
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
	if !e.said.allow(now) {
		b.remember(now, e.name(), e.Incarnation, e.said)
	}
}

// remember keeps what an incarnation has said that is not announced.
func (b *Balancer) remember(now time.Time, name string, incarnation uint64, said statements) {
	kept := b.remembered[:0]
	for _, r := range b.remembered {
		if now.Before(r.until) && (r.name != name || r.incarnation != incarnation) {
			kept = append(kept, r)
		}
	}
	if len(kept) == maxRemembered {
		kept = kept[1:]
	}
	kept = append(kept, rememberedStatements{name, incarnation, said, now.Add(rememberStatements)})
	b.remembered = kept
}

// recall returns what an incarnation has said that was not announced then.
func (b *Balancer) recall(now time.Time, name string, incarnation uint64) statements {
	for _, r := range b.remembered {
		if r.name == name && r.incarnation == incarnation && now.Before(r.until) {
			return r.said
		}
	}
	return statements{}
}
