// Package picker chooses the endpoint that gets the next request.
//
// The only fresh signal is what this entry itself has in flight: a slow endpoint
// shows in it at once, whatever it reports. Among some endpoints drawn at random
// the one with the lowest score is chosen: its own requests in flight against its
// slots, a little of what it reported of others' work, and how much slower than
// typical it has been. An endpoint whose oldest request is in flight for far longer
// than is typical comes last.
package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuning of the choice.
const (
	// DefaultChoices is how many endpoints are compared.
	DefaultChoices = 12
	// othersWeight is what others' work counts against our own. Entries that all
	// trust the same reports follow each other to the same endpoint.
	othersWeight = 0.1
	// reportLife is the time in which a report loses most of its weight.
	reportLife = 20 * time.Millisecond
	// warmUp is the time over which an endpoint that starts gets its full share.
	warmUp = 10 * time.Second
	// coldShare is the share of its slots that an endpoint counts with at first.
	coldShare = 0.2
	// stragglerFactor is how many typical latencies a request may be in flight
	// before its endpoint counts as slow.
	stragglerFactor = 4
	// stragglerFloor is the shortest time that makes a straggler.
	stragglerFloor = 20 * time.Millisecond
	// stragglerCharge puts a straggler behind every other endpoint.
	stragglerCharge = 100
	// farCharge is the load, as a share of the slots, that an endpoint of another
	// data centre is charged: work spills there as the own one fills.
	farCharge = 0.25
	// latencySmoothing is the weight of a new sample in the average.
	latencySmoothing = 0.1
	// slownessWeight is what being slower than typical by one typical latency
	// counts, as a share of the slots.
	slownessWeight = 0.5
	// slownessMax bounds the slowness.
	slownessMax = 20
	// slownessLife is the time in which a latency loses most of its weight.
	slownessLife = time.Second
	// failureFactor is how many typical latencies a failure counts as, and
	// failureFloor the least.
	failureFactor = 20
	failureFloor  = 20 * time.Millisecond
	// pressureSmoothing is the weight of a new sample in the average pressure.
	pressureSmoothing = 0.025
)

// Policy decides how an endpoint is chosen: a type switch over its kinds.
type Policy interface{ policy() }

// Adaptive is the policy described in the package comment.
type Adaptive struct {
	// Choices is how many endpoints are compared; zero means DefaultChoices.
	Choices int
}

// Random takes any endpoint.
type Random struct{}

// RoundRobin takes the endpoints in turn.
type RoundRobin struct{}

// LeastInFlight takes the endpoint with the fewest requests of this entry.
type LeastInFlight struct{}

func (Adaptive) policy()      {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}

// Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// Slots is how many requests the endpoint runs at once; at least 1.
	Slots int
	// Limit is how many requests this entry may have in flight there.
	Limit int
	// InFlight is how many it has; never negative.
	InFlight int
	// Remote marks another data centre.
	Remote bool
	// Preferred endpoints are asked before the others.
	Preferred bool
	// Closed endpoints get no new work.
	Closed bool
	// WarmUpStart is when the endpoint began to serve.
	WarmUpStart time.Time
	// OldestStart is when the oldest request in flight was sent; zero without one.
	OldestStart time.Time
	// Latency is a moving average of answers; zero before the first.
	Latency time.Duration

	latencyAt time.Time
	// bias is the logarithm of what has been learned against the estimates.
	bias   float64
	biasAt time.Time
	// others is the part of the latest report that is not our own work.
	others   int
	reportAt time.Time
}

// RecordLoad takes in a load that the endpoint reported while own requests of this
// entry were there.
func (c *Candidate) RecordLoad(now time.Time, load, own int) {
	c.others = max(0, load-own)
	c.reportAt = now
}

// RecordSent takes note of a request on its way.
func (c *Candidate) RecordSent(now time.Time) {
	if c.InFlight == 0 {
		c.OldestStart = now
	}
	c.InFlight++
}

// RecordLatency takes in the latency of an answer.
func (c *Candidate) RecordLatency(now time.Time, latency time.Duration) {
	c.latencyAt = now
	if c.Latency == 0 {
		c.Latency = latency
		return
	}
	c.Latency += time.Duration(latencySmoothing * float64(latency-c.Latency))
}

// slowness is how much longer than typical the endpoint takes, as a share of it.
// What was seen long ago counts less, so that an endpoint gets another chance.
func (c *Candidate) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 || c.Latency == 0 {
		return 0
	}
	fade := math.Exp(-float64(now.Sub(c.latencyAt)) / float64(slownessLife))
	return math.Min(float64(c.Latency)/float64(typical)-1, slownessMax) * fade
}

// load is our own work at the endpoint and a little of what others have there.
// Without a fresh report, others are taken to be as at the average. A report counts
// up to the slots only: entries that all flee from the same late report come back
// together as well.
func (c *Candidate) load(now time.Time, average float64) float64 {
	own := float64(c.InFlight)
	prior := math.Max(0, average*float64(c.Slots)-own)
	if c.reportAt.IsZero() {
		return own + othersWeight*prior
	}
	trust := math.Exp(-float64(now.Sub(c.reportAt)) / float64(reportLife))
	others := float64(min(c.others, c.Slots))
	return own + othersWeight*(trust*others+(1-trust)*prior)
}

// effectiveSlots grows from a share of the slots to all of them while the
// endpoint warms up.
func (c *Candidate) effectiveSlots(now time.Time) float64 {
	slots := float64(c.Slots)
	age := now.Sub(c.WarmUpStart)
	if age >= warmUp {
		return slots
	}
	return slots * (coldShare + (1-coldShare)*float64(max(age, 0))/float64(warmUp))
}

// Picker chooses among the candidates of one service. It is not safe for
// concurrent use, and allocates nothing for a choice.
type Picker struct {
	policy Policy
	rand   *rand.Rand
	turn   int
	// typical is the median of the endpoints' latencies.
	typical time.Duration
	// pressure is a moving average of load against slots, from reports.
	pressure float64
	sorted   []time.Duration
}

// Option sets up a picker.
type Option func(*Picker)

// WithPolicy sets the policy; the default is Adaptive.
func WithPolicy(p Policy) Option { return func(k *Picker) { k.policy = p } }

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(k *Picker) { k.rand = source } }

// New returns a picker.
func New(opts ...Option) *Picker {
	k := &Picker{policy: Adaptive{}}
	for _, opt := range opts {
		opt(k)
	}
	if k.rand == nil {
		k.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return k
}

// TypicalLatency returns the median of the endpoints' latencies.
func (k *Picker) TypicalLatency() time.Duration { return k.typical }

// RecordFailure counts a failure of the candidate as a slow answer, so that one that fails
// fast doesn't draw work by always being free.
func (k *Picker) RecordFailure(now time.Time, c *Candidate) {
	c.RecordLatency(now, max(failureFactor*k.typical, failureFloor))
}

// UpdateTypicalLatency takes the median of the endpoints' latencies for the typical one, so that
// one endpoint with much traffic can't shift it.
func (k *Picker) UpdateTypicalLatency(list []Candidate) {
	k.sorted = k.sorted[:0]
	for i := range list {
		if list[i].Latency > 0 {
			k.sorted = append(k.sorted, list[i].Latency)
		}
	}
	if len(k.sorted) == 0 {
		return
	}
	slices.Sort(k.sorted)
	k.typical = k.sorted[(len(k.sorted)-1)/2]
}

// Utilisation returns the moving average of load against slots over all endpoints.
func (k *Picker) Utilisation() float64 { return k.pressure }

// RecordResponse takes in an answer of any endpoint, for the averages.
func (k *Picker) RecordResponse(latency time.Duration, load, slots int) {
	if k.typical == 0 {
		k.typical = latency
	}
	if load >= 0 && slots > 0 {
		k.pressure += pressureSmoothing * (float64(load)/float64(slots) - k.pressure)
	}
}

// None is returned when no candidate can take the request.
const None = -1

// Pick returns the position of the chosen candidate. Positions for which skip
// returns true are passed over.
func (k *Picker) Pick(now time.Time, list []Candidate, skip func(int) bool) int {
	switch p := k.policy.(type) {
	case Random:
		return k.random(list, skip)
	case RoundRobin:
		return k.inTurn(list, skip)
	case LeastInFlight:
		return k.least(list, skip)
	case Adaptive:
		return k.adaptive(now, list, skip, p.Choices)
	}
	return None
}

func open(list []Candidate, i int, skip func(int) bool) bool {
	c := &list[i]
	return !c.Closed && c.InFlight < c.Limit && (skip == nil || !skip(i))
}

// random tries positions at random, then in order, so that it ends.
func (k *Picker) random(list []Candidate, skip func(int) bool) int {
	if len(list) == 0 {
		return None
	}
	start := k.rand.IntN(len(list))
	return firstOpen(list, start, skip)
}

func (k *Picker) inTurn(list []Candidate, skip func(int) bool) int {
	k.turn++
	return firstOpen(list, k.turn, skip)
}

func firstOpen(list []Candidate, start int, skip func(int) bool) int {
	for i := range list {
		j := (start + i) % len(list)
		if open(list, j, skip) {
			return j
		}
	}
	return None
}

func (k *Picker) least(list []Candidate, skip func(int) bool) int {
	best := None
	if len(list) == 0 {
		return best
	}
	start := k.rand.IntN(len(list))
	for i := range list {
		j := (start + i) % len(list)
		if open(list, j, skip) && (best == None || list[j].InFlight < list[best].InFlight) {
			best = j
		}
	}
	return best
}

// adaptive compares a few endpoints drawn without replacement: a walk from a
// random position with a random step that shares no factor with the length.
func (k *Picker) adaptive(now time.Time, list []Candidate, skip func(int) bool, choices int) int {
	n := len(list)
	if n == 0 {
		return None
	}
	if choices == 0 {
		choices = DefaultChoices
	}
	best := None
	bestScore := math.Inf(1)
	at := k.rand.IntN(n)
	step := k.step(n)
	for range n {
		if open(list, at, skip) {
			if score := k.score(now, &list[at]); score < bestScore {
				best = at
				bestScore = score
			}
			choices--
		}
		if choices == 0 {
			break
		}
		at = (at + step) % n
	}
	return best
}

func (k *Picker) step(n int) int {
	if n == 1 {
		return 1
	}
	for {
		step := 1 + k.rand.IntN(n-1)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// score is lower for the better endpoint.
func (k *Picker) score(now time.Time, c *Candidate) float64 {
	score := (c.load(now, k.pressure) + 1) / c.effectiveSlots(now)
	score += slownessWeight * c.slowness(now, k.typical)
	if c.Remote {
		score += farCharge
	}
	if k.HasStraggler(now, c) {
		score += stragglerCharge
	}
	return score
}

// HasStraggler reports whether the oldest request in flight has been there for far
// longer than is typical.
func (k *Picker) HasStraggler(now time.Time, c *Candidate) bool {
	if c.InFlight == 0 || k.typical == 0 || c.OldestStart.IsZero() {
		return false
	}
	bound := max(stragglerFactor*k.typical, stragglerFloor)
	return now.Sub(c.OldestStart) > bound
}
