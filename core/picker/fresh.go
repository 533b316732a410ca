package picker

import (
	"math"
	"time"
)

// Parameters of the choice among endpoints that have just been probed.
const (
	// fullSlowdown is the usual increase in latency at an endpoint whose slots are all
	// taken, as a share; the high exponent makes it set in as the last slots fill.
	fullSlowdown         = 0.7
	fullSlowdownExponent = 4
	// queueingPenalty is the time that a request waits for a slot per round of requests
	// ahead of it, in usual latencies. It exceeds 1 because slow requests hold their slots
	// longest.
	queueingPenalty = 2.0
	// remoteProbePenalty is added to the estimate of a remote endpoint. It covers the round
	// trip and the cost of traffic between data centres.
	remoteProbePenalty = 0.05
	// localWeight is the probability of drawing a local endpoint relative to a remote one,
	// while local endpoints suffice.
	localWeight = 20
	// biasSmoothing is the weight of a new response in the bias of an endpoint, and
	// biasDecayTime is the time in which the bias falls by a factor of e.
	biasSmoothing = 0.4
	biasDecayTime = 3 * time.Second
	// biasMin and biasMax bound the bias.
	biasMin = 0.7
	biasMax = 6
	// goodEnough is the estimate up to which a request doesn't wait for further probe
	// replies.
	goodEnough = 1.1
)

// Sample is the load that an endpoint reported in reply to a probe.
type Sample struct {
	// Load is the number of requests that run or wait there.
	Load int
	// Slowdown is the ratio of the current to the usual latency; zero if it is not reported.
	Slowdown float64
}

// Estimate returns the expected latency of a request at the candidate, in typical latencies,
// based on a recent sample. Sent is the number of requests that this entry has sent there
// since the sample.
func (c *Candidate) Estimate(now time.Time, s Sample, sent int, contention *Contention) float64 {
	estimate := c.UnbiasedEstimate(now, s, sent, contention) * c.Bias(now)
	if c.Remote {
		estimate += remoteProbePenalty
	}
	return estimate
}

// UnbiasedEstimate returns the estimate without the candidate's bias and remote penalty.
func (c *Candidate) UnbiasedEstimate(now time.Time, s Sample, sent int, contention *Contention) float64 {
	slowdown := s.Slowdown
	if slowdown <= 0 {
		slowdown = 1
	}
	estimate := slowdown * contention.Factor(now, c.Concurrency(s, sent), c.Slots)
	if ahead := s.Load + sent + 1 - c.Slots; ahead > 0 {
		estimate += queueingPenalty * math.Max(slowdown, 1) * float64(ahead) / float64(c.Slots)
	}
	return estimate
}

// Concurrency returns the number of requests that would run at the candidate if one more
// were sent.
func (c *Candidate) Concurrency(s Sample, sent int) int { return min(s.Load+sent+1, c.Slots) }

// RecordRatio updates the bias with the ratio of a response's actual latency to its estimate.
// The estimate includes the bias at that time.
func (c *Candidate) RecordRatio(now time.Time, ratio float64) {
	bias := math.Log(c.Bias(now))
	bias += biasSmoothing * math.Log(math.Max(ratio, minRatio))
	c.bias = clamp(bias, math.Log(biasMin), math.Log(biasMax))
	c.biasAt = now
}

// Bias returns the learned ratio of the candidate's actual latency to the one that its
// reports suggest: an endpoint may be slow, cold or failing without reporting it. The bias
// decays to 1, so that the endpoint gets another chance.
func (c *Candidate) Bias(now time.Time) float64 {
	if c.biasAt.IsZero() {
		return 1
	}
	return math.Exp(c.bias * math.Exp(-float64(now.Sub(c.biasAt))/float64(biasDecayTime)))
}

// Draw returns the position of a random candidate, or None. It draws from the candidates of the given tier and those
// before it, or from all if none of them is eligible. Local candidates are favoured over remote ones, unless uniform is
// set. Draw passes over positions for which skip returns true.
func (k *Picker) Draw(list []Candidate, last Tier, uniform bool, skip func(int) bool) int {
	weight := localityWeight
	if uniform {
		weight = func(*Candidate) int { return 1 }
	}
	chosen := k.draw(list, skip, func(c *Candidate) int {
		if c.Tier < last {
			return 0
		}
		return weight(c)
	})
	if chosen == None {
		return k.draw(list, skip, weight)
	}
	return chosen
}

// localityWeight returns the weight of a candidate in a draw that favours local ones.
func localityWeight(c *Candidate) int {
	if c.Remote {
		return 1
	}
	return localWeight
}

// draw returns the position of a random eligible candidate, or None. The probability of a
// candidate is proportional to its weight.
func (k *Picker) draw(list []Candidate, skip func(int) bool, weight func(*Candidate) int) int {
	chosen := None
	sum := 0
	for i := range list {
		w := weight(&list[i])
		if w == 0 || !eligible(list, i, skip) {
			continue
		}
		sum += w
		if k.rand.IntN(sum) < w {
			chosen = i
		}
	}
	return chosen
}

// GoodEnough reports whether other endpoints could hardly improve on an estimate.
func GoodEnough(estimate float64) bool { return estimate <= goodEnough }
