package balancer

import (
	"math"
	"time"

	"comfreyplank.org/core/picker"
)

// Sampling lets an entry ask a few endpoints for their load before each request, and
// send it to the one that would answer first. What the endpoints say is milliseconds
// old then, where any shared report would be older than their load lasts.
type Sampling struct {
	// Endpoints is how many are asked for one request.
	Endpoints int
	// Wait bounds the time that a request waits for their answers.
	Wait time.Duration
	// PerSecond bounds the questions of this entry to the service's endpoints.
	PerSecond int
}

// WithSampling asks endpoints before each request.
func WithSampling(s Sampling) Option { return func(b *Balancer) { b.sampling = s } }

// sample is an endpoint that a call has asked.
type sample struct {
	endpoint *endpoint
	// sentBefore is how many requests this entry had sent there before it asked.
	sentBefore int
	answered   bool
	ok         bool
	said       picker.Sample
}

// samplingBudget counts the questions of the present second.
type samplingBudget struct {
	second time.Time
	asked  int
}

// spend reports whether so many more questions may be asked.
func (s *samplingBudget) spend(now time.Time, questions, perSecond int) bool {
	if now.Sub(s.second) >= time.Second {
		s.second = now
		s.asked = 0
	}
	if s.asked+questions > perSecond {
		return false
	}
	s.asked += questions
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
	if len(c.samples) < 2 || !b.samplingBudget.spend(now, len(c.samples), b.sampling.PerSecond) {
		c.samples = nil
		return false
	}
	c.phase = phaseSampling
	deadline := now.Add(b.sampling.Wait)
	for _, s := range c.samples {
		b.do(Probe{Call: c.ID, Endpoint: s.endpoint.name(), Address: s.endpoint.Address, Path: b.probePath, Deadline: deadline})
	}
	b.schedule(deadline, c.ID, timerSampling)
	return true
}

func (b *Balancer) pickUnasked(now time.Time, c *call) int {
	return b.picker.Pick(now, b.candidates, func(i int) bool {
		e := b.endpoints[i]
		return c.hasTried(e) || c.hasAsked(e) || e.ejected()
	})
}

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
	if i := b.position(v.Endpoint); i >= 0 && v.OK {
		b.reported(now, b.endpoints[i], v.Report, len(b.endpoints[i].flights))
	}
	c, ok := b.calls[v.Call]
	if !ok || c.phase != phaseSampling {
		return
	}
	for i := range c.samples {
		if s := &c.samples[i]; s.endpoint.name() == v.Endpoint && !s.answered {
			s.answered = true
			s.ok = v.OK && v.Report.Load >= 0
			s.said = picker.Sample{Load: max(0, v.Report.Load), Pace: v.Report.Pace}
		}
	}
	if b.sampledEnough(c) {
		b.endSampling(now, c)
	}
}

// sampledEnough reports whether all have answered, or one is as good as any can be.
func (b *Balancer) sampledEnough(c *call) bool {
	all := true
	for i := range c.samples {
		s := &c.samples[i]
		all = all && s.answered
		if s.ok && picker.GoodEnough(b.estimate(s)) {
			return true
		}
	}
	return all
}

func (b *Balancer) estimate(s *sample) float64 {
	return b.candidates[s.endpoint.at].Estimate(s.said, s.endpoint.sent-s.sentBefore)
}

// endSampling sends the call to the best endpoint that has answered. Without an
// answer it goes by what was known before.
func (b *Balancer) endSampling(now time.Time, c *call) {
	c.phase = phaseNew
	best := b.bestSample(now, c)
	c.samples = nil
	if best != nil {
		b.dispatch(now, c, best)
		return
	}
	b.startAtOnce(now, c)
}

func (b *Balancer) bestSample(now time.Time, c *call) *endpoint {
	var best *endpoint
	least := math.Inf(1)
	for i := range c.samples {
		s := &c.samples[i]
		if !s.ok || s.endpoint.gone || !b.accepts(now, s.endpoint) || s.endpoint.ejected() {
			continue
		}
		if estimate := b.estimate(s); estimate < least {
			best = s.endpoint
			least = estimate
		}
	}
	return best
}
