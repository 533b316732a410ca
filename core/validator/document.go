// Package validator holds the configuration document and decides whether one
// may take effect. A document is complete each time and is accepted or refused
// whole.
package validator

import (
	"reflect"
	"time"
)

// Execution says how often a request on a route may be run.
type Execution string

// The executions a route may state. The empty value leaves the decision to the
// request's method.
const (
	ExecutionByMethod   Execution = ""
	ExecutionRepeatable Execution = "repeatable"
	ExecutionOnceOnly   Execution = "once-only"
	// ExecutionAtMostOnce requests are tried again only on proof that they were not
	// run; a request that the caller repeats is a new one.
	ExecutionAtMostOnce Execution = "at-most-once"
)

// Class says which queue a request waits in.
type Class string

// The classes of a route.
const (
	ClassInteractive Class = "interactive"
	ClassBulk        Class = "bulk"
)

// Document is one complete configuration.
type Document struct {
	// BaseRevision is the revision this document was edited from.
	BaseRevision uint64 `json:"base-revision"`
	// ChangeID identifies the change; sent again, it gets the first answer.
	ChangeID string `json:"change-id"`
	// Generation is the author's own order of documents. Where it is not zero, the
	// highest generation takes effect and BaseRevision is not looked at.
	Generation uint64 `json:"generation,omitempty"`
	// Source is the form in which the author wrote the document, to be read back.
	Source string `json:"source,omitempty"`
	// Entries is the largest number of entries that run at once. Each may open an
	// equal part of an endpoint's connections.
	Entries int `json:"entries"`
	// Services have distinct names.
	Services []Service `json:"services"`
	// Stops name endpoints that leave or have left.
	Stops []Stop `json:"stops,omitempty"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits,omitzero"`
}

// Limits bound what a caller may send, and how long it may take. Zero leaves the
// entry's own bound.
type Limits struct {
	MaxHeaderBytes int `json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int `json:"max-body-bytes,omitempty"`
	// HeaderTimeoutMs is how long a request's header may take, in milliseconds.
	HeaderTimeoutMs int `json:"header-timeout-ms,omitempty"`
	// IdleTimeoutMs is how long a connection may be without a request, in
	// milliseconds.
	IdleTimeoutMs int `json:"idle-timeout-ms,omitempty"`
}

// Service is a set of interchangeable endpoints and the routes that lead to it.
type Service struct {
	Name string `json:"name"`
	// Routes are matched by longest path prefix; host and prefix are unique.
	Routes []Route `json:"routes"`
	// Admitted lists the endpoints that may serve; empty admits every one that
	// announces itself.
	Admitted []string `json:"admitted,omitempty"`
	// QueueLimit is the number of calls that may wait in one entry for each class.
	QueueLimit int `json:"queue-limit"`
	// RetryPercent is the share of first attempts that may be tried again.
	RetryPercent int `json:"retry-percent"`
	// ProbeMsPerSecond is the endpoint time that all entries together may spend
	// on probes, in milliseconds each second.
	ProbeMsPerSecond int `json:"probe-ms-per-second"`
	// ProbeBytesPerSecond is the traffic that all entries together may spend on
	// probes, in bytes each second.
	ProbeBytesPerSecond int `json:"probe-bytes-per-second"`
	// Connections is how many connections each endpoint accepts from all entries
	// together, for endpoints that don't announce it.
	Connections int `json:"connections,omitempty"`
	// HealthPath is the path that answers probes; empty means the default one.
	HealthPath string `json:"health-path,omitempty"`
}

// Route leads requests to a service.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name,omitempty"`
	// Host matches the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string    `json:"path-prefix"`
	Execution  Execution `json:"execution,omitempty"`
	// DeadlineMs bounds the whole call, in milliseconds.
	DeadlineMs int   `json:"deadline-ms"`
	Class      Class `json:"class"`
	// LatencyTargetMs is the time within which an answer has its full worth, in
	// milliseconds; zero when none is stated.
	LatencyTargetMs int `json:"target-ms,omitempty"`
	// Attempts bounds the endpoints that one request is sent to; zero leaves the
	// entry's own bound.
	Attempts int `json:"attempts,omitempty"`
	// Priority orders calls that wait; 0 goes first.
	Priority int `json:"priority,omitempty"`
	// Split divides the requests among services by weight. Without it, all go to
	// the service that holds the route.
	Split []WeightedService `json:"split,omitempty"`
}

// Equal reports whether two routes are the same in every field.
func (r Route) Equal(other Route) bool { return reflect.DeepEqual(r, other) }

// SameMatch reports whether two routes match the same requests.
func (r Route) SameMatch(other Route) bool {
	return r.Host == other.Host && r.PathPrefix == other.PathPrefix
}

// WeightedService is a service's part of the requests of a route.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is the part, against the sum of the route's weights.
	Weight int `json:"weight"`
}

// Stop takes one endpoint out of service at a time.
type Stop struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	// At is when the endpoint gets no more new work; zero means at once.
	At time.Time `json:"at,omitzero"`
}

// WithBase returns the document prepared as a change to the given revision.
func (d Document) WithBase(revision uint64, changeID string) Document {
	d.BaseRevision = revision
	d.ChangeID = changeID
	return d
}

// WithoutSource returns the document without the author's form, as entries get it.
func (d Document) WithoutSource() Document {
	d.Source = ""
	return d
}

// WithStop returns the document with a stop added; a stop for the same endpoint
// is replaced.
func (d Document) WithStop(s Stop) Document {
	d = d.WithoutStop(s.Service, s.Endpoint)
	d.Stops = append(d.Stops, s)
	return d
}

// WithoutStop returns the document without the stops of one endpoint.
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

// WithService returns the document with a service added or replaced by name.
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

// Service returns the service of a name.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Stopped reports whether an endpoint may get no new work at the given time.
func (d Document) Stopped(service, endpoint string, now time.Time) bool {
	for _, s := range d.Stops {
		if s.Service == service && s.Endpoint == endpoint && !now.Before(s.At) {
			return true
		}
	}
	return false
}

// Admits reports whether the service lets an endpoint serve.
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
