package picker

import (
	"math"
	"time"
)

// Tuning of what is learned about full endpoints.
const (
	// crowdingLevels is how finely it is told apart how many slots are taken.
	crowdingLevels = 8
	// crowdingFrom is the lowest level that is learned: endpoints that are less than half
	// full are the measure of the others.
	crowdingFrom = crowdingLevels / 2
	// crowdingWeight is the least weight of an answer; the first ones weigh more.
	crowdingWeight = 0.05
	// crowdingClip bounds the logarithm that one answer counts with: an endpoint may have
	// turned slow meanwhile.
	crowdingClip = 0.45
	// usefulShare is the part of the most answers in a given time that is enough, where
	// each of them comes sooner.
	usefulShare = 0.9
	// crowdingMax bounds a level.
	crowdingMax = 4.0
	// crowdingLife is the time in which what was learned loses most of its weight, so that
	// a level that is avoided gets another trial.
	crowdingLife = time.Minute
)

// Contention is how much longer work takes at the endpoints of a service as their slots are
// taken, learned from answers. The zero value knows what is usual.
type Contention struct {
	levels [crowdingLevels + 1]crowdingLevel
}

type crowdingLevel struct {
	// shift is the logarithm of the learned factor against the usual one.
	shift float64
	at    time.Time
	// answers counts those that were taken in.
	answers int
}

// levelOf returns the level at which so many of the slots are taken.
func levelOf(running, slots int) int {
	return min((running*crowdingLevels+slots-1)/slots, crowdingLevels)
}

// Contended reports whether so many requests at an endpoint may slow each other down.
func Contended(running, slots int) bool { return levelOf(running, slots) > crowdingFrom }

// usualCrowding is what an endpoint is taken for about which nothing was learned; others
// run there beside the request.
func usualCrowding(running, slots int) float64 {
	others := math.Min(float64(running-1)/float64(slots), 1)
	return 1 + crowding*math.Pow(others, crowdingPower)
}

// Factor returns how many times as long as by itself a request takes that is one of so
// many at an endpoint.
func (c *Contention) Factor(now time.Time, running, slots int) float64 {
	return usualCrowding(running, slots) * math.Exp(c.shift(now, levelOf(running, slots)))
}

func (c *Contention) shift(now time.Time, level int) float64 {
	l := &c.levels[level]
	if l.at.IsZero() {
		return 0
	}
	return l.shift * math.Exp(-float64(now.Sub(l.at))/float64(crowdingLife))
}

// RecordRatio takes in that a request took so many times what its factor gave.
func (c *Contention) RecordRatio(now time.Time, running, slots int, ratio float64) {
	level := levelOf(running, slots)
	if !Contended(running, slots) {
		return
	}
	least := -math.Log(usualCrowding(running, slots))
	most := math.Log(crowdingMax) + least
	answers := c.levels[level].answers + 1
	step := clamp(math.Log(math.Max(ratio, minRatio)), -crowdingClip, crowdingClip) * math.Max(crowdingWeight, 1/float64(answers+1))
	c.levels[level] = crowdingLevel{shift: clamp(c.shift(now, level)+step, least, most), at: now, answers: answers}
}

// minRatio keeps the logarithm of a ratio finite.
const minRatio = 0.01

func clamp(v, least, most float64) float64 { return math.Min(math.Max(v, least), most) }

// UsefulConcurrency returns how many requests at once an endpoint should get: with more it answers
// hardly more of them in a given time, and all of them later.
func (c *Contention) UsefulConcurrency(now time.Time, slots int) int {
	best := 0.0
	for n := 1; n <= slots; n++ {
		best = math.Max(best, c.rate(now, n, slots))
	}
	useful := 1
	for useful < slots && c.rate(now, useful, slots) < usefulShare*best {
		useful++
	}
	for slower := c.Factor(now, useful, slots) / usefulShare; useful < slots && c.Factor(now, useful+1, slots) <= slower; {
		useful++
	}
	return useful
}

// rate is how many requests are answered in the time of one, with so many at once.
func (c *Contention) rate(now time.Time, running, slots int) float64 {
	return float64(running) / c.Factor(now, running, slots)
}
