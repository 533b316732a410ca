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

// TestRandomRetriesDoNotMultiply sends calls down chains of up to seven levels, each with its
// own budget. Calls that are retries themselves are not retried again, so the extra runs of the
// levels add up and don't multiply.
func TestRandomRetriesDoNotMultiply(t *testing.T) {
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
			runs += countRuns(levels, false)
		}
		allowed := calls * (100 + depth*percent) / 100
		reserve := depth * (reserveTokens + 1)
		if runs > allowed+reserve {
			rt.Fatalf("%d runs at the end of a chain of %d levels for %d calls, want at most %d", runs, depth, calls, allowed+reserve)
		}
	})
}

// countRuns returns the number of runs at the end of the chain for one call, when every
// response is lost on the way back.
func countRuns(levels []*Budget, chained bool) int {
	if len(levels) == 0 {
		return 1
	}
	if !chained {
		levels[0].RecordFirstAttempt(time.Unix(1000, 0))
	}
	runs := countRuns(levels[1:], chained)
	for attempts := 1; !chained && attempts < MaxAttempts && levels[0].Spend(time.Unix(1000, 0)); attempts++ {
		runs += countRuns(levels[1:], true)
	}
	return runs
}

func TestReserveIsRefilledAfterInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1)
	for range reserveTokens {
		assert.Assert(t, b.Spend(now))
	}
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now)
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now.Add(refillInterval - 1))
	assert.Assert(t, !b.Spend(now))
	b.RecordFirstAttempt(now.Add(refillInterval))
	assert.Assert(t, b.Spend(now.Add(refillInterval)))
}

// TestRandomBudgetsBoundTotalRetries lets several entries make first attempts and spend their
// budgets at random times. Over any refill interval, their total spending must not exceed the
// share of their first attempts plus what each of them may save up.
func TestRandomBudgetsBoundTotalRetries(t *testing.T) {
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
		var firstAttempts, spent []time.Time
		for range 3000 {
			now = now.Add(time.Duration(source.ExpFloat64() * float64(20*time.Millisecond)))
			b := budgets[source.IntN(entries)]
			if source.IntN(2) == 0 {
				b.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			}
			for b.Spend(now) {
				spent = append(spent, now)
			}
		}
		for i, from := range spent {
			end := from.Add(refillInterval)
			used := count(spent[i:], end)
			first, _ := slices.BinarySearchFunc(firstAttempts, from, time.Time.Compare)
			allowed := entries*burst + percent*count(firstAttempts[first:], end)/100 + 1
			if used > allowed {
				rt.Fatalf("%d entries spent %d retries in the interval from %s, want at most %d", entries, used, from, allowed)
			}
		}
	})
}

// count returns how many of the sorted times are before end.
func count(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return n
}

func TestZeroPercentAllowsNoRetries(t *testing.T) {
	b := NewBudget(0)
	now := time.Unix(1000, 0)
	b.RecordFirstAttempt(now)
	assert.Assert(t, !b.Spend(now))
}

func TestBurstBoundsSavedRetries(t *testing.T) {
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

func TestMaxAttemptsBoundsRetriesAndHedges(t *testing.T) {
	assert.Assert(t, MayRetry(router.SingleAttempt, ProofNotRun, 1, 2, false))
	assert.Assert(t, !MayRetry(router.SingleAttempt, ProofNone, 1, 2, false))
	assert.Assert(t, !MayRetry(router.Repeatable, ProofNotRun, 2, 2, false))
	assert.Assert(t, MayHedge(router.Repeatable, 1, 2, false))
	assert.Assert(t, !MayHedge(router.Repeatable, 1, 1, false))
	assert.Assert(t, !MayHedge(router.SingleAttempt, 1, 2, false))
}
