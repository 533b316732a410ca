package balancer

import (
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/throttler"
)

// Action is an operation that the owner of a balancer must carry out.
type Action interface{ action() }

// Dispatch sends an attempt to an endpoint.
type Dispatch struct {
	Call    CallID
	Attempt AttemptID
	// Endpoint and Address identify the destination.
	Endpoint string
	Address  string
	// Number is the position of the attempt among those of the call, counted from 1.
	Number   int
	Deadline time.Time
	ConnectionPolicy
}

// ConnectionPolicy restricts the connections that an attempt may use.
type ConnectionPolicy struct {
	// MaxIdle is the maximum time since the connection was opened or last returned a response.
	MaxIdle time.Duration
	// VerifiedAfter excludes connections that have neither been opened nor returned a response
	// since.
	VerifiedAfter time.Time
	// MaxOpen is how many connections to the endpoint may be open. Idle ones are closed to stay
	// within it.
	MaxOpen int
}

// Deliver passes the response of an attempt to the caller.
type Deliver struct {
	Call    CallID
	Attempt AttemptID
}

// Replay passes a stored response to the caller.
type Replay struct {
	Call     CallID
	Response claimer.Response
}

// Cancel ends an attempt whose response is no longer needed.
type Cancel struct {
	Attempt AttemptID
}

// Outcome states whether a call that ends without a response may have run.
type Outcome uint8

// The outcomes of a call that ends without a response.
const (
	// OutcomeNotRun: no endpoint ran the call, and none will.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown: an endpoint may have run the call.
	OutcomeUnknown
)

// Refuse notifies the caller that there is no response.
type Refuse struct {
	Call    CallID
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries a call that was not run.
	// Zero leaves the delay to the protocol.
	RetryAfter time.Duration
}

// ProposeCommand proposes a command to the claims log. Only a claim gets a reply.
type ProposeCommand struct {
	Call    CallID
	Command claimer.Command
}

// Probe requests the load of an endpoint.
type Probe struct {
	// Call is the call that waits for the reply; zero for a probe paid from the probe budget.
	Call     CallID
	Endpoint string
	Address  string
	// Path is the path to probe; empty for the default of the protocol.
	Path     string
	Deadline time.Time
}

// Retire closes the idle connections to an endpoint that was removed.
type Retire struct {
	Endpoint string
}

// RequestPermits tells control what this entry knows of an endpoint's limit, and asks for permits.
type RequestPermits struct {
	Endpoint    string
	Incarnation uint64
	Request     throttler.Request
}

// Record adds an event to the timeline.
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
func (RequestPermits) action() {}
func (Record) action()         {}
