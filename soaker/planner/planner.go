// Package planner generates the plan of a soak from its seed: a random series of faults,
// planned stops and configuration changes, which may overlap or repeat.
package planner

import (
	"math/rand/v2"
	"time"
)

// Kind names the fault or operation of a step.
type Kind string

// The kinds of steps.
const (
	// KindKill kills a process; it starts again after For.
	KindKill Kind = "kill"
	// KindTear kills a replica and leaves a partial record at the end of its journals, as
	// if it was killed during a write.
	KindTear Kind = "tear"
	// KindWipe deletes a replica's data. It is skipped while an earlier loss is not yet
	// repaired.
	KindWipe Kind = "wipe"
	// KindStop stops a process gracefully; it starts again after For.
	KindStop Kind = "stop"
	// KindPause freezes a process with SIGSTOP.
	KindPause Kind = "pause"
	// KindDelay slows down the link to a process, KindCutTo and KindCutFrom drop the data
	// in one direction, KindReset resets the open connections, and KindForget drops all
	// their data from then on without closing them.
	KindDelay   Kind = "delay"
	KindCutTo   Kind = "cut-to"
	KindCutFrom Kind = "cut-from"
	KindReset   Kind = "reset"
	KindForget  Kind = "forget"
	// KindRace applies two changes to the same revision at once.
	KindRace Kind = "race"
	// KindDrain makes an endpoint announce that it drains, and serve again later.
	KindDrain Kind = "drain"
	// KindShed, KindSlow, KindFail, KindHalf and KindEndless make an endpoint misbehave:
	// it refuses requests, responds slowly, fails, truncates its responses, or sends
	// responses that never end.
	KindShed    Kind = "shed"
	KindSlow    Kind = "slow"
	KindFail    Kind = "fail"
	KindHalf    Kind = "half"
	KindEndless Kind = "endless"
	// KindLimit makes an endpoint name a limit for all entries together.
	KindLimit Kind = "limit"
	// KindLeave makes an endpoint say in its responses that it leaves, and come back as a new incarnation.
	// KindAskPause makes it refuse some requests and ask for a pause with each.
	KindLeave    Kind = "leave"
	KindAskPause Kind = "ask-pause"
)

// Class names the type of a step's target.
type Class string

// The classes of targets.
const (
	ClassControl  Class = "control"
	ClassEntry    Class = "entry"
	ClassEndpoint Class = "endpoint"
)

// Step is one fault or operation of a plan.
type Step struct {
	// At is the time since the start of the soak.
	At     time.Duration
	Kind   Kind
	Class  Class
	Target int
	// For is the duration of the fault, or how long the process is down.
	For time.Duration
	// Rate is the limit of a KindLimit, in requests per second.
	Rate float64
	// Pause is the pause of a KindAskPause.
	Pause time.Duration
}

// Size holds the number of targets of each class.
type Size struct {
	Controls, Entries, Endpoints int
}

// Bounds of the intervals between steps and of their durations.
const (
	minGap      = 100 * time.Millisecond
	maxGap      = 1500 * time.Millisecond
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// repeatShare is the share of steps that hit the target of the step before.
	repeatShare = 0.2
)

// kindsByClass lists the kinds for each class. A kind that is listed twice is twice as
// likely.
var kindsByClass = []struct {
	class Class
	kinds []Kind
}{
	{ClassControl, []Kind{KindKill, KindKill, KindTear, KindWipe, KindStop, KindStop, KindPause, KindDelay, KindCutTo, KindCutFrom, KindReset, KindForget, KindRace}},
	{ClassEntry, []Kind{KindKill, KindStop, KindStop, KindStop, KindPause}},
	{ClassEndpoint, []Kind{KindDrain, KindDrain, KindShed, KindSlow, KindFail, KindHalf, KindDelay, KindCutTo, KindCutFrom, KindReset, KindForget, KindEndless}},
}

// Plan returns the steps of a soak of the given length. The same arguments give the same
// plan.
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

// Parameters of the limits.
const (
	minLimitTime = 4 * time.Second
	maxLimitTime = 9 * time.Second
)

// limitRates are the limits that endpoints name, in requests per second.
var limitRates = []float64{2.6, 5, 12}

// Limits returns the steps at which endpoints name limits. They come from a random stream of their
// own, so that a seed has the same plan otherwise.
func Limits(seed uint64, size Size, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, limitStream))
	var steps []Step
	for at := randomDuration(rng, minGap, maxGap); at < length; at += randomDuration(rng, maxGap, 3*maxGap) {
		steps = append(steps, Step{
			At: at, Kind: KindLimit, Class: ClassEndpoint, Target: rng.IntN(size.Endpoints),
			For: randomDuration(rng, minLimitTime, maxLimitTime), Rate: limitRates[rng.IntN(len(limitRates))],
		})
	}
	return steps
}

// Statements returns the steps at which endpoints say that they leave, or ask for pauses. They come from a random stream
// of their own, so that a seed has the same plan otherwise.
func Statements(seed uint64, size Size, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, statementStream))
	var steps []Step
	for at := randomDuration(rng, minGap, maxGap); at < length; at += randomDuration(rng, minGap, 3*maxGap) {
		steps = append(steps, Step{
			At: at, Kind: []Kind{KindLeave, KindAskPause}[rng.IntN(2)], Class: ClassEndpoint, Target: rng.IntN(size.Endpoints),
			For: randomDuration(rng, minDuration, maxDuration), Pause: randomDuration(rng, minPause, maxPause),
		})
	}
	return steps
}

// Bounds of the pauses that endpoints ask for.
const (
	minPause = 600 * time.Millisecond
	maxPause = 4 * time.Second
)

// The numbers of the random streams for limits and for statements.
const (
	limitStream     = 3
	statementStream = 4
)

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
