package dispatcher

import (
	"context"
	"sync"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/translator"
	"comfreyplank.org/shell/waker"
)

// Dependencies are what a lane needs of the rest of the entry.
type Dependencies struct {
	Now func() time.Time
	// Start runs a function in the entry's group.
	Start func(func())
	// Publish adds an event to the time line.
	Publish func(recorder.Event)
	// Claim sends a command to the claims log.
	Claim func(service string, call balancer.CallID, command claimer.Command)
	// Count takes note of what became of a call or an attempt.
	Count Counter
	// Callers and Endpoints are the protocols; the product's own where not set.
	Callers   translator.Callers
	Endpoints translator.Endpoints
	// Inbound and Outbound pace the bodies of answers from endpoints and to callers; the
	// zero values don't.
	Inbound  pacer.Pacer
	Outbound pacer.Pacer
	// BalancerOptions sets up the balancer of each service.
	BalancerOptions func() []balancer.Option
}

// withDefaults fills in what is not set.
func (s Dependencies) withDefaults() Dependencies {
	if s.Callers.ParseRequest == nil {
		s.Callers = translator.NativeCallers()
	}
	if s.Endpoints.ClassifyResponse == nil {
		s.Endpoints = translator.NativeEndpoints()
	}
	if s.BalancerOptions == nil {
		s.BalancerOptions = func() []balancer.Option { return nil }
	}
	return s
}

// Counter counts what happens in a lane.
type Counter interface {
	Attempt(service string, number int)
	Call(service, result string, took time.Duration)
	Probe(service string, took time.Duration)
	Refused(service string, outcome balancer.Outcome)
}

// verdict is what a caller's handler waits for.
type verdict struct {
	answer *attempt
	replay *claimer.Response
	refuse *balancer.Refuse
}

// waiting is a caller's handler and the request that it brought.
type waiting struct {
	request forwarder.Request
	arrived time.Time
	// verdicts gets exactly one.
	verdicts chan verdict
}

// attempt is a request on its way to an endpoint.
type attempt struct {
	id     balancer.AttemptID
	cancel context.CancelFunc
	answer *forwarder.Answer
	// finished is closed once a handler has passed the body on; ending may be read
	// only then.
	finished chan struct{}
	ending   balancer.Ending
}

// lane drives the balancer of one service: it hands in what happens and carries
// out what the balancer decides.
type lane struct {
	service   string
	around    Dependencies
	forwarder *forwarder.Forwarder

	mu       sync.Mutex
	machine  *balancer.Balancer
	lastCall balancer.CallID
	calls    map[balancer.CallID]*waiting
	attempts map[balancer.AttemptID]*attempt
	// addresses tells where endpoints are, for closing their connections.
	addresses map[string]string
	// waker calls the balancer when it is due.
	waker *waker.Waker
}

func newLane(instance string, service validator.Service, around Dependencies) *lane {
	l := &lane{
		service:   service.Name,
		around:    around,
		forwarder: forwarder.New(around.Now, around.Endpoints, around.Inbound),
		machine:   balancer.New(instance, service, around.BalancerOptions()...),
		calls:     make(map[balancer.CallID]*waiting),
		attempts:  make(map[balancer.AttemptID]*attempt),
		addresses: make(map[string]string),
	}
	l.waker = waker.New(around.Now, l.wake)
	return l
}

// wake lets time pass in the balancer.
func (l *lane) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waker.Woken()
	l.step(balancer.Tick{})
}

// end keeps the balancer from being called by its timer.
func (l *lane) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waker.End()
	l.forwarder.Close()
}

// step hands an input to the balancer, carries out its actions and sets the timer.
func (l *lane) step(in balancer.Input) {
	l.carryOut(l.machine.Handle(l.around.Now(), in))
	l.waker.Set(l.machine.Due())
}

// handle hands an input to the balancer and carries out its actions.
func (l *lane) handle(in balancer.Input) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(in)
}

// arrive hands in a new call.
func (l *lane) arrive(c balancer.Call, w *waiting) balancer.CallID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	c.ID = l.lastCall
	l.calls[c.ID] = w
	l.step(balancer.CallArrived{Call: c})
	return c.ID
}

func (l *lane) carryOut(actions []balancer.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case balancer.Dispatch:
			l.dispatch(v)
		case balancer.Deliver:
			l.answerCall(v.Call, verdict{answer: l.attempts[v.Attempt]})
		case balancer.Replay:
			l.answerCall(v.Call, verdict{replay: &v.Response})
		case balancer.Refuse:
			l.around.Count.Refused(l.service, v.Outcome)
			l.answerCall(v.Call, verdict{refuse: &v})
		case balancer.Cancel:
			if t := l.attempts[v.Attempt]; t != nil {
				t.cancel()
			}
		case balancer.ProposeCommand:
			l.claim(v)
		case balancer.Probe:
			l.probe(v)
		case balancer.Retire:
			l.forwarder.Retire(l.addresses[v.Endpoint])
			delete(l.addresses, v.Endpoint)
		case balancer.Record:
			l.around.Publish(v.Event)
		}
	}
}

func (l *lane) answerCall(id balancer.CallID, v verdict) {
	if w, ok := l.calls[id]; ok {
		l.around.Count.Call(l.service, v.result(), l.around.Now().Sub(w.arrived))
		w.verdicts <- v
	}
}

// result names a verdict for the metrics.
func (v verdict) result() string {
	switch {
	case v.refuse != nil && v.refuse.Outcome == balancer.OutcomeNotRun:
		return "not-run"
	case v.refuse != nil:
		return "unknown"
	}
	return "answered"
}

// claim leaves the lane's lock first: the claims log may answer at once.
func (l *lane) claim(v balancer.ProposeCommand) {
	l.around.Start(func() { l.around.Claim(l.service, v.Call, v.Command) })
}

func (l *lane) dispatch(d balancer.Dispatch) {
	w, ok := l.calls[d.Call]
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.Deadline)
	t := &attempt{id: d.Attempt, cancel: cancel, finished: make(chan struct{})}
	l.attempts[d.Attempt] = t
	l.addresses[d.Endpoint] = d.Address
	l.around.Count.Attempt(l.service, d.Number)
	request := w.request
	l.around.Start(func() { l.run(ctx, t, d, request) })
}

// run carries one attempt from its dispatch to its end.
func (l *lane) run(ctx context.Context, t *attempt, d balancer.Dispatch, request forwarder.Request) {
	defer t.cancel()
	answer, ending := l.forwarder.Send(ctx, d, request)
	if ending != balancer.EndingComplete {
		l.endAttempt(t, ending, reportOf(answer))
		return
	}
	t.answer = answer
	if answer.Whole {
		l.forwarder.Finish(answer, true)
	}
	l.handle(balancer.ResponseStarted{Attempt: t.id, Status: answer.Response.StatusCode, Report: answer.Report, StoredResponse: storedOf(answer)})
	if answer.Whole {
		l.endAttempt(t, balancer.EndingComplete, balancer.NoReport)
		return
	}
	l.awaitBody(ctx, t)
}

// awaitBody waits until a handler has passed the rest of the body on, or nobody
// wants it.
func (l *lane) awaitBody(ctx context.Context, t *attempt) {
	ending := balancer.EndingCancelled
	select {
	case <-t.finished:
		ending = t.ending
	case <-ctx.Done():
	}
	l.forwarder.Finish(t.answer, ending == balancer.EndingComplete)
	l.endAttempt(t, ending, balancer.NoReport)
}

func (l *lane) endAttempt(t *attempt, ending balancer.Ending, report balancer.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.attempts, t.id)
	l.step(balancer.AttemptEnded{Attempt: t.id, Ending: ending, Report: report})
}

func reportOf(a *forwarder.Answer) balancer.Report {
	if a == nil {
		return balancer.NoReport
	}
	return a.Report
}

// storedOf returns what may be kept of an answer to a once-only request.
func storedOf(a *forwarder.Answer) claimer.Response {
	stored := claimer.Response{Status: a.Response.StatusCode}
	if !a.Whole || len(a.Prefix) > claimer.MaxResponseBytes {
		return stored
	}
	stored.Stored = true
	stored.ContentType = a.Response.Header.Get("Content-Type")
	stored.Location = a.Response.Header.Get("Location")
	stored.Body = a.Prefix
	return stored
}

func (l *lane) probe(v balancer.Probe) {
	l.around.Start(func() {
		ctx, cancel := context.WithDeadline(context.Background(), v.Deadline)
		defer cancel()
		start := l.around.Now()
		report, ending := l.forwarder.Probe(ctx, v)
		took := l.around.Now().Sub(start)
		l.around.Count.Probe(l.service, took)
		l.handle(balancer.ProbeEnded{
			Call: v.Call, Endpoint: v.Endpoint, OK: ending == balancer.EndingComplete,
			Misdirected: ending == balancer.EndingMisdirected, Elapsed: took, Report: report})
	})
}

func (l *lane) leaving() []messenger.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Leaving()
}

func (l *lane) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.InFlight()
}
