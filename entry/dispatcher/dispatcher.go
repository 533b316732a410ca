// Package dispatcher brings callers' requests to the balancers of their services
// and passes the answers on.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/shell/reporter"
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
	around   Surroundings
	router   atomic.Pointer[router.Router]

	mu    sync.RWMutex
	lanes map[string]*lane
	until time.Time
}

// New returns a dispatcher that knows no services. Instance is unique to this
// start of the process.
func New(instance string, around Surroundings) *Dispatcher {
	return &Dispatcher{instance: instance, around: around, lanes: make(map[string]*lane)}
}

// Configure takes up a document.
func (d *Dispatcher) Configure(doc validator.Document) {
	r := router.New(doc)
	d.mu.Lock()
	for _, s := range doc.Services {
		if d.lanes[s.Name] == nil {
			l := newLane(d.instance, s, d.around)
			l.handle(balancer.StandingChanged{Until: d.until})
			d.lanes[s.Name] = l
		}
	}
	d.mu.Unlock()
	d.router.Store(&r)
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
	d.each(func(l *lane) { l.handle(balancer.StandingChanged{Until: until}) })
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

const (
	// idleInterval is how often time passes in the balancers of an idle entry.
	idleInterval = 100 * time.Millisecond
	trimInterval = time.Second
)

// Run lets time pass in every balancer until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	var trimmed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			trim := now.Sub(trimmed) >= trimInterval
			if trim {
				trimmed = now
			}
			timer.Reset(d.pass(trim))
		}
	}
}

// pass lets time pass once, and returns when to do it again.
func (d *Dispatcher) pass(trim bool) time.Duration {
	next := idleInterval
	d.each(func(l *lane) {
		if l.tick() {
			next = balancer.TickInterval
		}
		if trim {
			l.forwarder.Trim(balancer.AnyQuiet)
		}
	})
	return next
}

// ServeHTTP answers a caller's request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(forwarder.RequestHeader)
	if id == "" || !validator.ValidName(id) {
		id = uuid.NewString()
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		refuse(w, id, http.StatusNotImplemented, "connections can't be handed over")
		return
	}
	rt := d.router.Load()
	if rt == nil {
		w.Header().Set("Retry-After", "1")
		refuse(w, id, http.StatusServiceUnavailable, "this instance has no configuration yet")
		return
	}
	match, ok := rt.Match(r.Host, r.URL.Path)
	if !ok {
		refuse(w, id, http.StatusNotFound, "no route leads there")
		return
	}
	d.serve(w, r, match, id)
}

func refuse(w http.ResponseWriter, id string, status int, detail string) {
	reporter.Problem{Status: status, Detail: detail, Request: id}.Write(w, reporter.OutcomeNotRun)
}

func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, match router.Match, id string) {
	l := d.lane(match.Service)
	call := balancer.Call{
		Request:   id,
		Execution: match.Execution(r.Method),
		Class:     match.Route.Class,
		Chained:   chained(r),
	}
	deadline, err := d.deadline(r, match)
	if err != nil {
		refuse(w, id, http.StatusBadRequest, err.Error())
		return
	}
	call.Deadline = deadline
	request, problem := incoming(r, &call, id)
	if problem != nil {
		problem.Write(w, reporter.OutcomeNotRun)
		return
	}
	waits := &waiting{request: request, verdicts: make(chan verdict, 1)}
	call.ID = l.arrive(call, waits)
	defer l.forget(call.ID)
	select {
	case v := <-waits.verdicts:
		l.write(w, r, v, id)
	case <-r.Context().Done():
		l.handle(balancer.CallerGone{Call: call.ID})
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

// chained reports whether the request is a retry of an entry higher up.
func chained(r *http.Request) bool {
	n, err := strconv.Atoi(r.Header.Get(forwarder.AttemptHeader))
	return err == nil && n > 1
}

// deadline returns when the caller stops waiting: the time remaining that it
// states, within the route's bound.
func (d *Dispatcher) deadline(r *http.Request, match router.Match) (time.Time, error) {
	remaining := time.Duration(match.Route.DeadlineMs) * time.Millisecond
	if text := r.Header.Get(forwarder.TimeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return time.Time{}, errors.Errorf("%s must be a whole number of milliseconds", forwarder.TimeoutHeader)
		}
		remaining = min(remaining, time.Duration(min(ms, validator.MaxDeadlineMs))*time.Millisecond)
	}
	return d.around.Now().Add(remaining), nil
}

// incoming reads what the attempts will send. A body too large to be kept can be
// sent only once.
func incoming(r *http.Request, call *balancer.Call, id string) (forwarder.Request, *reporter.Problem) {
	limit := keptBytes
	if call.Execution == router.OnceOnly {
		limit = onceBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return forwarder.Request{}, &reporter.Problem{Status: http.StatusBadRequest, Detail: "the body could not be read", Request: id}
	}
	request := forwarder.Request{Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: onward(r, id), Body: body, ContentLength: int64(len(body))}
	if len(body) <= limit {
		call.Key = r.Header.Get(keyHeader)
		if call.Execution == router.OnceOnly {
			call.Fingerprint = fingerprint(r, body)
		}
		return request, nil
	}
	if call.Execution == router.OnceOnly {
		return forwarder.Request{}, &reporter.Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the body of a once-only request is limited to 1 MiB", Request: id}
	}
	call.Streamed = true
	request.Stream = r.Body
	request.ContentLength = r.ContentLength
	return request, nil
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
func onward(r *http.Request, id string) http.Header {
	h := withoutHops(r.Header.Clone())
	if strings.Contains(strings.ToLower(r.Header.Get("Te")), "trailers") {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the transport from adding its own
	}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = []string{strings.Join(append(r.Header.Values("X-Forwarded-For"), ip), ", ")}
	}
	h.Set(forwarder.RequestHeader, id)
	return h
}
