package allotter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var budget = Share{ProbeMicros: 100_000, ProbeBytes: 40_000}

func TestSharesFollowTheNumberOfHolders(t *testing.T) {
	a := New()
	now := time.Unix(1000, 0)
	assert.Equal(t, a.Grant(now, "a", 1, budget, now.Add(ShareLifetime)), budget)
	// The first holder may still spend all, so the second must wait.
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), Share{})
	now = now.Add(ShareLifetime)
	half := budget.Part(1, 2)
	assert.Equal(t, a.Grant(now, "a", 1, budget, now.Add(ShareLifetime)), half)
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), half)
	now = now.Add(3 * ShareLifetime)
	assert.Equal(t, a.Grant(now, "b", 1, budget, now.Add(ShareLifetime)), budget)
}

// TestRandomGrantsStayWithinBudget lets holders come, go and come back with other
// weights; what is out never exceeds the budget.
func TestRandomGrantsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := New()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, 6).Draw(rt, "holder"))
			life := time.Duration(rapid.IntRange(1, 6000).Draw(rt, "life")) * time.Millisecond
			a.Grant(now, name, rapid.IntRange(1, 9).Draw(rt, "weight"), budget, now.Add(life))
			out := a.Out(now)
			if out.ProbeMicros > budget.ProbeMicros || out.ProbeBytes > budget.ProbeBytes {
				rt.Fatalf("%+v is out", out)
			}
		}
	})
}
