// Package reporter writes the answers that the system itself makes.
package reporter

import (
	"encoding/json"
	"net/http"

	"comfreyplank.org/core/validator"
)

// Outcome headers and their values.
const (
	OutcomeHeader  = "Comfreyplank-Outcome"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const problemType = "application/problem+json"

// Problem is a problem body as in RFC 9457.
type Problem struct {
	Title  string              `json:"title"`
	Status int                 `json:"status"`
	Detail string              `json:"detail,omitempty"`
	Errors []validator.Problem `json:"errors,omitempty"`
	// Request is the id of the request, for questions about it.
	Request string `json:"request-id,omitempty"`
}

// Write answers with the problem and what became of the request.
func (p Problem) Write(w http.ResponseWriter, outcome string) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	w.Header().Set(OutcomeHeader, outcome)
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a caller that has gone can't be told
}

// JSON answers with a value.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a caller that has gone can't be told
}
