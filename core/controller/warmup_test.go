package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/throttler"
)

// The users' rule on endpoints in warm-up: in no warmUpWindow more than warmUpFactor times the rate and warmUpSlack
// requests. warmUpUse is the share of the rate that must be used where there is demand.
const (
	warmUpRate   = 5.8
	warmUpWindow = time.Second
	warmUpFactor = 1.5
	warmUpSlack  = 8
	warmUpUse    = 0.8
)

// warmUpStatement is what a backend states in the reply to a probe.
func (s *simulation) warmUpStatement(b *backend) throttler.WarmUpStatement {
	left := b.coldUntil.Sub(s.now)
	switch {
	case !s.probesNameWarmUp || b.coldUntil.IsZero():
		return throttler.WarmUpStatement{Kind: throttler.WarmUpNone}
	case left <= 0:
		return throttler.WarmUpStatement{Kind: throttler.WarmUpNamed}
	}
	return throttler.WarmUpStatement{Kind: throttler.WarmUpNamed, Left: left}
}

// toldWarmUp is a warm-up of which a balancer was told.
type toldWarmUp struct {
	backend string
	until   time.Time
}

// knowsWarmUp reports whether the entry was told of the present warm-up of a backend.
func (e *simEntry) knowsWarmUp(b *backend) bool {
	if at, ok := e.probedWarmUps[b.name]; ok && !at.Before(b.coldFrom) {
		return true
	}
	return slices.ContainsFunc(e.warmUps, func(w toldWarmUp) bool {
		return w.backend == b.name && !w.until.Before(b.coldUntil)
	})
}

func (e *simEntry) noteWarmUps(list []balancer.Endpoint) {
	for _, endpoint := range list {
		if !endpoint.WarmUpUntil.IsZero() {
			e.warmUps = append(e.warmUps, toldWarmUp{endpoint.Endpoint, endpoint.WarmUpUntil})
		}
	}
}

// restartCold starts a backend again, in warm-up for a time.
func (s *simulation) restartCold(b *backend, warmUp time.Duration) {
	b.incarnation++
	b.sequence = 0
	b.coldFrom = s.now
	b.coldUntil = s.now.Add(warmUp)
	s.announce(b, s.entries[s.rand.IntN(len(s.entries))])
}

// startWarmUps returns a running system whose endpoints take warmUpRate requests a second in warm-up.
func startWarmUps(t fatalReporter, entries, backends int, seed uint64, opts ...balancer.Option) *simulation {
	s := startLimited(t, entries, backends, seed, opts...)
	s.slots = 2
	doc := document(1, "warm-up")
	doc.Services[0].QueueLimit = 64
	doc.Services[0].WarmUpRequestsPerSecond = warmUpRate
	s.apply(s.replicas[0], doc)
	s.runFor(2 * time.Second)
	return s
}

// checkWarmUp fails if a backend got more requests in some window since a time than the rule allows.
func (s *simulation) checkWarmUp(b *backend, from time.Time) {
	if most := b.mostIn(from, warmUpWindow); float64(most) > warmUpRate*warmUpFactor+warmUpSlack {
		s.t.Fatalf("%s got %d requests in %s during its warm-up", b.name, most, warmUpWindow)
	}
}

// returnedShare returns which share of a rate a number of backends got on average since a time.
func (s *simulation) returnedShare(backends []*backend, from time.Time, rate float64) float64 {
	n := 0
	for _, b := range backends {
		n += len(b.arrivals) - b.arrivalsBefore(from)
	}
	return float64(n) / (rate * s.now.Sub(from).Seconds() * float64(len(backends)))
}

// TestReturningDataCentreIsNotOverloaded lets all 78 endpoints of a data centre return cold while there is load, with and
// without contact with control. It guards against entries that exceed the rate together, and against a rate that is not
// used, during the warm-up and after it.
func TestReturningDataCentreIsNotOverloaded(t *testing.T) {
	const (
		returning = 78
		backends  = 2 * returning
		warmUp    = 12 * time.Second
		perSecond = 1.5 * warmUpRate * backends
	)
	for _, entries := range []int{16, 140, 313} {
		for _, samples := range []bool{false, true} {
			for _, contact := range []bool{true, false} {
				if !contact && !samples {
					continue // such entries send nothing without a configuration lease
				}
				t.Run(fmt.Sprintf("%d entries, sampling %t, contact %t", entries, samples, contact), func(t *testing.T) {
					t.Parallel()
					var opts []balancer.Option
					if samples {
						opts = append(opts, sampling, balancer.WithOptionalConfigLease()) // as on the platform
					}
					s := startWarmUps(t, entries, backends, 1, opts...)
					s.probesNameWarmUp = samples
					load := traffic{perSecond, throughAll}
					s.runTraffic(2*time.Second, load)
					cold := s.backends[:returning]
					from := s.now
					for _, b := range cold {
						b.arrivals = nil
						s.restartCold(b, warmUp)
					}
					s.runTraffic(2*time.Second, load)
					if !contact {
						for _, c := range s.replicas {
							s.isolateFromEntries(c)
						}
					}
					measured, messages := s.now, s.permitMessages
					s.runTraffic(warmUp-2*time.Second, load)
					use := s.returnedShare(cold, measured, warmUpRate)
					most := 0
					for _, b := range cold {
						s.checkWarmUp(b, from)
						most = max(most, b.mostIn(from, warmUpWindow))
					}
					t.Logf("| %d | %t | %t | %.2f | %d | %.1f |", entries, samples, contact, use, most, float64(s.permitMessages-messages)/(warmUp-2*time.Second).Seconds())
					if !contact {
						return
					}
					assert.Check(t, use >= warmUpUse, "%.2f of the rate is used", use)
					s.runTraffic(2*time.Second, load)
					after := s.now
					s.runTraffic(3*time.Second, load)
					share := s.returnedShare(cold, after, perSecond/backends)
					assert.Check(t, share >= 0.7, "%.2f of the normal share after the warm-up", share)
				})
			}
		}
	}
}

// isolateFromEntries cuts the links between a replica and all entries.
func (s *simulation) isolateFromEntries(c *replica) {
	for _, e := range s.entries {
		s.cutLinks[[2]string{e.name, c.name}] = true
		s.cutLinks[[2]string{c.name, e.name}] = true
	}
}

// TestEndpointThatTurnsColdIsNotOverloaded lets endpoints become cold without a restart, which only the next announcement
// and replies to probes tell, and end their warm-up early. It guards against a change that is taken for a renewal.
func TestEndpointThatTurnsColdIsNotOverloaded(t *testing.T) {
	const perSecond = 900
	for _, probed := range []bool{false, true} {
		t.Run(fmt.Sprintf("named to probes: %t", probed), func(t *testing.T) {
			s := startWarmUps(t, 24, 12, 1, sampling)
			s.probesNameWarmUp = probed
			load := traffic{perSecond, throughAll}
			s.runTraffic(12*time.Second, load)
			b := s.backends[0]
			b.coldUntil = s.now.Add(20 * time.Second)
			from := s.now
			if !probed {
				from = from.Add(1500 * time.Millisecond) // an announcement each second, and its way to the entries
			}
			s.runTraffic(8*time.Second, load)
			s.checkWarmUp(b, from)
			assert.Check(t, s.returnedShare([]*backend{b}, s.now.Add(-4*time.Second), warmUpRate) >= warmUpUse)
			b.coldUntil = s.now // ends early
			s.runTraffic(2500*time.Millisecond, load)
			after := s.now
			s.runTraffic(3*time.Second, load)
			share := s.returnedShare([]*backend{b}, after, perSecond/12)
			assert.Check(t, share >= 0.7, "%.2f of the normal share after the warm-up", share)
		})
	}
}

// TestLateEntryLearnsTheRemainingWarmUp guards against an entry that starts late in a warm-up and counts it from the start.
func TestLateEntryLearnsTheRemainingWarmUp(t *testing.T) {
	s := startWarmUps(t, 4, 3, 1)
	const warmUp = 10 * time.Second
	s.restartCold(s.backends[0], warmUp)
	until := s.backends[0].coldUntil
	s.runFor(8 * time.Second)
	e := s.entries[0]
	s.crashEntry(e)
	s.startEntry(e)
	s.runFor(time.Second)
	for _, update := range e.warmUps {
		assert.Equal(t, update.backend, s.backends[0].name)
		left := update.until.Sub(until).Abs()
		assert.Assert(t, left < 1500*time.Millisecond, "off by %s", left)
	}
	assert.Assert(t, len(e.warmUps) > 0)
}

// TestRandomWarmUps plays restarts and endpoints that turn cold, with and without limits of their own, among restarts, cuts
// and freezes of entries and losses of leaders. It guards against the rate of a warm-up that holds only while nothing
// else happens, and against a warm-up that ends the limit of an endpoint.
func TestRandomWarmUps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 24).Draw(rt, "entries")
		backends := rapid.IntRange(3, 8).Draw(rt, "backends")
		s := startWarmUps(rt, entries, backends, rapid.Uint64().Draw(rt, "seed"), sampling)
		s.probesNameWarmUp = true
		h := &limitHistory{simulation: s, t: rt, load: traffic{rapid.Float64Range(5, 150).Draw(rt, "calls a second"), throughAll}}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				b := h.drawBackend()
				b.limits = append(b.limits, limitChange{h.now, 0})
				for _, e := range h.entries {
					e.pass(h.now, b)
				}
				s.noteWarmUp(b)
				s.restartCold(b, time.Duration(rapid.IntRange(1, 8_000).Draw(rt, "warm-up"))*time.Millisecond)
			case 1:
				b := h.drawBackend()
				s.noteWarmUp(b)
				b.coldFrom = h.now
				b.coldUntil = h.now.Add(time.Duration(rapid.IntRange(0, 8_000).Draw(rt, "cold"))*time.Millisecond + 1)
			default:
				h.event()
			}
			s.runTraffic(time.Duration(rapid.IntRange(10, 1500).Draw(rt, "ms"))*time.Millisecond, h.load)
		}
		h.restore()
		s.runTraffic(3*time.Second, h.load)
		for _, b := range s.backends {
			s.noteWarmUp(b)
			s.checkLimit(b)
			s.checkWarmUps(b)
		}
	})
}

// span is a time in which a backend was in warm-up.
type span struct{ from, until time.Time }

// noteWarmUp ends the present span of a backend's warm-up, if there is one.
func (s *simulation) noteWarmUp(b *backend) {
	if b.coldUntil.IsZero() {
		return
	}
	until := b.coldUntil
	if s.now.Before(until) {
		until = s.now
	}
	b.warmUps = append(b.warmUps, span{b.coldFrom, until})
}

// checkWarmUps fails if a backend got more requests in some window within its warm-ups than the rule allows, from entries
// that had been told. The others can't know: a call from a queue is sent without a probe.
func (s *simulation) checkWarmUps(b *backend) {
	for _, w := range b.warmUps {
		counted := b.arrivals[b.arrivalsBefore(w.from):b.arrivalsBefore(w.until)]
		counted = slices.DeleteFunc(slices.Clone(counted), func(a arrival) bool { return !a.toldWarmUp })
		window := backend{arrivals: counted}
		if most := window.mostIn(w.from, warmUpWindow); float64(most) > warmUpRate*warmUpFactor+warmUpSlack {
			s.t.Fatalf("%s got %d requests in %s during its warm-up of %s", b.name, most, warmUpWindow, w.until.Sub(w.from))
		}
	}
}
