// Package responder implements stand-in endpoints: they announce themselves, have slots and
// a queue, record every run, and can be configured to misbehave.
package responder

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// Settings holds the parameters of a stand-in endpoint.
type Settings struct {
	Service  string
	Endpoint string
	Address  string
	// Advertise is the announced address; if empty, Address is announced.
	Advertise   string
	DataCentre  string
	Slots       int
	Connections int
	// Entries are the addresses that announcements are sent to, round-robin.
	Entries     []string
	AnnounceKey string
	Behaviour   Behaviour
	// WarmUp is how long the endpoint says from its start on that it is in warm-up.
	WarmUp time.Duration
	Wishes Wishes
	// Arrived is called with the X-Sending header of each request that arrives, and with the pause that the endpoint
	// asks for by refusing it, or zero. It may be nil.
	Arrived func(sending string, pause time.Duration)
	// Record receives a line when a run begins: its key, the value of its X-Sending header,
	// and "endless" if its response will never end.
	Record io.Writer
}

const (
	renewalInterval = 5 * time.Second
	// retryInterval is the delay before an announcement that no entry accepted is repeated.
	retryInterval   = 200 * time.Millisecond
	announceTimeout = time.Second
	maxRuns         = 2_000_000
)

// NameHeader names the endpoint in each response, so that a caller knows whose response it was given.
const NameHeader = "X-Stand-In"

// Responder is a stand-in endpoint.
type Responder struct {
	settings    Settings
	behaviour   atomic.Pointer[Behaviour]
	limit       atomic.Pointer[string]
	wishes      atomic.Pointer[Wishes]
	started     time.Time
	incarnation atomic.Uint64
	listener    *listener
	server      *http.Server

	slots    chan struct{}
	load     atomic.Int64
	admitted atomic.Int64
	sequence atomic.Uint64
	history  history

	mu sync.Mutex
	// runs counts the runs of each request, by its key.
	runs      map[string]int
	nextEntry int
}

// New returns a stand-in endpoint that listens at its address. Run serves requests.
func New(s Settings) (*Responder, error) {
	raw, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s.Address = raw.Addr().String()
	if s.Arrived == nil {
		s.Arrived = func(string, time.Duration) {}
	}
	r := &Responder{
		settings: s,
		started:  time.Now(),
		listener: newListener(raw),
		slots:    make(chan struct{}, s.Slots),
		runs:     make(map[string]int),
	}
	r.incarnation.Store(uint64(time.Now().UnixNano()))
	r.behaviour.Store(&s.Behaviour)
	r.SetWishes(s.Wishes)
	r.SetLimit("")
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: announceTimeout, IdleTimeout: time.Minute}
	return r, nil
}

// Address returns the address at which the endpoint listens.
func (r *Responder) Address() string { return r.settings.Address }

// Run serves requests and announces the endpoint until the context ends, then deregisters
// it.
func (r *Responder) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { _ = r.server.Serve(r.listener) }) // returns when the server is closed
	r.announceLoop(ctx)
	deregisterCtx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	r.announce(deregisterCtx, http.MethodDelete)
	_ = r.server.Close() // a stand-in may interrupt its calls
	group.Wait()
}

func (r *Responder) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryInterval
		if r.announce(ctx, http.MethodPut) {
			wait = renewalInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// warmUpLeft returns how much longer the endpoint is in warm-up.
func (r *Responder) warmUpLeft() time.Duration {
	return max(0, r.settings.WarmUp-time.Since(r.started))
}

// Set replaces the behaviour and announces the new state. It reports whether an entry
// accepted the announcement.
func (r *Responder) Set(ctx context.Context, b Behaviour) bool {
	r.behaviour.Store(&b)
	return r.announce(ctx, http.MethodPut)
}

// SetLimit lets responses name a limit, whatever the behaviour; an empty text names none.
func (r *Responder) SetLimit(text string) { r.limit.Store(&text) }

// SilenceConnections silences the open connections for good and returns their number.
func (r *Responder) SilenceConnections() int { return r.listener.silenceAll() }

// Runs returns the number of runs of each key.
func (r *Responder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string]int, len(r.runs))
	for key, n := range r.runs {
		runs[key] = n
	}
	return runs
}

// Load returns the number of requests that run or wait for a slot.
func (r *Responder) Load() int { return int(r.load.Load()) }

func (r *Responder) state() string {
	if r.behaviour.Load().Draining {
		return "draining"
	}
	return "serving"
}

// announcement is the JSON body of an announcement.
type announcement struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Load        int    `json:"load"`
	WarmUpMs    int64  `json:"warm-up-ms,omitempty"`
}

// announce sends an announcement to one entry after the other until one accepts it, and
// reports whether one did.
func (r *Responder) announce(ctx context.Context, method string) bool {
	body, err := json.Marshal(announcement{
		Address: cmp.Or(r.settings.Advertise, r.settings.Address), DataCentre: r.settings.DataCentre, Slots: r.settings.Slots,
		Connections: r.settings.Connections, State: r.state(), Incarnation: r.incarnation.Load(),
		Sequence: r.sequence.Add(1), Load: r.Load(), WarmUpMs: r.warmUpLeft().Milliseconds(),
	})
	if err != nil {
		return false
	}
	for range r.settings.Entries {
		r.mu.Lock()
		entry := r.settings.Entries[r.nextEntry%len(r.settings.Entries)]
		r.nextEntry++
		r.mu.Unlock()
		if r.announceTo(ctx, method, entry, body) {
			return true
		}
	}
	return false
}

func (r *Responder) announceTo(ctx context.Context, method, entry string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/comfreyplank/v1/services/%s/endpoints/%s", entry, r.settings.Service, r.settings.Endpoint)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+r.settings.AnnounceKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be reused
	_ = response.Body.Close()                 // already read to its end
	return response.StatusCode == http.StatusOK
}

func (r *Responder) handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/comfreyplank/v1/probe", r.handleProbe)
	router.Post("/stand-in/behaviour", r.handleBehaviour)
	router.Post("/stand-in/silence", r.handleSilence)
	router.Get("/stand-in/runs", r.handleRuns)
	router.Get("/stand-in/connections", r.handleConnections)
	router.NotFound(r.handleCall)
	router.MethodNotAllowed(r.handleCall)
	return router
}

func (r *Responder) handleBehaviour(w http.ResponseWriter, req *http.Request) {
	b := *r.behaviour.Load()
	if err := json.NewDecoder(req.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Set(req.Context(), b)
}

func (r *Responder) handleSilence(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, r.SilenceConnections()) // this connection is silent now too
}

func (r *Responder) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(r.Runs()) // the client may have disconnected
}

func (r *Responder) handleConnections(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, r.listener.openCount()) // the client may have disconnected
}

func (r *Responder) handleProbe(w http.ResponseWriter, _ *http.Request) {
	b := r.behaviour.Load()
	time.Sleep(time.Duration(b.ServiceMs * float64(time.Millisecond)))
	r.setLoadHeader(w)
	w.WriteHeader(http.StatusNoContent)
}

// setLoadHeader sets the load header to the reported load, which the behaviour may make old or
// wrong.
func (r *Responder) setLoadHeader(w http.ResponseWriter) {
	b := r.behaviour.Load()
	load := r.history.at(time.Now().Add(-time.Duration(b.LoadDelayMs)*time.Millisecond), r.Load())
	value := "load=" + strconv.Itoa(max(0, load+b.LoadOffset))
	switch {
	case r.wishes.Load().Leaving:
		value += ", state=leaving"
	case !b.NoState:
		value += ", state=" + r.state()
	}
	if limit := cmp.Or(*r.limit.Load(), b.Limit); limit != "" {
		value += ", limit=" + limit
	}
	if r.settings.WarmUp > 0 {
		value += ", warm-up-ms=" + strconv.FormatInt(r.warmUpLeft().Milliseconds(), 10)
	}
	value += ", incarnation=" + strconv.FormatUint(r.incarnation.Load(), 10)
	w.Header().Set(NameHeader, r.settings.Endpoint)
	w.Header().Set("Endpoint-Load-Metrics", value)
}

func (r *Responder) refuse(w http.ResponseWriter) {
	r.setLoadHeader(w)
	w.Header().Set("Comfreyplank-Outcome", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleCall runs a request: it waits for a slot, holds it for the service time, and
// responds.
func (r *Responder) handleCall(w http.ResponseWriter, req *http.Request) {
	b := r.behaviour.Load()
	pause := r.wishes.Load().drawPause()
	r.settings.Arrived(req.Header.Get("X-Sending"), pause)
	switch {
	case pause > 0:
		r.refuseAndPause(w, pause)
		return
	case b.FailFast:
		r.setLoadHeader(w)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case b.Shed:
		r.refuse(w)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.admitted.Add(1) > int64(b.QueueLimit+r.settings.Slots) {
		r.admitted.Add(-1)
		r.refuse(w)
		return
	}
	r.history.record(time.Now(), int(r.load.Add(1)))
	defer r.admitted.Add(-1)
	defer r.finish()
	if !r.execute(req, *b) {
		return
	}
	r.respond(w, req, *b, body)
}

// finish removes a request from the load.
func (r *Responder) finish() { r.history.record(time.Now(), int(r.load.Add(-1))) }

// execute waits for a slot and holds it for the service time. It reports whether the request
// completed; a request that is cancelled while it waits is not run.
func (r *Responder) execute(req *http.Request, b Behaviour) bool {
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return false
	}
	defer func() { <-r.slots }()
	r.recordRun(req, b)
	random := rand.ExpFloat64()
	select {
	case <-time.After(b.serviceTime(time.Since(r.started), random)):
		return true
	case <-req.Context().Done():
		return false
	}
}

func (r *Responder) recordRun(req *http.Request, b Behaviour) {
	key := cmp.Or(req.Header.Get("Idempotency-Key"), req.Header.Get("X-Mark"))
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) < maxRuns {
		r.runs[key]++
	}
	if r.settings.Record != nil {
		kind := ""
		if b.Endless {
			kind = "endless"
		}
		_, _ = fmt.Fprintln(r.settings.Record, key, req.Header.Get("X-Sending"), kind) // checks of the record notice a missing line
	}
}

// respond echoes the caller's mark and body, and adds as many padding bytes as the query
// requests.
func (r *Responder) respond(w http.ResponseWriter, req *http.Request, b Behaviour, body []byte) {
	size, _ := strconv.Atoi(req.URL.Query().Get("bytes"))
	text := []byte(fmt.Sprintf("%s %s %s\n", r.settings.Endpoint, req.Header.Get("X-Mark"), body))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+size))
	r.setLoadHeaderWithoutCurrent(w)
	if b.Endless {
		sendEndless(w, b.EndlessBody)
		return
	}
	if b.HalfResponse {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)                            // the client may have disconnected
	_, _ = w.Write(bytes.Repeat([]byte{'x'}, size)) // the client may have disconnected
}

// endlessResponse is the beginning of a response and the part that is repeated without end.
type endlessResponse struct{ first, again string }

// endlessBody is one that is well-formed.
var endlessBody = endlessResponse{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"}

var endlessResponses = []endlessResponse{
	{"HTTP/1.1 200 ", "a"},
	{"", "no answer "},
	{"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
	{"HTTP/1.1 200 OK\r\n", "X-Line: a\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Trailer: a\r\n"},
	endlessBody,
}

// endlessTimeout limits the time of an endless response. The other side must close the
// connection before.
const endlessTimeout = 30 * time.Second

// sendEndless sends endlessBody, or one of endlessResponses, chosen at random.
func sendEndless(w http.ResponseWriter, body bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()                  // the connection can't be reused
	_ = conn.SetDeadline(time.Now().Add(endlessTimeout)) // if it fails, the connection is closed and the writes fail too
	s := endlessResponses[rand.IntN(len(endlessResponses))]
	if body {
		s = endlessBody
	}
	_, err = io.WriteString(conn, s.first)
	for part := []byte(strings.Repeat(s.again, endlessChunkBytes/len(s.again))); err == nil; {
		_, err = conn.Write(part)
	}
}

// endlessChunkBytes is the size of each write of an endless response.
const endlessChunkBytes = 4 << 10

// setLoadHeaderWithoutCurrent sets the load header without counting the current request.
func (r *Responder) setLoadHeaderWithoutCurrent(w http.ResponseWriter) {
	r.load.Add(-1)
	r.setLoadHeader(w)
	r.load.Add(1)
}
