// Package registrar keeps the endpoints that have announced themselves, each for
// the length of a lease. It is soft state: nothing of it is stored.
package registrar

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is how long an announcement holds, and RenewalInterval how often an endpoint
// should repeat it.
const (
	Lease           = 15 * time.Second
	RenewalInterval = 5 * time.Second
)

// MaxEndpoints bounds the endpoints that a registry keeps.
const MaxEndpoints = 5_000

// State is what an endpoint says of itself.
type State string

// The states of an endpoint.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Name identifies an endpoint of a service.
type Name struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

// Compare orders names by service, then by endpoint.
func (n Name) Compare(other Name) int {
	return cmp.Or(strings.Compare(n.Service, other.Service), strings.Compare(n.Endpoint, other.Endpoint))
}

// Announcement is what an endpoint says of itself. It is immutable.
type Announcement struct {
	Name
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections the endpoint accepts from all entries
	// together.
	Connections int   `json:"connections"`
	State       State `json:"state"`
	// Incarnation rises with each start of the endpoint's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence rises with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Load is the number of requests running or queued at the endpoint.
	Load int `json:"load"`
	// Deregistered marks a goodbye.
	Deregistered bool `json:"gone,omitempty"`
	// WarmUp is how much longer the endpoint is slow after its start.
	WarmUp time.Duration `json:"warm-up,omitempty"`
}

// Leaving reports whether the endpoint is to get no more new work.
func (a Announcement) Leaving() bool { return a.Deregistered || a.State == StateDraining }

// WithDeparture returns the announcement in the light of what is kept of the endpoint's
// departure, which can't be taken back within an incarnation. It reports false for
// an announcement that the departure has overtaken.
func (a Announcement) WithDeparture(departure Announcement) (Announcement, bool) {
	switch {
	case a.Name != departure.Name || a.Incarnation > departure.Incarnation:
		return a, true
	case a.Incarnation < departure.Incarnation || (departure.Deregistered && !a.Deregistered):
		return a, false
	}
	a.State = StateDraining
	return a, true
}

// Newer reports whether a was made after b.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// same reports whether a differs from b in nothing but its sequence, its load and
// the rest of its warm-up.
func (a Announcement) same(b Announcement) bool {
	a.Sequence = b.Sequence
	a.WarmUp = b.WarmUp
	a.Load = b.Load
	return a == b
}

// Outcome says what an announcement changed.
type Outcome uint8

// The outcomes of an announcement.
const (
	// OutcomeStale: it is older than what is known.
	OutcomeStale Outcome = iota
	// OutcomeRenewed: it only renewed the lease.
	OutcomeRenewed
	// OutcomeChanged: it changed what is known of the endpoint.
	OutcomeChanged
	// OutcomeFull: the registry can't take another endpoint.
	OutcomeFull
)

type record struct {
	announcement Announcement
	// expires is on the receiver's monotonic clock.
	expires time.Time
}

// Registry holds announcements until their leases end. A goodbye is held too,
// so that a late announcement can't bring the endpoint back.
type Registry struct {
	records map[Name]*record
	lease   time.Duration
	// expired are the last words of endpoints whose lease has ended, kept for a while:
	// another replica may pass them on once more.
	expired map[Name]*record
	// deadlines say when records end, none of them later than that.
	deadlines deadlines
	// digest is the sum of the hashes of all records.
	digest uint64
	// owners is set where an address belongs to the latest incarnation that
	// announces it; incarnations are then comparable between endpoints.
	owners map[string]Name
}

// Option sets up a registry.
type Option func(*Registry)

// WithLease sets how long an announcement holds.
func WithLease(d time.Duration) Option { return func(r *Registry) { r.lease = d } }

// WithAddressOwners lets an address belong to the latest incarnation that announces
// it. Incarnations must be times, so that those of two endpoints can be compared.
func WithAddressOwners() Option {
	return func(r *Registry) { r.owners = make(map[string]Name) }
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{records: make(map[Name]*record), expired: make(map[Name]*record), lease: Lease}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Len returns the number of endpoints, gone ones included.
func (r *Registry) Len() int { return len(r.records) }

// Announce takes an announcement in.
func (r *Registry) Announce(now time.Time, a Announcement) Outcome {
	old, known := r.records[a.Name]
	switch {
	case known && !a.Newer(old.announcement):
		return OutcomeStale
	case !known && r.isExpired(a):
		return OutcomeStale
	case !known && len(r.records) >= MaxEndpoints:
		return OutcomeFull
	case !r.own(a):
		return OutcomeStale
	}
	if !known {
		rec := &record{a, now.Add(r.lease)}
		r.replace(nil, rec)
		r.records[a.Name] = rec
		r.watch(rec)
		return OutcomeChanged
	}
	renewed := a.same(old.announcement)
	next := record{a, now.Add(r.lease)}
	if !renewed {
		r.replace(old, &next)
	}
	*old = next
	if renewed {
		return OutcomeRenewed
	}
	return OutcomeChanged
}

// isExpired reports whether the announcement is one whose lease has ended.
func (r *Registry) isExpired(a Announcement) bool {
	last, ok := r.expired[a.Name]
	return ok && !a.Newer(last.announcement)
}

// expiredKept is how many leases long an expired announcement is remembered.
const expiredKept = 3

// own gives the address to the endpoint, unless a later incarnation has it. A former
// owner counts as gone.
func (r *Registry) own(a Announcement) bool {
	if r.owners == nil || a.Deregistered {
		return true
	}
	if owner, ok := r.records[r.owners[a.Address]]; ok && owner.announcement.Name != a.Name && owner.announcement.Address == a.Address {
		if owner.announcement.Incarnation > a.Incarnation {
			return false
		}
		r.replace(owner, nil)
		owner.announcement.Deregistered = true
	}
	r.owners[a.Address] = a.Name
	return true
}

// Remove forgets an endpoint.
func (r *Registry) Remove(name Name) {
	r.replace(r.records[name], nil)
	delete(r.records, name)
}

// ByEndpointName returns what is known of the endpoints of a name, whatever their service.
func (r *Registry) ByEndpointName(endpoint string) []Announcement {
	return slices.DeleteFunc(r.All(""), func(a Announcement) bool { return a.Endpoint != endpoint })
}

// Find returns what is known of an endpoint.
func (r *Registry) Find(name Name) (Announcement, bool) {
	if rec, ok := r.records[name]; ok {
		return rec.announcement, true
	}
	return Announcement{}, false
}

// Expire forgets the endpoints whose leases have ended, and returns them.
func (r *Registry) Expire(now time.Time) []Announcement {
	var expired []Announcement
	for rec := r.takeDue(now); rec != nil; rec = r.takeDue(now) {
		name := rec.announcement.Name
		if r.expired[name] == rec {
			delete(r.expired, name)
			continue
		}
		r.replace(rec, nil)
		delete(r.records, name)
		if r.owners != nil && r.owners[rec.announcement.Address] == name {
			delete(r.owners, rec.announcement.Address)
		}
		last := &record{rec.announcement, now.Add(expiredKept * r.lease)}
		r.expired[name] = last
		r.watch(last)
		expired = append(expired, rec.announcement)
	}
	slices.SortFunc(expired, compare)
	return expired
}

// List returns the endpoints that have not said goodbye, by name. An empty
// service lists all.
func (r *Registry) List(service string) []Announcement {
	return slices.DeleteFunc(r.All(service), func(a Announcement) bool { return a.Deregistered })
}

// All returns what was last said by each endpoint, goodbyes included.
func (r *Registry) All(service string) []Announcement {
	var list []Announcement
	for _, rec := range r.records {
		if service == "" || rec.announcement.Service == service {
			list = append(list, rec.announcement)
		}
	}
	slices.SortFunc(list, compare)
	return list
}

func compare(a, b Announcement) int { return a.Compare(b.Name) }
