// Package picker chooses the endpoint for the next request.
//
// The only up-to-date signal is the number of requests that this entry itself has in
// flight: it rises at once when an endpoint slows down, whatever the endpoint reports.
// The adaptive policy compares several endpoints drawn at random and takes the one with
// the lowest score. The score adds up the entry's own requests in flight relative to the
// endpoint's slots, a small part of the load that other entries are reported to cause, and
// how much the endpoint's latency exceeds the typical one. An endpoint whose oldest request
// has been in flight for far longer than is typical ranks last.
package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the adaptive policy.
const (
	// DefaultChoices is the number of endpoints that are compared by default.
	DefaultChoices = 12
	// othersWeight is the weight of other entries' load relative to the entry's own. It is
	// small because entries that all trust the same reports would follow each other to the
	// same endpoint.
	othersWeight = 0.1
	// reportDecayTime is the time in which the weight of a load report falls by a factor of e.
	reportDecayTime = 20 * time.Millisecond
	// warmUp is the time until an endpoint that starts gets its full share of requests.
	warmUp = 10 * time.Second
	// initialShare is the part of its slots that an endpoint counts with when it starts.
	initialShare = 0.2
	// stragglerFactor is the time that a request may be in flight before its endpoint counts
	// as slow, in typical latencies.
	stragglerFactor = 4
	// stragglerFloor is the least time in flight of a straggler.
	stragglerFloor = 20 * time.Millisecond
	// stragglerPenalty ranks an endpoint with a straggler behind every other endpoint.
	stragglerPenalty = 100
	// remotePenalty is added to the score of endpoints in remote data centres, as a share of
	// the slots, so that requests spill over gradually as the local endpoints fill up.
	remotePenalty = 0.25
	// latencySmoothing is the weight of a new sample in the average latency.
	latencySmoothing = 0.1
	// slownessWeight is the score of an excess of one typical latency, as a share of the slots.
	slownessWeight = 0.5
	// slownessMax bounds the slowness.
	slownessMax = 20
	// slownessDecayTime is the time in which the weight of a latency falls by a factor of e.
	slownessDecayTime = time.Second
	// failureFactor is the latency that a failure counts as, in typical latencies, and
	// failureFloor is the least such latency.
	failureFactor = 20
	failureFloor  = 20 * time.Millisecond
	// utilisationSmoothing is the weight of a new sample in the average utilisation, and maxUtilisation the most that a sample
	// counts as, so that one endpoint doesn't set the average of all.
	utilisationSmoothing = 0.025
	maxUtilisation       = 10
)

// Policy selects the algorithm that chooses an endpoint. Its implementations are Adaptive,
// Random, RoundRobin and LeastInFlight.
type Policy interface{ policy() }

// Adaptive is the policy described in the package comment.
type Adaptive struct {
	// Choices is the number of endpoints that are compared; zero means DefaultChoices.
	Choices int
}

// Random starts at a random position and takes the first eligible endpoint from there.
type Random struct{}

// RoundRobin takes the eligible endpoints in turn.
type RoundRobin struct{}

// LeastInFlight takes the endpoint with the fewest requests in flight from this entry.
type LeastInFlight struct{}

func (Adaptive) policy()      {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}

// Tier is a group of candidates in the order in which they are probed.
type Tier uint8

// The tiers, from the last to the first.
const (
	TierRest Tier = iota
	TierReserve
	TierPreferred
)

// Candidate holds what the choice takes into account about an endpoint.
type Candidate struct {
	// Slots is the number of requests that the endpoint runs concurrently; at least 1.
	Slots int
	// Limit is the number of requests that this entry may have in flight there.
	Limit int
	// InFlight is the number of requests that this entry has in flight there; never negative.
	InFlight int
	// Remote marks an endpoint in another data centre.
	Remote bool
	// Tier tells which endpoints are probed before others.
	Tier Tier
	// Closed endpoints get no new requests.
	Closed bool
	// WarmUpStart is the time when the endpoint began to serve.
	WarmUpStart time.Time
	// OldestStart is the time when the oldest request in flight was sent; zero without one.
	OldestStart time.Time
	// Latency is a moving average of response latencies; zero before the first response.
	Latency time.Duration

	latencyAt time.Time
	// bias is the logarithm of the learned ratio of actual to estimated latency.
	bias   float64
	biasAt time.Time
	// others is the load in the latest report that this entry did not cause.
	others   int
	reportAt time.Time
}

// RecordLoad records a load report of the endpoint; own is the number of requests that
// this entry had there at the time of the report.
func (c *Candidate) RecordLoad(now time.Time, load, own int) {
	c.others = max(0, load-own)
	c.reportAt = now
}

// RecordSent counts a request that is sent to the endpoint as in flight.
func (c *Candidate) RecordSent(now time.Time) {
	if c.InFlight == 0 {
		c.OldestStart = now
	}
	c.InFlight++
}

// RecordLatency adds the latency of a response to the average.
func (c *Candidate) RecordLatency(now time.Time, latency time.Duration) {
	c.latencyAt = now
	if c.Latency == 0 {
		c.Latency = latency
		return
	}
	c.Latency += time.Duration(latencySmoothing * float64(latency-c.Latency))
}

// slowness returns how far the endpoint's latency exceeds the typical one, in typical
// latencies. It decays over time, so that a slow endpoint gets another chance.
func (c *Candidate) slowness(now time.Time, typical time.Duration) float64 {
	if typical <= 0 || c.Latency == 0 {
		return 0
	}
	decay := math.Exp(-float64(now.Sub(c.latencyAt)) / float64(slownessDecayTime))
	return math.Min(float64(c.Latency)/float64(typical)-1, slownessMax) * decay
}

// load returns the entry's own requests at the endpoint plus the weighted load of others.
// As a report ages, the load of others is assumed to approach the average utilisation. The
// reported load counts up to the number of slots only: entries that all avoid an endpoint
// because of the same outdated report would also return to it together.
func (c *Candidate) load(now time.Time, utilisation float64) float64 {
	own := float64(c.InFlight)
	prior := math.Max(0, utilisation*float64(c.Slots)-own)
	if c.reportAt.IsZero() {
		return own + othersWeight*prior
	}
	trust := math.Exp(-float64(now.Sub(c.reportAt)) / float64(reportDecayTime))
	others := float64(min(c.others, c.Slots))
	return own + othersWeight*(trust*others+(1-trust)*prior)
}

// effectiveSlots returns the slots that the endpoint counts with: the initial share when it
// starts, and linearly more until it has warmed up.
func (c *Candidate) effectiveSlots(now time.Time) float64 {
	slots := float64(c.Slots)
	age := now.Sub(c.WarmUpStart)
	if age >= warmUp {
		return slots
	}
	return slots * (initialShare + (1-initialShare)*float64(max(age, 0))/float64(warmUp))
}

// Picker chooses among the candidates of one service. It is not safe for
// concurrent use. Picking allocates no memory.
type Picker struct {
	policy Policy
	rand   *rand.Rand
	turn   int
	// typical is the median of the endpoints' latencies.
	typical time.Duration
	// utilisation is a moving average of reported load relative to slots.
	utilisation float64
	sorted      []time.Duration
}

// Option configures a Picker.
type Option func(*Picker)

// WithPolicy sets the policy; the default is Adaptive.
func WithPolicy(p Policy) Option { return func(k *Picker) { k.policy = p } }

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(k *Picker) { k.rand = source } }

// New returns a Picker with the given options.
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

// TypicalLatency returns the median of the endpoints' latencies as of the last update.
func (k *Picker) TypicalLatency() time.Duration { return k.typical }

// RecordFailure counts a failure of the candidate as a slow response, so that an endpoint
// that fails fast doesn't attract requests because it is always free.
func (k *Picker) RecordFailure(now time.Time, c *Candidate) {
	c.RecordLatency(now, max(failureFactor*k.typical, failureFloor))
}

// RecordNoResponse counts that a response of the candidate has not come in a time and is not waited for any more: its latency would be
// longer than that. It reports false for a time that says nothing, as it isn't above the average and the typical latency.
func (k *Picker) RecordNoResponse(now time.Time, c *Candidate, elapsed time.Duration) bool {
	if elapsed <= max(c.Latency, k.typical) {
		return false
	}
	c.RecordLatency(now, elapsed)
	return true
}

// UpdateTypicalLatency sets the typical latency to the median of the endpoints' average
// latencies, so that one endpoint with much traffic can't shift it.
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

// Utilisation returns the moving average of load relative to slots over all endpoints.
func (k *Picker) Utilisation() float64 { return k.utilisation }

// RecordResponse adds a response of any endpoint to the averages. A negative load means that
// the response reports none.
func (k *Picker) RecordResponse(latency time.Duration, load, slots int) {
	if k.typical == 0 {
		k.typical = latency
	}
	if load >= 0 && slots > 0 {
		k.utilisation += utilisationSmoothing * (min(float64(load)/float64(slots), maxUtilisation) - k.utilisation)
	}
}

// None is the position returned when no candidate can take the request.
const None = -1

// Pick returns the position of the chosen candidate, or None. It passes over positions for
// which skip returns true.
func (k *Picker) Pick(now time.Time, list []Candidate, skip func(int) bool) int {
	switch p := k.policy.(type) {
	case Random:
		return k.random(list, skip)
	case RoundRobin:
		return k.roundRobin(list, skip)
	case LeastInFlight:
		return k.leastInFlight(list, skip)
	case Adaptive:
		return k.adaptive(now, list, skip, p.Choices)
	}
	return None
}

func eligible(list []Candidate, i int, skip func(int) bool) bool {
	c := &list[i]
	return !c.Closed && c.InFlight < c.Limit && (skip == nil || !skip(i))
}

// random tries each position once, in order from a random one.
func (k *Picker) random(list []Candidate, skip func(int) bool) int {
	if len(list) == 0 {
		return None
	}
	start := k.rand.IntN(len(list))
	return firstEligible(list, start, skip)
}

func (k *Picker) roundRobin(list []Candidate, skip func(int) bool) int {
	k.turn++
	return firstEligible(list, k.turn, skip)
}

func firstEligible(list []Candidate, start int, skip func(int) bool) int {
	for i := range list {
		j := (start + i) % len(list)
		if eligible(list, j, skip) {
			return j
		}
	}
	return None
}

func (k *Picker) leastInFlight(list []Candidate, skip func(int) bool) int {
	best := None
	if len(list) == 0 {
		return best
	}
	start := k.rand.IntN(len(list))
	for i := range list {
		j := (start + i) % len(list)
		if eligible(list, j, skip) && (best == None || list[j].InFlight < list[best].InFlight) {
			best = j
		}
	}
	return best
}

// adaptive compares several candidates drawn without replacement: it walks the list from a
// random position with a random step that is coprime to the length of the list.
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
		if eligible(list, at, skip) {
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

// step returns a random step that is coprime to n.
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

// score rates a candidate; lower is better.
func (k *Picker) score(now time.Time, c *Candidate) float64 {
	score := (c.load(now, k.utilisation) + 1) / c.effectiveSlots(now)
	score += slownessWeight * c.slowness(now, k.typical)
	if c.Remote {
		score += remotePenalty
	}
	if k.HasStraggler(now, c) {
		score += stragglerPenalty
	}
	return score
}

// HasStraggler reports whether the oldest request in flight at the candidate has been there
// for far longer than is typical.
func (k *Picker) HasStraggler(now time.Time, c *Candidate) bool {
	if c.InFlight == 0 || k.typical == 0 || c.OldestStart.IsZero() {
		return false
	}
	bound := max(stragglerFactor*k.typical, stragglerFloor)
	return now.Sub(c.OldestStart) > bound
}
