package balancer

import (
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/recorder"
)

// Action is what the caller must carry out.
type Action interface{ action() }

// Dispatch sends an attempt to an endpoint.
type Dispatch struct {
	Call    CallID
	Attempt AttemptID
	// Endpoint and Address say where.
	Endpoint string
	Address  string
	// Number counts the attempts of the call from 1.
	Number   int
	Deadline time.Time
	ConnectionPolicy
}

// ConnectionPolicy says which connections an attempt may use.
type ConnectionPolicy struct {
	// MaxIdle is the longest that an idle connection may have been without an
	// answer.
	MaxIdle time.Duration
	// VerifiedAfter excludes connections that were neither opened nor answered after
	// it.
	VerifiedAfter time.Time
	// MaxOpen is how many connections to the endpoint may be open; idle ones are
	// closed to make room.
	MaxOpen int
}

// Deliver passes the answer of an attempt to the caller.
type Deliver struct {
	Call    CallID
	Attempt AttemptID
}

// Replay passes a stored answer to the caller.
type Replay struct {
	Call     CallID
	Response claimer.Response
}

// Cancel ends an attempt whose answer nobody needs.
type Cancel struct {
	Attempt AttemptID
}

// Outcome is what the system truthfully says of a call without an answer.
type Outcome uint8

// The outcomes of a call without an answer.
const (
	// OutcomeNotRun: no endpoint ran it, and none will.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown: it may have run.
	OutcomeUnknown
)

// Refuse tells the caller that there is no answer.
type Refuse struct {
	Call    CallID
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when the caller may come again, if it was not run.
	RetryAfter time.Duration
}

// ProposeCommand sends a command to the claims log. Only a claim is answered.
type ProposeCommand struct {
	Call    CallID
	Command claimer.Command
}

// Probe asks an endpoint for its load.
type Probe struct {
	// Call is the one that waits for the answer; zero for a probe of the watching
	// budget.
	Call     CallID
	Endpoint string
	Address  string
	// Path answers probes; empty for the protocol's own.
	Path     string
	Deadline time.Time
}

// Retire closes the idle connections to an endpoint that is gone.
type Retire struct {
	Endpoint string
}

// Record adds an event to the time line.
type Record struct {
	Event recorder.Event
}

func (Dispatch) action()       {}
func (Deliver) action()        {}
func (Replay) action()         {}
func (Cancel) action()         {}
func (Refuse) action()         {}
func (ProposeCommand) action() {}
func (Probe) action()          {}
func (Retire) action()         {}
func (Record) action()         {}
