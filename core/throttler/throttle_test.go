package throttler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newThrottle(entries int) *Throttle { return New(rand.New(rand.NewPCG(1, 2)), entries) }

func named(rate float64) Statement { return Statement{Kind: StatementLimit, Rate: rate} }

// TestOlderResponseDoesNotLift guards against a response that arrives late and states an earlier
// limit, or none, in place of the present one.
func TestOlderResponseDoesNotLift(t *testing.T) {
	none := Statement{Kind: StatementNone}
	tests := []struct {
		name      string
		statement Statement
		sentAt    time.Time
		want      float64
	}{
		{"lower, sent before", named(1), at(0), 1},
		{"lower, sent after", named(1), at(200), 1},
		{"higher, sent before", named(5), at(50), 2},
		{"higher, sent after", named(5), at(101), 5},
		{"none, sent before", none, at(50), 2},
		{"none, sent after", none, at(101), 0},
		{"unreadable", Statement{Kind: StatementInvalid}, at(101), 2},
		{"no response", Statement{}, at(101), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			th := newThrottle(1)
			th.Observe(at(100), at(90), named(2))
			changed := th.Observe(at(300), tt.sentAt, tt.statement)
			assert.Equal(t, th.Limit().Rate, tt.want)
			assert.Equal(t, changed, tt.want != 2)
		})
	}
}

// TestLateReplyGivesNoExtraTime guards against permits that add up because their replies are slow:
// a permit ends a life after the request for it was sent, whenever the reply arrives.
func TestLateReplyGivesNoExtraTime(t *testing.T) {
	tests := []struct {
		name    string
		arrives time.Time
		delay   time.Duration
		from    time.Time
		until   time.Time
	}{
		{"at once", at(0), 0, at(0), at(1000)},
		{"for later", at(10), 200 * time.Millisecond, at(210), at(1200)},
		{"in reserve", at(10), -time.Second, at(10), at(1000)},
		{"slow", at(400), 200 * time.Millisecond, at(600), at(1200)},
		{"too late", at(1500), 0, at(9000), at(9001)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			th := newThrottle(1)
			th.Observe(at(0), at(0), named(2))
			th.Want(at(0))
			r, ok := th.Request(at(0))
			assert.Assert(t, ok && r.Permits == 1 && r.Observed)
			th.Grant(tt.arrives, at(0), Grant{Limit: Limit{Rate: 2, Version: 1}, Permits: 1, Delay: tt.delay})
			for now := tt.arrives; now.Before(at(3000)); now = now.Add(time.Millisecond) {
				usable := !now.Before(tt.from) && now.Before(tt.until)
				assert.Equal(t, th.Available(now), usable, "%s", now.Sub(epoch))
			}
		})
	}
}

// TestLowerLimitDropsPermits guards against permits of a higher limit that are used under a lower
// one, and against replies that were issued for the higher one.
func TestLowerLimitDropsPermits(t *testing.T) {
	th := newThrottle(1)
	th.Observe(at(0), at(0), named(100))
	assert.Assert(t, th.Adopt(at(0), Limit{Rate: 100, Version: 1}) == false)
	th.Grant(at(10), at(0), Grant{Limit: Limit{Rate: 100, Version: 1}, Permits: 5, Interval: 10 * time.Millisecond})
	assert.Assert(t, th.Available(at(10)))
	assert.Assert(t, th.Adopt(at(20), Limit{Rate: 1, Version: 2}))
	assert.Assert(t, !th.Available(at(20)))
	th.Grant(at(30), at(15), Grant{Limit: Limit{Rate: 100, Version: 1}, Permits: 5})
	assert.Assert(t, !th.Available(at(30)))
}

// TestOwnObservationIsKept guards against a limit that control knows replacing a lower one that a
// response has named meanwhile.
func TestOwnObservationIsKept(t *testing.T) {
	th := newThrottle(1)
	th.Observe(at(0), at(0), named(1))
	assert.Assert(t, !th.Adopt(at(10), Limit{Rate: 5, Version: 3}))
	assert.Equal(t, th.Limit(), Limit{Rate: 1, Version: 3})
	r, ok := th.Request(at(10))
	assert.Assert(t, ok && r.Observed)
	assert.Assert(t, !th.Adopt(at(20), Limit{Rate: 1, Version: 4}))
	_, ok = th.Request(at(20))
	assert.Assert(t, !ok, "control knows the limit")
	assert.Assert(t, th.Adopt(at(30), Limit{Version: 5}))
	assert.Assert(t, !th.Limited())
}

// TestRandomOwnPermitsAreTheEntrysPart guards against entries that exceed a limit together while
// none of them gets a reply: each issues at most its part of half of it, and one permit more.
func TestRandomOwnPermitsAreTheEntrysPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 400).Draw(rt, "entries")
		rate := rapid.Float64Range(MinRate, 500).Draw(rt, "rate")
		th := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), entries)
		th.Observe(epoch, epoch, named(rate))
		used := 0
		span := time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds")) * time.Second
		for now := epoch; now.Before(epoch.Add(span)); now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond) {
			if !th.Available(now) {
				th.Want(now)
			}
			th.Request(now)
			for th.Take(now) {
				used++
			}
		}
		if most := span.Seconds()*rate/ownShareDivisor/float64(entries) + 1; float64(used) > most {
			rt.Fatalf("%d permits in %s, at most %.1f", used, span, most)
		}
	})
}

// TestThrottleWithoutLimitCostsNothing asserts that an endpoint that has ended its limit needs
// neither permits nor time.
func TestThrottleWithoutLimitCostsNothing(t *testing.T) {
	th := newThrottle(3)
	th.Observe(at(0), at(0), named(1))
	th.Want(at(0))
	th.Request(at(0))
	th.Observe(at(10), at(5), Statement{Kind: StatementNone})
	assert.Assert(t, th.Available(at(10)) && th.Take(at(10)))
	assert.Assert(t, th.ChangeAt(at(10)).IsZero())
	r, ok := th.Request(at(10))
	assert.Assert(t, ok && r.Observed && r.Permits == 0, "control is told")
	_, ok = th.Request(at(20))
	assert.Assert(t, !ok)
}
