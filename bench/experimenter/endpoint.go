package experimenter

import (
	"fmt"
	"time"

	"comfreyplank.org/core/balancer"
)

// endpoint simulates an endpoint with slots and a queue.
type endpoint struct {
	name    string
	index   int
	speed   float64
	running int
	queue   []*attempt
	// loadHistory holds past changes of the load, for delayed reports.
	loadHistory []loadSample
	coldUntil   time.Time
}

type loadSample struct {
	at   time.Time
	load int
}

// attempt is an entry's attempt to run a call at an endpoint.
type attempt struct {
	entry     *entry
	id        balancer.AttemptID
	cancelled bool
	started   bool
	ended     bool
}

const maxLoadSamples = 20_000

func (x *experiment) newEndpoint(i int) *endpoint {
	return &endpoint{name: fmt.Sprint("endpoint-", i), index: i, speed: 1}
}

func (x *experiment) isSlow(e *endpoint) bool {
	return e.index >= x.run.Scenario.Cold && e.index < x.run.Scenario.Cold+x.run.Scenario.Slow
}

func (x *experiment) isFailing(e *endpoint) bool { return e.index < x.run.Scenario.Failing }

func (x *experiment) dispatch(e *entry, d balancer.Dispatch) {
	if x.measured(x.now) {
		x.result.Attempts++
	}
	a := &attempt{entry: e, id: d.Attempt}
	e.attempt[d.Attempt] = a
	var target *endpoint
	for _, t := range x.endpoints {
		if t.name == d.Endpoint {
			target = t
		}
	}
	x.schedule(x.run.Deployment.Network, func() { x.reachEndpoint(target, a) })
}

// reachEndpoint handles the arrival of an attempt at its endpoint.
func (x *experiment) reachEndpoint(t *endpoint, a *attempt) {
	switch {
	case a.cancelled:
		x.finish(t, a, balancer.EndingCancelled, 0)
	case x.isFailing(t):
		x.finish(t, a, balancer.EndingComplete, 500)
	case t.running >= x.run.Deployment.Slots && len(t.queue) >= endpointQueue:
		x.finish(t, a, balancer.EndingRefused, 0)
	default:
		t.queue = append(t.queue, a)
		x.recordLoad(t)
		x.startNext(t)
	}
}

func (x *experiment) startNext(t *endpoint) {
	for t.running < x.run.Deployment.Slots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		if a.cancelled {
			x.finish(t, a, balancer.EndingCancelled, 0)
			continue
		}
		a.started = true
		t.running++
		x.schedule(x.serviceTime(t), func() { x.complete(t, a) })
	}
	x.recordLoad(t)
}

func (x *experiment) serviceTime(t *endpoint) time.Duration {
	factor := x.rand.ExpFloat64() * t.speed
	if x.isSlow(t) {
		factor *= x.run.Scenario.SlowFactor
	}
	if x.now.Before(t.coldUntil) {
		factor *= x.run.Scenario.ColdFactor
	}
	return time.Duration(factor * float64(x.run.Deployment.Service))
}

func (x *experiment) complete(t *endpoint, a *attempt) {
	t.running--
	ending := balancer.EndingComplete
	if a.cancelled {
		ending = balancer.EndingCancelled
	}
	x.recordLoad(t)
	x.finish(t, a, ending, 200)
	x.startNext(t)
}

func (x *experiment) recordLoad(t *endpoint) {
	if x.run.Scenario.ReportDelay == 0 {
		return
	}
	if len(t.loadHistory) > maxLoadSamples {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadSamples/2:]...)
	}
	t.loadHistory = append(t.loadHistory, loadSample{x.now, t.running + len(t.queue)})
}

// report returns the load that the endpoint reports, which may be old or wrong.
func (x *experiment) report(t *endpoint) balancer.Report {
	if t.index < x.run.Scenario.Misreporting {
		return balancer.Report{Load: 0}
	}
	load := t.running + len(t.queue)
	if x.run.Scenario.ReportDelay == 0 {
		return balancer.Report{Load: load}
	}
	for i := len(t.loadHistory) - 1; i >= 0; i-- {
		if x.now.Sub(t.loadHistory[i].at) >= x.run.Scenario.ReportDelay {
			return balancer.Report{Load: t.loadHistory[i].load}
		}
	}
	return balancer.Report{Load: 0}
}

// finish notifies the entry of the end of an attempt, after the network delay.
func (x *experiment) finish(t *endpoint, a *attempt, ending balancer.Ending, status int) {
	if a.ended {
		return
	}
	a.ended = true
	report := x.report(t)
	x.schedule(x.run.Deployment.Network, func() {
		e := a.entry
		if ending == balancer.EndingComplete {
			e.statuses[a.id] = status
			x.handle(e, balancer.ResponseStarted{Attempt: a.id, Status: status, Report: report})
			delete(e.statuses, a.id)
		}
		x.handle(e, balancer.AttemptEnded{Attempt: a.id, Ending: ending, Report: report})
		delete(e.attempt, a.id)
	})
}

// cancel cancels an attempt at its endpoint, after the network delay. An attempt that waits
// is dropped; one that runs keeps its slot until it completes.
func (x *experiment) cancel(e *entry, id balancer.AttemptID) {
	a, ok := e.attempt[id]
	if !ok {
		return
	}
	x.schedule(x.run.Deployment.Network, func() { a.cancelled = true })
}
