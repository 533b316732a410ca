// Package dispatcher passes callers' requests to the balancers of their services, and the
// responses back to the callers.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"comfreyplank.org/core/authenticator"
	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/drainer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/translator"
)

const idempotencyKeyHeader = "Idempotency-Key"

// Dispatcher holds a serviceDispatcher for each service.
type Dispatcher struct {
	incarnation string
	deps        Dependencies
	// handler serves requests whose bodies have an owner.
	handler      http.Handler
	activeConfig atomic.Pointer[activeConfig]
	fence        *fence
	// reservedFields are the header fields that endpoints don't get as a caller sent them.
	reservedFields []string
	// started is when the process started. configured is closed when the first document is
	// applied.
	started        time.Time
	configured     chan struct{}
	configuredOnce sync.Once
	// shutdown is the planned stop; nil before it begins.
	shutdown atomic.Pointer[drainer.Drainer]

	mu          sync.RWMutex
	dispatchers map[string]*serviceDispatcher
	// configLease is the state of the configuration lease, for the balancers of new services.
	configLease balancer.ConfigLeaseChanged
	// configLeaseUntil is its end, for requests; nil before the first one.
	configLeaseUntil atomic.Pointer[time.Time]
}

// activeConfig is the part of the document in effect that new requests need.
type activeConfig struct {
	router        router.Router
	authenticator authenticator.Authenticator
	limits        validator.Limits
}

// New returns a dispatcher without services. The incarnation is unique to this start of the
// process.
func New(incarnation string, deps Dependencies) *Dispatcher {
	d := &Dispatcher{incarnation: incarnation, deps: deps.withDefaults(), dispatchers: make(map[string]*serviceDispatcher), configured: make(chan struct{})}
	d.started = d.deps.Now()
	d.fence = newFence(d.deps)
	d.reservedFields = append(spellings(d.deps.Callers.KeyHeader), spellings(d.deps.Callers.WorkspaceHeader)...)
	d.handler = receiver.Handler(http.HandlerFunc(d.serveRequest))
	return d
}

// Configure applies a document.
func (d *Dispatcher) Configure(doc validator.Document) {
	r := router.New(doc)
	a := authenticator.New(doc)
	d.mu.Lock()
	for _, service := range doc.Services {
		if d.dispatchers[service.Name] == nil {
			s := newServiceDispatcher(d.incarnation, service, d.deps, d.fence)
			s.renewLeases(d.configLease)
			d.dispatchers[service.Name] = s
		}
	}
	d.mu.Unlock()
	d.activeConfig.Store(&activeConfig{router: r, authenticator: a, limits: doc.Limits})
	d.configuredOnce.Do(func() { close(d.configured) })
}

// Bounds of the wait for the first document.
const (
	// startupWindow is how long after its start an entry still expects its first document soon:
	// several times what it takes to find a replica and get its reply.
	startupWindow = time.Second
	// startupWait is how long a call waits for the first document: well below the latency
	// targets of calls, and shorter than a retry by the caller would take.
	startupWait = 150 * time.Millisecond
)

// awaitConfig returns the configuration for a request. Shortly after the start it waits a
// little for the first document; it returns nil if there is none.
func (d *Dispatcher) awaitConfig(ctx context.Context) *activeConfig {
	config := d.activeConfig.Load()
	if config != nil || d.deps.Now().Sub(d.started) > startupWindow {
		return config
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-d.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.activeConfig.Load()
}

// Timeouts returns the timeouts for callers' connections that the document in effect sets.
func (d *Dispatcher) Timeouts() keeper.Timeouts {
	config := d.activeConfig.Load()
	if config == nil {
		return keeper.Timeouts{}
	}
	return keeper.Timeouts{
		Header: time.Duration(config.limits.HeaderTimeoutMs) * time.Millisecond,
		Idle:   time.Duration(config.limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// Stop begins a planned stop: from now on, requests that it would cut off are refused, and those in flight get their
// results before it ends.
func (d *Dispatcher) Stop(shutdown drainer.Drainer) {
	d.shutdown.Store(&shutdown)
	if by := shutdown.AnswerBy(); !by.IsZero() {
		d.forEachService(func(s *serviceDispatcher) { s.handle(balancer.Stopping{AnswerBy: by}) })
	}
}

// Handle passes an input to the balancer of a service.
func (d *Dispatcher) Handle(service string, in balancer.Input) {
	if s := d.serviceDispatcher(service); s != nil {
		s.handle(in)
	}
}

// RenewConfigLease sets the end of the configuration lease and of the key lease in every balancer. The heartbeat that
// renewed them was sent at sentAt. Entries is the number of entries that control knows.
func (d *Dispatcher) RenewConfigLease(sentAt, configLeaseUntil time.Time, entries int) {
	d.fence.renew(sentAt)
	changed := balancer.ConfigLeaseChanged{Until: configLeaseUntil, Entries: entries} // each service adds the key lease
	d.mu.Lock()
	d.configLease = changed
	d.mu.Unlock()
	d.configLeaseUntil.Store(&configLeaseUntil)
	d.forEachService(func(s *serviceDispatcher) { s.renewLeases(changed) })
}

// NoticeSuspension measures whether the machine has been suspended, so that a heartbeat that is sent afterwards counts
// as sent after the suspension.
func (d *Dispatcher) NoticeSuspension() { _ = d.fence.until() }

func (d *Dispatcher) serviceDispatcher(service string) *serviceDispatcher {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.dispatchers[service]
}

func (d *Dispatcher) forEachService(visit func(*serviceDispatcher)) {
	d.mu.RLock()
	dispatchers := make([]*serviceDispatcher, 0, len(d.dispatchers))
	for _, s := range d.dispatchers {
		dispatchers = append(dispatchers, s)
	}
	d.mu.RUnlock()
	for _, s := range dispatchers {
		visit(s)
	}
}

// Leaving returns the work in flight at endpoints that get no new work.
func (d *Dispatcher) Leaving() []messenger.Leaving {
	var all []messenger.Leaving
	d.forEachService(func(s *serviceDispatcher) { all = append(all, s.leaving()...) })
	return all
}

// InFlight returns the number of calls and attempts that have not ended.
func (d *Dispatcher) InFlight() int {
	n := 0
	d.forEachService(func(s *serviceDispatcher) { n += s.inFlight() })
	return n
}

// Run waits for the context to end, then stops the timers of the balancers.
func (d *Dispatcher) Run(ctx context.Context) {
	<-ctx.Done()
	d.forEachService(func(s *serviceDispatcher) { s.close() })
}

// ServeHTTP serves a caller's request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.handler.ServeHTTP(w, r)
}

// MayRunAhead reports whether a request without a body may run concurrently with others of its connection: only if
// its route is repeatable, so that it doesn't matter whether it runs if one before it ends the connection. The path is as the
// caller wrote it.
func (d *Dispatcher) MayRunAhead(method, host, path string) bool {
	config := d.activeConfig.Load()
	if config == nil {
		return false
	}
	match, ok := config.router.Match(host, path)
	return ok && match.Execution(method) == router.Repeatable
}

func (d *Dispatcher) serveRequest(w http.ResponseWriter, r *http.Request) {
	parsed, err := d.deps.Callers.ParseRequest(r.Header)
	if parsed.ID == "" {
		parsed.ID = uuid.NewString()
	}
	if err != nil {
		d.refuse(w, parsed.ID, http.StatusBadRequest, err.Error())
		return
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		d.refuse(w, parsed.ID, http.StatusNotImplemented, "connections can't be handed over")
		return
	}
	path, ok := translator.Path(r)
	if !ok {
		d.refuse(w, parsed.ID, http.StatusBadRequest, "the target must be a path or an absolute URL, without a fragment")
		return
	}
	config := d.awaitConfig(r.Context())
	if config == nil {
		d.deps.Publish(recorder.Event{Kind: recorder.KindCallRefused, Request: parsed.ID, Detail: "no configuration yet"})
		d.deps.Callers.Refuse(w, translator.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: balancer.OutcomeNotRun,
			Detail: "this instance has no configuration yet", Request: parsed.ID, RetryAfter: balancer.RetryAfter,
		})
		return
	}
	var held leases
	if config.authenticator.Enabled() {
		// The leases come first, so that they hold for the document that is used.
		held = d.heldLeases()
		config = d.activeConfig.Load()
	}
	match, ok := config.router.Match(r.Host, path)
	if !ok {
		d.refuse(w, parsed.ID, http.StatusNotFound, "no route leads there")
		return
	}
	from, refusal := d.authenticate(r, config, match, held)
	if refusal != nil {
		d.refuseWith(w, parsed.ID, *refusal)
		return
	}
	if status, detail := checkLimits(r, config.limits); status != 0 {
		d.refuse(w, parsed.ID, status, detail)
		return
	}
	d.serve(w, r, match, parsed, from)
}

// checkLimits returns the status and detail of the refusal if a request exceeds the limits for
// callers, and a zero status otherwise.
func checkLimits(r *http.Request, limits validator.Limits) (status int, detail string) {
	if limits.MaxHeaderBytes > 0 && translator.HeaderBytes(r) > limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header is limited to %d bytes", limits.MaxHeaderBytes)
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > int64(limits.MaxBodyBytes) {
		return http.StatusRequestEntityTooLarge, bodyLimitDetail(limits.MaxBodyBytes)
	}
	return 0, ""
}

func bodyLimitDetail(bytes int) string { return fmt.Sprintf("the body is limited to %d bytes", bytes) }

func (d *Dispatcher) refuse(w http.ResponseWriter, id string, status int, detail string) {
	d.refuseWith(w, id, translator.Refusal{Status: status, Outcome: balancer.OutcomeNotRun, Detail: detail})
}

func (d *Dispatcher) refuseWith(w http.ResponseWriter, id string, refusal translator.Refusal) {
	d.deps.Publish(recorder.Event{Kind: recorder.KindCallRefused, Request: id, Detail: fmt.Sprintf("status %d: %s", refusal.Status, refusal.Detail)})
	refusal.Request = id
	d.deps.Callers.Refuse(w, refusal)
}

func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, match router.Match, parsed translator.Request, from sender) {
	arrivedAt := d.deps.Now()
	service := match.PickService(rand.Float64())
	admitted, refusal := d.admit(from.name(), service, from.priority)
	if refusal != nil {
		refusal.Request = parsed.ID
		d.deps.Callers.Refuse(w, *refusal)
		return
	}
	s := d.serviceDispatcher(service)
	call := balancer.Call{
		Request:       parsed.ID,
		Execution:     match.Execution(r.Method),
		Class:         match.Route.Class,
		Chained:       parsed.Chained,
		Deadline:      d.deadline(parsed, match),
		AttemptLimit:  match.Route.Attempts,
		LatencyTarget: time.Duration(match.Route.LatencyTargetMs) * time.Millisecond,
		Workspace:     from.name(),
		NeedsKeyLease: from.needsKeyLease,
	}
	if shutdown := d.shutdown.Load(); shutdown != nil {
		by, ok := shutdown.Accepts(arrivedAt, call.Deadline)
		if !ok {
			admitted.giveBack(false)
			d.refuse(w, parsed.ID, http.StatusServiceUnavailable, "this instance stops before the request's deadline")
			return
		}
		call.Deadline = by
	}
	request, problem := d.readWithinDeadline(r, &call, from)
	if problem != nil {
		if problem.Outcome == balancer.OutcomeNotRun {
			admitted.giveBack(false)
		}
		problem.Request = parsed.ID
		d.deps.Callers.Refuse(w, *problem)
		return
	}
	if request.Stream != nil {
		defer d.recordCutBody(request.Stream, service, parsed.ID)
	}
	pending := &pendingCall{request: request, arrivedAt: arrivedAt, hadBody: receiver.BodyOf(r) != nil, result: make(chan callResult, 1)}
	call.ID = s.addCall(call, pending)
	defer s.removeCall(call.ID)
	select {
	case v := <-pending.result:
		admitted.end(v.refusal)
		s.writeResult(w, r, v, parsed.ID)
	case <-r.Context().Done():
		s.handle(balancer.CallerDisconnected{Call: call.ID})
		s.discard(pending)
		// A caller that has closed its own side only still reads: it must not get the empty success
		// that the server makes of a handler which has written nothing.
		panic(http.ErrAbortHandler)
	}
}

func (s *serviceDispatcher) removeCall(id balancer.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// discard cancels the attempt of a result that arrived as the caller disconnected.
func (s *serviceDispatcher) discard(pending *pendingCall) {
	select {
	case v := <-pending.result:
		if v.delivered != nil {
			v.delivered.cancel()
		}
	default:
	}
}

// deadline returns when the caller stops waiting: after the timeout that it states, but no
// later than the route allows.
func (d *Dispatcher) deadline(parsed translator.Request, match router.Match) time.Time {
	remaining := time.Duration(match.Route.DeadlineMs) * time.Millisecond
	if parsed.Timeout >= 0 {
		remaining = min(remaining, parsed.Timeout)
	}
	return d.deps.Now().Add(remaining)
}

// fingerprint identifies a request, to distinguish different requests with the same key. It
// covers the caller's credentials and workspace, so that nobody gets the response to someone else's request. Without
// a workspace it is the same as in versions that knew none, as claims outlive a version.
func fingerprint(r *http.Request, workspace string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, translator.Target(r), r.Header.Get("Authorization"), r.Header.Get("Cookie")} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(body)
	sum := h.Sum(nil)
	if workspace != "" {
		// A hash of the hash: no body of a request without a workspace can give the same.
		outer := sha256.Sum256(append([]byte(workspace+"\x00"), sum...))
		sum = outer[:]
	}
	return hex.EncodeToString(sum)
}

// hopByHopHeaders are header fields that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func removeHopByHop(h http.Header) http.Header {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}

// forwardedHeader returns the header that is forwarded to the endpoint.
func (d *Dispatcher) forwardedHeader(r *http.Request, id string, from sender) http.Header {
	h := removeHopByHop(r.Header.Clone())
	if strings.Contains(strings.ToLower(r.Header.Get("Te")), "trailers") {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the transport from adding its own
	}
	if from.reserved {
		for _, field := range d.reservedFields {
			delete(h, field)
		}
	}
	if from.workspace != nil {
		h[d.deps.Callers.WorkspaceHeader] = from.workspace.Names
	}
	d.deps.Callers.PrepareForward(h, r, id)
	return h
}
