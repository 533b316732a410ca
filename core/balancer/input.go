package balancer

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// Input is what a balancer reacts to.
type Input interface{ input() }

// CallArrived brings a new call.
type CallArrived struct {
	Call Call
}

// Report is the load that came with an answer.
type Report struct {
	// Load is the number of requests at the endpoint; negative when unknown.
	Load int
	// State is what the endpoint says of itself; empty when it says nothing.
	State registrar.State
	// Slowdown is how long work takes at the endpoint now, as a multiple of the usual
	// time; zero when unknown.
	Slowdown float64
}

// NoReport is the report of an answer that says nothing of the endpoint's load.
var NoReport = Report{Load: -1}

// ResponseStarted tells that an answer is there: whole if it is small, else its head.
type ResponseStarted struct {
	Attempt AttemptID
	Status  int
	Report  Report
	// StoredResponse is what may be kept of a whole answer.
	StoredResponse claimer.Response
}

// Ending says how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	// EndingComplete: the answer is whole.
	EndingComplete Ending = iota + 1
	// EndingNotSent: no connection, or nothing was written.
	EndingNotSent
	// EndingRefused: the endpoint says that it did not run the request.
	EndingRefused
	// EndingLost: the connection failed after something was written.
	EndingLost
	// EndingTimeout: the deadline passed without an answer.
	EndingTimeout
	// EndingCancelled: the attempt was cancelled.
	EndingCancelled
	// EndingMisdirected: another endpoint has the address, and did not run the
	// request.
	EndingMisdirected
)

// AttemptEnded ends an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Ending  Ending
	Report  Report
}

// CallerDisconnected tells that nobody waits for the call any more.
type CallerDisconnected struct {
	Call CallID
}

// ClaimDecided answers a ClaimKey.
type ClaimDecided struct {
	Call CallID
	// Attempt is the one that the claim was made for.
	Attempt string
	// NotProposed is set when the claim was not proposed.
	NotProposed bool
	Verdict     claimer.Verdict
	Response    claimer.Response
}

// Reconfigured replaces the service's settings and its endpoints.
type Reconfigured struct {
	Service   validator.Service
	Endpoints []Endpoint
	// Entries is how many entries may run at once and share the endpoints'
	// connections.
	Entries int
}

// EndpointsChanged brings the endpoints that came or have changed, and names those that the
// entry is told of no more.
type EndpointsChanged struct {
	Changed []Endpoint
	Removed []string
}

// ConfigLeaseChanged renews or ends the entry's standing.
type ConfigLeaseChanged struct {
	Until time.Time
}

// ShareGranted replaces the entry's share of the watching budget.
type ShareGranted struct {
	Share allotter.Share
	Until time.Time
}

// ProbeEnded ends a probe.
type ProbeEnded struct {
	// Call is the one of the Probe.
	Call     CallID
	Endpoint string
	OK       bool
	// Misdirected is set when another endpoint answered at the address.
	Misdirected bool
	Elapsed     time.Duration
	Report      Report
}

// Tick lets time pass.
type Tick struct{}

func (CallArrived) input()        {}
func (ResponseStarted) input()    {}
func (AttemptEnded) input()       {}
func (CallerDisconnected) input() {}
func (ClaimDecided) input()       {}
func (Reconfigured) input()       {}
func (EndpointsChanged) input()   {}
func (ConfigLeaseChanged) input() {}
func (ShareGranted) input()       {}
func (ProbeEnded) input()         {}
func (Tick) input()               {}
