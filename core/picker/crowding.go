package picker

import (
	"math"
	"time"
)

// Parameters of the learned contention.
const (
	// contentionLevels is the number of levels into which the share of taken slots is
	// divided.
	contentionLevels = 8
	// baselineLevel is the highest level that is not learned: endpoints that are at most
	// half full are the baseline for the others.
	baselineLevel = contentionLevels / 2
	// minResponseWeight is the least weight of a response; the first ones weigh more.
	minResponseWeight = 0.05
	// maxLogRatio bounds the logarithm of the ratio that one response contributes: the
	// endpoint may have become slow in the meantime.
	maxLogRatio = 0.45
	// usefulShare is the part of the highest throughput that suffices in exchange for a
	// lower latency.
	usefulShare = 0.9
	// maxContention bounds the factor of a level.
	maxContention = 4.0
	// contentionDecayTime is the time in which what was learned falls by a factor of e, so
	// that a level that is avoided is tried again.
	contentionDecayTime = time.Minute
)

// Contention estimates how much requests at one endpoint slow each other down, depending on
// the share of its slots that are taken. It is learned from the responses of a service's
// endpoints. The zero value gives the default factors.
type Contention struct {
	levels [contentionLevels + 1]contentionLevel
}

type contentionLevel struct {
	// shift is the logarithm of the ratio of the learned factor to the default one.
	shift float64
	at    time.Time
	// responses is the number of responses that were recorded.
	responses int
}

// levelOf returns the level for the number of running requests, rounded up.
func levelOf(running, slots int) int {
	return min((running*contentionLevels+slots-1)/slots, contentionLevels)
}

// Contended reports whether the number of running requests is high enough for them to slow
// each other down.
func Contended(running, slots int) bool { return levelOf(running, slots) > baselineLevel }

// defaultFactor returns the factor that is assumed before anything is learned. It depends on
// the requests that run beside the given one.
func defaultFactor(running, slots int) float64 {
	others := math.Min(float64(running-1)/float64(slots), 1)
	return 1 + fullSlowdown*math.Pow(others, fullSlowdownExponent)
}

// Factor returns the ratio of a request's latency, with the given number of requests running
// at its endpoint, to its latency when it runs alone.
func (c *Contention) Factor(now time.Time, running, slots int) float64 {
	return defaultFactor(running, slots) * math.Exp(c.shift(now, levelOf(running, slots)))
}

func (c *Contention) shift(now time.Time, level int) float64 {
	l := &c.levels[level]
	if l.at.IsZero() {
		return 0
	}
	return l.shift * math.Exp(-float64(now.Sub(l.at))/float64(contentionDecayTime))
}

// RecordRatio updates the factor with the ratio of a response's actual latency to the latency
// that the factor predicted.
func (c *Contention) RecordRatio(now time.Time, running, slots int, ratio float64) {
	level := levelOf(running, slots)
	if !Contended(running, slots) {
		return
	}
	low := -math.Log(defaultFactor(running, slots))
	high := math.Log(maxContention) + low
	responses := c.levels[level].responses + 1
	step := clamp(math.Log(math.Max(ratio, minRatio)), -maxLogRatio, maxLogRatio) * math.Max(minResponseWeight, 1/float64(responses+1))
	c.levels[level] = contentionLevel{shift: clamp(c.shift(now, level)+step, low, high), at: now, responses: responses}
}

// minRatio keeps the logarithm of a ratio finite.
const minRatio = 0.01

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }

// concurrencySteps is the most numbers of requests that are weighed against each other. With more slots than that, a number stands
// for those between it and the one before.
const concurrencySteps = 64

// UsefulConcurrency returns the number of requests that an endpoint should run concurrently:
// more would hardly raise its throughput and would delay every response.
func (c *Contention) UsefulConcurrency(now time.Time, slots int) int {
	step := (slots + concurrencySteps - 1) / concurrencySteps
	best := 0.0
	for n := step; n < slots+step; n += step {
		best = math.Max(best, c.throughput(now, min(n, slots), slots))
	}
	useful := step
	for useful < slots && c.throughput(now, useful, slots) < usefulShare*best {
		useful = min(useful+step, slots)
	}
	for bound := c.Factor(now, useful, slots) / usefulShare; useful < slots; {
		next := min(useful+step, slots)
		if c.Factor(now, next, slots) > bound {
			break
		}
		useful = next
	}
	return useful
}

// throughput returns the number of responses in the time that a request takes alone.
func (c *Contention) throughput(now time.Time, running, slots int) float64 {
	return float64(running) / c.Factor(now, running, slots)
}
