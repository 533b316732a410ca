// Package checker compares the observations of callers, endpoints and operators during a
// soak with the system's guarantees.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// grace is how long after an acknowledged departure an endpoint may get new work.
// The entry that acknowledged it may crash at once, so the bound is the interval until the
// next announcement (5 s), the guaranteed 3 s, and 2 s of slack for processes that share a
// machine.
const grace = 10 * time.Second

// Execution tells whether a call may run more than once.
type Execution uint8

// The kinds of execution.
const (
	// Repeatable calls may run more than once.
	Repeatable Execution = iota + 1
	// AtMostOnce calls must not run twice, however often they are sent.
	AtMostOnce
)

// Outcome is the result of one request as the caller observed it.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered is a complete response from an endpoint.
	Answered Outcome = iota + 1
	// NotRun is a refusal that guarantees that the call was not run.
	NotRun
	// Unknown guarantees nothing: the call may have run or not.
	Unknown
	// Broken is a connection that ended before the response was complete.
	Broken
)

// Checker collects observations and violations. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	violations []string
	calls      map[string]*call
	executions map[string]int
	// started holds the IDs of the requests that endpoints began to run.
	started map[string]bool
	// endless holds the responses that never end.
	endless []endlessResponse
	// resets holds the resets of the open connections to endpoints.
	resets faults
	// departures holds the time of each acknowledged departure, by endpoint.
	departures map[string]time.Time
	// inEffect is the highest revision known to be in effect everywhere, accepted the
	// highest that was acknowledged, and changes the ID of the change accepted as each
	// revision.
	inEffect uint64
	accepted uint64
	changes  map[uint64]string
	outcomes map[Outcome]int
	seen     observations
	// limits, leaving and pauses hold what endpoints have said about new requests.
	limits  []namedLimit
	leaving []saidLeaving
	pauses  []askedPause
}

type call struct {
	execution Execution
	// requests counts the requests that have ended, and notRun those of them that were
	// refused as not run.
	requests, notRun int
}

// New returns a checker without observations.
func New() *Checker {
	return &Checker{
		calls: make(map[string]*call), executions: make(map[string]int), started: make(map[string]bool), departures: make(map[string]time.Time),
		changes: make(map[uint64]string), outcomes: make(map[Outcome]int), seen: observations{sent: make(map[string]sending)},
	}
}

// AddViolation records that the system broke a guarantee.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Ran records that an endpoint began to run a call for one of its requests.
func (c *Checker) Ran(now time.Time, endpoint, callID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[callID]++
	c.started[requestID] = true
	c.seen.runs = append(c.seen.runs, arrival{endpoint, requestID, now})
	if departure, ok := c.departures[endpoint]; ok && now.Sub(departure) > grace {
		c.addViolation("%s runs %s, %s after its departure was acknowledged", endpoint, callID, now.Sub(departure).Round(time.Millisecond))
	}
}

// HasStarted reports whether an endpoint began to run the request.
func (c *Checker) HasStarted(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[requestID]
}

// Departed records that an endpoint's departure was acknowledged.
func (c *Checker) Departed(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures[endpoint] = now
}

// Returned records that an endpoint serves again.
func (c *Checker) Returned(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.departures, endpoint)
}

// RecordOutcome records the outcome of one request of a call.
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

// RecordChange records that a change was acknowledged, and whether it is in effect
// everywhere.
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

// RevisionInEffect returns the highest revision reported to be in effect everywhere.
func (c *Checker) RevisionInEffect() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inEffect
}

// NewestRevision returns the highest acknowledged revision.
func (c *Checker) NewestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// RecordRead records a confirmed read. The revision acknowledged was the newest one when the
// read began.
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

// Finish makes the checks that are possible only after all calls have ended, and returns
// all violations.
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
	c.checkLimits()
	c.checkLeaving()
	c.checkPauses()
	return slices.Clone(c.violations)
}

// Count returns the number of requests with the given outcome.
func (c *Checker) Count(outcome Outcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes[outcome]
}
