// Package router matches requests to the routes of a document and picks their services.
package router

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"comfreyplank.org/core/validator"
)

// Match is the result of matching a request to a route.
type Match struct {
	// prefix is the route's path prefix in its normal form.
	prefix string
	// Service is the service that defines the route. PickService returns the one that
	// handles a request.
	Service string
	Route   validator.Route
	// otherExecutions are those of the routes that other readings of the path lead to, as far as they differ.
	otherExecutions []validator.Execution
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
	// indexes hold them by their prefixes in each form.
	indexes [formCount]index
	// plain tells whether each prefix has one reading only.
	plain bool
}

// New returns a router for the routes of a document.
func New(doc validator.Document) Router {
	router := Router{plain: true}
	for _, s := range doc.Services {
		for _, r := range s.Routes {
			router.routes = append(router.routes, Match{prefix: normalForm(r.PathPrefix), Service: s.Name, Route: r})
			router.plain = router.plain && isPlain(r.PathPrefix)
		}
	}
	slices.SortStableFunc(router.routes, compareSpecificity)
	for f := range formCount {
		if router.plain && f > 0 {
			router.indexes[f] = router.indexes[0] // all forms are the same
			continue
		}
		router.indexes[f] = newIndex(router.routes, f)
	}
	return router
}

// compareSpecificity orders routes by the length of their path prefixes, then of their hosts,
// longest first.
func compareSpecificity(a, b Match) int {
	if d := len(b.prefix) - len(a.prefix); d != 0 {
		return d
	}
	return len(b.Route.Host) - len(a.Route.Host)
}

// Match returns the most specific route for a host and a path as the caller wrote it, if there is one. The route is that of the
// path's normal form. Where another reading of the path leads to another route, that one's execution counts too.
func (r Router) Match(host, path string) (Match, bool) {
	host = normalHost(host)
	if r.plain && isPlain(path) {
		return r.indexes[formNormal].find(r.routes, host, path)
	}
	found, ok := r.indexes[formNormal].find(r.routes, host, normalForm(path))
	if !ok {
		return Match{}, false
	}
	for _, other := range otherReadings(path) {
		if m, ok := r.indexes[other.form].find(r.routes, host, other.path); ok {
			found = found.withOther(m.Route.Execution)
		}
	}
	return found, true
}

func (m *Match) hasHost(host string) bool { return m.Route.Host == "" || m.Route.Host == host }

func (m Match) withOther(execution validator.Execution) Match {
	if execution != m.Route.Execution && !slices.Contains(m.otherExecutions, execution) {
		m.otherExecutions = append(m.otherExecutions, execution)
	}
	return m
}

// Execution returns how a request with the given method may be executed: as the route says, or as strictly as the strictest route
// that another reading of its path leads to.
func (m Match) Execution(method string) Execution {
	strictest := executionOf(m.Route.Execution, method)
	for _, other := range m.otherExecutions {
		strictest = max(strictest, executionOf(other, method))
	}
	return strictest
}

func executionOf(setting validator.Execution, method string) Execution {
	switch setting {
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

// The executions of a request, each stricter than the one before it.
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

// normalHost returns the host in lower case and without a port.
func normalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
