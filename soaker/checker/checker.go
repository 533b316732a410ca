// Package checker holds what callers, endpoints and operators of a soak have seen against
// what the system promises.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// leaveBound is how long after an acknowledged departure an endpoint may get new work: an
// entry that took it may be lost at once, so the next announcement (5 s) and the promised
// 3 s count, and 2 s for processes that share a machine.
const leaveBound = 10 * time.Second

// Execution is how often a call may run.
type Execution uint8

// The executions of calls.
const (
	// Repeatable calls may run more than once.
	Repeatable Execution = iota + 1
	// Once calls run at most once, however often they are sent.
	Once
)

// Outcome is what a caller was told.
type Outcome uint8

// The outcomes of a sending.
const (
	// Answered is a whole answer of an endpoint.
	Answered Outcome = iota + 1
	// NotRun is a refusal that says that the call was not run.
	NotRun
	// Unknown promises nothing.
	Unknown
	// Broken is a connection that ended without a whole answer.
	Broken
)

// Checker collects what was seen. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	violations []string
	calls      map[string]*call
	runs       map[string]int
	// passedOn are the sendings of calls that endpoints began to run.
	passedOn map[string]bool
	// unending are the sendings that an endpoint answers without end.
	unending map[string]bool
	// departures are by endpoint.
	departures map[string]time.Time
	// inForce is the highest revision that is in force everywhere, and changes what was
	// accepted as each revision.
	inForce  uint64
	accepted uint64
	changes  map[uint64]string
	outcomes map[Outcome]int
}

type call struct {
	execution Execution
	// sendings counts those that have ended, and notRun those of them that were refused.
	sendings, notRun int
}

// New returns a checker that has seen nothing.
func New() *Checker {
	return &Checker{
		calls: make(map[string]*call), runs: make(map[string]int), passedOn: make(map[string]bool), unending: make(map[string]bool), departures: make(map[string]time.Time),
		changes: make(map[uint64]string), outcomes: make(map[Outcome]int),
	}
}

// Violated notes a broken promise.
func (c *Checker) Violated(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(format, args...)
}

func (c *Checker) violate(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Ran notes that an endpoint began to run a call, for one of its sendings.
func (c *Checker) Ran(now time.Time, endpoint, id, sending string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	c.passedOn[sending] = true
	if left, ok := c.departures[endpoint]; ok && now.Sub(left) > leaveBound {
		c.violate("%s runs %s, %s after its departure was acknowledged", endpoint, id, now.Sub(left).Round(time.Millisecond))
	}
}

// Unending notes that an endpoint answers a sending without end.
func (c *Checker) Unending(sending string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unending[sending] = true
}

// MayBreakOff reports whether an answer may break off by itself after such a time: one that
// never ends is cut when the time of its route is over.
func (c *Checker) MayBreakOff(sending string, after, routeTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unending[sending] && after >= routeTime
}

// PassedOn reports whether a call has run for one of its sendings.
func (c *Checker) PassedOn(sending string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passedOn[sending]
}

// Left notes that an endpoint's departure was acknowledged.
func (c *Checker) Left(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures[endpoint] = now
}

// Returned notes that an endpoint serves again.
func (c *Checker) Returned(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.departures, endpoint)
}

// Ended notes what became of one sending of a call.
func (c *Checker) Ended(id string, execution Execution, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, ok := c.calls[id]
	if !ok {
		seen = &call{execution: execution}
		c.calls[id] = seen
	}
	seen.sendings++
	if outcome == NotRun {
		seen.notRun++
	}
	c.outcomes[outcome]++
	if outcome == Answered && c.runs[id] == 0 {
		c.violate("%s was answered and has not run", id)
	}
}

// Accepted notes a change that was acknowledged, and whether it is in force everywhere.
func (c *Checker) Accepted(revision uint64, id string, inForce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.changes[revision]; ok && before != id {
		c.violate("revision %d is %s and %s", revision, before, id)
	}
	c.changes[revision] = id
	c.accepted = max(c.accepted, revision)
	if inForce {
		c.inForce = max(c.inForce, revision)
	}
}

// InForce returns the highest revision that was said to be in force everywhere.
func (c *Checker) InForce() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce
}

// Newest returns the highest revision that was acknowledged.
func (c *Checker) Newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// Read notes a confirmed read that began when least had been acknowledged.
func (c *Checker) Read(revision uint64, id string, least uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < least {
		c.violate("revision %d was read, and %d had been acknowledged", revision, least)
	}
	if accepted, ok := c.changes[revision]; ok && accepted != id {
		c.violate("revision %d was read as %s and acknowledged as %s", revision, id, accepted)
	}
}

// Finish checks what can be told only once nothing runs any more, and returns all broken
// promises.
func (c *Checker) Finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, seen := range c.calls {
		runs := c.runs[id]
		if seen.execution == Once && runs > 1 {
			c.violate("%s has run %d times", id, runs)
		}
		if seen.notRun == seen.sendings && runs > 0 {
			c.violate("%s was refused as not run each of %d times, and has run", id, seen.sendings)
		}
	}
	return slices.Clone(c.violations)
}

// Count returns how many sendings came to an outcome.
func (c *Checker) Count(o Outcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes[o]
}
