package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/throttler"
)

// announcementDelay is longer than an announcement takes to an entry as a rule. One that ends a warm-up of which a response
// has told within this time may have been made before that response.
const announcementDelay = time.Second

// warmUp is what an endpoint has said of its warm-up, in announcements and in responses.
type warmUp struct {
	// until is when the warm-up ends; zero without one.
	until time.Time
	// learnedAt is when until was last changed. A response to a request that was sent before may be older.
	learnedAt time.Time
	// fromResponse is set if a response changed it last.
	fromResponse bool
}

// announced returns the warm-up after an announcement that it ends at a time.
func (w warmUp) announced(now, until time.Time) warmUp {
	if !until.After(w.until) && w.fromResponse && now.Sub(w.learnedAt) < announcementDelay {
		return w
	}
	return warmUp{until: until, learnedAt: now}
}

// heard returns the warm-up after a response to a request. A later end always counts, as too many requests make an endpoint
// fail. An earlier one counts only if the request was sent after the present one was learned, since responses may
// arrive out of order.
func (w warmUp) heard(now, sentAt time.Time, left time.Duration) warmUp {
	until := now.Add(left)
	if !until.After(w.until) && sentAt.Before(w.learnedAt) {
		return w
	}
	if left == 0 && !now.Before(w.until) {
		return w // it has ended already
	}
	return warmUp{until: until, learnedAt: now, fromResponse: true}
}

// onWarmUpAnnounced applies the warm-up in the announcement of an endpoint.
func (b *Balancer) onWarmUpAnnounced(now time.Time, e *endpoint) {
	b.setWarmUp(now, e, e.warmUp.announced(now, e.WarmUpUntil))
}

// observeWarmUp applies the warm-up that a response names. One that names none says nothing.
func (b *Balancer) observeWarmUp(now time.Time, a *attempt, r Report) {
	b.hearWarmUp(now, a.endpoint, a.sentAt, r)
}

// observeProbedWarmUp applies what the reply to a probe states. If no reply of the service has named a warm-up so far, one that
// names none says nothing.
func (b *Balancer) observeProbedWarmUp(now time.Time, e *endpoint, v ProbeEnded) {
	switch v.Report.WarmUp.Kind {
	case throttler.WarmUpNamed:
		b.probesNameWarmUp = true
	case throttler.WarmUpNone:
		if b.probesNameWarmUp {
			v.Report.WarmUp = throttler.WarmUpStatement{Kind: throttler.WarmUpNamed}
		}
	}
	b.hearWarmUp(now, e, now.Add(-v.Elapsed), v.Report)
}

func (b *Balancer) hearWarmUp(now time.Time, e *endpoint, sentAt time.Time, r Report) {
	if b.warmUpRate == 0 || r.WarmUp.Kind != throttler.WarmUpNamed || (r.Incarnation != 0 && r.Incarnation != e.Incarnation) {
		return
	}
	b.setWarmUp(now, e, e.warmUp.heard(now, sentAt, r.WarmUp.Left))
}

// setWarmUp applies the warm-up of an endpoint.
func (b *Balancer) setWarmUp(now time.Time, e *endpoint, next warmUp) {
	if next == e.warmUp {
		return
	}
	wasCold, isCold := now.Before(e.warmUp.until), now.Before(next.until)
	e.warmUp = next
	if next.until.After(b.warmUpsUntil) {
		b.warmUpsUntil = next.until
	}
	if wasCold != isCold {
		b.recordWarmUp(now, e, isCold)
	}
	b.applyWarmUp(now, e)
}

// anyInWarmUp reports whether an endpoint may be in warm-up.
func (b *Balancer) anyInWarmUp(now time.Time) bool {
	return b.warmUpRate > 0 && now.Before(b.warmUpsUntil)
}

// helpWarmUps lets this entry use its part of the rates of endpoints in warm-up once it has lost contact with control, which
// the end of its configuration lease shows.
func (b *Balancer) helpWarmUps(now time.Time) {
	if b.warmUpRate == 0 {
		return
	}
	lost := !b.holdsConfigLease(now)
	if lost == b.lostContact {
		return
	}
	b.lostContact = lost
	if !lost || !b.anyInWarmUp(now) {
		return
	}
	for _, e := range b.endpoints {
		if e.throttle != nil && now.Before(e.warmUp.until) {
			b.assumeNoReply(now, e)
			b.updateCandidate(now, e.index, e)
		}
	}
}

func (b *Balancer) assumeNoReply(now time.Time, e *endpoint) {
	if !b.holdsConfigLease(now) && now.Before(e.warmUp.until) {
		e.throttle.AssumeNoReply(now)
	}
}

func (b *Balancer) recordWarmUp(now time.Time, e *endpoint, isCold bool) {
	detail := "its warm-up has ended early"
	if isCold {
		detail = fmt.Sprintf("in warm-up for %s, %s", e.warmUp.until.Sub(now).Round(time.Millisecond), describeRate(b.warmUpRate))
	}
	b.record(recorder.KindEndpointLimitChanged, nil, e, detail)
}

// applyWarmUp applies the warm-up of an endpoint to its throttle.
func (b *Balancer) applyWarmUp(now time.Time, e *endpoint) {
	if e.throttle == nil {
		if b.warmUpRate == 0 || !now.Before(e.warmUp.until) {
			return
		}
		b.addThrottle(now, e)
		b.assumeNoReply(now, e)
		b.onLimitChanged(now, e)
		return
	}
	if e.throttle.SetWarmUp(now, b.warmUpRate, e.warmUp.until) {
		b.assumeNoReply(now, e)
		b.onLimitChanged(now, e)
		return
	}
	b.updateCandidate(now, e.index, e) // the time of the next change
}

// setWarmUpRate applies the rate of the document.
func (b *Balancer) setWarmUpRate(now time.Time, rate float64) {
	if rate == b.warmUpRate {
		return
	}
	b.warmUpRate = rate
	for _, e := range b.endpoints {
		if e.throttle != nil || now.Before(e.warmUp.until) {
			b.applyWarmUp(now, e)
		}
	}
}
