// Package router matches requests to the services and routes of a document.
package router

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"comfreyplank.org/core/validator"
)

// Match is the route that a request takes.
type Match struct {
	// Service is the one that holds the route; Pick gives the one that a request
	// goes to.
	Service string
	Route   validator.Route
}

// PickService returns the service of one request. Draw is a random number, at least 0
// and below 1.
func (m Match) PickService(draw float64) string {
	sum := 0
	for _, p := range m.Route.Split {
		sum += p.Weight
	}
	left := draw * float64(sum)
	for _, p := range m.Route.Split {
		left -= float64(p.Weight)
		if left < 0 {
			return p.Service
		}
	}
	return m.Service
}

// Router finds the route of a request. It is immutable.
type Router struct {
	// routes are ordered from the most to the least specific.
	routes []Match
}

// New returns a router for the document.
func New(doc validator.Document) Router {
	var routes []Match
	for _, s := range doc.Services {
		for _, r := range s.Routes {
			routes = append(routes, Match{Service: s.Name, Route: r})
		}
	}
	slices.SortStableFunc(routes, moreSpecific)
	return Router{routes: routes}
}

func moreSpecific(a, b Match) int {
	if d := len(b.Route.PathPrefix) - len(a.Route.PathPrefix); d != 0 {
		return d
	}
	return len(b.Route.Host) - len(a.Route.Host)
}

// Match returns the most specific route for a host and a path.
func (r Router) Match(host, path string) (Match, bool) {
	host = withoutPort(host)
	for _, m := range r.routes {
		if m.Route.Host != "" && m.Route.Host != host {
			continue
		}
		if hasSegments(path, m.Route.PathPrefix) {
			return m, true
		}
	}
	return Match{}, false
}

// Execution returns how often a request of this method may run on the route.
func (m Match) Execution(method string) Execution {
	switch m.Route.Execution {
	case validator.ExecutionRepeatable:
		return Repeatable
	case validator.ExecutionOnceOnly:
		return onceOnlyFor(method)
	case validator.ExecutionAtMostOnce:
		return SingleAttempt
	}
	if idempotent(method) {
		return Repeatable
	}
	return SingleAttempt
}

// Execution is what the request's route and method allow.
type Execution uint8

// The executions of a request.
const (
	// Repeatable requests may be retried and hedged.
	Repeatable Execution = iota + 1
	// SingleAttempt requests are tried again only on proof that they were not run.
	SingleAttempt
	// OnceOnly requests need a claim on their key before they are dispatched.
	OnceOnly
)

// onceOnlyFor exempts safe methods, which change nothing and need no key.
func onceOnlyFor(method string) Execution {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return Repeatable
	}
	return OnceOnly
}

// idempotent follows RFC 9110, section 9.2.2.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func hasSegments(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	return path[len(prefix)] == '/'
}

func withoutPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
