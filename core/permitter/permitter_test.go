package permitter

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	name  = registrar.Name{Service: "s", Endpoint: "e"}
)

func observed(rate float64, version uint64) throttler.Request {
	return throttler.Request{Limit: throttler.Limit{Rate: rate, Version: version}, Observed: true}
}

// TestLimitChangesOnlyByNewerStatements guards against an entry with outdated knowledge that lifts
// the limit of an endpoint for all.
func TestLimitChangesOnlyByNewerStatements(t *testing.T) {
	const version = 1 << termBits
	tests := []struct {
		name        string
		incarnation uint64
		request     throttler.Request
		want        float64
	}{
		{"the same", 1, observed(2, version), 2},
		{"lower", 1, observed(1, version), 1},
		{"lower, version unknown", 1, observed(1, 0), 1},
		{"lower, not observed", 1, throttler.Request{Limit: throttler.Limit{Rate: 1}, Permits: 1}, 2},
		{"higher, version known", 1, observed(5, version), 5},
		{"higher, version unknown", 1, observed(5, 0), 2},
		{"none, version known", 1, observed(0, version), 0},
		{"none, version unknown", 1, observed(0, version-1), 2},
		{"an earlier process of the endpoint", 0, observed(1, 0), 2},
		{"a later process of the endpoint", 2, observed(7, 0), 7},
		{"a later process without a limit", 2, observed(0, 0), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New()
			g, changed := p.Handle(epoch, 1, name, 1, observed(2, 0))
			assert.Assert(t, changed && g.Limit == throttler.Limit{Rate: 2, Version: version})
			_, changed = p.Handle(epoch, 1, name, tt.incarnation, tt.request)
			l, _ := p.Find(name)
			assert.Equal(t, l.Limit.Rate, tt.want)
			assert.Equal(t, changed, tt.want != 2)
		})
	}
}

// TestNewLeaderLearnsLimits guards against limits that are lost with their leader: entries name
// them with their next request, and later versions are higher.
func TestNewLeaderLearnsLimits(t *testing.T) {
	first := New()
	g, _ := first.Handle(epoch, 3, name, 1, observed(2, 0))
	second := New()
	later, changed := second.Handle(epoch, 4, name, 1, throttler.Request{Limit: g.Limit, Permits: 1})
	assert.Assert(t, changed && later.Permits == 1)
	assert.Equal(t, later.Limit.Rate, 2.0)
	assert.Assert(t, later.Limit.Version > g.Limit.Version)
}

// TestFollowerAdoptsLimits asserts that a replica learns what changed, and drops what the leader
// doesn't list.
func TestFollowerAdoptsLimits(t *testing.T) {
	leader, follower := New(), New()
	leader.Handle(epoch, 1, name, 1, observed(2, 0))
	assert.Equal(t, len(follower.Adopt(epoch, leader.Limits(), false)), 1)
	assert.Equal(t, len(follower.Adopt(epoch, leader.Limits(), true)), 0)
	assert.DeepEqual(t, follower.Limits(), leader.Limits())
	follower.Adopt(epoch, nil, true)
	assert.Equal(t, follower.Len(), 0)
	known := func(registrar.Name) bool { return true }
	leader.Prune(epoch.Add(time.Hour), time.Second, known)
	assert.Equal(t, leader.Len(), 1)
	leader.Prune(epoch.Add(time.Hour), time.Second, func(registrar.Name) bool { return false })
	assert.Equal(t, leader.Len(), 0)
}

// TestRandomPermitsKeepTheLimit issues permits for random requests, and checks that however they
// are used, no span of time holds more than the limit allows for it and for one life of a permit,
// and two.
func TestRandomPermitsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.1, 200).Draw(rt, "rate")
		p := New()
		p.Handle(epoch, 1, name, 1, observed(rate, 0))
		var latest []time.Time // when each permit is used at the latest
		var earliest []time.Time
		now := epoch
		for range rapid.IntRange(1, 200).Draw(rt, "requests") {
			g, _ := p.Handle(now, 1, name, 1, throttler.Request{Limit: throttler.Limit{Rate: rate}, Permits: rapid.IntRange(1, 50).Draw(rt, "wanted")})
			for i := range g.Permits {
				from := now.Add(max(0, g.Delay+time.Duration(i)*g.Interval))
				earliest = append(earliest, from)
				latest = append(latest, from.Add(throttler.PermitLife))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
		}
		slices.SortFunc(earliest, time.Time.Compare)
		slices.SortFunc(latest, time.Time.Compare)
		const span = 4 * time.Second
		allowed := rate*(span+throttler.PermitLife).Seconds() + 2.01 // rounding of the interval
		for _, start := range latest {
			// All permits that can be used within the span that begins here.
			n := 0
			for i := range earliest {
				if !latest[i].Before(start) && earliest[i].Before(start.Add(span)) {
					n++
				}
			}
			if float64(n) > allowed {
				rt.Fatalf("%d permits can be used in %s, allowed %.1f", n, span, allowed)
			}
		}
	})
}

// TestUnusedLimitIsNotBlocked guards against an endpoint that gets nothing after its limit was very
// low for a while.
func TestUnusedLimitIsNotBlocked(t *testing.T) {
	p := New()
	g, _ := p.Handle(epoch, 1, name, 1, throttler.Request{Limit: throttler.Limit{Rate: throttler.MinRate}, Observed: true, Permits: 5})
	assert.Equal(t, g.Permits, 2)
	assert.Assert(t, g.RetryAfter > 0 && g.RetryAfter <= maxRetryAfter)
	g, changed := p.Handle(epoch.Add(time.Second), 1, name, 1, throttler.Request{Limit: throttler.Limit{Rate: 50, Version: g.Limit.Version}, Observed: true, Permits: 5})
	assert.Assert(t, changed && g.Permits > 0)
}

// BenchmarkHandle measures the leader's work for one endpoint in a request.
func BenchmarkHandle(b *testing.B) {
	p := New()
	p.Handle(epoch, 1, name, 1, observed(100, 0))
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p.Handle(now, 1, name, 1, throttler.Request{Limit: throttler.Limit{Rate: 100}, Permits: 3})
	}
}
