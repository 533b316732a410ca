package picker

import (
	"math"
	"time"
)

// Tuning of the choice among endpoints that have just been asked.
const (
	// crowding is how much longer work takes at an endpoint whose slots are all taken,
	// as a share of its usual time; it sets in steeply as the last slots fill.
	crowding      = 0.7
	crowdingPower = 4
	// waitingCharge is how long a request waits for a slot, in usual times for
	// each round of requests before it: slots are held longest by work that is slow.
	waitingCharge = 2.0
	// farFresh is what another data centre is charged: the way there and back, and
	// traffic between data centres.
	farFresh = 0.05
	// goodEnough is the estimate below which the other answers are not awaited.
	goodEnough = 1.1
)

// Sample is what an endpoint said a moment ago.
type Sample struct {
	// Load is the number of requests that run or wait there.
	Load int
	// Pace is how long work takes now, as a multiple of the usual time; zero when it
	// is not told.
	Pace float64
}

// Estimate returns how long a request would take at the candidate, in typical
// latencies, by what it said a moment ago. Sent is how many requests this entry has
// sent there since.
func (c *Candidate) Estimate(s Sample, sent int) float64 {
	load := float64(s.Load + sent)
	slots := float64(c.Slots)
	pace := s.Pace
	if pace <= 0 {
		pace = 1
	}
	estimate := pace * (1 + crowding*math.Pow(math.Min(load/slots, 1), crowdingPower))
	if ahead := load + 1 - slots; ahead > 0 {
		estimate += waitingCharge * math.Max(pace, 1) * ahead / slots
	}
	if c.Far {
		estimate += farFresh
	}
	return estimate
}

// GoodEnough reports whether an estimate leaves little to gain from other endpoints.
func GoodEnough(estimate float64) bool { return estimate <= goodEnough }

// Sampled takes a fresh report into what is known of the candidate.
func (c *Candidate) Sampled(now time.Time, s Sample, own int) {
	c.Reported(now, s.Load, own)
}
