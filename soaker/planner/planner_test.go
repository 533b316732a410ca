package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlanIsDeterministic(t *testing.T) {
	size := Size{Controls: 3, Entries: 2, Endpoints: 4}
	first := Plan(7, size, time.Minute)
	assert.DeepEqual(t, first, Plan(7, size, time.Minute))
	assert.Assert(t, len(first) > 30)
	other := Plan(8, size, time.Minute)
	assert.Assert(t, first[0] != other[0] || first[1] != other[1])
}

// TestPlansCoverEveryKindAndTarget checks that each kind occurs on each target of its class,
// and that no step has a target that doesn't exist.
func TestPlansCoverEveryKindAndTarget(t *testing.T) {
	size := Size{Controls: 3, Entries: 2, Endpoints: 4}
	type place struct {
		kind   Kind
		class  Class
		target int
	}
	seen := map[place]bool{}
	for seed := range uint64(60) {
		for _, s := range Plan(seed, size, time.Minute) {
			assert.Assert(t, s.Target < size.count(s.Class))
			assert.Assert(t, s.For >= minDuration && s.For < maxDuration)
			seen[place{s.Kind, s.Class, s.Target}] = true
		}
	}
	for _, group := range kindsByClass {
		for _, kind := range group.kinds {
			for target := range size.count(group.class) {
				assert.Assert(t, seen[place{kind, group.class, target}], "%s of %s %d", kind, group.class, target)
			}
		}
	}
}

// TestLimitsAreDeterministic also checks that limits leave the rest of the plan as it is.
func TestLimitsAreDeterministic(t *testing.T) {
	size := Size{Controls: 3, Entries: 2, Endpoints: 4}
	limits := Limits(7, size, time.Minute)
	assert.DeepEqual(t, limits, Limits(7, size, time.Minute))
	assert.Assert(t, len(limits) > 10)
	for _, s := range limits {
		assert.Assert(t, s.Kind == KindLimit && s.Rate > 0 && s.Target < size.Endpoints)
	}
	for _, s := range Plan(7, size, time.Minute) {
		assert.Assert(t, s.Kind != KindLimit)
	}
}
