package picker

import (
	"math"
	"time"
)

// Tuning of the choice among endpoints that have just been asked.
const (
	// crowding is how much longer work usually takes at an endpoint whose slots are all
	// taken, as a share; it sets in steeply as the last slots fill.
	crowding      = 0.7
	crowdingPower = 4
	// waitingCharge is how long a request waits for a slot, in usual times for
	// each round of requests before it: slots are held longest by work that is slow.
	waitingCharge = 2.0
	// farFresh is what another data centre is charged: the way there and back, and
	// traffic between data centres.
	farFresh = 0.05
	// nearWeight is how many times as often an endpoint of the own data centre is asked
	// as one of another, as long as there is no need to look farther.
	nearWeight = 20
	// biasSmoothing is the weight of a new answer in what is learned of an endpoint, and
	// biasLife the time in which that loses most of its weight.
	biasSmoothing = 0.4
	biasLife      = 3 * time.Second
	// biasMin and biasMax bound it.
	biasMin = 0.7
	biasMax = 6
	// goodEnough is the estimate below which the other answers are not awaited.
	goodEnough = 1.1
)

// Sample is what an endpoint said a moment ago.
type Sample struct {
	// Load is the number of requests that run or wait there.
	Load int
	// Slowdown is how long work takes now, as a multiple of the usual time; zero when it
	// is not told.
	Slowdown float64
}

// Estimate returns how long a request would take at the candidate, in typical
// latencies, by what it said a moment ago. Sent is how many requests this entry has
// sent there since.
func (c *Candidate) Estimate(now time.Time, s Sample, sent int, crowding *Contention) float64 {
	estimate := c.UnbiasedEstimate(now, s, sent, crowding) * c.Bias(now)
	if c.Remote {
		estimate += farFresh
	}
	return estimate
}

// UnbiasedEstimate is the estimate without what was learned of the candidate itself.
func (c *Candidate) UnbiasedEstimate(now time.Time, s Sample, sent int, crowding *Contention) float64 {
	pace := s.Slowdown
	if pace <= 0 {
		pace = 1
	}
	estimate := pace * crowding.Factor(now, c.Concurrency(s, sent), c.Slots)
	if ahead := s.Load + sent + 1 - c.Slots; ahead > 0 {
		estimate += waitingCharge * math.Max(pace, 1) * float64(ahead) / float64(c.Slots)
	}
	return estimate
}

// Concurrency is how many requests would run there with one more.
func (c *Candidate) Concurrency(s Sample, sent int) int { return min(s.Load+sent+1, c.Slots) }

// RecordRatio takes in that an answer took so many times what it was estimated to take,
// the bias of the time included.
func (c *Candidate) RecordRatio(now time.Time, ratio float64) {
	bias := math.Log(c.Bias(now))
	bias += biasSmoothing * math.Log(math.Max(ratio, minRatio))
	c.bias = clamp(bias, math.Log(biasMin), math.Log(biasMax))
	c.biasAt = now
}

// Bias is how many times as long as it tells the endpoint takes: it may be slow, cold
// or failing without saying so. It fades, so that the endpoint gets another chance.
func (c *Candidate) Bias(now time.Time) float64 {
	if c.biasAt.IsZero() {
		return 1
	}
	return math.Exp(c.bias * math.Exp(-float64(now.Sub(c.biasAt))/float64(biasLife)))
}

// Draw returns the position of a candidate at random, or None. Preferred ones come first,
// and those of the own data centre more often, unless the draw is to go far. Positions for
// which skip returns true are passed over.
func (k *Picker) Draw(list []Candidate, far bool, skip func(int) bool) int {
	if far {
		return k.draw(list, skip, func(*Candidate) int { return 1 })
	}
	chosen := k.draw(list, skip, func(c *Candidate) int {
		if !c.Preferred {
			return 0
		}
		return nearness(c)
	})
	if chosen == None {
		return k.draw(list, skip, nearness)
	}
	return chosen
}

// nearness is the weight of a candidate as long as there is no need to look farther.
func nearness(c *Candidate) int {
	if c.Remote {
		return 1
	}
	return nearWeight
}

// draw returns the position of a candidate by weight, or None.
func (k *Picker) draw(list []Candidate, skip func(int) bool, weight func(*Candidate) int) int {
	chosen := None
	sum := 0
	for i := range list {
		w := weight(&list[i])
		if w == 0 || !open(list, i, skip) {
			continue
		}
		sum += w
		if k.rand.IntN(sum) < w {
			chosen = i
		}
	}
	return chosen
}

// GoodEnough reports whether an estimate leaves little to gain from other endpoints.
func GoodEnough(estimate float64) bool { return estimate <= goodEnough }
