// Package translator converts between the headers of callers and endpoints and the system's own
// types. Each protocol is a value: the product's own, or that of a platform.
package translator

import (
	"net/http"
	"time"

	"comfreyplank.org/core/balancer"
)

// Request holds what the header of a caller's request states.
type Request struct {
	// ID identifies the request in responses and in the timeline; empty when the caller sent no
	// usable one.
	ID string
	// Timeout is how long the caller waits; negative when it doesn't say.
	Timeout time.Duration
	// Chained is set when the request is itself a retry by an entry upstream.
	Chained bool
}

// Refusal is a response that the system itself gives to a request.
type Refusal struct {
	Status  int
	Outcome balancer.Outcome
	Detail  string
	// Request is the ID of the request.
	Request string
	// RetryAfter is how long the caller should wait before it retries; zero when it needs no
	// such hint.
	RetryAfter time.Duration
}

// Callers is the protocol between callers and the system.
type Callers struct {
	// ParseRequest returns what the header states about the request.
	ParseRequest func(h http.Header) (Request, error)
	// Refuse responds to a request that gets no response from an endpoint.
	Refuse func(w http.ResponseWriter, r Refusal)
	// PrepareResponse completes the header of an endpoint's response for the caller.
	PrepareResponse func(h http.Header, id string)
	// PrepareForward completes the header that is forwarded to endpoints, once for all attempts.
	PrepareForward func(h http.Header, r *http.Request, id string)
	// KeyHeader is the header field with the caller's key, and WorkspaceHeader the one by which endpoints learn the
	// workspace that holds it. Both are in canonical form. With a document that lists workspaces, endpoints never get
	// these fields as the caller sent them.
	KeyHeader       string
	WorkspaceHeader string
}

// Attempt describes one sending of a request to an endpoint.
type Attempt struct {
	// Endpoint is the name of the endpoint that is to run the request.
	Endpoint string
	// Number counts the attempts of the request from 1.
	Number int
	// Remaining is the time left for the endpoint; always positive.
	Remaining time.Duration
}

// Endpoints is the protocol between the system and endpoints.
type Endpoints struct {
	// PrepareAttempt completes the header of a request for one attempt.
	PrepareAttempt func(h http.Header, a Attempt)
	// ClassifyResponse classifies the head of a response: balancer.EndingComplete if it belongs
	// to this request, or else how the attempt failed.
	ClassifyResponse func(sent http.Header, response *http.Response) balancer.Ending
	// Unidentified reports whether nothing in a response tells it from the response to an
	// earlier request. Such a request gets a connection of its own. If unset, that is needed
	// only after a refusal.
	Unidentified func(sent http.Header) bool
	// Report returns what the header of a response says of its endpoint; balancer.NoReport if the
	// response belongs to another request.
	Report func(sent http.Header, response *http.Response) balancer.Report
	// ClassifyProbe classifies the response to a probe: balancer.EndingComplete when it comes
	// from the intended endpoint and that endpoint is healthy.
	ClassifyProbe func(endpoint string, response *http.Response) balancer.Ending
}
