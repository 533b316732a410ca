// Package router matches requests to the routes of a document and picks their services.
package router

import (
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"comfreyplank.org/core/validator"
)

// Match is the result of matching a request to a route.
type Match struct {
	// prefix is the path prefix of the route with its percent-encodings decoded.
	prefix string
	// Service is the service that defines the route. PickService returns the one that
	// handles a request.
	Service string
	Route   validator.Route
}

// PickService returns the service that handles a request, according to the weights of the
// route's split, or m.Service without a split. Draw is a random number in [0, 1).
func (m Match) PickService(draw float64) string {
	sum := 0
	for _, p := range m.Route.Split {
		sum += p.Weight
	}
	remaining := draw * float64(sum)
	for _, p := range m.Route.Split {
		remaining -= float64(p.Weight)
		if remaining < 0 {
			return p.Service
		}
	}
	return m.Service
}

// Router finds the routes of requests. It is immutable.
type Router struct {
	// routes are ordered from most to least specific.
	routes []Match
}

// New returns a router for the routes of a document.
func New(doc validator.Document) Router {
	var routes []Match
	for _, s := range doc.Services {
		for _, r := range s.Routes {
			routes = append(routes, Match{prefix: decodePrefix(r.PathPrefix), Service: s.Name, Route: r})
		}
	}
	slices.SortStableFunc(routes, compareSpecificity)
	return Router{routes: routes}
}

// compareSpecificity orders routes by the length of their path prefixes, then of their hosts,
// longest first.
func compareSpecificity(a, b Match) int {
	if d := len(b.prefix) - len(a.prefix); d != 0 {
		return d
	}
	return len(b.Route.Host) - len(a.Route.Host)
}

// decodePrefix decodes the percent-encodings of a path prefix. One in which a percent sign stands for itself is used as
// it is.
func decodePrefix(prefix string) string {
	if decoded, err := url.PathUnescape(prefix); err == nil {
		return decoded
	}
	return prefix
}

// Match returns the most specific route for a host and a path, if there is one. The path's percent-encodings are
// decoded, as are those of the prefixes, so that one path in several spellings has one route; dots and empty segments
// are segments like others.
func (r Router) Match(host, path string) (Match, bool) {
	host = normalHost(host)
	for _, m := range r.routes {
		if m.Route.Host != "" && m.Route.Host != host {
			continue
		}
		if hasPathPrefix(path, m.prefix) {
			return m, true
		}
	}
	return Match{}, false
}

// Execution returns how a request with the given method may be executed on the route.
func (m Match) Execution(method string) Execution {
	switch m.Route.Execution {
	case validator.ExecutionRepeatable:
		return Repeatable
	case validator.ExecutionOnceOnly:
		return onceOnlyUnlessSafe(method)
	case validator.ExecutionAtMostOnce:
		return SingleAttempt
	}
	if idempotent(method) {
		return Repeatable
	}
	return SingleAttempt
}

// Execution states how often a request may be executed, as its route and method allow.
type Execution uint8

// The executions of a request.
const (
	// Repeatable requests may be retried and hedged.
	Repeatable Execution = iota + 1
	// SingleAttempt requests are retried only with proof that they did not run.
	SingleAttempt
	// OnceOnly requests need a claim on their idempotency key before they are dispatched.
	OnceOnly
)

// onceOnlyUnlessSafe exempts safe methods from once-only execution: they change nothing and
// need no key.
func onceOnlyUnlessSafe(method string) Execution {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return Repeatable
	}
	return OnceOnly
}

// idempotent reports whether a method is idempotent by RFC 9110, section 9.2.2.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hasPathPrefix reports whether the path starts with the segments of the prefix.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	return path[len(prefix)] == '/'
}

// normalHost returns the host in lower case and without a port.
func normalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
