package retrier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/router"
)

// TestRandomChainsDoNotMultiply sends calls down chains of up to seven levels, each
// with its own budget. Only the attempts of a first attempt may be repeated, so
// extra work adds up along a chain and never multiplies.
func TestRandomChainsDoNotMultiply(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		depth := rapid.IntRange(1, 7).Draw(rt, "depth")
		percent := rapid.IntRange(0, 20).Draw(rt, "percent")
		const calls = 2000
		levels := make([]*Budget, depth)
		for i := range levels {
			levels[i] = NewBudget(percent)
		}
		runs := 0
		for range calls {
			runs += descend(levels, false)
		}
		most := calls * (100 + depth*percent) / 100
		reserve := depth * (reserveTokens + 1)
		if runs > most+reserve {
			rt.Fatalf("%d runs at the bottom of %d levels for %d calls, at most %d are allowed", runs, depth, calls, most+reserve)
		}
	})
}

// descend counts the runs at the bottom when every answer is lost on its way up.
func descend(levels []*Budget, chained bool) int {
	if len(levels) == 0 {
		return 1
	}
	if !chained {
		levels[0].RecordFirstAttempt(time.Unix(1000, 0))
	}
	runs := descend(levels[1:], chained)
	for made := 1; !chained && made < MaxAttempts && levels[0].Spend(time.Unix(1000, 0)); made++ {
		runs += descend(levels[1:], true)
	}
	return runs
}

func TestReserveComesBackSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1)
	for range reserveTokens {
		assert.Assert(t, b.Spend(now))
	}
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now)
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now.Add(refillEvery - 1))
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now.Add(refillEvery))
	assert.Assert(t, b.Spend(now.Add(refillEvery)))
}

// TestRandomBudgetsAddUp lets all entries of a fleet press at random times: over any time as
// long as the reserve takes to come back, they spend together no more than the share of
// their first attempts, and what each of them may save up.
func TestRandomBudgetsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(rt, "entries")
		percent := rapid.IntRange(1, 20).Draw(rt, "percent")
		burst := rapid.IntRange(1, 3).Draw(rt, "burst")
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = NewBudget(percent, WithBurst(burst))
		}
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		now := time.Unix(1000, 0)
		var firsts, spent []time.Time
		for range 3000 {
			now = now.Add(time.Duration(source.ExpFloat64() * float64(20*time.Millisecond)))
			b := budgets[source.IntN(entries)]
			if source.IntN(2) == 0 {
				b.RecordFirstAttempt(now)
				firsts = append(firsts, now)
			}
			for b.Spend(now) {
				spent = append(spent, now)
			}
		}
		for i, from := range spent {
			end := from.Add(refillEvery)
			used := count(spent[i:], end)
			begun, _ := slices.BinarySearchFunc(firsts, from, time.Time.Compare)
			most := entries*burst + percent*count(firsts[begun:], end)/100 + 1
			if used > most {
				rt.Fatalf("%d entries spent %d from %s on, at most %d are allowed", entries, used, from, most)
			}
		}
	})
}

// count returns how many of the times, which are in order, come before the end.
func count(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return n
}

func TestWithoutABudgetNothingIsRepeated(t *testing.T) {
	b := NewBudget(0)
	now := time.Unix(1000, 0)
	b.RecordFirstAttempt(now)
	assert.Assert(t, !b.Spend(now))
}

func TestBurstBoundsWhatIsSavedUp(t *testing.T) {
	b := NewBudget(20, WithBurst(2))
	now := time.Unix(1000, 0)
	for range 1000 {
		b.RecordFirstAttempt(now)
	}
	for range 2 {
		assert.Assert(t, b.Spend(now))
	}
	assert.Assert(t, !b.Spend(now))
}

func TestRoutesBoundTheAttempts(t *testing.T) {
	assert.Assert(t, MayRetry(router.SingleAttempt, ProofNotRun, 1, 2, false))
	assert.Assert(t, !MayRetry(router.SingleAttempt, ProofNone, 1, 2, false))
	assert.Assert(t, !MayRetry(router.Repeatable, ProofNotRun, 2, 2, false))
	assert.Assert(t, MayHedge(router.Repeatable, 1, 2, false))
	assert.Assert(t, !MayHedge(router.Repeatable, 1, 1, false))
	assert.Assert(t, !MayHedge(router.SingleAttempt, 1, 2, false))
}
