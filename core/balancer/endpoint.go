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
	"comfreyplank.org/core/throttler"
)

// Parameters of ejection.
const (
	// failuresToEject is how many consecutive attempts must fail.
	failuresToEject = 5
	// baseEjection is the duration of the first ejection. Each consecutive one takes twice as
	// long, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// failureSlowdown is the ratio of actual to estimated latency that a failure counts as.
	failureSlowdown = 3
	// maxEjectedDivisor limits ejections to a third of the endpoints, so that a general failure
	// ejects few.
	maxEjectedDivisor = 3
)

// inFlightAttempt holds the ID of an attempt in flight and when it was sent.
type inFlightAttempt struct {
	attempt AttemptID
	sentAt  time.Time
}

// endpoint combines the description of an endpoint with what this entry has learned of it.
type endpoint struct {
	Endpoint
	// inFlight is ordered by sentAt.
	inFlight []inFlightAttempt
	// report is the latest load report of the endpoint. sentAtLastReport is the value of sent
	// when it arrived.
	report           picker.Sample
	lastReportAt     time.Time
	sentAtLastReport int
	// sent counts the requests sent to the endpoint; it never decreases.
	sent  int
	limit limiter.Limit
	// verifiedAfter excludes connections that have neither been opened nor returned a response
	// since.
	verifiedAfter time.Time
	failures      int
	ejections     int
	// ejectedUntil is when a trial request may be sent; zero when the endpoint is not ejected.
	ejectedUntil time.Time
	// trial is set while one request decides whether an ejected endpoint returns.
	trial   bool
	probing bool
	// probedAt is when the probe for sampling that has no reply yet was sent; zero without one. samplingCalls are
	// the calls that wait for the reply, or did.
	probedAt      time.Time
	samplingCalls []CallID
	// addressReused is set once another endpoint has replied at the address, until the endpoint
	// restarts.
	addressReused bool
	// incarnationSince is when the entry learned of the present incarnation.
	incarnationSince time.Time
	// said is what the endpoint has said about new requests.
	said         statements
	lastEvidence time.Time
	// statement is the latest statement of the endpoint about its limit.
	statement throttler.Statement
	// throttle holds the limit of the endpoint; nil if it has never named one.
	throttle *throttler.Throttle
	// warmUp is what the endpoint has said of its warm-up.
	warmUp warmUp
	// probesNameLimit is set once the reply to a probe has named a limit, so that one without
	// a limit means that there is none.
	probesNameLimit bool
	// removed is set once the endpoint is no longer announced to the entry. It is deleted when
	// nothing is in flight there.
	removed bool
	// index is the position in Balancer.endpoints, and rank the sort key in Balancer.ranked.
	index int
	rank  uint64
}

func (e *endpoint) name() string { return e.Endpoint.Endpoint }

func (e *endpoint) ejected() bool { return !e.ejectedUntil.IsZero() }

// accepts reports whether new requests may be sent to the endpoint.
func (b *Balancer) accepts(now time.Time, e *endpoint) bool {
	return e.said.allow(now) && b.isServing(now, e)
}

// isServing reports whether the endpoint is announced as serving, as far as this entry can know.
func (b *Balancer) isServing(now time.Time, e *endpoint) bool {
	if e.removed || e.addressReused || e.Stopped || e.Evacuated || e.State != registrar.StateServing {
		return false
	}
	if b.configLeaseOptional || b.holdsConfigLease(now) {
		return true
	}
	return now.Sub(e.LastDirectReport) <= DirectReportTTL
}

// onReconfigured applies new settings and a complete list of endpoints.
func (b *Balancer) onReconfigured(now time.Time, v Reconfigured) {
	b.queue.SetLimit(v.Service.QueueLimit)
	b.budget.SetPercent(v.Service.RetryPercent)
	b.entries = v.Entries
	b.probePath = v.Service.HealthPath
	b.setWarmUpRate(now, v.Service.WarmUpRequestsPerSecond)
	listed := make(map[string]bool, len(v.Endpoints))
	for _, e := range v.Endpoints {
		listed[e.Endpoint] = true
		b.upsert(now, e)
	}
	for _, e := range b.endpoints {
		if !listed[e.name()] {
			b.markRemoved(e)
		}
	}
	b.applyEndpointChanges(now)
}

// onEndpointsChanged applies the changes of individual endpoints.
func (b *Balancer) onEndpointsChanged(now time.Time, v EndpointsChanged) {
	for _, e := range v.Changed {
		b.upsert(now, e)
	}
	for _, name := range v.Removed {
		if e := b.endpointsByName[name]; e != nil {
			b.markRemoved(e)
		}
	}
	b.applyEndpointChanges(now)
}

// markRemoved stops new requests to an endpoint that is no longer announced.
func (b *Balancer) markRemoved(e *endpoint) {
	if !e.removed {
		e.removed = true
		b.emit(Retire{Endpoint: e.name()})
	}
}

// applyEndpointChanges updates the state that depends on the endpoints, and dispatches queued
// calls.
func (b *Balancer) applyEndpointChanges(now time.Time) {
	b.endpointsKnown = len(b.endpoints) > 0
	b.pruneRemoved(now)
	b.updateCandidates(now)
	b.scheduleProbe(now)
	b.dispatchQueued(now)
}

func (b *Balancer) upsert(now time.Time, next Endpoint) {
	e := b.endpointsByName[next.Endpoint]
	if e == nil {
		b.add(now, next)
		return
	}
	restarted := next.Incarnation != e.Incarnation
	startedServing := e.State != registrar.StateServing && next.State == registrar.StateServing
	// The endpoints of a data centre return together, to all entries at once.
	returned := e.Evacuated && !next.Evacuated
	if next.LastDirectReport.Before(e.LastDirectReport) {
		next.LastDirectReport = e.LastDirectReport
	}
	b.recordStop(e, next)
	if restarted {
		b.rememberSaid(now, e) // an announcement of this incarnation may come again from a replica that is behind
	}
	announcedUntil := e.WarmUpUntil
	e.Endpoint = next
	e.removed = false
	if restarted || startedServing || returned {
		b.candidates[e.index].WarmUpStart = now
	}
	if restarted {
		e.addressReused = false
		e.incarnationSince = now
		e.said = b.recall(now, next.Endpoint, next.Incarnation)
		e.verifiedAfter = now
		e.failures = 0
		e.ejectedUntil = time.Time{}
		e.forgetLimit()
		announcedUntil = time.Time{}
	}
	b.adoptLimit(now, e, next.Limit)
	if !next.WarmUpUntil.Equal(announcedUntil) {
		b.onWarmUpAnnounced(now, e)
	}
}

// add adds a new endpoint. Endpoints that were there before this entry count as warm.
func (b *Balancer) add(now time.Time, next Endpoint) {
	var warmFrom time.Time
	if b.endpointsKnown {
		warmFrom = now
	}
	e := &endpoint{Endpoint: next, index: len(b.endpoints), rank: rankOf(b.entry, next.Endpoint), said: b.recall(now, next.Endpoint, next.Incarnation)}
	b.endpoints = append(b.endpoints, e)
	b.endpointsByName[next.Endpoint] = e
	b.ranksStale = true
	b.candidates = append(b.candidates, picker.Candidate{WarmUpStart: warmFrom})
	b.adoptLimit(now, e, next.Limit)
	b.onWarmUpAnnounced(now, e)
}

func (b *Balancer) recordStop(e *endpoint, next Endpoint) {
	stops := next.Stopped || next.State == registrar.StateDraining
	stopped := e.Stopped || e.State == registrar.StateDraining
	if stops && !stopped {
		b.record(recorder.KindEndpointStopped, nil, e, fmt.Sprintf("no new work, %d in flight", len(e.inFlight)))
	}
}

// pruneRemoved deletes removed endpoints that have no request of this entry in flight.
func (b *Balancer) pruneRemoved(now time.Time) {
	kept := 0
	for i, e := range b.endpoints {
		if e.removed && len(e.inFlight) == 0 {
			b.rememberSaid(now, e)
			delete(b.endpointsByName, e.name())
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
		e.index = i
	}
	if b.ranksStale {
		b.rankEndpoints()
	}
}

// updateCandidates recomputes the candidates of all endpoints, and the subset.
func (b *Balancer) updateCandidates(now time.Time) {
	b.nextAvailabilityChange = time.Time{}
	b.anyLimited = false
	for i, e := range b.endpoints {
		b.updateCandidate(now, i, e)
		b.anyLimited = b.anyLimited || e.limited()
	}
	b.chooseSubset()
}

func (b *Balancer) updateCandidate(now time.Time, i int, e *endpoint) {
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
	b.nextAvailabilityChange = scheduler.Earliest(b.nextAvailabilityChange, b.availabilityChangeAt(now, e))
}

// updateInFlight copies the state of the attempts in flight to the candidate.
func (b *Balancer) updateInFlight(i int) {
	e := b.endpoints[i]
	b.candidates[i].InFlight = len(e.inFlight)
	b.candidates[i].OldestStart = time.Time{}
	if len(e.inFlight) > 0 {
		b.candidates[i].OldestStart = e.inFlight[0].sentAt
	}
}

// recordSuccess updates an endpoint after a successful response, which ends its ejection.
func (b *Balancer) recordSuccess(now time.Time, e *endpoint) {
	e.failures = 0
	e.lastEvidence = now
	e.limit.RecordResponse(b.maxInFlight(e))
	if e.ejected() {
		e.ejectedUntil = time.Time{}
		e.ejections = 0
		e.trial = false
		b.candidates[e.index].WarmUpStart = now
		b.record(recorder.KindEndpointReturned, nil, e, "a trial request was answered")
	}
	b.updateCandidate(now, e.index, e)
}

// recordFailure updates an endpoint after a failure. It ejects the endpoint after several
// consecutive failures or a failed trial.
func (b *Balancer) recordFailure(now time.Time, e *endpoint) {
	b.picker.RecordFailure(now, &b.candidates[e.index])
	b.noteLatency(now)
	b.candidates[e.index].RecordRatio(now, failureSlowdown)
	e.failures++
	trialFailed := e.ejected() && e.trial
	e.trial = false
	if trialFailed || (e.failures >= failuresToEject && !e.ejected() && b.mayEject()) {
		b.eject(now, e)
	}
	b.updateCandidate(now, e.index, e)
}

func (b *Balancer) eject(now time.Time, e *endpoint) {
	duration := min(baseEjection<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(duration)
	b.record(recorder.KindEndpointEjected, nil, e, fmt.Sprintf("%d failures in a row, for %s", e.failures, duration))
}

// markAddressReused closes an endpoint at whose address another one has replied.
func (b *Balancer) markAddressReused(now time.Time, e *endpoint) {
	if e.addressReused {
		return
	}
	e.addressReused = true
	b.record(recorder.KindEndpointStopped, nil, e, "another endpoint has its address")
	b.updateCandidate(now, e.index, e)
}

func (b *Balancer) mayEject() bool {
	ejected := 0
	for _, e := range b.endpoints {
		if e.ejected() {
			ejected++
		}
	}
	return (ejected+1)*maxEjectedDivisor <= len(b.endpoints)
}

// recordReport applies a load report. Own is how many requests of this entry the report includes.
func (b *Balancer) recordReport(now time.Time, e *endpoint, r Report, own int) {
	c := &b.candidates[e.index]
	if r.Load >= 0 {
		c.RecordLoad(now, r.Load, own)
		e.report = picker.Sample{Load: r.Load, Slowdown: r.Slowdown}
		e.lastReportAt = now
		e.sentAtLastReport = e.sent
	}
	switch r.State {
	case registrar.StateServing:
		e.LastDirectReport = now
		if !b.configLeaseOptional && !b.holdsConfigLease(now) {
			b.updateCandidate(now, e.index, e)
		}
	case registrar.StateDraining, registrar.StateStarting:
		b.recordStop(e, e.withState(r.State))
		e.State = r.State
		b.updateCandidate(now, e.index, e)
	}
}

func (e Endpoint) withState(s registrar.State) Endpoint {
	e.State = s
	return e
}

// Leaving returns the endpoints that get no new requests, with the number of requests in flight
// at each.
func (b *Balancer) Leaving() []messenger.Leaving {
	var list []messenger.Leaving
	for _, e := range b.endpoints {
		if e.removed || e.Stopped || e.State == registrar.StateDraining || e.said.leaving {
			list = append(list, messenger.Leaving{Name: e.Name, InFlight: len(e.inFlight)})
		}
	}
	return list
}

func (b *Balancer) onProbeEnded(now time.Time, v ProbeEnded) {
	e := b.endpointsByName[v.Endpoint]
	switch {
	case e == nil:
	case v.Misdirected:
		b.markAddressReused(now, e)
	case v.Report.Incarnation == 0 && now.Add(-v.Elapsed).Before(e.incarnationSince):
		v.Report = NoReport // an earlier incarnation may have replied
	default:
		b.recordStatements(now, e, nil, v.Report, e.Incarnation)
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
	e.lastEvidence = now
	b.scheduleProbe(now)
	if v.OK {
		b.recordReport(now, e, v.Report, len(e.inFlight))
		b.observeProbe(now, e, v)
	}
}
