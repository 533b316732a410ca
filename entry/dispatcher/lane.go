package dispatcher

import (
	"context"
	"sync"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/translator"
	"comfreyplank.org/shell/waker"
)

// Dependencies are what the dispatcher needs from the rest of the entry.
type Dependencies struct {
	Now func() time.Time
	// Start runs a function in a goroutine of the entry's group.
	Start func(func())
	// Publish adds an event to the timeline.
	Publish func(recorder.Event)
	// Claim sends a command to the claims log.
	Claim func(service string, call balancer.CallID, command claimer.Command)
	// RequestPermits tells control of an endpoint's limit and asks for permits.
	RequestPermits func(service string, wanted balancer.RequestPermits)
	// Admission admits calls within rate limits and shares; if unset, all are admitted.
	Admission Admission
	// KeyLease is for how long after a heartbeat of this entry, to which a replica replied, requests run by keys; zero
	// sets no bound. Suspended returns for how long the machine has been suspended; it is needed with a KeyLease.
	KeyLease  time.Duration
	Suspended func() time.Duration
	// Counter records the metrics of all services.
	Counter Metrics
	// Callers and Endpoints are the protocols; if unset, the product's own are used.
	Callers   translator.Callers
	Endpoints translator.Endpoints
	// Inbound paces the bodies of responses as they are read from endpoints, and Outbound as
	// they are written to callers. The zero values set no limit.
	Inbound  pacer.Pacer
	Outbound pacer.Pacer
	// BalancerOptions returns the options for the balancer of each service.
	BalancerOptions func() []balancer.Option
}

// withDefaults sets the fields that are unset to their defaults.
func (d Dependencies) withDefaults() Dependencies {
	if d.Callers.ParseRequest == nil {
		d.Callers = translator.NativeCallers()
	}
	if d.Endpoints.ClassifyResponse == nil {
		d.Endpoints = translator.NativeEndpoints()
	}
	if d.RequestPermits == nil {
		d.RequestPermits = func(string, balancer.RequestPermits) {}
	}
	if d.Admission == nil {
		d.Admission = admitAll{}
	}
	if d.BalancerOptions == nil {
		d.BalancerOptions = func() []balancer.Option { return nil }
	}
	return d
}

// Metrics counts calls, attempts and probes.
type Metrics interface {
	Attempt(service string, number int)
	Call(service, result string, took time.Duration)
	Probe(service string, took time.Duration)
	Refused(service string, outcome balancer.Outcome)
	LimitStatement(service string, kind throttler.StatementKind)
	LimitCounts(service string, added balancer.LimitCounts)
	Statement(service, statement string)
	KeyRefused(reason string)
	Malformed(service string)
}

// callResult is the result of a call: a response, a stored response or a refusal.
type callResult struct {
	delivered *attempt
	replay    *claimer.Response
	refusal   *balancer.Refuse
}

// pendingCall is a request whose handler waits for the result of the call.
type pendingCall struct {
	request   forwarder.Request
	arrivedAt time.Time
	// hadBody is set if the request had a body, for which the entry may have waited.
	hadBody bool
	// result receives exactly one value.
	result chan callResult
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	id balancer.AttemptID
	// ctx ends with the attempt, at its deadline at the latest.
	ctx      context.Context //nolint:containedctx // see above
	cancel   context.CancelFunc
	response *forwarder.Response
	// bodyDone is closed once a handler has passed the body on, and as much of the request's body as
	// the endpoint gets; ending may be read only after that.
	bodyDone chan struct{}
	ending   balancer.Ending
}

// serviceDispatcher drives the balancer of one service: it passes inputs to the balancer and
// executes its actions.
type serviceDispatcher struct {
	service   string
	deps      Dependencies
	fence     *fence
	forwarder *forwarder.Forwarder

	mu           sync.Mutex
	stateMachine *balancer.Balancer
	lastCallID   balancer.CallID
	calls        map[balancer.CallID]*pendingCall
	attempts     map[balancer.AttemptID]*attempt
	// addresses holds the address of each endpoint, for closing its connections.
	addresses map[string]string
	// waker calls the balancer when it is due.
	waker *waker.Waker
	// limitCounts are the counts of the balancer that the metrics include.
	limitCounts balancer.LimitCounts
	// configLease is the last state of the leases that the balancer was told.
	configLease balancer.ConfigLeaseChanged
}

func newServiceDispatcher(incarnation string, service validator.Service, deps Dependencies, f *fence) *serviceDispatcher {
	s := &serviceDispatcher{
		service:      service.Name,
		deps:         deps,
		fence:        f,
		stateMachine: balancer.New(incarnation, service, deps.BalancerOptions()...),
		calls:        make(map[balancer.CallID]*pendingCall),
		attempts:     make(map[balancer.AttemptID]*attempt),
		addresses:    make(map[string]string),
	}
	s.forwarder = forwarder.New(deps.Now, deps.Endpoints, deps.Inbound, forwarder.WithMalformed(s.recordMalformed))
	s.waker = waker.New(deps.Now, s.wake)
	return s
}

// recordMalformed counts and records a response of an endpoint that broke a rule of the protocol.
func (s *serviceDispatcher) recordMalformed(m forwarder.Malformed) {
	s.deps.Counter.Malformed(s.service)
	s.deps.Publish(recorder.Event{Kind: recorder.KindResponseMalformed, Service: s.service, Endpoint: m.Endpoint, Request: m.Request, Detail: m.Rule.Error()})
}

// wake sends the balancer a tick when it is due.
func (s *serviceDispatcher) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waker.Fired()
	s.step(balancer.Tick{})
}

// close stops the timers of the balancer and of the forwarder.
func (s *serviceDispatcher) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waker.Stop()
	s.forwarder.Close()
}

// step passes an input to the balancer, executes its actions and sets the timer.
func (s *serviceDispatcher) step(in balancer.Input) {
	if s.fence.required && len(s.calls) > 0 {
		s.updateKeyLease(s.fence.until())
	}
	s.handleInput(in)
}

// handleInput is step without a measurement of suspensions.
func (s *serviceDispatcher) handleInput(in balancer.Input) {
	s.execute(s.stateMachine.Handle(s.deps.Now(), in))
	s.waker.Set(s.stateMachine.Due())
	s.countLimits()
}

// renewLeases passes a renewal of the configuration lease to the balancer, with the end of the key lease.
func (s *serviceDispatcher) renewLeases(changed balancer.ConfigLeaseChanged) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed.KeyLeaseUntil = s.fence.until()
	s.configLease = changed
	s.step(changed)
}

// updateKeyLease tells the balancer the end of the key lease, if it has changed, before an input that may let it send
// an attempt: a suspension may have ended the lease.
func (s *serviceDispatcher) updateKeyLease(until time.Time) {
	if !until.Equal(s.configLease.KeyLeaseUntil) {
		s.configLease.KeyLeaseUntil = until
		s.execute(s.stateMachine.Handle(s.deps.Now(), s.configLease))
	}
}

// countLimits adds what the balancer has counted since the last time to the metrics.
func (s *serviceDispatcher) countLimits() {
	counts := s.stateMachine.LimitCounts()
	if counts != s.limitCounts {
		s.deps.Counter.LimitCounts(s.service, counts.Minus(s.limitCounts))
		s.limitCounts = counts
	}
}

// handle passes an input to the balancer under the lock.
func (s *serviceDispatcher) handle(in balancer.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(in)
}

// addCall registers a new call and passes it to the balancer. A call without a body that is alone needs no measurement
// of suspensions: there was one as its header was read.
func (s *serviceDispatcher) addCall(c balancer.Call, pending *pendingCall) balancer.CallID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCallID++
	c.ID = s.lastCallID
	s.calls[c.ID] = pending
	if pending.hadBody || len(s.calls) > 1 {
		s.step(balancer.CallArrived{Call: c})
		return c.ID
	}
	if c.NeedsKeyLease {
		s.updateKeyLease(s.fence.known())
	}
	s.handleInput(balancer.CallArrived{Call: c})
	return c.ID
}

func (s *serviceDispatcher) execute(actions []balancer.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case balancer.Dispatch:
			s.dispatch(v)
		case balancer.Deliver:
			s.deliver(v.Call, callResult{delivered: s.attempts[v.Attempt]})
		case balancer.Replay:
			s.deliver(v.Call, callResult{replay: &v.Response})
		case balancer.Refuse:
			s.deps.Counter.Refused(s.service, v.Outcome)
			if v.Reason == balancer.ReasonNoKeyLease {
				s.deps.Counter.KeyRefused(problemKeyLease.reason)
			}
			s.deliver(v.Call, callResult{refusal: &v})
		case balancer.Cancel:
			if t := s.attempts[v.Attempt]; t != nil {
				t.cancel()
			}
		case balancer.ProposeCommand:
			s.claim(v)
		case balancer.Probe:
			s.probe(v)
		case balancer.RequestPermits:
			s.requestPermits(v)
		case balancer.Retire:
			s.forwarder.Retire(s.addresses[v.Endpoint])
			delete(s.addresses, v.Endpoint)
		case balancer.Record:
			s.deps.Publish(v.Event)
		}
	}
}

func (s *serviceDispatcher) deliver(id balancer.CallID, v callResult) {
	if pending, ok := s.calls[id]; ok {
		s.deps.Counter.Call(s.service, v.label(), s.deps.Now().Sub(pending.arrivedAt))
		pending.result <- v
	}
}

// label returns the value of the result label in the metrics.
func (v callResult) label() string {
	switch {
	case v.refusal != nil && v.refusal.Outcome == balancer.OutcomeNotRun:
		return "not-run"
	case v.refusal != nil:
		return "unknown"
	}
	return "answered"
}

// claim sends the command from another goroutine, without the lock: the claims log may reply at
// once.
func (s *serviceDispatcher) claim(v balancer.ProposeCommand) {
	s.deps.Start(func() { s.deps.Claim(s.service, v.Call, v.Command) })
}

// requestPermits runs in another goroutine, as claim does.
func (s *serviceDispatcher) requestPermits(v balancer.RequestPermits) {
	s.deps.Start(func() { s.deps.RequestPermits(s.service, v) })
}

func (s *serviceDispatcher) dispatch(d balancer.Dispatch) {
	pending, ok := s.calls[d.Call]
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.Deadline)
	t := &attempt{id: d.Attempt, ctx: ctx, cancel: cancel, bodyDone: make(chan struct{})}
	s.attempts[d.Attempt] = t
	s.addresses[d.Endpoint] = d.Address
	s.deps.Counter.Attempt(s.service, d.Number)
	request := pending.request
	s.deps.Start(func() { s.runAttempt(t, d, request) })
}

// runAttempt runs one attempt from its dispatch to its end.
func (s *serviceDispatcher) runAttempt(t *attempt, d balancer.Dispatch, request forwarder.Request) {
	defer t.cancel()
	response, ending := s.forwarder.Send(t.ctx, d, request)
	s.countStatements(loadReport(response))
	if ending != balancer.EndingComplete {
		s.endAttempt(t, ending, loadReport(response))
		return
	}
	t.response = response
	finished := response.Complete && response.Sending() == nil
	if finished {
		s.forwarder.Finish(response, true)
	}
	s.handle(balancer.ResponseStarted{Attempt: t.id, Status: response.HTTP.StatusCode, Report: response.Report, StoredResponse: storableResponse(response)})
	if finished {
		s.endAttempt(t, balancer.EndingComplete, balancer.NoReport)
		return
	}
	s.awaitBody(t)
}

// awaitBody waits until a handler has passed the body on, or until the attempt's context ends.
func (s *serviceDispatcher) awaitBody(t *attempt) {
	ending := balancer.EndingCancelled
	if t.response.Complete {
		ending = balancer.EndingComplete
	}
	select {
	case <-t.bodyDone:
		ending = t.ending
	case <-t.ctx.Done():
	}
	s.forwarder.Finish(t.response, ending == balancer.EndingComplete)
	s.endAttempt(t, ending, balancer.NoReport)
}

func (s *serviceDispatcher) endAttempt(t *attempt, ending balancer.Ending, report balancer.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, t.id)
	s.step(balancer.AttemptEnded{Attempt: t.id, Ending: ending, Report: report})
}

// countStatements counts what a response states about new requests to its endpoint.
func (s *serviceDispatcher) countStatements(r balancer.Report) {
	if r.Limit.Kind == throttler.StatementLimit || r.Limit.Kind == throttler.StatementInvalid {
		s.deps.Counter.LimitStatement(s.service, r.Limit.Kind)
	}
	if r.Leaving {
		s.deps.Counter.Statement(s.service, "leaving")
	}
	if r.Pause.Kind != pauser.None {
		s.deps.Counter.Statement(s.service, r.Pause.Kind.String())
	}
}

func loadReport(response *forwarder.Response) balancer.Report {
	if response == nil {
		return balancer.NoReport
	}
	return response.Report
}

// storableResponse returns the part of a response to a once-only request that may be stored.
func storableResponse(response *forwarder.Response) claimer.Response {
	stored := claimer.Response{Status: response.HTTP.StatusCode}
	if !response.Complete || len(response.Prefix) > claimer.MaxResponseBytes {
		return stored
	}
	stored.Stored = true
	stored.ContentType = response.HTTP.Header.Get("Content-Type")
	stored.Location = response.HTTP.Header.Get("Location")
	stored.Body = response.Prefix
	return stored
}

func (s *serviceDispatcher) probe(v balancer.Probe) {
	s.deps.Start(func() {
		ctx, cancel := context.WithDeadline(context.Background(), v.Deadline)
		defer cancel()
		start := s.deps.Now()
		report, ending := s.forwarder.Probe(ctx, v)
		s.countStatements(report)
		took := s.deps.Now().Sub(start)
		s.deps.Counter.Probe(s.service, took)
		s.handle(balancer.ProbeEnded{
			Call: v.Call, Endpoint: v.Endpoint, OK: ending == balancer.EndingComplete,
			Misdirected: ending == balancer.EndingMisdirected, Elapsed: took, Report: report})
	})
}

func (s *serviceDispatcher) leaving() []messenger.Leaving {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateMachine.Leaving()
}

func (s *serviceDispatcher) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateMachine.InFlight()
}
