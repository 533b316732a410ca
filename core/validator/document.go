// Package validator defines the configuration document and checks whether a document may
// take effect. Every document describes the whole configuration, and it is accepted or
// refused as a whole.
package validator

import (
	"reflect"
	"time"
)

// Execution defines how often a request on a route may run.
type Execution string

// The execution modes of a route.
const (
	// ExecutionByMethod leaves the decision to the HTTP method of the request.
	ExecutionByMethod   Execution = ""
	ExecutionRepeatable Execution = "repeatable"
	ExecutionOnceOnly   Execution = "once-only"
	// ExecutionAtMostOnce allows a retry only if the request is known not to have run. A
	// request that the caller repeats counts as a new request.
	ExecutionAtMostOnce Execution = "at-most-once"
)

// Class selects the queue that a request waits in.
type Class string

// The queue classes of a route.
const (
	ClassInteractive Class = "interactive"
	ClassBulk        Class = "bulk"
)

// Document is a complete configuration of the system.
type Document struct {
	// BaseRevision is the revision that this document was edited from.
	BaseRevision uint64 `json:"base-revision"`
	// ChangeID identifies the change. A change that is sent again with the same ID gets
	// the first reply.
	ChangeID string `json:"change-id"`
	// Generation is a version number that the author of the documents assigns. If it is
	// not zero, the document with the highest generation takes effect and BaseRevision is
	// ignored.
	Generation uint64 `json:"generation,omitempty"`
	// Source is the document as its author wrote it. It is stored only to be read back.
	Source string `json:"source,omitempty"`
	// Entries is the maximum number of entries that run at once. Each entry may open an
	// equal part of an endpoint's connections.
	Entries int `json:"entries"`
	// Services must have distinct names.
	Services []Service `json:"services"`
	// Stops lists the endpoints that are being taken out of service or already are.
	Stops []Stop `json:"stops,omitempty"`
	// Workspaces lists those that may send requests. Without any, requests need no key. No two
	// have the same name, or a key in common.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// Limits apply to the requests and connections of callers.
	Limits Limits `json:"limits,omitzero"`
}

// Workspace is a group of callers that share their keys and a rate limit.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority replaces that of the route, if it is set.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond is the rate limit over all entries together; zero means no limit.
	RatePerSecond float64 `json:"rate-per-second,omitempty"`
	// Burst is how many requests beyond the rate limit the workspace may send at once.
	Burst float64 `json:"burst,omitempty"`
}

// Limits restrict the size and the duration of what a caller sends. A limit of zero selects
// the default of the entry.
type Limits struct {
	MaxHeaderBytes int `json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int `json:"max-body-bytes,omitempty"`
	// HeaderTimeoutMs limits the time that a caller may take to send a request header, in
	// milliseconds.
	HeaderTimeoutMs int `json:"header-timeout-ms,omitempty"`
	// IdleTimeoutMs limits how long a connection may stay open without a request, in
	// milliseconds.
	IdleTimeoutMs int `json:"idle-timeout-ms,omitempty"`
}

// Service is a set of interchangeable endpoints and the routes that lead to them.
type Service struct {
	Name string `json:"name"`
	// Routes are matched by longest path prefix. No two routes of a document may have the
	// same host and path prefix.
	Routes []Route `json:"routes"`
	// Admitted lists the endpoints that may serve. If it is empty, every endpoint that
	// announces itself may serve.
	Admitted []string `json:"admitted,omitempty"`
	// QueueLimit is the number of calls of each class that may wait in one entry.
	QueueLimit int `json:"queue-limit"`
	// RetryPercent is the retry budget, as a percentage of first attempts.
	RetryPercent int `json:"retry-percent"`
	// ProbeMsPerSecond is the endpoint time that all entries together may spend on probes,
	// in milliseconds per second.
	ProbeMsPerSecond int `json:"probe-ms-per-second"`
	// ProbeBytesPerSecond is the traffic that all entries together may spend on probes, in
	// bytes per second.
	ProbeBytesPerSecond int `json:"probe-bytes-per-second"`
	// Connections is the number of connections that each endpoint accepts from all entries
	// together. It applies to endpoints that don't announce a number.
	Connections int `json:"connections,omitempty"`
	// HealthPath is the path that probes request. If it is empty, the default path is used.
	HealthPath string `json:"health-path,omitempty"`
	// WarmUpRequestsPerSecond is how many requests a second an endpoint takes from all entries
	// together while it warms up; zero means no limit.
	WarmUpRequestsPerSecond float64 `json:"warm-up-requests-per-second,omitempty"`
}

// Route assigns the requests that match a host and a path prefix to a service.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name,omitempty"`
	// Host is compared to the host of the request without its port. An empty Host matches
	// every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string    `json:"path-prefix"`
	Execution  Execution `json:"execution,omitempty"`
	// DeadlineMs limits the duration of the whole call, in milliseconds.
	DeadlineMs int   `json:"deadline-ms"`
	Class      Class `json:"class"`
	// LatencyTargetMs is the latency up to which a response has its full value, in
	// milliseconds. Zero means that the route has no latency target.
	LatencyTargetMs int `json:"target-ms,omitempty"`
	// Attempts limits the number of endpoints that one request is sent to. Zero selects the
	// default of the entry.
	Attempts int `json:"attempts,omitempty"`
	// Priority tells which calls are refused first while a service lacks room; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Public routes need no key, though the document lists workspaces.
	Public bool `json:"public,omitempty"`
	// Split divides the requests among services by weight. If it is empty, all requests go
	// to the service that contains the route.
	Split []WeightedService `json:"split,omitempty"`
}

// Equal reports whether two routes have the same value in every field.
func (r Route) Equal(other Route) bool { return reflect.DeepEqual(r, other) }

// SameMatch reports whether two routes match the same requests.
func (r Route) SameMatch(other Route) bool {
	return r.Host == other.Host && r.PathPrefix == other.PathPrefix
}

// WeightedService is a service that receives part of the requests of a route.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the sum of the weights of the split.
	Weight int `json:"weight"`
}

// Stop takes one endpoint out of service from a given time on.
type Stop struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	// At is the time from which the endpoint gets no new requests. The zero time means
	// immediately.
	At time.Time `json:"at,omitzero"`
}

// WithBase returns a copy of the document that is a change to the given revision.
func (d Document) WithBase(revision uint64, changeID string) Document {
	d.BaseRevision = revision
	d.ChangeID = changeID
	return d
}

// WithoutSource returns a copy of the document without its source. Entries receive the
// document in this form.
func (d Document) WithoutSource() Document {
	d.Source = ""
	return d
}

// WithStop returns a copy of the document with the stop added. It replaces a stop of the
// same endpoint.
func (d Document) WithStop(s Stop) Document {
	d = d.WithoutStop(s.Service, s.Endpoint)
	d.Stops = append(d.Stops, s)
	return d
}

// WithoutStop returns a copy of the document without the stops of the given endpoint.
func (d Document) WithoutStop(service, endpoint string) Document {
	kept := make([]Stop, 0, len(d.Stops)+1)
	for _, s := range d.Stops {
		if s.Service != service || s.Endpoint != endpoint {
			kept = append(kept, s)
		}
	}
	d.Stops = kept
	return d
}

// WithService returns a copy of the document with the service added. It replaces a service
// of the same name.
func (d Document) WithService(s Service) Document {
	services := make([]Service, 0, len(d.Services)+1)
	found := false
	for _, old := range d.Services {
		if old.Name == s.Name {
			old = s
			found = true
		}
		services = append(services, old)
	}
	if !found {
		services = append(services, s)
	}
	d.Services = services
	return d
}

// Service returns the service with the given name.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Stopped reports whether a stop excludes the endpoint from new requests at the given time.
func (d Document) Stopped(service, endpoint string, now time.Time) bool {
	for _, s := range d.Stops {
		if s.Service == service && s.Endpoint == endpoint && !now.Before(s.At) {
			return true
		}
	}
	return false
}

// Admits reports whether the endpoint may serve requests of the service.
func (s Service) Admits(endpoint string) bool {
	if len(s.Admitted) == 0 {
		return true
	}
	for _, name := range s.Admitted {
		if name == endpoint {
			return true
		}
	}
	return false
}
