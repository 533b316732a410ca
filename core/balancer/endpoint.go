package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/limiter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/scheduler"
)

// Tuning of ejection.
const (
	// failuresToEject is how many attempts in a row must fail.
	failuresToEject = 5
	// ejectionBase is the first ejection; each one in a row is twice as long.
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
	// failureRatio is how much longer than estimated a failure counts as.
	failureRatio = 3
	// ejectedPart bounds the ejected endpoints to one in so many, so that a general
	// failure ejects few.
	ejectedPart = 3
)

// flight is an attempt in flight at an endpoint.
type flight struct {
	attempt AttemptID
	start   time.Time
}

// endpoint is an endpoint and what this entry has learned of it.
type endpoint struct {
	Endpoint
	// flights are ordered by start.
	flights []flight
	// said is what the endpoint last told of its load, and sentWhenSaid is sent then.
	said         picker.Sample
	saidAt       time.Time
	sentWhenSaid int
	// sent counts the requests that were sent there; it never falls.
	sent  int
	limit limiter.Limit
	// provenAfter excludes older connections that have not answered since.
	provenAfter time.Time
	failures    int
	ejections   int
	// ejectedUntil is when a trial may be made; zero when not ejected.
	ejectedUntil time.Time
	// trial is set while one request decides whether an ejected endpoint returns.
	trial   bool
	probing bool
	// displaced is set once another endpoint has answered at the address, until the
	// endpoint starts anew.
	displaced bool
	evidence  time.Time
	// gone is set once the entry is told of the endpoint no more; it is removed
	// when nothing is in flight.
	gone bool
	// at is the position in the balancer, and rank the place in this entry's order.
	at   int
	rank uint64
}

func (e *endpoint) name() string { return e.Endpoint.Endpoint }

func (e *endpoint) ejected() bool { return !e.ejectedUntil.IsZero() }

// accepts reports whether new work may go there.
func (b *Balancer) accepts(now time.Time, e *endpoint) bool {
	if e.gone || e.displaced || e.Stopped || e.State != registrar.StateServing {
		return false
	}
	if b.outlives || b.inStanding(now) {
		return true
	}
	return now.Sub(e.LastDirectReport) <= DirectLife
}

// onReconfigured takes over settings and endpoints.
func (b *Balancer) onReconfigured(now time.Time, v Reconfigured) {
	b.queue.SetLimit(v.Service.QueueLimit)
	b.budget.SetPercent(v.Service.RetryPercent)
	b.entries = v.Entries
	b.probePath = v.Service.HealthPath
	listed := make(map[string]bool, len(v.Endpoints))
	for _, e := range v.Endpoints {
		listed[e.Endpoint] = true
		b.upsert(now, e)
	}
	for _, e := range b.endpoints {
		if !listed[e.name()] {
			b.withdraw(e)
		}
	}
	b.takeUp(now)
}

// onEndpointsChanged takes over what has changed of the endpoints.
func (b *Balancer) onEndpointsChanged(now time.Time, v EndpointsChanged) {
	for _, e := range v.Changed {
		b.upsert(now, e)
	}
	for _, name := range v.Removed {
		if e := b.named[name]; e != nil {
			b.withdraw(e)
		}
	}
	b.takeUp(now)
}

// withdraw gives an endpoint no more work.
func (b *Balancer) withdraw(e *endpoint) {
	if !e.gone {
		e.gone = true
		b.do(Retire{Endpoint: e.name()})
	}
}

// takeUp lets calls go by the endpoints as they are now.
func (b *Balancer) takeUp(now time.Time) {
	b.settled = len(b.endpoints) > 0
	b.removeGone()
	b.review(now)
	b.probeSoon(now)
	b.drainQueue(now)
}

func (b *Balancer) upsert(now time.Time, next Endpoint) {
	e := b.named[next.Endpoint]
	if e == nil {
		b.add(now, next)
		return
	}
	restarted := next.Incarnation != e.Incarnation
	began := e.State != registrar.StateServing && next.State == registrar.StateServing
	if next.LastDirectReport.Before(e.LastDirectReport) {
		next.LastDirectReport = e.LastDirectReport
	}
	b.noteStop(e, next)
	e.Endpoint = next
	e.gone = false
	if restarted || began {
		b.candidates[e.at].WarmUpStart = now
	}
	if restarted {
		e.displaced = false
		e.provenAfter = now
		e.failures = 0
		e.ejectedUntil = time.Time{}
	}
}

// add takes in a new endpoint. Those that were there before this entry count as
// warm.
func (b *Balancer) add(now time.Time, next Endpoint) {
	var warmFrom time.Time
	if b.settled {
		warmFrom = now
	}
	e := &endpoint{Endpoint: next, at: len(b.endpoints), rank: rankOf(b.entry, next.Endpoint)}
	b.endpoints = append(b.endpoints, e)
	b.named[next.Endpoint] = e
	b.ranksStale = true
	b.candidates = append(b.candidates, picker.Candidate{WarmUpStart: warmFrom})
}

func (b *Balancer) noteStop(e *endpoint, next Endpoint) {
	leaves := next.Stopped || next.State == registrar.StateDraining
	left := e.Stopped || e.State == registrar.StateDraining
	if leaves && !left {
		b.record(recorder.KindEndpointStopped, nil, e, fmt.Sprintf("no new work, %d in flight", len(e.flights)))
	}
}

// removeGone drops endpoints that nobody announces and that have no work of ours.
func (b *Balancer) removeGone() {
	kept := 0
	for i, e := range b.endpoints {
		if e.gone && len(e.flights) == 0 {
			delete(b.named, e.name())
			b.ranksStale = true
			continue
		}
		b.endpoints[kept] = e
		b.candidates[kept] = b.candidates[i]
		kept++
	}
	clear(b.endpoints[kept:])
	b.endpoints = b.endpoints[:kept]
	b.candidates = b.candidates[:kept]
	for i, e := range b.endpoints {
		e.at = i
	}
	if b.ranksStale {
		b.order()
	}
}

// review recomputes what the choice may use of all endpoints.
func (b *Balancer) review(now time.Time) {
	b.changeAt = time.Time{}
	for i, e := range b.endpoints {
		b.reviewOne(now, i, e)
	}
	b.chooseSubset()
}

func (b *Balancer) reviewOne(now time.Time, i int, e *endpoint) {
	c := &b.candidates[i]
	c.Slots = max(1, e.Slots)
	c.Remote = e.Remote
	c.Limit = b.limitOf(e)
	closed := !b.accepts(now, e)
	if e.ejected() {
		c.Limit = 1
		closed = closed || now.Before(e.ejectedUntil) || e.trial
	}
	b.subsetChanged = b.subsetChanged || closed != c.Closed
	c.Closed = closed
	b.changeAt = scheduler.Earliest(b.changeAt, b.changesAt(now, e))
}

// oldest keeps the candidate's view of what is in flight.
func (b *Balancer) oldest(i int) {
	e := b.endpoints[i]
	b.candidates[i].InFlight = len(e.flights)
	b.candidates[i].OldestStart = time.Time{}
	if len(e.flights) > 0 {
		b.candidates[i].OldestStart = e.flights[0].start
	}
}

// succeeded takes note of an answer.
func (b *Balancer) succeeded(now time.Time, e *endpoint) {
	e.failures = 0
	e.evidence = now
	e.limit.RecordResponse(b.mostAt(e))
	if e.ejected() {
		e.ejectedUntil = time.Time{}
		e.ejections = 0
		e.trial = false
		b.candidates[e.at].WarmUpStart = now
		b.record(recorder.KindEndpointReturned, nil, e, "a trial request was answered")
	}
	b.reviewOne(now, e.at, e)
}

// failed takes note of a failure, and ejects the endpoint after several in a row.
func (b *Balancer) failed(now time.Time, e *endpoint) {
	b.picker.RecordFailure(now, &b.candidates[e.at])
	b.latenciesChanged = true
	b.candidates[e.at].RecordRatio(now, failureRatio)
	e.failures++
	again := e.ejected() && e.trial
	e.trial = false
	if again || (e.failures >= failuresToEject && !e.ejected() && b.mayEject()) {
		b.eject(now, e)
	}
	b.reviewOne(now, e.at, e)
}

func (b *Balancer) eject(now time.Time, e *endpoint) {
	wait := min(ejectionBase<<min(e.ejections, 10), ejectionMax)
	e.ejections++
	e.ejectedUntil = now.Add(wait)
	b.record(recorder.KindEndpointEjected, nil, e, fmt.Sprintf("%d failures in a row, for %s", e.failures, wait))
}

// displace closes an endpoint at whose address another one has answered.
func (b *Balancer) displace(now time.Time, e *endpoint) {
	if e.displaced {
		return
	}
	e.displaced = true
	b.record(recorder.KindEndpointStopped, nil, e, "another endpoint has its address")
	b.reviewOne(now, e.at, e)
}

func (b *Balancer) mayEject() bool {
	ejected := 0
	for _, e := range b.endpoints {
		if e.ejected() {
			ejected++
		}
	}
	return (ejected+1)*ejectedPart <= len(b.endpoints)
}

// reported takes in a load report.
//
// Own is how many of our requests the report includes.
func (b *Balancer) reported(now time.Time, e *endpoint, r Report, own int) {
	c := &b.candidates[e.at]
	if r.Load >= 0 {
		c.RecordLoad(now, r.Load, own)
		e.said = picker.Sample{Load: r.Load, Slowdown: r.Slowdown}
		e.saidAt = now
		e.sentWhenSaid = e.sent
	}
	switch r.State {
	case registrar.StateServing:
		e.LastDirectReport = now
		if !b.outlives && !b.inStanding(now) {
			b.reviewOne(now, e.at, e)
		}
	case registrar.StateDraining, registrar.StateStarting:
		b.noteStop(e, e.withState(r.State))
		e.State = r.State
		b.reviewOne(now, e.at, e)
	}
}

func (e Endpoint) withState(s registrar.State) Endpoint {
	e.State = s
	return e
}

// Leaving returns the endpoints that get no new work, with what is in flight.
func (b *Balancer) Leaving() []messenger.Leaving {
	var list []messenger.Leaving
	for _, e := range b.endpoints {
		if e.gone || e.Stopped || e.State == registrar.StateDraining {
			list = append(list, messenger.Leaving{Name: e.Name, InFlight: len(e.flights)})
		}
	}
	return list
}

func (b *Balancer) onProbeEnded(now time.Time, v ProbeEnded) {
	e := b.named[v.Endpoint]
	if e != nil && v.Misdirected {
		b.displace(now, e)
	}
	if v.Call != 0 {
		b.onSampled(now, v)
		return
	}
	b.prober.Refund(v.Elapsed)
	if e == nil {
		return
	}
	e.probing = false
	e.evidence = now
	b.probeSoon(now)
	if v.OK {
		b.reported(now, e, v.Report, len(e.flights))
	}
}
