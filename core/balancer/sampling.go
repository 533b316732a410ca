package balancer

import (
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/picker"
)

// Sampling lets an entry probe a few endpoints for their load before each request, and send it to
// the one that is expected to respond first. The replies are milliseconds old at that point. A
// report that entries share would be older than the time for which a load stays the same.
type Sampling struct {
	// Endpoints is how many endpoints are probed for a request.
	Endpoints int
	// Timeout bounds the time that a request waits for replies.
	Timeout time.Duration
	// ProbesPerSecond bounds the probes that this entry sends to the endpoints of the service for
	// sampling.
	ProbesPerSecond int
}

// WithSampling makes the balancer probe endpoints before each request.
func WithSampling(s Sampling) Option { return func(b *Balancer) { b.sampling = s } }

// Parameters of the decisions that follow the replies.
const (
	// resampleInterval is how long a held call waits before it probes again: a few times the
	// duration of a probe, and well below the time for which an endpoint stays slow.
	resampleInterval = 15 * time.Millisecond
	// maxHoldDivisor limits the wait for a free slot to an eighth of the latency target. An early
	// refusal serves callers better than one after a longer wait.
	maxHoldDivisor = 8
	// workTimeMargin is the multiple of the usual work time that a waiting call must still have
	// before its latency target.
	workTimeMargin = 1.2
	// maxHedgeEstimate is the longest estimate, as a multiple of the usual time, at which a
	// second attempt is sent.
	maxHedgeEstimate = 1.4
	// sampleProbeTimeout ends a probe that was sent for sampling. It is longer than calls wait for the reply:
	// a late reply still tells the load, and leaves a connection that can be used again. A probe that is cut
	// off as its call stops waiting costs the endpoint a new connection the next time.
	sampleProbeTimeout = 500 * time.Millisecond
	// reportTTL is how long the latest report of an endpoint is more useful than none.
	reportTTL = 150 * time.Millisecond
)

// sample is an endpoint that was probed for a call, with its reply.
type sample struct {
	endpoint *endpoint
	// sentBeforeProbe is how many requests this entry had sent to the endpoint before the probe.
	sentBeforeProbe int
	replied         bool
	// ok is set when the reply states a load.
	ok     bool
	report picker.Sample
}

// samplingBurstSeconds is the number of seconds over which unused probes accumulate for a surge
// of calls.
const samplingBurstSeconds = 5

// samplingBudget is a token bucket that bounds the probes sent for sampling.
type samplingBudget struct {
	// tokens is how many probes could be sent at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// spend takes a number of probes from the budget, and reports whether it held as many.
func (s *samplingBudget) spend(now time.Time, probes, perSecond int) bool {
	capacity := float64(samplingBurstSeconds * perSecond)
	if s.refilledAt.IsZero() {
		s.tokens = capacity
	} else {
		s.tokens = math.Min(capacity, s.tokens+now.Sub(s.refilledAt).Seconds()*float64(perSecond))
	}
	s.refilledAt = now
	if s.tokens < float64(probes) {
		return false
	}
	s.tokens -= float64(probes)
	return true
}

// beginSampling probes endpoints for a call, or falls back to recent reports when the budget is
// spent. It returns false if the call must start without sampling.
func (b *Balancer) beginSampling(now time.Time, c *call) bool {
	if b.sampling.Endpoints < 2 || c.Streamed {
		return false
	}
	c.samples = c.samples[:0]
	var passedOver []*endpoint
	for len(c.samples) < b.sampling.Endpoints {
		i := b.pickForSampling(now, c, passedOver)
		if i == picker.None {
			break
		}
		e := b.endpoints[i]
		if e.throttled(now) {
			passedOver = append(passedOver, e)
			continue
		}
		c.samples = append(c.samples, sample{endpoint: e, sentBeforeProbe: e.sent})
	}
	b.limitCounts.PassedOver += uint64(len(passedOver))
	if len(c.samples) == 0 || len(c.samples)+len(passedOver) < 2 {
		c.samples = nil
		return false
	}
	c.sampled = true
	if !b.samplingBudget.spend(now, c.probesNeeded(), b.sampling.ProbesPerSecond) {
		return b.sampleFromReports(now, c)
	}
	c.phase = phaseSampling
	c.samplingDue = now.Add(b.sampling.Timeout)
	for _, s := range c.samples {
		b.probeForCall(now, c, s.endpoint)
	}
	b.schedule(c.samplingDue, c.ID, timerSampling)
	return true
}

// probeForCall sends a probe to the endpoint, unless the reply to an earlier one is expected.
func (b *Balancer) probeForCall(now time.Time, c *call, e *endpoint) {
	e.samplingCalls = append(e.samplingCalls, c.ID)
	if e.probedAt.IsZero() {
		e.probedAt = now
		b.emit(Probe{Call: c.ID, Endpoint: e.name(), Address: e.Address, Path: b.probePath, Deadline: now.Add(sampleProbeTimeout)})
	}
}

// probesNeeded returns how many probes the samples of a call need.
func (c *call) probesNeeded() int {
	n := 0
	for i := range c.samples {
		if c.samples[i].endpoint.probedAt.IsZero() {
			n++
		}
	}
	return n
}

// sampleFromReports uses the recent reports of endpoints in place of probes. It returns false if
// there are none.
func (b *Balancer) sampleFromReports(now time.Time, c *call) bool {
	c.samples = c.samples[:0]
	for _, e := range b.endpoints {
		if now.Sub(e.lastReportAt) <= reportTTL && !c.hasTried(e) && !e.throttled(now) {
			c.samples = append(c.samples, sample{endpoint: e, sentBeforeProbe: e.sentAtLastReport, replied: true, ok: true, report: e.report})
		}
	}
	if len(c.samples) == 0 {
		return false
	}
	b.endSampling(now, c)
	return true
}

// hedge sends a second attempt, and reports whether it did. An entry that samples sends it only
// to an endpoint whose recent report shows a free slot and no slowdown.
func (b *Balancer) hedge(now time.Time, c *call) bool {
	if b.sampling.Endpoints == 0 {
		return b.hasAvailableEndpoint(now, c) && b.budget.Spend(now) && b.attempt(now, c)
	}
	e := b.fastestFree(now, c, maxHedgeEstimate)
	if e == nil || !b.budget.Spend(now) {
		return false
	}
	b.dispatch(now, c, e)
	return true
}

// fastestFree returns the endpoint with a free slot that has the lowest estimate by its recent
// report, if that is below maxEstimate, or nil. Without sampling it returns nil.
func (b *Balancer) fastestFree(now time.Time, c *call, maxEstimate float64) *endpoint {
	if b.sampling.Endpoints == 0 {
		return nil
	}
	var best *endpoint
	lowest := maxEstimate
	for _, e := range b.endpoints {
		s := sample{endpoint: e, sentBeforeProbe: e.sentAtLastReport, report: e.report}
		if now.Sub(e.lastReportAt) > reportTTL || c.hasTried(e) || c.wasUnresponsive(e) || e.ejected() || !b.accepts(now, e) || e.throttled(now) || !b.isFree(now, &s) {
			continue
		}
		if estimate := b.estimate(now, &s); estimate < lowest {
			best = e
			lowest = estimate
		}
	}
	return best
}

// isFree reports whether a sampled endpoint has fewer requests than it can usefully run at once.
func (b *Balancer) isFree(now time.Time, s *sample) bool {
	return s.report.Load+s.sentSinceProbe() < b.contention.UsefulConcurrency(now, s.endpoint.Slots)
}

// sentSinceProbe returns how many requests this entry has sent to the endpoint since the probe.
func (s *sample) sentSinceProbe() int { return s.endpoint.sent - s.sentBeforeProbe }

func (b *Balancer) pickForSampling(now time.Time, c *call, passedOver []*endpoint) int {
	return b.picker.Draw(b.candidates, c.samplingTier(), c.sampled, func(i int) bool {
		return !b.maySample(now, c, b.endpoints[i]) || slices.Contains(passedOver, b.endpoints[i])
	})
}

// samplingTier returns the last tier that the call probes as long as it finds endpoints there.
func (c *call) samplingTier() picker.Tier {
	if c.sampled {
		return picker.TierReserve
	}
	return picker.TierPreferred
}

// maySample reports whether the call may probe the endpoint.
func (b *Balancer) maySample(now time.Time, c *call, e *endpoint) bool {
	return !c.hasTried(e) && !c.hasSampled(e) && !c.wasUnresponsive(e) && !e.ejected() && !b.isReplyLate(now, e) && !b.picker.HasStraggler(now, &b.candidates[e.index])
}

// isReplyLate reports whether the endpoint has not replied to a probe in the time that a call waits for it.
func (b *Balancer) isReplyLate(now time.Time, e *endpoint) bool {
	return !e.probedAt.IsZero() && now.Sub(e.probedAt) >= b.sampling.Timeout
}

func (c *call) wasUnresponsive(e *endpoint) bool { return slices.Contains(c.unresponsive, e) }

func (c *call) hasSampled(e *endpoint) bool {
	for i := range c.samples {
		if c.samples[i].endpoint == e {
			return true
		}
	}
	return false
}

// onSampled handles the end of a probe that was sent for sampling. The reply counts for each call that waits for it.
func (b *Balancer) onSampled(now time.Time, v ProbeEnded) {
	waiting := []CallID{v.Call}
	if e := b.endpointsByName[v.Endpoint]; e != nil {
		waiting = e.samplingCalls
		e.samplingCalls = nil
		e.probedAt = time.Time{}
		if v.OK {
			b.recordReport(now, e, v.Report, len(e.inFlight))
			b.observeProbe(now, e, v)
		}
	}
	for _, id := range waiting {
		b.sampleCall(now, id, v)
	}
}

// sampleCall adds the reply of an endpoint to the samples of a call.
func (b *Balancer) sampleCall(now time.Time, id CallID, v ProbeEnded) {
	c, ok := b.calls[id]
	if !ok || c.phase != phaseSampling {
		return
	}
	for i := range c.samples {
		if s := &c.samples[i]; s.endpoint.name() == v.Endpoint && !s.replied {
			s.replied = true
			s.ok = v.OK && v.Report.Load >= 0
			s.report = picker.Sample{Load: max(0, v.Report.Load), Slowdown: v.Report.Slowdown}
		}
	}
	if b.samplingDone(now, c) {
		b.endSampling(now, c)
	}
}

// samplingDone reports whether all endpoints have replied, or one reply is good enough to ignore
// the others.
func (b *Balancer) samplingDone(now time.Time, c *call) bool {
	all := true
	for i := range c.samples {
		s := &c.samples[i]
		all = all && (s.replied || s.endpoint.removed)
		if s.ok && !s.endpoint.removed && !s.endpoint.throttled(now) && picker.GoodEnough(b.estimate(now, s)) {
			return true
		}
	}
	return all
}

// estimate returns how long a call would take, as a multiple of the usual time. The endpoint must
// not be marked as removed.
func (b *Balancer) estimate(now time.Time, s *sample) float64 {
	return b.candidates[s.endpoint.index].Estimate(now, s.report, s.sentSinceProbe(), &b.contention)
}

// endSampling sends the call to the best endpoint that has replied, holds it for a better one, or
// refuses it. Without a reply it probes other endpoints.
func (b *Balancer) endSampling(now time.Time, c *call) {
	c.phase = phaseNew
	if b.lacksKeyLease(now, c) {
		b.refuse(now, c, ReasonNoKeyLease)
		return
	}
	best, estimate := b.bestSample(now, c)
	if best == nil {
		b.resample(now, c)
		return
	}
	free := b.isFree(now, best)
	switch {
	case b.meetsTarget(now, c, estimate, free):
		b.dispatchEstimated(now, c, best, estimate)
	case b.mayHold(now, c, free):
		c.samples = nil
		c.phase = phaseHeld
		c.samplingDue = now.Add(resampleInterval)
		b.schedule(c.samplingDue, c.ID, timerSampling)
	case free:
		b.dispatchEstimated(now, c, best, estimate)
	default:
		b.refuse(now, c, ReasonOverload)
	}
}

// maxSamplingRounds bounds how many rounds of probes a call makes while no endpoint replies.
const maxSamplingRounds = 3

// resample probes other endpoints than those that did not reply. After maxSamplingRounds it
// starts the call without sampling.
func (b *Balancer) resample(now time.Time, c *call) {
	for i := range c.samples {
		if s := &c.samples[i]; !s.ok || !s.endpoint.throttled(now) {
			c.unresponsive = append(c.unresponsive, s.endpoint)
		}
	}
	c.samples = nil
	c.samplingRounds++
	if c.samplingRounds >= maxSamplingRounds || !b.beginSampling(now, c) {
		b.startWithoutSampling(now, c)
	}
}

// meetsTarget reports whether a slot is free and the response is expected within the latency
// target, as far as that can be predicted.
func (b *Balancer) meetsTarget(now time.Time, c *call, estimate float64, free bool) bool {
	usualTime := b.usualTime.of(c.LatencyTarget)
	if c.LatencyTarget == 0 || usualTime == 0 || !free {
		return free
	}
	return now.Sub(c.arrivedAt)+scale(usualTime, estimate) <= c.LatencyTarget
}

// mayHold reports whether the call can still meet its latency target after a short wait. If a
// slot is free, it waits for an endpoint that is not slow; otherwise it waits for a free slot,
// but for less time.
func (b *Balancer) mayHold(now time.Time, c *call, free bool) bool {
	waited := now.Sub(c.arrivedAt)
	if waited+resampleInterval+scale(b.usualTime.of(c.LatencyTarget), workTimeMargin) > c.LatencyTarget {
		return false
	}
	return free || waited < c.LatencyTarget/maxHoldDivisor
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (b *Balancer) dispatchEstimated(now time.Time, c *call, s *sample, estimate float64) {
	candidate := &b.candidates[s.endpoint.index]
	expected := expectation{
		estimate: estimate,
		unbiased: candidate.UnbiasedEstimate(now, s.report, s.sentSinceProbe(), &b.contention),
		running:  candidate.Concurrency(s.report, s.sentSinceProbe()),
	}
	c.samples = nil
	b.dispatch(now, c, s.endpoint)
	b.attempts[b.lastAttempt].expected = expected
}

// onSamplingDue ends the wait for replies, or for a better endpoint.
func (b *Balancer) onSamplingDue(now time.Time, c *call) {
	switch c.phase {
	case phaseSampling:
		b.endSampling(now, c)
	case phaseHeld:
		c.phase = phaseNew
		b.start(now, c)
	}
}

func (b *Balancer) bestSample(now time.Time, c *call) (*sample, float64) {
	var best *sample
	lowest := math.Inf(1)
	for i := range c.samples {
		s := &c.samples[i]
		if !s.ok || s.endpoint.removed || !b.accepts(now, s.endpoint) || s.endpoint.ejected() || s.endpoint.throttled(now) {
			continue
		}
		if estimate := b.estimate(now, s); estimate < lowest {
			best = s
			lowest = estimate
		}
	}
	return best, lowest
}
