package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/recorder"
)

// requestPermits sends control what it should know of the endpoint, if there is anything.
func (b *Balancer) requestPermits(now time.Time, e *endpoint) {
	if r, ok := e.throttle.Request(now); ok {
		b.updateCandidate(now, e.index, e)
		b.emit(RequestPermits{Endpoint: e.name(), Incarnation: e.Incarnation, Request: r})
	}
}

// takePermit uses a permit for an attempt if the endpoint requires one.
func (b *Balancer) takePermit(now time.Time, e *endpoint) {
	if !e.limited() {
		return
	}
	if e.throttle.Take(now) {
		b.limitCounts.Sent++
	}
	b.updateCandidate(now, e.index, e)
}

// onPermitsGranted applies a reply of control, and sends the calls that waited for it.
func (b *Balancer) onPermitsGranted(now time.Time, v PermitsGranted) {
	e := b.endpointsByName[v.Endpoint]
	if e == nil || e.throttle == nil || e.Incarnation != v.Incarnation {
		return
	}
	before := e.throttle.Limit().Rate
	e.throttle.Grant(now, v.SentAt, v.Grant)
	b.setKnownEntries(v.Grant.Entries)
	b.limitCounts.Granted += uint64(v.Grant.Permits)
	if rate := e.throttle.Limit().Rate; rate != before {
		b.record(recorder.KindEndpointLimitChanged, nil, e, fmt.Sprintf("%s, version %d of control", describeRate(rate), v.Grant.Limit.Version))
	}
	b.onLimitChanged(now, e)
	b.resumeWaiting(now, e)
	b.dispatchQueued(now)
	b.wantForQueue(now)
	b.refuseUnpermitted(now)
}

// hasRoom reports whether an endpoint can take a call now.
func (b *Balancer) hasRoom(now time.Time) bool {
	if !b.anyLimited {
		return b.picker.Pick(now, b.candidates, nil) != picker.None
	}
	return b.picker.Pick(now, b.candidates, func(i int) bool { return b.endpoints[i].throttled(now) }) != picker.None
}

// usePermit sends a call to an endpoint for which this entry holds a permit, and reports whether there is one. Permits
// are used before anything else: the endpoint has offered to take the request, and nobody else can use the permit.
func (b *Balancer) usePermit(now time.Time, c *call) bool {
	if !b.anyLimited {
		return false
	}
	i := b.picker.Draw(b.candidates, picker.TierRest, true, func(i int) bool { return !b.mayUsePermit(now, c, b.endpoints[i]) })
	if i == picker.None {
		return false
	}
	c.permitFrom = nil
	b.dispatch(now, c, b.endpoints[i])
	return true
}

// mayUsePermit reports whether there is a permit for the endpoint that the call may use now.
func (b *Balancer) mayUsePermit(now time.Time, c *call, e *endpoint) bool {
	candidate := &b.candidates[e.index]
	return e.limited() && !e.throttled(now) && b.usable(now, c, e) && candidate.InFlight < candidate.Limit && b.maySample(now, c, e)
}

// Bounds of the time that a call waits for a permit while other endpoints need none: longer than control takes to
// reply, and short against the time that the call has.
const (
	maxPermitWait     = 60 * time.Millisecond
	permitWaitDivisor = 8
)

// wantPermit asks control for a permit if the call would use an endpoint that needs one, were there no limits. It
// returns the endpoint if the reply is on its way for this call alone, and nil otherwise.
func (b *Balancer) wantPermit(now time.Time, c *call) *endpoint {
	if !b.anyLimited || c.permitSought || b.awaitsPermit(now, c) {
		return nil
	}
	c.permitSought = true
	e := b.unlimitedChoice(now, c)
	c.permitFrom = e
	if e == nil || !e.throttle.Want(now) {
		return nil
	}
	mayRequest := e.throttle.MayRequest(now)
	b.requestPermits(now, e)
	if !mayRequest {
		return nil
	}
	return e
}

// seekPermit asks for a permit as wantPermit does, and reports whether the call waits for the reply: a permit is used
// best by a call that is there when it comes.
func (b *Balancer) seekPermit(now time.Time, c *call) bool {
	e := b.wantPermit(now, c)
	if e == nil {
		return false
	}
	c.phase = phasePermit
	b.schedule(now.Add(permitWait(now, c)), c.ID, timerPermit)
	return true
}

// permitWait returns how long the call may wait for a permit.
func permitWait(now time.Time, c *call) time.Duration {
	available := c.Deadline.Sub(now)
	if c.LatencyTarget > 0 {
		available = min(available, c.LatencyTarget)
	}
	return min(maxPermitWait, available/permitWaitDivisor)
}

// unlimitedChoice returns an endpoint that needs a permit if the call might use it, were there no limits: the first such
// one of those that would be probed, or without sampling the one that would be picked, or one drawn at random, as an
// endpoint that gets few requests is picked late. Otherwise it returns nil. While endpoints are in warm-up, all are
// considered and not only the preferred ones: a few entries prefer so few that many endpoints would lie idle.
func (b *Balancer) unlimitedChoice(now time.Time, c *call) *endpoint {
	samples := b.sampling.Endpoints > 0
	if !samples {
		i := b.picker.Pick(now, b.candidates, func(i int) bool { return c.hasTried(b.endpoints[i]) || b.endpoints[i].ejected() })
		if i != picker.None && b.endpoints[i].throttled(now) {
			return b.endpoints[i]
		}
	}
	last, uniform := picker.TierRest, true
	if samples && !b.anyInWarmUp(now) {
		last, uniform = c.samplingTier(), c.sampled
	}
	var drawn []*endpoint
	for range max(1, b.sampling.Endpoints) {
		i := b.picker.Draw(b.candidates, last, uniform, func(i int) bool {
			return slices.Contains(drawn, b.endpoints[i]) || !b.maySample(now, c, b.endpoints[i])
		})
		if i == picker.None {
			return nil
		}
		if b.endpoints[i].throttled(now) {
			return b.endpoints[i]
		}
		drawn = append(drawn, b.endpoints[i])
	}
	return nil
}

// resumeWaiting continues the calls that wait for a permit of an endpoint, in the order in which they came: with a
// permit as far as there are enough, and elsewhere otherwise.
func (b *Balancer) resumeWaiting(now time.Time, e *endpoint) {
	var waiting []*call
	for _, c := range b.calls {
		if c.phase == phasePermit && c.permitFrom == e {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(x, y *call) int { return cmp.Compare(x.ID, y.ID) })
	for _, c := range waiting {
		b.resume(now, c)
	}
}

// resume continues a call that has waited for a permit.
func (b *Balancer) resume(now time.Time, c *call) {
	c.phase = phaseNew
	b.start(now, c)
}

// passOver counts the endpoint that a call would use were there no limits, and does not. An entry that samples counts
// the endpoints that it would have probed.
func (b *Balancer) passOver(c *call) {
	if c.permitFrom != nil && b.sampling.Endpoints == 0 {
		b.limitCounts.PassedOver++
	}
	c.permitFrom = nil
}

// awaitsPermit reports whether every endpoint that the call could use lacks only a permit.
func (b *Balancer) awaitsPermit(now time.Time, c *call) bool {
	if !b.anyLimited {
		return false
	}
	found := false
	for _, e := range b.endpoints {
		if !b.usable(now, c, e) {
			continue
		}
		if !e.throttled(now) {
			return false
		}
		found = true
	}
	return found
}

// usable reports whether the call could be sent to the endpoint, now or later.
func (b *Balancer) usable(now time.Time, c *call, e *endpoint) bool {
	return b.accepts(now, e) && !e.ejected() && !c.hasTried(e)
}

// mayAwaitPermit reports whether the call can expect a permit in time, with a number of calls
// ahead of it, or does not need one.
func (b *Balancer) mayAwaitPermit(now time.Time, c *call, ahead int) bool {
	if !b.awaitsPermit(now, c) {
		return true
	}
	latest := b.latestSending(c)
	if !now.Before(latest) {
		return false
	}
	permits := 0
	for _, e := range b.endpoints {
		if !e.limited() || !b.usable(now, c, e) {
			continue
		}
		if e.throttle.ExpectsReply(now) {
			return true
		}
		permits += e.throttle.AvailableBy(now, latest)
	}
	return permits > ahead
}

// latestSending returns until when the call may wait for a permit: as long as its response can be
// expected within the latency target, or within the deadline if it has no target.
func (b *Balancer) latestSending(c *call) time.Time {
	usual := b.usualTime.of(c.LatencyTarget)
	if c.LatencyTarget == 0 || usual == 0 {
		return c.Deadline.Add(-b.quantile.value)
	}
	latest := c.arrivedAt.Add(c.LatencyTarget - scale(usual, workTimeMargin))
	if latest.After(c.Deadline) {
		return c.Deadline
	}
	return latest
}

// enqueueForPermit queues a call that lacks only a permit if it can expect one in time. It reports
// whether it did.
func (b *Balancer) enqueueForPermit(now time.Time, c *call) bool {
	if !b.mayAwaitPermit(now, c, b.queue.Len()) || !b.queue.PushReserved(now, uint64(c.ID), c.Class, c.Deadline) {
		return false
	}
	c.phase = phaseQueued
	b.limitCounts.Queued++
	b.schedule(b.latestSending(c), c.ID, timerPermit)
	b.wantForQueue(now)
	return true
}

// reasonNotQueued returns why a call was not queued.
func (b *Balancer) reasonNotQueued(now time.Time, c *call) Reason {
	if b.awaitsPermit(now, c) {
		return ReasonLimit
	}
	return ReasonQueueFull
}

// wantForQueue requests permits for the queued calls that exceed what this entry holds or has
// requested. Each goes to another endpoint, as far as there are enough.
func (b *Balancer) wantForQueue(now time.Time) {
	if !b.anyLimited || b.queue.Len() == 0 {
		return
	}
	missing := b.queue.Len()
	var requestable []*endpoint
	for _, e := range b.endpoints {
		if !e.limited() || !b.accepts(now, e) || e.ejected() {
			continue
		}
		missing -= e.throttle.Expected(now)
		if c := &b.candidates[e.index]; c.InFlight < c.Limit && e.throttle.MayRequest(now) {
			requestable = append(requestable, e)
		}
	}
	if missing <= 0 || len(requestable) == 0 {
		return
	}
	b.rand.Shuffle(len(requestable), func(i, j int) { requestable[i], requestable[j] = requestable[j], requestable[i] })
	for i := range missing {
		requestable[i%len(requestable)].throttle.Want(now)
	}
	for _, e := range requestable[:min(missing, len(requestable))] {
		b.requestPermits(now, e)
	}
}

// refuseUnpermitted refuses the queued calls that can expect no permit in time.
func (b *Balancer) refuseUnpermitted(now time.Time) {
	if !b.anyLimited || b.queue.Len() == 0 {
		return
	}
	var queued []*call
	for _, c := range b.calls {
		if c.phase == phaseQueued {
			queued = append(queued, c)
		}
	}
	slices.SortFunc(queued, func(x, y *call) int { return int(x.ID) - int(y.ID) })
	ahead := 0
	for _, c := range queued {
		if b.mayAwaitPermit(now, c, ahead) {
			ahead++
			continue
		}
		b.refuseQueued(now, c)
	}
}

// onPermitOverdue continues a call elsewhere, or refuses a queued one, that got no permit in time.
func (b *Balancer) onPermitOverdue(now time.Time, c *call) {
	if c.phase == phasePermit {
		b.resume(now, c)
		return
	}
	if b.awaitsPermit(now, c) {
		b.refuseQueued(now, c)
	}
}

func (b *Balancer) refuseQueued(now time.Time, c *call) {
	b.queue.Remove(uint64(c.ID))
	b.refuse(now, c, ReasonLimit)
}

// permitRetryAfter returns how long a caller should wait that was refused for lack of a permit:
// until the next one can be expected here, at random up to twice as long, as others wait too, and
// at most until a response could still arrive in time.
func (b *Balancer) permitRetryAfter(now time.Time, c *call) time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, e := range b.endpoints {
		if e.limited() && b.usable(now, c, e) {
			wait = min(wait, e.throttle.NextPermit(now).Sub(now))
		}
	}
	most := max(minRetryAfter, c.Deadline.Sub(now)/retryAfterDivisor)
	wait = max(minRetryAfter, min(wait, most))
	return min(most, wait+time.Duration(b.rand.Int64N(int64(wait))))
}
