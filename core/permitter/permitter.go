// Package permitter issues permits for the endpoints that have named a limit or are in warm-up: the requests that
// all entries together may send there. It is the leader's part; core/throttler is that of the
// entries.
//
// A permit is issued for a point in time, and these points are at least the interval of the limit
// apart, with one permit in reserve. The entry that holds it must use it within
// throttler.PermitLife. So the requests of any time span are at most those that the limit allows
// for the span and one life of a permit more, and two, wherever they are sent from.
package permitter

import (
	"slices"
	"time"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

const (
	// horizon is how far ahead permits are issued to an entry that has several requests for them: long enough that it
	// has some until the next reply. An entry with a single request, which waits for the reply, gets one for now only.
	horizon = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time until an entry requests permits again.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// termBits is the position of the leader's term in a version. The versions of a later leader
	// are higher than all of an earlier one.
	termBits = 32
)

// EndpointLimit is the limit of one endpoint. It is immutable.
type EndpointLimit struct {
	Name registrar.Name
	// Incarnation is that of the endpoint which named the limit.
	Incarnation uint64
	Limit       throttler.Limit
}

// record is a limit and the state of its permits.
type record struct {
	EndpointLimit
	// next is the time for which the next permit is issued, if it is not in the past.
	next time.Time
	// since is when this replica learned of the limit.
	since time.Time
	// usedAt is when an entry last referred to the limit.
	usedAt time.Time
	// issued is the number of permits that this replica has issued since it learned of the limit.
	issued uint64
	// warmUpRate is what the endpoint takes until warmUpUntil at most, as the last entry has told that asked for permits
	// during its warm-up; zero without a warm-up.
	warmUpRate  float64
	warmUpUntil time.Time
	// demand is how many requests of all entries want a permit.
	demand demand
}

// Permitter holds the limits of all endpoints. It is not safe for concurrent use.
type Permitter struct {
	records map[registrar.Name]*record
	// lastVersion is the highest version that was given or adopted.
	lastVersion uint64
	// issued is the number of permits issued by this process.
	issued uint64
}

// New returns a permitter that knows of no limit.
func New() *Permitter { return &Permitter{records: make(map[registrar.Name]*record)} }

// Len returns the number of endpoints with a limit or a warm-up, including those whose limit is no longer named.
func (p *Permitter) Len() int { return len(p.records) }

// Issued returns the number of permits issued by this process.
func (p *Permitter) Issued() uint64 { return p.issued }

// Handle processes what an entry tells of an endpoint, as the leader of a term. It returns the
// reply, and whether the limit has changed.
func (p *Permitter) Handle(now time.Time, term uint64, name registrar.Name, incarnation uint64, v throttler.Request) (throttler.Grant, bool) {
	r, changed := p.update(now, term, name, incarnation, v)
	if r == nil {
		return throttler.Grant{}, false
	}
	r.usedAt = now
	if incarnation == r.Incarnation && v.WarmUp.Left > 0 {
		r.warmUpRate = v.WarmUp.Rate
		r.warmUpUntil = now.Add(v.WarmUp.Left)
	}
	if incarnation != r.Incarnation || v.Permits <= 0 {
		return throttler.Grant{Limit: r.limitFor(incarnation)}, changed
	}
	g := r.issue(now, v.Permits)
	p.issued += uint64(g.Permits)
	r.issued += uint64(g.Permits)
	return g, changed
}

// limitFor returns the limit if it is that of the incarnation.
func (r *record) limitFor(incarnation uint64) throttler.Limit {
	if r.Incarnation != incarnation {
		return throttler.Limit{}
	}
	return r.Limit
}

// update applies the limit that an entry knows. It returns the record of the endpoint, or nil if
// there is none, and whether the limit has changed.
func (p *Permitter) update(now time.Time, term uint64, name registrar.Name, incarnation uint64, v throttler.Request) (*record, bool) {
	r, known := p.records[name]
	if known && incarnation < r.Incarnation {
		return r, false
	}
	if !known || incarnation > r.Incarnation {
		if v.Limit.Rate == 0 && v.WarmUp.Left <= 0 {
			return r, false
		}
		r = &record{EndpointLimit: EndpointLimit{Name: name, Incarnation: incarnation}}
		p.records[name] = r
	}
	if !accepts(r.Limit, v) {
		return r, false
	}
	p.lastVersion = max(p.lastVersion+1, term<<termBits)
	r.Limit = throttler.Limit{Rate: v.Limit.Rate, Version: p.lastVersion}
	r.since = now
	r.issued = 0
	if r.next.After(now) {
		r.next = now // entries drop the permits of a higher limit; those of a lower one are too few
	}
	return r, true
}

// accepts reports whether the limit of an entry replaces the current one. A higher limit, or none,
// is accepted only from an entry that knew the current one when it sent the request whose response
// stated so.
func accepts(current throttler.Limit, v throttler.Request) bool {
	switch {
	case v.Limit.Rate == current.Rate:
		return false
	case current.Version == 0:
		return true
	case !v.Observed:
		return false
	}
	return throttler.Restricts(v.Limit.Rate, current.Rate) || v.Limit.Version == current.Version
}

// rate returns the rate that applies: the lower of the limit and the rate of the warm-up.
func (r *record) rate(now time.Time) float64 {
	return throttler.WarmUp{Rate: r.warmUpRate, Left: r.warmUpUntil.Sub(now)}.Restrict(r.Limit.Rate)
}

// EndWarmUp ends the warm-up of an endpoint whose announcement says so.
func (p *Permitter) EndWarmUp(name registrar.Name, incarnation uint64) {
	if r, ok := p.records[name]; ok && r.Incarnation == incarnation {
		r.warmUpRate = 0
	}
}

// issue issues up to the number of wanted permits.
func (r *record) issue(now time.Time, wanted int) throttler.Grant {
	rate := r.rate(now)
	if rate == 0 {
		return throttler.Grant{Limit: r.Limit}
	}
	interval := time.Duration(float64(time.Second) / rate)
	if earliest := now.Add(-interval); r.next.Before(earliest) {
		r.next = earliest
	}
	ahead := r.next.Sub(now)
	most := time.Duration(0)
	if wanted > 1 {
		most = horizon
	}
	permits := 0
	if ahead <= most {
		permits = min(wanted, 1+int((most-ahead)/interval))
	}
	r.demand.add(now, wanted, rate)
	r.next = r.next.Add(time.Duration(permits) * interval)
	g := throttler.Grant{Limit: r.Limit, Permits: permits, Delay: ahead, Interval: interval, AskShare: r.demand.share}
	if permits < wanted {
		g.RetryAfter = min(r.next.Sub(now)-most, maxRetryAfter)
	}
	if permits == 0 {
		g.RetryAfter = max(g.RetryAfter, minRetryAfter)
	}
	return g
}

// Adopt applies the limits that the leader has sent, and returns those that are newer than the
// ones known before. A full list replaces all that is known.
func (p *Permitter) Adopt(now time.Time, limits []EndpointLimit, full bool) []EndpointLimit {
	var newer []EndpointLimit
	for _, l := range limits {
		p.lastVersion = max(p.lastVersion, l.Limit.Version)
		r, known := p.records[l.Name]
		if known && r.Limit.Version >= l.Limit.Version {
			continue
		}
		p.records[l.Name] = &record{EndpointLimit: l, since: now, usedAt: now}
		newer = append(newer, l)
	}
	if full {
		p.dropUnlisted(limits)
	}
	return newer
}

func (p *Permitter) dropUnlisted(limits []EndpointLimit) {
	listed := make(map[registrar.Name]bool, len(limits))
	for _, l := range limits {
		listed[l.Name] = true
	}
	for name := range p.records {
		if !listed[name] {
			delete(p.records, name)
		}
	}
}

// Limits returns all limits, ordered by name. A rate of zero means that the endpoint names none
// any more.
func (p *Permitter) Limits() []EndpointLimit {
	list := make([]EndpointLimit, 0, len(p.records))
	for _, r := range p.records {
		if r.Limit.Version > 0 {
			list = append(list, r.EndpointLimit)
		}
	}
	slices.SortFunc(list, func(a, b EndpointLimit) int { return a.Name.Compare(b.Name) })
	return list
}

// Status is the state of one limit at this replica.
type Status struct {
	EndpointLimit
	// Since is when the replica learned of the limit.
	Since time.Time
	// Issued is the number of permits that the replica has issued since.
	Issued uint64
}

// Statuses returns the states of the limits that are named, ordered by name.
func (p *Permitter) Statuses() []Status {
	var list []Status
	for _, l := range p.Limits() {
		if r := p.records[l.Name]; l.Limit.Rate > 0 {
			list = append(list, Status{EndpointLimit: l, Since: r.since, Issued: r.issued})
		}
	}
	return list
}

// Find returns the limit of an endpoint.
func (p *Permitter) Find(name registrar.Name) (EndpointLimit, bool) {
	if r, ok := p.records[name]; ok && r.Limit.Version > 0 {
		return r.EndpointLimit, true
	}
	return EndpointLimit{}, false
}

// Prune drops the limits that no entry has referred to within a time and that are no longer named
// or belong to endpoints that are not known.
func (p *Permitter) Prune(now time.Time, unused time.Duration, known func(registrar.Name) bool) {
	for name, r := range p.records {
		if now.Sub(r.usedAt) > unused && (r.Limit.Rate == 0 || !known(name)) {
			delete(p.records, name)
		}
	}
}
