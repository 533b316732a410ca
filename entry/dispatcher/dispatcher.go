// Package dispatcher brings callers' requests to the balancers of their services
// and passes the answers on.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/translator"
)

// Bounds of a request's body.
const (
	// keptBytes is the largest body that can be sent again.
	keptBytes = 64 << 10
	// onceBytes is the largest body of a once-only request, which is read whole.
	onceBytes = 1 << 20
)

const keyHeader = "Idempotency-Key"

// Dispatcher holds the lanes of all services.
type Dispatcher struct {
	instance string
	around   Dependencies
	active   atomic.Pointer[active]
	// started is when the process began, and configured is closed with the first document.
	started    time.Time
	configured chan struct{}
	once       sync.Once

	mu    sync.RWMutex
	lanes map[string]*lane
	until time.Time
}

// active is what holds for requests that come now.
type active struct {
	router router.Router
	limits validator.Limits
}

// New returns a dispatcher that knows no services. Instance is unique to this
// start of the process.
func New(instance string, around Dependencies) *Dispatcher {
	d := &Dispatcher{instance: instance, around: around.withDefaults(), lanes: make(map[string]*lane), configured: make(chan struct{})}
	d.started = d.around.Now()
	return d
}

// Configure takes up a document.
func (d *Dispatcher) Configure(doc validator.Document) {
	r := router.New(doc)
	d.mu.Lock()
	for _, s := range doc.Services {
		if d.lanes[s.Name] == nil {
			l := newLane(d.instance, s, d.around)
			l.handle(balancer.ConfigLeaseChanged{Until: d.until})
			d.lanes[s.Name] = l
		}
	}
	d.mu.Unlock()
	d.active.Store(&active{router: r, limits: doc.Limits})
	d.once.Do(func() { close(d.configured) })
}

// Bounds of the wait for the first document.
const (
	// startTime is how long after its start an entry expects the first document soon: some
	// times what a replica takes to be found and to answer.
	startTime = time.Second
	// startHold is how long a call waits for it: well below the targets of calls, and
	// shorter for a caller than to come again.
	startHold = 150 * time.Millisecond
)

// awaitActive returns what holds for a request. Just after its start the entry waits a
// little for its first document; without one it returns nil.
func (d *Dispatcher) awaitActive(ctx context.Context) *active {
	now := d.active.Load()
	if now != nil || d.around.Now().Sub(d.started) > startTime {
		return now
	}
	timer := time.NewTimer(startHold)
	defer timer.Stop()
	select {
	case <-d.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.active.Load()
}

// Timeouts returns how long callers may take, as the document in force says.
func (d *Dispatcher) Timeouts() keeper.Timeouts {
	now := d.active.Load()
	if now == nil {
		return keeper.Timeouts{}
	}
	return keeper.Timeouts{
		Header: time.Duration(now.limits.HeaderTimeoutMs) * time.Millisecond,
		Idle:   time.Duration(now.limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// Handle hands an input to the balancer of a service.
func (d *Dispatcher) Handle(service string, in balancer.Input) {
	if l := d.lane(service); l != nil {
		l.handle(in)
	}
}

// Stand renews the standing in every balancer.
func (d *Dispatcher) Stand(until time.Time) {
	d.mu.Lock()
	d.until = until
	d.mu.Unlock()
	d.each(func(l *lane) { l.handle(balancer.ConfigLeaseChanged{Until: until}) })
}

func (d *Dispatcher) lane(service string) *lane {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lanes[service]
}

func (d *Dispatcher) each(do func(*lane)) {
	d.mu.RLock()
	lanes := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		lanes = append(lanes, l)
	}
	d.mu.RUnlock()
	for _, l := range lanes {
		do(l)
	}
}

// Leaving returns the work at endpoints that get no new work.
func (d *Dispatcher) Leaving() []messenger.Leaving {
	var all []messenger.Leaving
	d.each(func(l *lane) { all = append(all, l.leaving()...) })
	return all
}

// InFlight returns the number of calls and attempts that have not ended.
func (d *Dispatcher) InFlight() int {
	n := 0
	d.each(func(l *lane) { n += l.inFlight() })
	return n
}

// Run waits for the context to end, and keeps the balancers from being called after that.
func (d *Dispatcher) Run(ctx context.Context) {
	<-ctx.Done()
	d.each(func(l *lane) { l.end() })
}

// ServeHTTP answers a caller's request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	said, err := d.around.Callers.ParseRequest(r.Header)
	if said.ID == "" {
		said.ID = uuid.NewString()
	}
	if err != nil {
		d.refuse(w, said.ID, http.StatusBadRequest, err.Error())
		return
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		d.refuse(w, said.ID, http.StatusNotImplemented, "connections can't be handed over")
		return
	}
	now := d.awaitActive(r.Context())
	if now == nil {
		d.around.Publish(recorder.Event{Kind: recorder.KindCallRefused, Request: said.ID, Detail: "no configuration yet"})
		d.around.Callers.Refuse(w, translator.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: balancer.OutcomeNotRun,
			Detail: "this instance has no configuration yet", Request: said.ID, RetryAfter: balancer.RetryAfter,
		})
		return
	}
	match, ok := now.router.Match(r.Host, r.URL.Path)
	if !ok {
		d.refuse(w, said.ID, http.StatusNotFound, "no route leads there")
		return
	}
	if status, detail := exceeds(r, now.limits); status != 0 {
		d.refuse(w, said.ID, status, detail)
		return
	}
	d.serve(w, r, match, said)
}

// exceeds returns the status for a request that is larger than callers may send,
// or zero.
func exceeds(r *http.Request, limits validator.Limits) (status int, detail string) {
	if limits.MaxHeaderBytes > 0 && translator.HeaderBytes(r) > limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header is limited to %d bytes", limits.MaxHeaderBytes)
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > int64(limits.MaxBodyBytes) {
		return http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is limited to %d bytes", limits.MaxBodyBytes)
	}
	return 0, ""
}

func (d *Dispatcher) refuse(w http.ResponseWriter, id string, status int, detail string) {
	d.around.Publish(recorder.Event{Kind: recorder.KindCallRefused, Request: id, Detail: fmt.Sprintf("status %d: %s", status, detail)})
	d.around.Callers.Refuse(w, translator.Refusal{Status: status, Outcome: balancer.OutcomeNotRun, Detail: detail, Request: id})
}

func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, match router.Match, said translator.Request) {
	arrived := d.around.Now()
	service := match.PickService(rand.Float64())
	l := d.lane(service)
	call := balancer.Call{
		Request:       said.ID,
		Execution:     match.Execution(r.Method),
		Class:         match.Route.Class,
		Chained:       said.Chained,
		Deadline:      d.deadline(said, match),
		AttemptLimit:  match.Route.Attempts,
		LatencyTarget: time.Duration(match.Route.TargetMs) * time.Millisecond,
	}
	request, problem := d.receive(w, r, &call)
	if problem != nil {
		problem.Request = said.ID
		d.around.Callers.Refuse(w, *problem)
		return
	}
	waits := &waiting{request: request, arrived: arrived, verdicts: make(chan verdict, 1)}
	call.ID = l.arrive(call, waits)
	defer l.forget(call.ID)
	select {
	case v := <-waits.verdicts:
		l.write(w, r, v, said.ID)
	case <-r.Context().Done():
		l.handle(balancer.CallerDisconnected{Call: call.ID})
		l.discard(waits)
	}
}

func (l *lane) forget(id balancer.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, id)
}

// discard ends the attempt of a verdict that came as the caller left.
func (l *lane) discard(w *waiting) {
	select {
	case v := <-w.verdicts:
		if v.answer != nil {
			v.answer.cancel()
		}
	default:
	}
}

// deadline returns when the caller stops waiting: the time remaining that it
// states, within the route's bound.
func (d *Dispatcher) deadline(said translator.Request, match router.Match) time.Time {
	remaining := time.Duration(match.Route.DeadlineMs) * time.Millisecond
	if said.Timeout >= 0 {
		remaining = min(remaining, said.Timeout)
	}
	return d.around.Now().Add(remaining)
}

// receive reads a request whose body has to be there by its deadline too.
func (d *Dispatcher) receive(w http.ResponseWriter, r *http.Request, call *balancer.Call) (forwarder.Request, *translator.Refusal) {
	if r.Body == http.NoBody {
		return d.incoming(r, call)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(call.Deadline)                  // a writer without deadlines waits
	defer func() { _ = control.SetReadDeadline(time.Time{}) }() // as above
	if most := d.active.Load().limits.MaxBodyBytes; most > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, int64(most))
	}
	return d.incoming(r, call)
}

// incoming reads what the attempts will send. A body too large to be kept can be
// sent only once.
func (d *Dispatcher) incoming(r *http.Request, call *balancer.Call) (forwarder.Request, *translator.Refusal) {
	limit := keptBytes
	if call.Execution == router.OnceOnly {
		limit = onceBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return forwarder.Request{}, unreadable(err)
	}
	request := forwarder.Request{Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: d.onward(r, call.Request), Body: body, ContentLength: int64(len(body))}
	if len(body) <= limit {
		call.Key = r.Header.Get(keyHeader)
		if call.Execution == router.OnceOnly {
			call.Fingerprint = fingerprint(r, body)
		}
		return request, nil
	}
	if call.Execution == router.OnceOnly {
		return forwarder.Request{}, notRun(http.StatusRequestEntityTooLarge, "the body of a once-only request is limited to 1 MiB")
	}
	call.Streamed = true
	request.Stream = r.Body
	request.ContentLength = r.ContentLength
	return request, nil
}

func notRun(status int, detail string) *translator.Refusal {
	return &translator.Refusal{Status: status, Outcome: balancer.OutcomeNotRun, Detail: detail}
}

// unreadable tells a body that came too slowly from one that is wrong.
func unreadable(err error) *translator.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return notRun(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is limited to %d bytes", large.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(http.StatusRequestTimeout, "the body did not come in time")
	}
	return notRun(http.StatusBadRequest, "the body could not be read")
}

// fingerprint tells one request from another under the same key. The caller's
// credentials are part of it, so nobody gets an answer to someone else's request.
func fingerprint(r *http.Request, body []byte) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get("Authorization"), r.Header.Get("Cookie")} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func withoutHops(h http.Header) http.Header {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

// onward returns the headers that go to the endpoint.
func (d *Dispatcher) onward(r *http.Request, id string) http.Header {
	h := withoutHops(r.Header.Clone())
	if strings.Contains(strings.ToLower(r.Header.Get("Te")), "trailers") {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the transport from adding its own
	}
	d.around.Callers.PrepareForward(h, r, id)
	return h
}
