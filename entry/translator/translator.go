// Package translator turns what callers and endpoints say into the terms of the
// system and back. Each protocol is a value: the product's own, or one that a
// platform prescribes.
package translator

import (
	"net/http"
	"time"

	"comfreyplank.org/core/balancer"
)

// Request is what a caller says about its request.
type Request struct {
	// ID names the request in answers and in the time line; empty when the caller
	// gave none that can be used.
	ID string
	// Timeout is how long the caller waits; negative when it doesn't say.
	Timeout time.Duration
	// Chained is set for a retry of an entry higher up.
	Chained bool
}

// Refusal is an answer that the system itself gives to a request.
type Refusal struct {
	Status  int
	Outcome balancer.Outcome
	Detail  string
	// Request is the id of the request.
	Request string
	// RetryAfter is when the caller may come again; zero when it need not be told.
	RetryAfter time.Duration
}

// Callers is the protocol between callers and the system.
type Callers struct {
	// ParseRequest returns what the header says about the request.
	ParseRequest func(h http.Header) (Request, error)
	// Refuse answers a request that gets no answer of an endpoint.
	Refuse func(w http.ResponseWriter, r Refusal)
	// PrepareResponse completes the header of an endpoint's answer for the caller.
	PrepareResponse func(h http.Header, id string)
	// PrepareForward completes the header that goes to endpoints, once for all attempts.
	PrepareForward func(h http.Header, r *http.Request, id string)
}

// Attempt is one sending of a request.
type Attempt struct {
	// Endpoint is the name of the endpoint that is to run the request.
	Endpoint string
	// Number counts the attempts of the request from 1.
	Number int
	// Remaining is the time that the endpoint has; more than zero.
	Remaining time.Duration
}

// Endpoints is the protocol between the system and endpoints.
type Endpoints struct {
	// PrepareAttempt completes the header of a request for one attempt.
	PrepareAttempt func(h http.Header, a Attempt)
	// ClassifyResponse says what the head of an answer means: balancer.EndingComplete for an
	// answer to this request, or how the attempt failed.
	ClassifyResponse func(sent http.Header, answer *http.Response) balancer.Ending
	// Report returns the load that came with an answer.
	Report func(h http.Header) balancer.Report
	// ClassifyProbe says what the answer to a probe means: balancer.EndingComplete when the
	// endpoint that was meant is well.
	ClassifyProbe func(endpoint string, answer *http.Response) balancer.Ending
}
