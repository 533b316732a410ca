package controller_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
)

// The target for the use of a limit while more calls would use the endpoint than it allows: the share of the limit
// that is used in any useWindow, from useStart after it was named.
const (
	targetUse = 0.95
	useWindow = 10 * time.Second
	useStart  = 4 * time.Second
)

// limitUse is one measurement of how a limit is used.
type limitUse struct {
	entries  int
	rate     float64
	pattern  string
	sampling bool
	// used is the smallest share of the limit that was used in any useWindow, and most the largest number of requests
	// in any limitWindow.
	used float64
	most int
	// messages is the number of requests for permits a second, from all entries together, and refused the share of calls
	// without a response.
	messages, refused float64
	// granted is the share of the limit for which permits were issued, and wasted the share of these that was not used.
	granted, wasted float64
}

// limitSystem returns the endpoints and the calls a second of a system in which a limit binds one endpoint: its equal
// part of the calls is twice the limit or more.
func limitSystem(entries int, rate float64) (backends int, perSecond float64) {
	backends, perSecond = 48, 530
	switch {
	case rate > 10:
		backends, perSecond = 4, 1.7*float64(entries)
	case entries <= 17:
		backends, perSecond = 13, 112
	case entries <= 106:
		backends, perSecond = 24, 300
	}
	return backends, max(perSecond, 2*rate*float64(backends))
}

// limitPattern tells through which entries calls come.
type limitPattern struct {
	name string
	// pick returns the entry for a call from those that have sent the endpoint requests before.
	pick func(s *simulation, users []*simEntry) *simEntry
}

// fixedPatterns are the patterns of calls that keep to their entries.
var fixedPatterns = []limitPattern{
	{"all", func(s *simulation, _ []*simEntry) *simEntry { return throughAll(s) }},
	{"some", func(s *simulation, users []*simEntry) *simEntry { return users[s.rand.IntN((len(users)+7)/8)] }},
	{"one", func(_ *simulation, users []*simEntry) *simEntry { return users[0] }},
}

// movingPattern is the pattern of calls that move.
var movingPattern = limitPattern{"moving", func(s *simulation, users []*simEntry) *simEntry { return users[int(s.now.Unix()/2)%len(users)] }}

// users returns the entries that have sent requests to a backend.
func (b *backend) users() []*simEntry {
	var users []*simEntry
	for _, a := range b.arrivals {
		if !slices.Contains(users, a.from) {
			users = append(users, a.from)
		}
	}
	return users
}

// measureLimitUse lets one endpoint name a limit.
func measureLimitUse(t fatalReporter, entries int, rate float64, p limitPattern, samples bool) limitUse {
	var opts []balancer.Option
	if samples {
		opts = append(opts, sampling)
	}
	backends, perSecond := limitSystem(entries, rate)
	s := startLimited(t, entries, backends, 1, opts...)
	s.slots = max(slotsOfBackend, int(rate)) // enough for the limit through one entry
	s.runTraffic(2*time.Second, traffic{perSecond, throughAll})
	b := s.backends[0]
	users := b.users()
	load := traffic{perSecond, func(s *simulation) *simEntry { return p.pick(s, users) }}
	s.nameLimit(rate, 1)
	s.runTraffic(useStart, load)
	from, messages, calls, responses := s.now, s.permitMessages, s.lastCall, s.responses
	granted, sent := s.permitCounts()
	const measured = 2 * useWindow
	s.runTraffic(measured, load)
	s.checkLimit(b)
	grantedAfter, sentAfter := s.permitCounts()
	return limitUse{
		entries: entries, rate: rate, pattern: p.name, sampling: samples,
		used: b.leastIn(from, s.now, useWindow) / (rate * useWindow.Seconds()), most: b.mostIn(from, limitWindow),
		messages: float64(s.permitMessages-messages) / measured.Seconds(),
		refused:  1 - float64(s.responses-responses)/float64(s.lastCall-calls),
		granted:  float64(grantedAfter-granted) / measured.Seconds() / rate,
		wasted:   1 - float64(sentAfter-sent)/float64(grantedAfter-granted),
	}
}

// permitCounts returns how many permits entries have got and used.
func (s *simulation) permitCounts() (granted, sent uint64) {
	for _, e := range s.entries {
		counts := e.balancer.LimitCounts()
		granted += counts.Granted
		sent += counts.Sent
	}
	return granted, sent
}

// leastIn returns the smallest number of requests that reached a backend in any window of a time.
func (b *backend) leastIn(from, until time.Time, window time.Duration) float64 {
	least := -1
	for start := from; !start.Add(window).After(until); start = start.Add(100 * time.Millisecond) {
		n := b.arrivalsBefore(start.Add(window)) - b.arrivalsBefore(start)
		if least < 0 || n < least {
			least = n
		}
	}
	return float64(least)
}

// mostIn returns the largest number of requests that reached a backend in any window from a time on.
func (b *backend) mostIn(from time.Time, window time.Duration) int {
	arrivals := b.arrivals[b.arrivalsBefore(from):]
	most, start := 0, 0
	for end, a := range arrivals {
		for a.at.Sub(arrivals[start].at) >= window {
			start++
		}
		most = max(most, end-start+1)
	}
	return most
}

func (u limitUse) String() string {
	return fmt.Sprintf("| %d | %g | %s | %t | %.2f | %d of %.1f | %.1f | %.3f | %.2f | %.2f |",
		u.entries, u.rate, u.pattern, u.sampling, u.used, u.most, limitFactor*limitWindow.Seconds()*u.rate+limitSlack, u.messages, u.refused, u.granted, u.wasted)
}

// tableVariable is the environment variable that has the tests measure and print the whole table.
const tableVariable = "COMFREYPLANK_LIMIT_TABLE"

// useRates returns the limits that the tests name.
func useRates() []float64 {
	if os.Getenv(tableVariable) != "" {
		return []float64{0.5, 2.6, 10, 50, 200}
	}
	return []float64{0.5, 2.6, 10}
}

// checkLimitUse measures a pattern of calls in all systems, and checks each against the target. A window holds whole
// requests only.
func checkLimitUse(t *testing.T, p limitPattern) {
	t.Helper()
	for _, entries := range []int{17, 106, 313} {
		for _, rate := range useRates() {
			for _, samples := range []bool{false, true} {
				u := measureLimitUse(t, entries, rate, p, samples)
				t.Log(u)
				least := math.Floor(targetUse * rate * useWindow.Seconds())
				assert.Check(t, u.used*rate*useWindow.Seconds() > least-0.5, "%s", u)
			}
		}
	}
}

// TestLimitsAreUsed guards against an endpoint in need that serves far less than it offers, as its permits are held by
// entries that don't use them. With COMFREYPLANK_LIMIT_TABLE set and -v it prints a part of the table of
// docs/design/permits.md.
func TestLimitsAreUsed(t *testing.T) {
	for _, p := range fixedPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			checkLimitUse(t, p)
		})
	}
}

// TestMovingLimitsAreUsed guards against the same while calls move from one entry to another every two seconds.
func TestMovingLimitsAreUsed(t *testing.T) { checkLimitUse(t, movingPattern) }
