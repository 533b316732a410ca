package throttler

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestUnreadableWarmUpChangesNothing guards against a malformed time that keeps an endpoint idle or ends its warm-up.
func TestUnreadableWarmUpChangesNothing(t *testing.T) {
	named := func(ms float64) WarmUpStatement {
		return WarmUpStatement{WarmUpNamed, time.Duration(ms * float64(time.Millisecond))}
	}
	invalid := WarmUpStatement{Kind: WarmUpInvalid}
	tests := []struct {
		name   string
		values []string
		want   WarmUpStatement
	}{
		{"not named", nil, WarmUpStatement{Kind: WarmUpNone}},
		{"whole", []string{"1500"}, named(1500)},
		{"over", []string{"0"}, named(0)},
		{"decimal", []string{"1.5"}, named(1.5)},
		{"with spaces", []string{" 20 "}, named(20)},
		{"twice", []string{"20", "30"}, named(30)},
		{"twice in one line", []string{"30, 20"}, named(30)},
		{"twice, one unreadable", []string{"abc", "0"}, named(0)},
		{"the longest", []string{"3600000"}, named(3_600_000)},
		{"too long", []string{"3600001"}, invalid},
		{"huge", []string{strings.Repeat("9", 60)}, invalid},
		{"endless", []string{strings.Repeat("9", 10_000)}, invalid},
		{"empty", []string{""}, invalid},
		{"negative", []string{"-1"}, invalid},
		{"not a number", []string{"NaN"}, invalid},
		{"infinite", []string{"Inf"}, invalid},
		{"exponent", []string{"1e3"}, invalid},
		{"with a unit", []string{"20ms"}, invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, ParseWarmUp(tt.values), tt.want)
		})
	}
}

// TestWarmUpAndLimitAreSeparate guards against a warm-up that ends the limit of an endpoint, and a limit that ends the
// warm-up.
func TestWarmUpAndLimitAreSeparate(t *testing.T) {
	const rate = 5.8
	none := Statement{Kind: StatementNone}
	tests := []struct {
		name string
		do   func(th *Throttle)
		cold float64
		warm float64
	}{
		{"warm-up alone", func(*Throttle) {}, rate, 0},
		{"lower limit", func(th *Throttle) { th.Observe(at(10), at(5), named(2)) }, 2, 2},
		{"higher limit", func(th *Throttle) { th.Observe(at(10), at(5), named(20)) }, rate, 20},
		{"response without a limit", func(th *Throttle) { th.Observe(at(10), at(5), none) }, rate, 0},
		{"limit that has ended", func(th *Throttle) {
			th.Observe(at(10), at(5), named(2))
			th.Observe(at(30), at(20), none)
		}, rate, 0},
		{"limit of control", func(th *Throttle) { th.Adopt(at(10), Limit{Rate: 2, Version: 1}) }, 2, 2},
		{"no limit of control", func(th *Throttle) { th.Adopt(at(10), Limit{Version: 1}) }, rate, 0},
		{"longer warm-up", func(th *Throttle) { th.SetWarmUp(at(10), rate, at(5000)) }, rate, rate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			th := newThrottle(1)
			assert.Assert(t, th.SetWarmUp(at(0), rate, at(1000)))
			tt.do(th)
			th.refresh(at(999))
			assert.Equal(t, th.rate, tt.cold)
			th.refresh(at(1000))
			assert.Equal(t, th.rate, tt.warm)
			assert.Equal(t, th.Available(at(1000)), tt.warm == 0)
		})
	}
}

// TestWarmUpDropsPermits guards against permits of the usual rate that are used in the warm-up, also those that were
// requested before it.
func TestWarmUpDropsPermits(t *testing.T) {
	th := newThrottle(1)
	limit := Limit{Rate: 100, Version: 1}
	th.Adopt(at(0), limit)
	th.Grant(at(10), at(0), Grant{Limit: limit, Permits: 5})
	assert.Assert(t, th.Available(at(10)))
	th.SetWarmUp(at(20), 5, at(5000))
	assert.Assert(t, !th.Available(at(20)))
	th.Grant(at(30), at(15), Grant{Limit: limit, Permits: 5})
	assert.Assert(t, !th.Available(at(30)))
	th.Want(at(40))
	r, ok := th.Request(at(40))
	assert.Assert(t, ok)
	assert.Equal(t, r.WarmUp, WarmUp{Rate: 5, Left: 4960 * time.Millisecond})
	assert.Equal(t, r.Limit, limit)
	th.Grant(at(50), at(40), Grant{Limit: limit, Permits: 1})
	assert.Assert(t, th.Available(at(50)))
}

// TestGrantWithoutLimitIsUsedInWarmUp guards against an endpoint that lies idle because a new leader knows no limit of it.
func TestGrantWithoutLimitIsUsedInWarmUp(t *testing.T) {
	th := newThrottle(1)
	th.Adopt(at(0), Limit{Version: 7})
	th.SetWarmUp(at(0), 5, at(5000))
	th.Grant(at(20), at(10), Grant{Permits: 1})
	assert.Assert(t, th.Take(at(20)))
}

// TestRandomRateIsTheLower checks the rate that applies against the two statements, whatever their order.
func TestRandomRateIsTheLower(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		th := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), 3)
		now := epoch
		limit, warmUp, until := 0.0, 0.0, time.Time{}
		rates := rapid.SampledFrom([]float64{0, 0.5, 2, 5.8, 20})
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				limit = rates.Draw(rt, "limit")
				s := Statement{Kind: StatementNone}
				if limit > 0 {
					s = named(limit)
				}
				th.Observe(now, now, s)
			case 1:
				warmUp, until = rates.Draw(rt, "warm-up"), now.Add(time.Duration(rapid.IntRange(-5, 2000).Draw(rt, "left"))*time.Millisecond)
				th.SetWarmUp(now, warmUp, until)
			case 2:
				th.Want(now)
				th.Request(now)
			case 3:
				th.Grant(now, now, Grant{Limit: th.Limit(), Permits: 1})
			case 4:
				th.Take(now)
			}
			want := limit
			if now.Before(until) && Restricts(warmUp, limit) {
				want = warmUp
			}
			th.refresh(now)
			if th.rate != want {
				rt.Fatalf("the rate is %v, with a limit of %v and %v until %s", th.rate, limit, warmUp, until.Sub(now))
			}
			if at := th.ChangeAt(now); want > 0 && want < limit && (at.IsZero() || at.After(until)) {
				rt.Fatalf("nothing is due until the end of the warm-up")
			}
		}
	})
}
