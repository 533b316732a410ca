// Package experimenter compares ways to choose endpoints in virtual time. The
// entries are real balancers; the endpoints are small fakes at the balancer's
// interface: slots, a queue, service times, and the faults of a scenario.
package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// Deployment is the size of one service.
type Deployment struct {
	Name      string
	Endpoints int
	Slots     int
	Entries   int
	// Service is the mean time of a request in a slot.
	Service time.Duration
	// Network is the time of one way between entry and endpoint.
	Network time.Duration
}

// Scenario is what goes wrong.
type Scenario struct {
	Name string
	// Slow is how many endpoints are slower by SlowFactor.
	Slow       int
	SlowFactor float64
	// Failing is how many endpoints answer 500 at once.
	Failing int
	// Shifting lets each endpoint's speed change every few milliseconds.
	Shifting bool
	// Stale makes every report this old; Lying is how many endpoints report idle.
	Stale time.Duration
	Lying int
	// Cold is how many endpoints begin to serve in the middle of the run, at first
	// slower by ColdFactor.
	Cold       int
	ColdFactor float64
}

// Run is one experiment.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     picker.Policy
	// Load is the share of all slots that the arrivals would keep busy.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// RetryPercent is the budget for retries and hedges.
	RetryPercent int
}

// Result is what a run measured.
type Result struct {
	// Latency is in microseconds, of answered calls, from arrival to answer.
	Latency  *hdrhistogram.Histogram
	Answered int
	Refused  int
	Unknown  int
	Failed   int
	Attempts int
}

// Quantile returns a quantile of the latency.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

const (
	maxLatencyMicros = 60_000_000
	significant      = 3
	deadline         = 2 * time.Second
	endpointQueue    = 100
	queueLimit       = 200
	warmUp           = 2 * time.Second
	// Service times change this often, between these factors of the mean, when a
	// scenario shifts load.
	shiftInterval = 5 * time.Millisecond
	shiftLow      = 0.2
	shiftHigh     = 1.8
	coldTime      = 3 * time.Second
	serviceName   = "service"
)

// event is something due in virtual time.
type event struct {
	at time.Time
	// order keeps events of the same time in the order they were made.
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // only events are pushed

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// experiment is a run under way.
type experiment struct {
	run       Run
	rand      *rand.Rand
	now       time.Time
	start     time.Time
	order     uint64
	events    events
	endpoints []*endpoint
	entries   []*entry
	result    Result
}

// entry is a real balancer and the calls that it has.
type entry struct {
	balancer *balancer.Balancer
	last     balancer.CallID
	arrived  map[balancer.CallID]time.Time
	statuses map[balancer.AttemptID]int
	work     map[balancer.AttemptID]*work
	// due is when the balancer is called next; zero while it need not be.
	due time.Time
}

// Do carries out a run.
func Do(r Run) Result {
	start := time.Unix(1_700_000_000, 0)
	x := &experiment{
		run: r, rand: rand.New(rand.NewPCG(r.Seed, 11)), now: start, start: start,
		result: Result{Latency: hdrhistogram.New(1, maxLatencyMicros, significant)},
	}
	for i := range r.Deployment.Endpoints {
		x.endpoints = append(x.endpoints, x.newEndpoint(i))
	}
	for range r.Deployment.Entries {
		x.entries = append(x.entries, x.newEntry())
	}
	x.configure(true)
	if r.Scenario.Cold > 0 {
		x.after(warmUp+r.Duration/2, func() { x.configure(false) })
	}
	x.after(0, x.arrive)
	if r.Scenario.Shifting {
		x.after(0, x.shift)
	}
	x.loop(start.Add(warmUp + r.Duration))
	return x.result
}

func (x *experiment) newEntry() *entry {
	settings := validator.Service{Name: serviceName, QueueLimit: queueLimit, RetryPercent: x.run.RetryPercent}
	source := rand.New(rand.NewPCG(x.rand.Uint64(), 5))
	return &entry{
		balancer: balancer.New("entry", settings, balancer.WithRand(source), balancer.WithPicker(picker.New(picker.WithPolicy(x.run.Policy), picker.WithRand(source)))),
		arrived:  make(map[balancer.CallID]time.Time),
		statuses: make(map[balancer.AttemptID]int),
		work:     make(map[balancer.AttemptID]*work),
	}
}

// configure tells every entry of the endpoints, the cold ones only later.
func (x *experiment) configure(first bool) {
	settings := validator.Service{Name: serviceName, QueueLimit: queueLimit, RetryPercent: x.run.RetryPercent}
	var list []balancer.Endpoint
	for i, e := range x.endpoints {
		cold := i < x.run.Scenario.Cold
		if cold && first {
			continue
		}
		if cold {
			e.coldUntil = x.now.Add(coldTime)
		}
		list = append(list, balancer.Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: serviceName, Endpoint: e.name}, Slots: x.run.Deployment.Slots,
			Connections: 250, State: registrar.StateServing, Incarnation: 1,
		}})
	}
	for _, e := range x.entries {
		x.handle(e, balancer.ConfigLeaseChanged{Until: x.start.Add(time.Hour)})
		x.handle(e, balancer.Reconfigured{Service: settings, Endpoints: list, Entries: x.run.Deployment.Entries})
	}
}

func (x *experiment) after(d time.Duration, do func()) {
	x.order++
	heap.Push(&x.events, event{x.now.Add(d), x.order, do})
}

func (x *experiment) loop(end time.Time) {
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(event) //nolint:forcetypeassert // only events are pushed
		if e.at.After(end) {
			return
		}
		x.now = e.at
		e.do()
	}
}

// wakeWhenDue lets the balancer of an entry be called when it is due.
func (x *experiment) wakeWhenDue(e *entry) {
	due := e.balancer.Due()
	if due.IsZero() || (!e.due.IsZero() && !due.Before(e.due)) {
		return
	}
	e.due = due
	x.after(due.Sub(x.now), func() {
		if e.due.Equal(due) {
			e.due = time.Time{}
			x.handle(e, balancer.Tick{})
		}
	})
}

func (x *experiment) shift() {
	for _, e := range x.endpoints {
		if x.rand.IntN(4) == 0 {
			e.speed = shiftLow + (shiftHigh-shiftLow)*x.rand.Float64()
		}
	}
	x.after(shiftInterval, x.shift)
}

// arrive brings a call to a random entry, as the platform's balancer does.
func (x *experiment) arrive() {
	d := x.run.Deployment
	rate := x.run.Load * float64(d.Endpoints*d.Slots) / d.Service.Seconds()
	e := x.entries[x.rand.IntN(len(x.entries))]
	e.last++
	e.arrived[e.last] = x.now
	x.handle(e, balancer.CallArrived{Call: balancer.Call{
		ID: e.last, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: x.now.Add(deadline),
	}})
	x.after(time.Duration(x.rand.ExpFloat64()/rate*float64(time.Second)), x.arrive)
}

func (x *experiment) handle(e *entry, in balancer.Input) {
	for _, a := range append([]balancer.Action(nil), e.balancer.Handle(x.now, in)...) {
		switch v := a.(type) {
		case balancer.Dispatch:
			x.dispatch(e, v)
		case balancer.Deliver:
			x.deliver(e, v)
		case balancer.Refuse:
			x.refuse(e, v)
		case balancer.Cancel:
			x.cancel(e, v.Attempt)
		}
	}
	x.wakeWhenDue(e)
}

func (x *experiment) measured(at time.Time) bool { return at.Sub(x.start) >= warmUp }

func (x *experiment) deliver(e *entry, v balancer.Deliver) {
	at := e.arrived[v.Call]
	delete(e.arrived, v.Call)
	if !x.measured(at) {
		return
	}
	if e.statuses[v.Attempt] != 200 {
		x.result.Failed++
		return
	}
	x.result.Answered++
	_ = x.result.Latency.RecordValue(max(1, x.now.Sub(at).Microseconds())) // within the range by the deadline
}

func (x *experiment) refuse(e *entry, v balancer.Refuse) {
	at := e.arrived[v.Call]
	delete(e.arrived, v.Call)
	if !x.measured(at) {
		return
	}
	if v.Outcome == balancer.OutcomeUnknown {
		x.result.Unknown++
		return
	}
	x.result.Refused++
}

// PolicyName names a policy in reports.
func PolicyName(p picker.Policy) string {
	switch p.(type) {
	case picker.Adaptive:
		return "adaptive"
	case picker.Random:
		return "random"
	case picker.RoundRobin:
		return "round-robin"
	case picker.LeastInFlight:
		return "least-in-flight"
	}
	return fmt.Sprintf("%T", p)
}
