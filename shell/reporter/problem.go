// Package reporter writes the HTTP responses that the system itself generates.
package reporter

import (
	"encoding/json"
	"net/http"

	"comfreyplank.org/core/validator"
)

// The outcome header and its values.
const (
	OutcomeHeader  = "Comfreyplank-Outcome"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const problemType = "application/problem+json"

// Problem is the body of an error response as defined by RFC 9457.
type Problem struct {
	Title  string              `json:"title"`
	Status int                 `json:"status"`
	Detail string              `json:"detail,omitempty"`
	Errors []validator.Problem `json:"errors,omitempty"`
	// Request is the ID of the request, for use in support inquiries.
	Request string `json:"request-id,omitempty"`
}

// Write sends the problem as the response. The outcome states whether the request was run.
func (p Problem) Write(w http.ResponseWriter, outcome string) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	w.Header().Set(OutcomeHeader, outcome)
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}

// JSON sends a value as a JSON response.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // an error means that the caller has disconnected
}
