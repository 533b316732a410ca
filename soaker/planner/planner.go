// Package planner draws what happens in a soak from its seed: a series of faults,
// planned stops and changes that come singly, together and again.
package planner

import (
	"math/rand/v2"
	"time"
)

// Kind is what happens.
type Kind string

// The kinds of steps.
const (
	// KindKill ends a process at once; it starts again after For.
	KindKill Kind = "kill"
	// KindTear kills a replica as it writes: its journals end with a torn record.
	KindTear Kind = "tear"
	// KindWipe takes a replica's disk. It waits until earlier losses are repaired.
	KindWipe Kind = "wipe"
	// KindStop is a planned stop; the process starts again after For.
	KindStop Kind = "stop"
	// KindPause freezes a process for a time.
	KindPause Kind = "pause"
	// KindDelay makes the link to a process slow, KindCutTo and KindCutFrom lose what goes
	// one way, KindReset resets open connections, and KindForget silences them for good.
	KindDelay   Kind = "delay"
	KindCutTo   Kind = "cut-to"
	KindCutFrom Kind = "cut-from"
	KindReset   Kind = "reset"
	KindForget  Kind = "forget"
	// KindRace sends two changes on the same revision at once.
	KindRace Kind = "race"
	// KindDrain lets an endpoint announce that it leaves, and come back.
	KindDrain Kind = "drain"
	// KindShed, KindSlow, KindFail, KindHalf and KindEndless let an endpoint misbehave for a
	// time.
	KindShed    Kind = "shed"
	KindSlow    Kind = "slow"
	KindFail    Kind = "fail"
	KindHalf    Kind = "half"
	KindEndless Kind = "endless"
)

// Class is what a step happens to.
type Class string

// The classes of targets.
const (
	ClassControl  Class = "control"
	ClassEntry    Class = "entry"
	ClassEndpoint Class = "endpoint"
)

// Step is one thing that happens.
type Step struct {
	// At counts from the start of the soak.
	At     time.Duration
	Kind   Kind
	Class  Class
	Target int
	// For is how long it lasts, or how long a process is down.
	For time.Duration
}

// Size is how many targets there are of each class.
type Size struct {
	Controls, Entries, Endpoints int
}

// Spacing of the steps.
const (
	minGap      = 100 * time.Millisecond
	maxGap      = 1500 * time.Millisecond
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// repeatShare is the share of steps that follow the one before on the same target at once.
	repeatShare = 0.2
)

// kindsByClass are the kinds that each class knows, the commoner ones more often.
var kindsByClass = []struct {
	class Class
	kinds []Kind
}{
	{ClassControl, []Kind{KindKill, KindKill, KindTear, KindWipe, KindStop, KindStop, KindPause, KindDelay, KindCutTo, KindCutFrom, KindReset, KindForget, KindRace}},
	{ClassEntry, []Kind{KindKill, KindStop, KindStop, KindStop, KindPause}},
	{ClassEndpoint, []Kind{KindDrain, KindDrain, KindShed, KindSlow, KindFail, KindHalf, KindDelay, KindCutTo, KindCutFrom, KindReset, KindForget, KindEndless}},
}

// Plan draws the steps of a soak of a given length.
func Plan(seed uint64, size Size, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	var at time.Duration
	for {
		at += randomDuration(rng, minGap, maxGap)
		if at >= length {
			return steps
		}
		step := randomStep(rng, size)
		if last := len(steps) - 1; last >= 0 && rng.Float64() < repeatShare {
			step.Class, step.Target = steps[last].Class, steps[last].Target
			step.Kind = randomKind(rng, step.Class)
		}
		step.At = at
		steps = append(steps, step)
	}
}

func randomStep(rng *rand.Rand, size Size) Step {
	group := kindsByClass[rng.IntN(len(kindsByClass))]
	return Step{
		Kind: randomKind(rng, group.class), Class: group.class,
		Target: rng.IntN(size.count(group.class)), For: randomDuration(rng, minDuration, maxDuration),
	}
}

func randomKind(rng *rand.Rand, class Class) Kind {
	for _, group := range kindsByClass {
		if group.class == class {
			return group.kinds[rng.IntN(len(group.kinds))]
		}
	}
	return ""
}

func (s Size) count(class Class) int {
	switch class {
	case ClassControl:
		return s.Controls
	case ClassEntry:
		return s.Entries
	}
	return s.Endpoints
}

func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
