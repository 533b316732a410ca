package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/throttler"
)

// The bound that these tests check: from contact after an endpoint first named its limit, it gets
// in no limitWindow more than limitFactor times what that allows and limitSlack requests, from
// entries that passed on such a response learnTime before or earlier. A restart, freeze or cut
// excuses an entry for the time of contact.
const (
	contact     = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	learnTime   = 500 * time.Millisecond
)

// limitChange is a limit that a backend names from a time on; a rate of zero names none.
type limitChange struct {
	at   time.Time
	rate float64
}

// arrival is an attempt that reached a backend.
type arrival struct {
	at   time.Time
	from *simEntry
	// told is the limit that the entry had last passed on to a caller learnTime before; zero if it
	// had passed on none, or has passed on a response without a limit since.
	told    float64
	excused bool
	// toldWarmUp is set if the entry had been told of the present warm-up of the backend.
	toldWarmUp bool
}

// toldRate is what a response of a backend stated when an entry passed it on.
type toldRate struct {
	at      time.Time
	backend string
	rate    float64
}

// toldBy returns the limit that the entry had last passed on by a time.
func (e *simEntry) toldBy(at time.Time, backend string) float64 {
	rate := 0.0
	for _, r := range e.told {
		if r.backend == backend && !r.at.After(at) {
			rate = r.rate
		}
	}
	return rate
}

// bound returns the limit that binds the entry.
func (e *simEntry) bound(now time.Time, backend string) float64 {
	if e.toldBy(now, backend) == 0 {
		return 0
	}
	return e.toldBy(now.Add(-learnTime), backend)
}

// pass records that the entry has passed on a response of a backend.
func (e *simEntry) pass(now time.Time, b *backend) {
	if rate := b.rate(now); rate != e.toldBy(now, b.name) {
		e.told = append(e.told, toldRate{now, b.name, rate})
	}
}

// isExcused reports whether an entry was started, frozen or cut off within the time of contact.
func (s *simulation) isExcused(e *simEntry) bool {
	for link, cut := range s.cutLinks {
		if cut && (link[0] == e.name || link[1] == e.name) {
			return true
		}
	}
	return s.now.Sub(e.disruptedAt) < contact
}

func (b *backend) statement(now time.Time) throttler.Statement {
	if rate := b.rate(now); rate > 0 {
		return throttler.Statement{Kind: throttler.StatementLimit, Rate: rate}
	}
	return throttler.Statement{Kind: throttler.StatementNone}
}

// rate returns the limit that the backend names, or zero.
func (b *backend) rate(now time.Time) float64 {
	rate := 0.0
	for _, c := range b.limits {
		if !c.at.After(now) {
			rate = c.rate
		}
	}
	return rate
}

// loosest returns the highest limit in force within the window that ends at a time, and whether
// a limit was in force throughout it and the time of contact before its end.
func (b *backend) loosest(end time.Time) (float64, bool) {
	highest := b.rate(end.Add(-limitWindow))
	if b.rate(end.Add(-contact)) == 0 {
		return 0, false
	}
	for _, c := range b.limits {
		if c.at.After(end.Add(-limitWindow)) && !c.at.After(end) {
			if c.rate == 0 {
				return 0, false
			}
			highest = max(highest, c.rate)
		}
	}
	return highest, true
}

// probe lets a backend reply to a probe one step later.
func (s *simulation) probe(e *simEntry, p balancer.Probe) {
	starts := e.starts
	report := balancer.Report{}
	sentAt := s.now
	for _, b := range s.backends {
		if b.name == p.Endpoint {
			report.Load = b.running(s.now)
			report.WarmUp = s.warmUpStatement(b)
		}
	}
	s.deliverLater(p.Endpoint, e.name, true, func() {
		if e.up && e.starts == starts {
			if report.WarmUp.Left > 0 {
				e.probedWarmUps[p.Endpoint] = sentAt
			}
			s.handleBalancer(e, balancer.ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: true, Elapsed: step, Report: report})
		}
	})
}

// checkLimit fails if a backend got more requests in some window than its limit allows. An entry
// that has not passed on a lower limit yet is not bound by it.
func (s *simulation) checkLimit(b *backend) {
	start := 0
	for end := range b.arrivals {
		at := b.arrivals[end].at
		for at.Sub(b.arrivals[start].at) >= limitWindow {
			start++
		}
		rate, ok := b.loosest(at)
		if !ok {
			continue
		}
		counted := 0
		for _, a := range b.arrivals[start : end+1] {
			if !a.excused && a.told > 0 && a.told <= rate {
				counted++
			}
		}
		if allowed := limitFactor*limitWindow.Seconds()*rate + limitSlack; float64(counted) > allowed {
			s.t.Fatalf("%s has named a limit of %v a second and got %d requests in %s until %s, allowed %.1f;%s", b.name, rate, counted, limitWindow, at.Sub(b.limits[0].at), allowed, b.describe(b.arrivals[start:end+1]))
		}
	}
}

// describe lists the limits of a backend and the requests that it got, with the times since it
// first named one.
func (b *backend) describe(arrivals []arrival) string {
	start := b.limits[0].at
	text := " limits"
	for _, l := range b.limits {
		text += fmt.Sprintf(" %v at %s", l.rate, l.at.Sub(start))
	}
	text += "; requests"
	for _, a := range arrivals {
		if !a.excused && a.told > 0 {
			text += fmt.Sprintf(" %s from %s (%v)", a.at.Sub(start), a.from.name, a.told)
		}
	}
	return text
}

// traffic sends calls to entries at a constant rate.
type traffic struct {
	perSecond float64
	// pick returns the entry for a call.
	pick func(s *simulation) *simEntry
}

func throughAll(s *simulation) *simEntry { return s.entries[s.rand.IntN(len(s.entries))] }

func throughOne(s *simulation) *simEntry { return s.entries[0] }

// moving lets all calls arrive at one entry, and at another one every two seconds.
func moving(s *simulation) *simEntry {
	return s.entries[int(s.now.Unix()/2)%len(s.entries)]
}

// runTraffic runs the simulation with calls that have a second to complete.
func (s *simulation) runTraffic(d time.Duration, load traffic) {
	pending := 0.0
	for end := s.now.Add(d); s.now.Before(end); {
		for pending += load.perSecond * step.Seconds(); pending >= 1; pending-- {
			s.call(load.pick(s), "", time.Second)
		}
		s.step()
	}
}

// startLimited returns a running system.
func startLimited(t fatalReporter, entries, backends int, seed uint64, opts ...balancer.Option) *simulation {
	s := newSimulation(t, 3, 0, seed)
	s.balancerOptions = opts
	for i := range entries {
		e := &simEntry{name: fmt.Sprint("e", i)}
		s.entries = append(s.entries, e)
		s.startEntry(e)
	}
	for i := len(s.backends); i < backends; i++ {
		s.addBackend(fmt.Sprint("b", i))
	}
	s.runFor(2 * time.Second)
	doc := document(0, "first")
	doc.Services[0].QueueLimit = 64
	s.apply(s.replicas[0], doc)
	s.runFor(2 * time.Second)
	return s
}

// nameLimit lets the first backends name a limit from now on.
func (s *simulation) nameLimit(rate float64, backends int) {
	for _, b := range s.backends[:backends] {
		b.limits = append(b.limits, limitChange{s.now, rate})
	}
}

// sampling is how entries on the platform choose endpoints.
var sampling = balancer.WithSampling(balancer.Sampling{Endpoints: 3, Timeout: 20 * time.Millisecond, ProbesPerSecond: 200})

// TestNamedLimitHoldsForAllEntries guards against an endpoint in need that goes on to receive its
// usual number of requests, or its limit from each entry, after it has named a limit for all of
// them together.
func TestNamedLimitHoldsForAllEntries(t *testing.T) {
	tests := []struct {
		name      string
		entries   int
		backends  int
		perSecond float64
		pick      func(s *simulation) *simEntry
		opts      []balancer.Option
	}{
		{"17 entries", 17, 13, 112, throughAll, nil},
		{"17 entries that sample", 17, 13, 112, throughAll, []balancer.Option{sampling}},
		{"traffic through one entry", 17, 13, 112, throughOne, nil},
		{"traffic that moves", 17, 13, 112, moving, nil},
		{"traffic that moves, sampling", 17, 13, 112, moving, []balancer.Option{sampling}},
		{"313 entries", 313, 24, 530, throughAll, []balancer.Option{sampling}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startLimited(t, tt.entries, tt.backends, 1, tt.opts...)
			load := traffic{tt.perSecond, tt.pick}
			s.runTraffic(3*time.Second, load)
			s.nameLimit(2.6, 1)
			s.runTraffic(12*time.Second, load)
			s.checkLimit(s.backends[0])
		})
	}
}

// TestLimitsTakeNoMoreThanTheyMust guards against calls that are refused, or wait, because permits
// are held by entries that don't use them, or arrive too late.
func TestLimitsTakeNoMoreThanTheyMust(t *testing.T) {
	const backends = 13
	tests := []struct {
		name      string
		entries   int
		limited   int
		rate      float64
		perSecond float64
		pick      func(s *simulation) *simEntry
		// leastServed is the share of the calls that must be answered.
		leastServed float64
	}{
		{"one endpoint of many", 17, 1, 2.6, 112, throughAll, 1},
		{"one endpoint of many, one entry", 17, 1, 2.6, 40, throughOne, 1},
		{"all endpoints, calls below the sum", 17, backends, 8, 50, throughAll, 0.98},
		{"all endpoints, one entry", 17, backends, 8, 50, throughOne, 0.98},
		{"all endpoints, moving", 17, backends, 8, 50, moving, 0.98},
		{"all endpoints, calls at twice the sum", 17, backends, 4, 104, throughAll, 0.9 * 0.5},
		{"all endpoints, one entry, twice the sum", 17, backends, 4, 104, throughOne, 0.9 * 0.5},
		{"all endpoints, 100 entries, twice the sum", 100, backends, 4, 104, throughAll, 0.9 * 0.5},
	}
	for _, tt := range tests {
		for _, opts := range [][]balancer.Option{nil, {sampling}} {
			t.Run(fmt.Sprint(tt.name, len(opts)), func(t *testing.T) {
				s := startLimited(t, tt.entries, backends, 1, opts...)
				load := traffic{tt.perSecond, tt.pick}
				s.runTraffic(2*time.Second, load)
				s.nameLimit(tt.rate, tt.limited)
				s.runTraffic(4*time.Second, load)
				calls, served := s.lastCall, s.responses
				s.runTraffic(20*time.Second, load)
				share := float64(s.responses-served) / float64(s.lastCall-calls)
				t.Logf("%.3f of the calls served", share)
				assert.Assert(t, share >= tt.leastServed-0.002, "%.3f of the calls served", share)
				for _, b := range s.backends {
					s.checkLimit(b)
				}
			})
		}
	}
}

// TestLimitHoldsWithoutControl guards against entries that each use the whole limit, or less than a
// quarter of it together, while no replica can issue permits.
func TestLimitHoldsWithoutControl(t *testing.T) {
	const backends = 13
	tests := []struct {
		name    string
		entries int
		rate    float64
		// stop takes the replicas away before or after the limit is named.
		stopFirst bool
	}{
		{"17 entries, lost before", 17, 2.6, true},
		{"17 entries, lost after", 17, 2.6, false},
		{"100 entries, lost before", 100, 2.6, true},
		{"100 entries, lost after", 100, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startLimited(t, tt.entries, backends, 1, sampling, balancer.WithOptionalConfigLease())
			load := traffic{104, throughAll}
			s.runTraffic(5*time.Second, load)
			if !tt.stopFirst {
				s.nameLimit(tt.rate, backends)
				s.runTraffic(3*time.Second, load)
			}
			for _, c := range s.replicas {
				s.crash(c)
			}
			if tt.stopFirst {
				s.nameLimit(tt.rate, backends)
			}
			s.runTraffic(8*time.Second, load)
			served := s.responses
			s.runTraffic(20*time.Second, load)
			for _, b := range s.backends {
				s.checkLimit(b)
			}
			perBackend := float64(s.responses-served) / 20 / backends
			assert.Assert(t, perBackend >= tt.rate/4, "%.2f requests a second for each endpoint", perBackend)
		})
	}
}

// TestLimitsCostABoundedNumberOfMessages guards against messages that grow with the number of
// endpoints that name a limit, and against any at rest.
func TestLimitsCostABoundedNumberOfMessages(t *testing.T) {
	const entries, backends = 50, 200
	s := startLimited(t, entries, backends, 1, sampling)
	load := traffic{200, throughAll}
	s.runTraffic(2*time.Second, load)
	assert.Equal(t, s.permitMessages, 0, "no limit is named")
	s.nameLimit(2, backends)
	s.runTraffic(2*time.Second, load)
	s.permitMessages, s.limitMessages = 0, 0
	const seconds = 10
	s.runTraffic(seconds*time.Second, load)
	perEntry := float64(s.permitMessages) / entries / seconds
	assert.Assert(t, perEntry <= 20, "%.1f requests for permits a second from each entry", perEntry)
	limits := float64(s.limitMessages) / entries / seconds
	assert.Assert(t, limits <= 10, "%.1f messages with limits a second to each entry", limits)
	s.permitMessages, s.limitMessages = 0, 0
	s.runFor(5 * time.Second)
	s.permitMessages, s.limitMessages = 0, 0
	s.runFor(seconds * time.Second)
	assert.Equal(t, s.permitMessages+s.limitMessages, 0, "no calls")
}

// TestEntriesThatSawNoResponseKeepTheLimit guards against entries that learn of a limit only from a
// response of their own: those that join later, or had no call for the endpoint yet.
func TestEntriesThatSawNoResponseKeepTheLimit(t *testing.T) {
	s := startLimited(t, 100, 13, 1, sampling)
	load := traffic{200, throughAll}
	s.runTraffic(2*time.Second, load)
	s.nameLimit(2.6, 1)
	s.runTraffic(time.Second, load)
	for _, e := range s.entries[:50] {
		s.crashEntry(e)
		s.startEntry(e)
	}
	s.runTraffic(500*time.Millisecond, load)
	from := s.now
	s.runTraffic(12*time.Second, load)
	b := s.backends[0]
	first := slices.IndexFunc(b.arrivals, func(a arrival) bool { return a.at.After(from) })
	counted := b.arrivals[first:]
	start := 0
	for end := range counted {
		for counted[end].at.Sub(counted[start].at) >= limitWindow {
			start++
		}
		assert.Assert(t, float64(end-start+1) <= limitFactor*limitWindow.Seconds()*2.6+limitSlack)
	}
	assert.Assert(t, len(counted) > 12, "the limit is used")
}
