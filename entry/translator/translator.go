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
	// Patience is how long the caller waits; negative when it doesn't say.
	Patience time.Duration
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
	// Read returns what the header says about the request.
	Read func(h http.Header) (Request, error)
	// Refuse answers a request that gets no answer of an endpoint.
	Refuse func(w http.ResponseWriter, r Refusal)
	// Answer completes the header of an endpoint's answer for the caller.
	Answer func(h http.Header, id string)
	// Onward completes the header that goes to endpoints, once for all attempts.
	Onward func(h http.Header, r *http.Request, id string)
}

// Attempt is one sending of a request.
type Attempt struct {
	// Endpoint is the name of the endpoint that is to run the request.
	Endpoint string
	// Number counts the attempts of the request from 1.
	Number int
	// Left is the time that the endpoint has; more than zero.
	Left time.Duration
}

// Endpoints is the protocol between the system and endpoints.
type Endpoints struct {
	// Prepare completes the header of a request for one attempt.
	Prepare func(h http.Header, a Attempt)
	// Judge says what the head of an answer means: balancer.EndingComplete for an
	// answer to this request, or how the attempt failed.
	Judge func(sent http.Header, answer *http.Response) balancer.Ending
	// Report returns the load that came with an answer.
	Report func(h http.Header) balancer.Report
	// Probed says what the answer to a probe means: balancer.EndingComplete when the
	// endpoint that was meant is well.
	Probed func(endpoint string, answer *http.Response) balancer.Ending
}
