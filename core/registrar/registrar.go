// Package registrar keeps a registry of endpoints that announce themselves. Each announcement
// is held for the length of a lease. The registry is soft state and is never stored.
package registrar

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is how long an announcement is valid, and RenewalInterval how often an endpoint should
// repeat it.
const (
	Lease           = 15 * time.Second
	RenewalInterval = 5 * time.Second
)

// MaxEndpoints is the maximum number of endpoints in a registry.
const MaxEndpoints = 5_000

// State is the lifecycle state that an endpoint announces.
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

// Announcement describes an endpoint and its current state, as the endpoint announces them. It
// is immutable.
type Announcement struct {
	Name
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the endpoint accepts from all entries
	// together.
	Connections int   `json:"connections"`
	State       State `json:"state"`
	// Incarnation increases with each start of the endpoint's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Load is the number of requests running or queued at the endpoint.
	Load int `json:"load"`
	// Deregistered marks the endpoint's deregistration.
	Deregistered bool `json:"gone,omitempty"`
	// WarmUp is the remaining time in which the endpoint takes only the document's warm-up rate. It may begin without a
	// restart.
	WarmUp time.Duration `json:"warm-up,omitempty"`
}

// Leaving reports whether the endpoint drains or is deregistered, and so gets no new requests.
func (a Announcement) Leaving() bool { return a.Deregistered || a.State == StateDraining }

// sameExceptProgress reports whether a and b are equal except for their sequence, load and
// remaining warm-up.
func (a Announcement) sameExceptProgress(b Announcement) bool {
	a.Sequence = b.Sequence
	a.WarmUp = b.WarmUp
	a.Load = b.Load
	return a == b
}

// Outcome is the effect of an announcement on a registry.
type Outcome uint8

// The outcomes of an announcement.
const (
	// OutcomeStale means that the announcement is outdated and was ignored.
	OutcomeStale Outcome = iota
	// OutcomeRenewed means that the announcement only renewed the lease.
	OutcomeRenewed
	// OutcomeChanged means that the announcement added or changed the endpoint.
	OutcomeChanged
	// OutcomeFull means that the registry is full and the announcement was ignored.
	OutcomeFull
)

type record struct {
	announcement Announcement
	// expires is on the receiver's monotonic clock.
	expires time.Time
	// warmUpEnd is when the warm-up ends that was announced with the last change; zero without one.
	warmUpEnd time.Time
}

// warmUpTolerance is by how much the end of a warm-up may move from one announcement to the next without a change:
// more than messages between processes take.
const warmUpTolerance = time.Second

// warmUpEnd returns when the warm-up of an announcement that has just arrived ends; zero without one.
func (a Announcement) warmUpEnd(now time.Time) time.Time {
	if a.WarmUp <= 0 {
		return time.Time{}
	}
	return now.Add(a.WarmUp)
}

// continuesWarmUp reports whether an announcement only confirms what is known of the warm-up. An endpoint may become
// cold at any time, so the start of a warm-up is a change, and so are its early end and another end.
func (r *record) continuesWarmUp(now time.Time, a Announcement) bool {
	if a.WarmUp <= 0 || r.warmUpEnd.IsZero() {
		return a.WarmUp <= 0 && !now.Before(r.warmUpEnd.Add(-warmUpTolerance))
	}
	return a.warmUpEnd(now).Sub(r.warmUpEnd).Abs() <= warmUpTolerance
}

// Registry holds announcements until their leases end. It also holds deregistrations, so that
// a delayed announcement can't add the endpoint again.
type Registry struct {
	records map[Name]*record
	lease   time.Duration
	// expired holds the last announcements of endpoints whose leases have ended. They are
	// kept for some time because another replica may still relay them.
	expired map[Name]*record
	// deadlines holds a time for each record at which it is checked for expiry. The time may
	// be before the expiry, but not after it.
	deadlines deadlines
	// digest is the sum of the hashes of all records.
	digest uint64
	// addressOwners maps each address to the endpoint with the latest incarnation that
	// announced it. It is nil unless WithAddressOwners is given, which requires that the
	// incarnations of different endpoints are comparable.
	addressOwners map[string]Name
}

// Option configures a Registry.
type Option func(*Registry)

// WithLease sets how long an announcement is valid; the default is Lease.
func WithLease(d time.Duration) Option { return func(r *Registry) { r.lease = d } }

// WithAddressOwners assigns each address to the latest incarnation that announces it.
// Incarnations must be times, so that those of different endpoints are comparable.
func WithAddressOwners() Option {
	return func(r *Registry) { r.addressOwners = make(map[string]Name) }
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{records: make(map[Name]*record), expired: make(map[Name]*record), lease: Lease}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Len returns the number of endpoints, including deregistered ones.
func (r *Registry) Len() int { return len(r.records) }

// Announce adds an announcement and reports its effect.
func (r *Registry) Announce(now time.Time, a Announcement) Outcome {
	old, known := r.records[a.Name]
	switch {
	case known && !a.Newer(old.announcement):
		return OutcomeStale
	case !known && r.hasExpired(a):
		return OutcomeStale
	case !known && len(r.records) >= MaxEndpoints:
		return OutcomeFull
	case !r.takeAddress(a):
		return OutcomeStale
	}
	if !known {
		rec := &record{announcement: a, expires: now.Add(r.lease), warmUpEnd: a.warmUpEnd(now)}
		r.updateDigest(nil, rec)
		r.records[a.Name] = rec
		r.scheduleExpiry(rec)
		return OutcomeChanged
	}
	renewed := a.sameExceptProgress(old.announcement) && old.continuesWarmUp(now, a)
	next := record{announcement: a, expires: now.Add(r.lease), warmUpEnd: old.warmUpEnd}
	if !renewed {
		next.warmUpEnd = a.warmUpEnd(now)
		r.updateDigest(old, &next)
	}
	*old = next
	if renewed {
		return OutcomeRenewed
	}
	return OutcomeChanged
}

// hasExpired reports whether the announcement is not newer than one whose lease has ended.
func (r *Registry) hasExpired(a Announcement) bool {
	last, ok := r.expired[a.Name]
	return ok && !a.Newer(last.announcement)
}

// expiredRetention is how long an expired announcement is kept, in leases.
const expiredRetention = 3

// takeAddress assigns the address to the endpoint unless a later incarnation owns it. The
// previous owner is marked as deregistered.
func (r *Registry) takeAddress(a Announcement) bool {
	if r.addressOwners == nil || a.Deregistered {
		return true
	}
	if owner, ok := r.records[r.addressOwners[a.Address]]; ok && owner.announcement.Name != a.Name && owner.announcement.Address == a.Address {
		if owner.announcement.Incarnation > a.Incarnation {
			return false
		}
		r.updateDigest(owner, nil)
		owner.announcement.Deregistered = true
	}
	r.addressOwners[a.Address] = a.Name
	return true
}

// Remove drops an endpoint without waiting for its lease to end. A delayed announcement can add
// it again.
func (r *Registry) Remove(name Name) {
	r.updateDigest(r.records[name], nil)
	delete(r.records, name)
}

// ByEndpointName returns the last announcements of all endpoints with a name, of any service.
func (r *Registry) ByEndpointName(endpoint string) []Announcement {
	return slices.DeleteFunc(r.All(""), func(a Announcement) bool { return a.Endpoint != endpoint })
}

// Find returns the last announcement of an endpoint, if it is in the registry.
func (r *Registry) Find(name Name) (Announcement, bool) {
	if rec, ok := r.records[name]; ok {
		return rec.announcement, true
	}
	return Announcement{}, false
}

// WithCurrentWarmUp sets the remaining time of the warm-up in an announcement of the registry, which holds the one that
// was announced.
func (r *Registry) WithCurrentWarmUp(now time.Time, a Announcement) Announcement {
	if rec, ok := r.records[a.Name]; ok && rec.announcement.Incarnation == a.Incarnation {
		a.WarmUp = max(0, rec.warmUpEnd.Sub(now))
	}
	return a
}

// CurrentWarmUps applies WithCurrentWarmUp to a list, and returns it.
func (r *Registry) CurrentWarmUps(now time.Time, list []Announcement) []Announcement {
	for i, a := range list {
		list[i] = r.WithCurrentWarmUp(now, a)
	}
	return list
}

// InWarmUp returns the number of endpoints that are in warm-up.
func (r *Registry) InWarmUp(now time.Time) int {
	n := 0
	for _, rec := range r.records {
		if !rec.announcement.Leaving() && now.Before(rec.warmUpEnd) {
			n++
		}
	}
	return n
}

// Expire removes the endpoints whose leases have ended and returns their last announcements.
func (r *Registry) Expire(now time.Time) []Announcement {
	var expired []Announcement
	for rec := r.popExpired(now); rec != nil; rec = r.popExpired(now) {
		name := rec.announcement.Name
		if r.expired[name] == rec {
			delete(r.expired, name)
			continue
		}
		r.updateDigest(rec, nil)
		delete(r.records, name)
		if r.addressOwners != nil && r.addressOwners[rec.announcement.Address] == name {
			delete(r.addressOwners, rec.announcement.Address)
		}
		last := &record{announcement: rec.announcement, expires: now.Add(expiredRetention * r.lease)}
		r.expired[name] = last
		r.scheduleExpiry(last)
		expired = append(expired, rec.announcement)
	}
	slices.SortFunc(expired, compare)
	return expired
}

// List returns the last announcements of the endpoints of a service, ordered by name, without
// deregistered ones. An empty service selects all services.
func (r *Registry) List(service string) []Announcement {
	return slices.DeleteFunc(r.All(service), func(a Announcement) bool { return a.Deregistered })
}

// All is like List but includes deregistered endpoints.
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
