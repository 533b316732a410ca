package balancer

import (
	"time"

	"comfreyplank.org/core/prober"
	"comfreyplank.org/core/scheduler"
)

// Due returns when the balancer wants a Tick next; zero while only an input can bring it
// work. It changes only with Handle.
func (b *Balancer) Due() time.Time {
	b.dropDead()
	due := b.probeAt
	if len(b.timers) > 0 {
		due = scheduler.Earliest(due, b.timers[0].at)
	}
	if b.queue.Len() > 0 {
		due = scheduler.Earliest(due, b.changeAt)
	}
	return due
}

// probeInterval is the least time between two probes, which spreads them over endpoints that
// start together.
const probeInterval = 20 * time.Millisecond

// typicalInterval is the least time between two looks at all latencies.
const typicalInterval = 20 * time.Millisecond

// refresh brings what the choice uses up to date: what time alone has changed, and what
// earlier inputs have left for the next choice.
func (b *Balancer) refresh(now time.Time) {
	if b.latenciesChanged && !now.Before(b.nextTypical) {
		b.latenciesChanged = false
		b.nextTypical = now.Add(typicalInterval)
		b.picker.UpdateTypicalLatency(b.candidates)
	}
	if !b.changeAt.IsZero() && !now.Before(b.changeAt) {
		b.review(now)
		b.drainQueue(now)
	}
	if b.subsetChanged {
		b.chooseSubset()
	}
}

// changesAt returns when time alone will open or close the endpoint; zero for never.
func (b *Balancer) changesAt(now time.Time, e *endpoint) time.Time {
	var at time.Time
	if e.ejected() && now.Before(e.ejectedUntil) {
		at = e.ejectedUntil
	}
	if b.outlives || e.gone {
		return at
	}
	closes := b.standingUntil
	if direct := e.LastDirectReport.Add(DirectLife + 1); !e.LastDirectReport.IsZero() && direct.After(closes) {
		closes = direct
	}
	if now.Before(closes) {
		at = scheduler.Earliest(at, closes)
	}
	return at
}

// probe spends the share on the endpoint whose evidence is oldest, and finds out when the
// next probe is due.
func (b *Balancer) probe(now time.Time) {
	if b.probeAt.IsZero() || now.Before(b.probeAt) {
		return
	}
	b.probeAt = time.Time{}
	e := b.leastKnown(now)
	if e == nil {
		return // a probe that ends, or a change of the endpoints, brings the next one
	}
	if stale := e.evidence.Add(prober.StaleAfter); now.Before(stale) {
		b.probeAt = stale
		return
	}
	if !b.prober.Spend(now) {
		b.probeAt = b.prober.SpendableAt(now)
		return
	}
	e.probing = true
	b.lastProbe = now
	b.probeSoon(now)
	b.do(Probe{Endpoint: e.name(), Address: e.Address, Path: b.probePath, Deadline: now.Add(prober.Timeout)})
}

// probeSoon lets the balancer look for an endpoint to probe, not too soon after the last.
func (b *Balancer) probeSoon(now time.Time) {
	b.probeAt = b.prober.SpendableAt(now)
	if next := b.lastProbe.Add(probeInterval); !b.probeAt.IsZero() && b.probeAt.Before(next) {
		b.probeAt = next
	}
}

// leastKnown returns the endpoint with the oldest evidence that may be probed, or nil.
func (b *Balancer) leastKnown(now time.Time) *endpoint {
	var oldest *endpoint
	for _, e := range b.endpoints {
		if e.probing || !b.accepts(now, e) {
			continue
		}
		if oldest == nil || e.evidence.Before(oldest.evidence) {
			oldest = e
		}
	}
	return oldest
}
