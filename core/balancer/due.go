package balancer

import (
	"time"

	"comfreyplank.org/core/prober"
	"comfreyplank.org/core/scheduler"
)

// Due returns when the balancer needs its next Tick; zero while only an input can give it work.
// The result changes only with Handle.
func (b *Balancer) Due() time.Time {
	b.popStaleTimers()
	due := b.nextProbeAt
	if len(b.timers) > 0 {
		due = scheduler.Earliest(due, b.timers[0].at)
	}
	if b.queue.Len() > 0 {
		due = scheduler.Earliest(due, b.nextAvailabilityChange)
	}
	return due
}

// minProbeInterval is the minimum time between two probes. It spreads the probes over endpoints
// that start together.
const minProbeInterval = 20 * time.Millisecond

// typicalLatencyInterval is the minimum time between two computations of the typical latency.
const typicalLatencyInterval = 20 * time.Millisecond

// noteLatency schedules the next computation of the typical latency. Its time depends on the times
// of the latencies only, and not on when the balancer is called.
func (b *Balancer) noteLatency(now time.Time) {
	if b.latenciesChanged {
		return
	}
	b.latenciesChanged = true
	if next := b.nextTypicalUpdate.Add(typicalLatencyInterval); now.Before(next) {
		b.nextTypicalUpdate = next
		return
	}
	b.nextTypicalUpdate = now
}

// refresh updates the state by which endpoints are chosen: what has changed by time alone, and
// what earlier inputs have deferred.
func (b *Balancer) refresh(now time.Time) {
	if b.latenciesChanged && !now.Before(b.nextTypicalUpdate) {
		b.latenciesChanged = false
		b.picker.UpdateTypicalLatency(b.candidates)
	}
	b.helpWarmUps(now)
	if !b.nextAvailabilityChange.IsZero() && !now.Before(b.nextAvailabilityChange) {
		b.updateCandidates(now)
		b.dispatchQueued(now)
		b.wantForQueue(now)
		b.refuseUnpermitted(now)
	}
	if b.subsetChanged {
		b.chooseSubset()
	}
}

// availabilityChangeAt returns when time alone will open or close the endpoint; zero means never.
func (b *Balancer) availabilityChangeAt(now time.Time, e *endpoint) time.Time {
	var at time.Time
	if e.ejected() && now.Before(e.ejectedUntil) {
		at = e.ejectedUntil
	}
	if now.Before(e.said.pausedUntil) {
		at = scheduler.Earliest(at, e.said.pausedUntil)
	}
	if e.limited() {
		at = scheduler.Earliest(at, e.throttle.ChangeAt(now))
	}
	if b.configLeaseOptional || e.removed {
		return at
	}
	closesAt := b.configLeaseUntil
	if reportExpiry := e.LastDirectReport.Add(DirectReportTTL + 1); !e.LastDirectReport.IsZero() && reportExpiry.After(closesAt) {
		closesAt = reportExpiry
	}
	if now.Before(closesAt) {
		at = scheduler.Earliest(at, closesAt)
	}
	return at
}

// sendDueProbe probes the endpoint with the oldest evidence if it is due and the budget share
// allows it, and computes when the next probe is due.
func (b *Balancer) sendDueProbe(now time.Time) {
	if b.nextProbeAt.IsZero() || now.Before(b.nextProbeAt) {
		return
	}
	b.nextProbeAt = time.Time{}
	e := b.stalestEndpoint(now)
	if e == nil {
		return // the end of a probe or a change of the endpoints schedules the next one
	}
	if stale := e.lastEvidence.Add(prober.StaleAfter); now.Before(stale) {
		b.nextProbeAt = stale
		return
	}
	if !b.prober.Spend(now) {
		b.nextProbeAt = b.prober.SpendableAt(now)
		return
	}
	e.probing = true
	b.lastProbe = now
	b.scheduleProbe(now)
	b.emit(Probe{Endpoint: e.name(), Address: e.Address, Path: b.probePath, Deadline: now.Add(prober.Timeout)})
}

// scheduleProbe sets when the next probe may be due, at least minProbeInterval after the last
// one.
func (b *Balancer) scheduleProbe(now time.Time) {
	b.nextProbeAt = b.prober.SpendableAt(now)
	if next := b.lastProbe.Add(minProbeInterval); !b.nextProbeAt.IsZero() && b.nextProbeAt.Before(next) {
		b.nextProbeAt = next
	}
}

// stalestEndpoint returns the endpoint with the oldest evidence among those that may be probed,
// or nil.
func (b *Balancer) stalestEndpoint(now time.Time) *endpoint {
	var oldest *endpoint
	for _, e := range b.endpoints {
		if e.probing || !b.accepts(now, e) {
			continue
		}
		if oldest == nil || e.lastEvidence.Before(oldest.lastEvidence) {
			oldest = e
		}
	}
	return oldest
}
