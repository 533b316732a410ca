package balancer

import (
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/picker"
)

// Sampling lets an entry ask a few endpoints for their load before each request, and
// send it to the one that would answer first. What the endpoints say is milliseconds
// old then, where any shared report would be older than their load lasts.
type Sampling struct {
	// Endpoints is how many are asked for one request.
	Endpoints int
	// Timeout bounds the time that a request waits for their answers.
	Timeout time.Duration
	// ProbesPerSecond bounds the questions of this entry to the service's endpoints.
	ProbesPerSecond int
}

// WithSampling asks endpoints before each request.
func WithSampling(s Sampling) Option { return func(b *Balancer) { b.sampling = s } }

// Tuning of what follows the answers.
const (
	// resampleAfter is how long a call waits before it asks others: a few times what
	// the answers take, and well below the time for which an endpoint stays slow.
	resampleAfter = 15 * time.Millisecond
	// holdShare is the part of its target that a call may wait for a free slot. Callers
	// are better off with a refusal than with a longer wait for the same.
	holdShare = 8
	// workMargin is how much longer than usual work may take and still be awaited.
	workMargin = 1.2
	// hedgeEstimate is the longest, in usual times, that a second attempt may take.
	hedgeEstimate = 1.4
	// rememberedFor is how long what an endpoint said is better than nothing.
	rememberedFor = 150 * time.Millisecond
)

// sample is an endpoint that a call has asked.
type sample struct {
	endpoint *endpoint
	// sentBefore is how many requests this entry had sent there before it asked.
	sentBefore int
	answered   bool
	ok         bool
	said       picker.Sample
}

// savedSeconds is for how long questions that were not asked are saved up, for a surge.
const savedSeconds = 5

// samplingBudget bounds the questions over some seconds.
type samplingBudget struct {
	// left is how many may be asked; it counts from at.
	left float64
	at   time.Time
}

// spend reports whether so many more questions may be asked.
func (s *samplingBudget) spend(now time.Time, questions, perSecond int) bool {
	most := float64(savedSeconds * perSecond)
	if s.at.IsZero() {
		s.left = most
	} else {
		s.left = math.Min(most, s.left+now.Sub(s.at).Seconds()*float64(perSecond))
	}
	s.at = now
	if s.left < float64(questions) {
		return false
	}
	s.left -= float64(questions)
	return true
}

// beginSampling asks endpoints for a call, and reports whether the call waits for
// their answers.
func (b *Balancer) beginSampling(now time.Time, c *call) bool {
	if b.sampling.Endpoints < 2 || c.Streamed {
		return false
	}
	c.samples = c.samples[:0]
	for len(c.samples) < b.sampling.Endpoints {
		i := b.pickUnasked(now, c)
		if i == picker.None {
			break
		}
		e := b.endpoints[i]
		c.samples = append(c.samples, sample{endpoint: e, sentBefore: e.sent})
	}
	if len(c.samples) < 2 {
		c.samples = nil
		return false
	}
	c.sampled = true
	if !b.samplingBudget.spend(now, len(c.samples), b.sampling.ProbesPerSecond) {
		return b.recall(now, c)
	}
	c.phase = phaseSampling
	deadline := now.Add(b.sampling.Timeout)
	c.sampleDue = deadline
	for _, s := range c.samples {
		b.do(Probe{Call: c.ID, Endpoint: s.endpoint.name(), Address: s.endpoint.Address, Path: b.probePath, Deadline: deadline})
	}
	b.schedule(deadline, c.ID, timerSampling)
	return true
}

// recall goes by what endpoints said lately, when no more may be asked. It reports
// false when nothing is remembered.
func (b *Balancer) recall(now time.Time, c *call) bool {
	c.samples = c.samples[:0]
	for _, e := range b.endpoints {
		if now.Sub(e.saidAt) <= rememberedFor && !c.hasTried(e) {
			c.samples = append(c.samples, sample{endpoint: e, sentBefore: e.sentWhenSaid, answered: true, ok: true, said: e.said})
		}
	}
	if len(c.samples) == 0 {
		return false
	}
	b.endSampling(now, c)
	return true
}

// hedge sends a second attempt, and reports whether it did. An entry that samples
// sends it only where it knows of room: to the endpoint that told lately that it has a
// free slot and is not slow.
func (b *Balancer) hedge(now time.Time, c *call) bool {
	if b.sampling.Endpoints == 0 {
		return b.hasTarget(now, c) && b.budget.Spend(now) && b.attempt(now, c)
	}
	e := b.roomiest(now, c, hedgeEstimate)
	if e == nil || !b.budget.Spend(now) {
		return false
	}
	b.dispatch(now, c, e)
	return true
}

// roomiest returns the endpoint with a free slot that would answer the call first by
// what is remembered, if that is below the most. Without sampling nothing is.
func (b *Balancer) roomiest(now time.Time, c *call, most float64) *endpoint {
	if b.sampling.Endpoints == 0 {
		return nil
	}
	var best *endpoint
	least := most
	for _, e := range b.endpoints {
		s := sample{endpoint: e, sentBefore: e.sentWhenSaid, said: e.said}
		if now.Sub(e.saidAt) > rememberedFor || c.hasTried(e) || c.wasSilent(e) || e.ejected() || !b.accepts(now, e) || !b.isFree(now, &s) {
			continue
		}
		if estimate := b.estimate(now, &s); estimate < least {
			best = e
			least = estimate
		}
	}
	return best
}

// isFree reports whether an endpoint that was asked has a slot that nobody uses, and that
// is worth using.
func (b *Balancer) isFree(now time.Time, s *sample) bool {
	return s.said.Load+s.sentSince() < b.crowding.UsefulConcurrency(now, s.endpoint.Slots)
}

// sentSince is how many requests this entry has sent there since it asked.
func (s *sample) sentSince() int { return s.endpoint.sent - s.sentBefore }

func (b *Balancer) pickUnasked(now time.Time, c *call) int {
	return b.picker.Draw(b.candidates, c.sampled, func(i int) bool {
		e := b.endpoints[i]
		return c.hasTried(e) || c.hasAsked(e) || c.wasSilent(e) || e.ejected() || b.picker.HasStraggler(now, &b.candidates[i])
	})
}

func (c *call) wasSilent(e *endpoint) bool { return slices.Contains(c.silent, e) }

func (c *call) hasAsked(e *endpoint) bool {
	for i := range c.samples {
		if c.samples[i].endpoint == e {
			return true
		}
	}
	return false
}

// onSampled takes in the answer of an endpoint that a call has asked.
func (b *Balancer) onSampled(now time.Time, v ProbeEnded) {
	if e := b.named[v.Endpoint]; e != nil && v.OK {
		b.reported(now, e, v.Report, len(e.flights))
	}
	c, ok := b.calls[v.Call]
	if !ok || c.phase != phaseSampling {
		return
	}
	for i := range c.samples {
		if s := &c.samples[i]; s.endpoint.name() == v.Endpoint && !s.answered {
			s.answered = true
			s.ok = v.OK && v.Report.Load >= 0
			s.said = picker.Sample{Load: max(0, v.Report.Load), Slowdown: v.Report.Slowdown}
		}
	}
	if b.sampledEnough(now, c) {
		b.endSampling(now, c)
	}
}

// sampledEnough reports whether all have answered, or one is as good as any can be.
func (b *Balancer) sampledEnough(now time.Time, c *call) bool {
	all := true
	for i := range c.samples {
		s := &c.samples[i]
		all = all && (s.answered || s.endpoint.gone)
		if s.ok && !s.endpoint.gone && picker.GoodEnough(b.estimate(now, s)) {
			return true
		}
	}
	return all
}

// estimate returns how long a call would take, in usual times. The endpoint must not be
// gone.
func (b *Balancer) estimate(now time.Time, s *sample) float64 {
	return b.candidates[s.endpoint.at].Estimate(now, s.said, s.sentSince(), &b.crowding)
}

// endSampling sends the call to the best endpoint that has answered, lets it wait for
// a better one, or refuses it. Without an answer it goes by what was known before.
func (b *Balancer) endSampling(now time.Time, c *call) {
	c.phase = phaseNew
	best, estimate := b.bestSample(now, c)
	if best == nil {
		b.askOthers(now, c)
		return
	}
	free := b.isFree(now, best)
	switch {
	case b.meetsTarget(now, c, estimate, free):
		b.dispatchEstimated(now, c, best, estimate)
	case b.mayHold(now, c, free):
		c.samples = nil
		c.phase = phaseHeld
		c.sampleDue = now.Add(resampleAfter)
		b.schedule(c.sampleDue, c.ID, timerSampling)
	case free:
		b.dispatchEstimated(now, c, best, estimate)
	default:
		b.refuse(now, c, ReasonOverload)
	}
}

// maxRounds bounds how often a call asks others when nobody has answered.
const maxRounds = 3

// askOthers passes over the endpoints that have not answered.
func (b *Balancer) askOthers(now time.Time, c *call) {
	for i := range c.samples {
		c.silent = append(c.silent, c.samples[i].endpoint)
	}
	c.samples = nil
	c.rounds++
	if c.rounds >= maxRounds || !b.beginSampling(now, c) {
		b.startAtOnce(now, c)
	}
}

// meetsTarget reports whether the call would be answered within its target.
func (b *Balancer) meetsTarget(now time.Time, c *call, estimate float64, free bool) bool {
	work := b.work.of(c.LatencyTarget)
	if c.LatencyTarget == 0 || work == 0 || !free {
		return free
	}
	return now.Sub(c.arrivedAt)+scaled(work, estimate) <= c.LatencyTarget
}

// mayHold reports whether the call can still meet its target if it waits a little: for
// an endpoint that is not slow now, or for a short time for a free slot.
func (b *Balancer) mayHold(now time.Time, c *call, free bool) bool {
	waited := now.Sub(c.arrivedAt)
	if waited+resampleAfter+scaled(b.work.of(c.LatencyTarget), workMargin) > c.LatencyTarget {
		return false
	}
	return free || waited < c.LatencyTarget/holdShare
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func (b *Balancer) dispatchEstimated(now time.Time, c *call, s *sample, estimate float64) {
	candidate := &b.candidates[s.endpoint.at]
	expected := expectation{
		estimate: estimate,
		alone:    candidate.UnbiasedEstimate(now, s.said, s.sentSince(), &b.crowding),
		running:  candidate.Concurrency(s.said, s.sentSince()),
	}
	c.samples = nil
	b.dispatch(now, c, s.endpoint)
	b.attempts[b.lastAttempt].expected = expected
}

// onSamplingDue ends the wait for answers, or for better ones.
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
	least := math.Inf(1)
	for i := range c.samples {
		s := &c.samples[i]
		if !s.ok || s.endpoint.gone || !b.accepts(now, s.endpoint) || s.endpoint.ejected() {
			continue
		}
		if estimate := b.estimate(now, s); estimate < least {
			best = s
			least = estimate
		}
	}
	return best, least
}
