package balancer

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
)

// Input is an event that a balancer handles.
type Input interface{ input() }

// Stopping begins a planned stop: every call gets its result by a time before the process ends.
type Stopping struct {
	AnswerBy time.Time
}

// CallArrived starts a new call.
type CallArrived struct {
	Call Call
}

// Report is the load that an endpoint reports along with a response.
type Report struct {
	// Load is the number of requests at the endpoint; negative when unknown.
	Load int
	// State is the state that the endpoint reports; empty when it reports none.
	State registrar.State
	// Slowdown is the ratio of current to usual latency at the endpoint; zero when unknown.
	Slowdown float64
	// Limit is what the response states about the endpoint's limit.
	Limit throttler.Statement
	// WarmUp is what the response states about the endpoint's warm-up.
	WarmUp throttler.WarmUpStatement
	// Leaving is set if the endpoint states that it leaves and gets no new requests.
	Leaving bool
	// Incarnation is that of the process that responded; zero if the response doesn't tell.
	Incarnation uint64
	// Pause is how long the endpoint wants no requests of this entry.
	Pause pauser.Pause
}

// NoReport is the report of a response that does not state the load of the endpoint.
var NoReport = Report{Load: -1}

// ResponseStarted reports that a response has arrived: all of it if it is small, otherwise its
// status and header.
type ResponseStarted struct {
	Attempt AttemptID
	Status  int
	Report  Report
	// StoredResponse is the part of a complete response that may be stored.
	StoredResponse claimer.Response
}

// Ending describes how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	// EndingComplete: the response is complete.
	EndingComplete Ending = iota + 1
	// EndingNotSent: there was no connection, or nothing was written to it.
	EndingNotSent
	// EndingRefused: the endpoint reports that it did not run the request.
	EndingRefused
	// EndingLost: the connection failed after something was written.
	EndingLost
	// EndingTimeout: the deadline passed without a response.
	EndingTimeout
	// EndingCancelled: the attempt was cancelled.
	EndingCancelled
	// EndingMisdirected: another endpoint has the address, and did not run the request.
	EndingMisdirected
)

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Ending  Ending
	Report  Report
}

// CallerDisconnected reports that nobody waits for the call any more.
type CallerDisconnected struct {
	Call CallID
}

// ClaimDecided is the reply to a proposed claim.
type ClaimDecided struct {
	Call CallID
	// Attempt is the attempt that the claim was made for.
	Attempt string
	// NotProposed is set when the claim could not be proposed to the claims log.
	NotProposed bool
	Verdict     claimer.Verdict
	Response    claimer.Response
}

// Reconfigured replaces the service's settings and its endpoints.
type Reconfigured struct {
	Service   validator.Service
	Endpoints []Endpoint
	// Entries is how many entries may run at once and share the connections of the endpoints.
	Entries int
}

// EndpointsChanged lists endpoints that are new or have changed, and names those that are no
// longer announced to the entry.
type EndpointsChanged struct {
	Changed []Endpoint
	Removed []string
}

// ConfigLeaseChanged renews or ends the configuration lease of the entry.
type ConfigLeaseChanged struct {
	Until time.Time
	// KeyLeaseUntil is the end of the key lease, which is renewed together with the configuration lease; zero without
	// one.
	KeyLeaseUntil time.Time
	// Entries is the number of entries that control knows; zero when unknown.
	Entries int
}

// ShareGranted replaces the entry's share of the probe budget.
type ShareGranted struct {
	Share allotter.Share
	Until time.Time
}

// ProbeEnded reports the end of a probe.
type ProbeEnded struct {
	// Call has the value of Probe.Call.
	Call     CallID
	Endpoint string
	OK       bool
	// Misdirected is set when another endpoint replied at the address.
	Misdirected bool
	Elapsed     time.Duration
	Report      Report
}

// PermitsGranted is the reply to RequestPermits.
type PermitsGranted struct {
	Endpoint    string
	Incarnation uint64
	// SentAt is when the request was sent.
	SentAt time.Time
	Grant  throttler.Grant
}

// Tick reports that time has passed.
type Tick struct{}

func (Stopping) input()           {}
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
func (PermitsGranted) input()     {}
func (Tick) input()               {}
