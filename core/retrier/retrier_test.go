package retrier

import (
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
		levels[0].First(time.Unix(1000, 0))
	}
	runs := descend(levels[1:], chained)
	for made := 1; !chained && made < MaxAttempts && levels[0].Spend(); made++ {
		runs += descend(levels[1:], true)
	}
	return runs
}

func TestReserveComesBackSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(1)
	for range reserveTokens {
		assert.Assert(t, b.Spend())
	}
	assert.Assert(t, !b.Spend())
	b.First(now)
	assert.Assert(t, b.Spend())
	b.First(now.Add(refillEvery / 2))
	assert.Assert(t, !b.Spend())
	b.First(now.Add(refillEvery))
	assert.Assert(t, b.Spend())
}

func TestWithoutABudgetNothingIsRepeated(t *testing.T) {
	b := NewBudget(0)
	b.First(time.Unix(1000, 0))
	assert.Assert(t, !b.Spend())
}

func TestBurstBoundsWhatIsSavedUp(t *testing.T) {
	b := NewBudget(20, WithBurst(2))
	for range 1000 {
		b.First(time.Unix(1000, 0))
	}
	for range 2 {
		assert.Assert(t, b.Spend())
	}
	assert.Assert(t, !b.Spend())
}

func TestRoutesBoundTheAttempts(t *testing.T) {
	assert.Assert(t, MayRepeat(router.SingleAttempt, ProofNotRun, 1, 2, false))
	assert.Assert(t, !MayRepeat(router.SingleAttempt, ProofNone, 1, 2, false))
	assert.Assert(t, !MayRepeat(router.Repeatable, ProofNotRun, 2, 2, false))
	assert.Assert(t, MayHedge(router.Repeatable, 1, 2, false))
	assert.Assert(t, !MayHedge(router.Repeatable, 1, 1, false))
	assert.Assert(t, !MayHedge(router.SingleAttempt, 1, 2, false))
}
