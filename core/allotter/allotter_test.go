package allotter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var budget = Share{ProbeMicros: 100_000, ProbeBytes: 40_000}

func TestSharesDependOnNumberOfHolders(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	assert.Equal(t, a.Grant(now, "a", 1, budget, now.Add(ShareLifetime)), budget)
	// The first holder may still use the whole budget, so the second one gets nothing yet.
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), Share{})
	now = now.Add(ShareLifetime)
	half := budget.Fraction(1, 2)
	assert.Equal(t, a.Grant(now, "a", 1, budget, now.Add(ShareLifetime)), half)
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), half)
	now = now.Add(3 * ShareLifetime)
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), budget)
}

// TestRandomGrantsStayWithinBudget grants shares to random holders with changing weights and
// lifetimes. The outstanding shares must never exceed the budget.
func TestRandomGrantsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := New()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, 6).Draw(rt, "holder"))
			lifetime := time.Duration(rapid.IntRange(1, 6000).Draw(rt, "lifetime")) * time.Millisecond
			a.Grant(now, name, rapid.IntRange(1, 9).Draw(rt, "weight"), budget, now.Add(lifetime))
			outstanding := a.Outstanding(now)
			if outstanding.ProbeMicros > budget.ProbeMicros || outstanding.ProbeBytes > budget.ProbeBytes {
				rt.Fatalf("%+v is outstanding, more than the budget", outstanding)
			}
		}
	})
}
