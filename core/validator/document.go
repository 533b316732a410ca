// Package validator holds the configuration document and decides whether one
// may take effect. A document is complete each time and is accepted or refused
// whole.
package validator

import "time"

// Execution says how often a request on a route may be run.
type Execution string

// The executions a route may state. The empty value leaves the decision to the
// request's method.
const (
	ExecutionByMethod   Execution = ""
	ExecutionRepeatable Execution = "repeatable"
	ExecutionOnceOnly   Execution = "once-only"
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
	// Entries is the largest number of entries that run at once. Each may open an
	// equal part of an endpoint's connections.
	Entries int `json:"entries"`
	// Services have distinct names.
	Services []Service `json:"services"`
	// Stops name endpoints that leave or have left.
	Stops []Stop `json:"stops,omitempty"`
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
}

// Route leads requests to a service.
type Route struct {
	// Host matches the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string    `json:"path-prefix"`
	Execution  Execution `json:"execution,omitempty"`
	// DeadlineMs bounds the whole call, in milliseconds.
	DeadlineMs int   `json:"deadline-ms"`
	Class      Class `json:"class"`
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
