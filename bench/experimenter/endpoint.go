package experimenter

import (
	"fmt"
	"time"

	"comfreyplank.org/core/balancer"
)

// endpoint is a fake with slots and a queue.
type endpoint struct {
	name    string
	index   int
	speed   float64
	running int
	queue   []*work
	// loads remembers changes of the load, for late reports.
	loads     []loadAt
	coldUntil time.Time
}

type loadAt struct {
	at   time.Time
	load int
}

// work is an attempt at an endpoint.
type work struct {
	entry     *entry
	attempt   balancer.AttemptID
	cancelled bool
	started   bool
	ended     bool
}

const rememberedLoads = 20_000

func (x *experiment) newEndpoint(i int) *endpoint {
	return &endpoint{name: fmt.Sprint("endpoint-", i), index: i, speed: 1}
}

func (x *experiment) slow(e *endpoint) bool {
	return e.index >= x.run.Scenario.Cold && e.index < x.run.Scenario.Cold+x.run.Scenario.Slow
}

func (x *experiment) failing(e *endpoint) bool { return e.index < x.run.Scenario.Failing }

func (x *experiment) dispatch(e *entry, d balancer.Dispatch) {
	if x.measured(x.now) {
		x.result.Attempts++
	}
	w := &work{entry: e, attempt: d.Attempt}
	e.work[d.Attempt] = w
	var target *endpoint
	for _, t := range x.endpoints {
		if t.name == d.Endpoint {
			target = t
		}
	}
	x.after(x.run.Deployment.Network, func() { x.reach(target, w) })
}

// reach brings an attempt to its endpoint.
func (x *experiment) reach(t *endpoint, w *work) {
	switch {
	case w.cancelled:
		x.end(t, w, balancer.EndingCancelled, 0)
	case x.failing(t):
		x.end(t, w, balancer.EndingComplete, 500)
	case t.running >= x.run.Deployment.Slots && len(t.queue) >= endpointQueue:
		x.end(t, w, balancer.EndingRefused, 0)
	default:
		t.queue = append(t.queue, w)
		x.noteLoad(t)
		x.startNext(t)
	}
}

func (x *experiment) startNext(t *endpoint) {
	for t.running < x.run.Deployment.Slots && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		if w.cancelled {
			x.end(t, w, balancer.EndingCancelled, 0)
			continue
		}
		w.started = true
		t.running++
		x.after(x.serviceTime(t), func() { x.complete(t, w) })
	}
	x.noteLoad(t)
}

func (x *experiment) serviceTime(t *endpoint) time.Duration {
	factor := x.rand.ExpFloat64() * t.speed
	if x.slow(t) {
		factor *= x.run.Scenario.SlowFactor
	}
	if x.now.Before(t.coldUntil) {
		factor *= x.run.Scenario.ColdFactor
	}
	return time.Duration(factor * float64(x.run.Deployment.Service))
}

func (x *experiment) complete(t *endpoint, w *work) {
	t.running--
	ending := balancer.EndingComplete
	if w.cancelled {
		ending = balancer.EndingCancelled
	}
	x.noteLoad(t)
	x.end(t, w, ending, 200)
	x.startNext(t)
}

func (x *experiment) noteLoad(t *endpoint) {
	if x.run.Scenario.Stale == 0 {
		return
	}
	if len(t.loads) > rememberedLoads {
		t.loads = append(t.loads[:0], t.loads[rememberedLoads/2:]...)
	}
	t.loads = append(t.loads, loadAt{x.now, t.running + len(t.queue)})
}

// report returns the load as the endpoint tells it.
func (x *experiment) report(t *endpoint) balancer.Report {
	if t.index < x.run.Scenario.Lying {
		return balancer.Report{Load: 0}
	}
	load := t.running + len(t.queue)
	if x.run.Scenario.Stale == 0 {
		return balancer.Report{Load: load}
	}
	for i := len(t.loads) - 1; i >= 0; i-- {
		if x.now.Sub(t.loads[i].at) >= x.run.Scenario.Stale {
			return balancer.Report{Load: t.loads[i].load}
		}
	}
	return balancer.Report{Load: 0}
}

// end tells the entry how an attempt ended, one way later.
func (x *experiment) end(t *endpoint, w *work, ending balancer.Ending, status int) {
	if w.ended {
		return
	}
	w.ended = true
	report := x.report(t)
	x.after(x.run.Deployment.Network, func() {
		e := w.entry
		if ending == balancer.EndingComplete {
			e.statuses[w.attempt] = status
			x.handle(e, balancer.ResponseStarted{Attempt: w.attempt, Status: status, Report: report})
			delete(e.statuses, w.attempt)
		}
		x.handle(e, balancer.AttemptEnded{Attempt: w.attempt, Ending: ending, Report: report})
		delete(e.work, w.attempt)
	})
}

// cancel reaches the endpoint: what waits there is dropped, what runs goes on.
func (x *experiment) cancel(e *entry, id balancer.AttemptID) {
	w, ok := e.work[id]
	if !ok {
		return
	}
	x.after(x.run.Deployment.Network, func() { w.cancelled = true })
}
