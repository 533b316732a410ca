// Package checker holds what callers, endpoints and operators of a soak have seen against
// what the system promises.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// departureGrace is how long after an acknowledged departure an endpoint may get new work: an
// entry that took it may be lost at once, so the next announcement (5 s) and the promised
// 3 s count, and 2 s for processes that share a machine.
const departureGrace = 10 * time.Second

// Execution is how often a call may run.
type Execution uint8

// The executions of calls.
const (
	// Repeatable calls may run more than once.
	Repeatable Execution = iota + 1
	// AtMostOnce calls run at most once, however often they are sent.
	AtMostOnce
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
	executions map[string]int
	// started are the sendings of calls that endpoints began to run.
	started map[string]bool
	// endless are the sendings that an endpoint answers without end.
	endless map[string]bool
	// departures are by endpoint.
	departures map[string]time.Time
	// inEffect is the highest revision that is in force everywhere, and changes what was
	// accepted as each revision.
	inEffect uint64
	accepted uint64
	changes  map[uint64]string
	outcomes map[Outcome]int
}

type call struct {
	execution Execution
	// requests counts those that have ended, and notRun those of them that were refused.
	requests, notRun int
}

// New returns a checker that has seen nothing.
func New() *Checker {
	return &Checker{
		calls: make(map[string]*call), executions: make(map[string]int), started: make(map[string]bool), endless: make(map[string]bool), departures: make(map[string]time.Time),
		changes: make(map[uint64]string), outcomes: make(map[Outcome]int),
	}
}

// AddViolation notes a broken promise.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// RecordExecution notes that an endpoint began to run a call, for one of its sendings.
func (c *Checker) RecordExecution(now time.Time, endpoint, callID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[callID]++
	c.started[requestID] = true
	if departure, ok := c.departures[endpoint]; ok && now.Sub(departure) > departureGrace {
		c.addViolation("%s runs %s, %s after its departure was acknowledged", endpoint, callID, now.Sub(departure).Round(time.Millisecond))
	}
}

// RecordEndless notes that an endpoint answers a sending without end.
func (c *Checker) RecordEndless(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endless[requestID] = true
}

// MayAbort reports whether an answer may break off by itself after such a time: one that
// never ends is cut when the time of its route is over.
func (c *Checker) MayAbort(requestID string, elapsed, deadline time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endless[requestID] && elapsed >= deadline
}

// HasStarted reports whether a call has run for one of its sendings.
func (c *Checker) HasStarted(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[requestID]
}

// RecordDeparture notes that an endpoint's departure was acknowledged.
func (c *Checker) RecordDeparture(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures[endpoint] = now
}

// RecordReturn notes that an endpoint serves again.
func (c *Checker) RecordReturn(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.departures, endpoint)
}

// RecordOutcome notes what became of one sending of a call.
func (c *Checker) RecordOutcome(callID string, execution Execution, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.calls[callID]
	if !ok {
		record = &call{execution: execution}
		c.calls[callID] = record
	}
	record.requests++
	if outcome == NotRun {
		record.notRun++
	}
	c.outcomes[outcome]++
	if outcome == Answered && c.executions[callID] == 0 {
		c.addViolation("%s was answered and has not run", callID)
	}
}

// RecordChange notes a change that was acknowledged, and whether it is in force everywhere.
func (c *Checker) RecordChange(revision uint64, changeID string, inEffect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier, ok := c.changes[revision]; ok && earlier != changeID {
		c.addViolation("revision %d is %s and %s", revision, earlier, changeID)
	}
	c.changes[revision] = changeID
	c.accepted = max(c.accepted, revision)
	if inEffect {
		c.inEffect = max(c.inEffect, revision)
	}
}

// RevisionInEffect returns the highest revision that was said to be in force everywhere.
func (c *Checker) RevisionInEffect() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inEffect
}

// NewestRevision returns the highest revision that was acknowledged.
func (c *Checker) NewestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// RecordRead notes a confirmed read that began when least had been acknowledged.
func (c *Checker) RecordRead(revision uint64, changeID string, acknowledged uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < acknowledged {
		c.addViolation("revision %d was read, and %d had been acknowledged", revision, acknowledged)
	}
	if accepted, ok := c.changes[revision]; ok && accepted != changeID {
		c.addViolation("revision %d was read as %s and acknowledged as %s", revision, changeID, accepted)
	}
}

// Finish checks what can be told only once nothing runs any more, and returns all broken
// promises.
func (c *Checker) Finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for callID, record := range c.calls {
		executions := c.executions[callID]
		if record.execution == AtMostOnce && executions > 1 {
			c.addViolation("%s has run %d times", callID, executions)
		}
		if record.notRun == record.requests && executions > 0 {
			c.addViolation("%s was refused as not run each of %d times, and has run", callID, record.requests)
		}
	}
	return slices.Clone(c.violations)
}

// Count returns how many sendings came to an outcome.
func (c *Checker) Count(outcome Outcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes[outcome]
}
