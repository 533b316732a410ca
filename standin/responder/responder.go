// Package responder is a stand-in for an endpoint: it announces itself, has slots
// and a queue, and can be told to misbehave. It keeps a record of every run.
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

// Settings say what the endpoint announces.
type Settings struct {
	Service  string
	Endpoint string
	Address  string
	// Advertise is the address that is announced; empty means Address.
	Advertise   string
	DataCentre  string
	Slots       int
	Connections int
	// Entries are the addresses that announcements go to, in turn.
	Entries     []string
	AnnounceKey string
	Behaviour   Behaviour
	// Record gets a line with the key of each run, as it happens, the X-Sending header that
	// came with it, and "endless" where its answer will never end.
	Record io.Writer
}

const (
	renewalInterval = 5 * time.Second
	// retryInterval is how soon an announcement that no entry took is made again.
	retryInterval   = 200 * time.Millisecond
	announceTimeout = time.Second
	maxRuns         = 2_000_000
)

// Responder is one stand-in endpoint.
type Responder struct {
	settings    Settings
	behaviour   atomic.Pointer[Behaviour]
	started     time.Time
	incarnation uint64
	listener    *listener
	server      *http.Server

	slots    chan struct{}
	load     atomic.Int64
	admitted atomic.Int64
	sequence atomic.Uint64
	history  history

	mu sync.Mutex
	// runs counts how often each request was run, by its key.
	runs      map[string]int
	nextEntry int
}

// New returns a stand-in endpoint that listens at its address.
func New(s Settings) (*Responder, error) {
	raw, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s.Address = raw.Addr().String()
	r := &Responder{
		settings:    s,
		started:     time.Now(),
		incarnation: uint64(time.Now().UnixNano()),
		listener:    newListener(raw),
		slots:       make(chan struct{}, s.Slots),
		runs:        make(map[string]int),
	}
	r.behaviour.Store(&s.Behaviour)
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: announceTimeout, IdleTimeout: time.Minute}
	return r, nil
}

// Address returns where the endpoint listens.
func (r *Responder) Address() string { return r.settings.Address }

// Run serves and announces until the context ends, then says goodbye.
func (r *Responder) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { _ = r.server.Serve(r.listener) }) // ends with the server
	r.announceLoop(ctx)
	deregisterCtx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	r.announce(deregisterCtx, http.MethodDelete)
	_ = r.server.Close() // a stand-in may cut connections
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

// SetBehaviour replaces the behaviour and announces it, and reports whether an entry took that.
func (r *Responder) SetBehaviour(ctx context.Context, b Behaviour) bool {
	r.behaviour.Store(&b)
	return r.announce(ctx, http.MethodPut)
}

// SilenceConnections makes the connections that are open go silent.
func (r *Responder) SilenceConnections() int { return r.listener.silenceAll() }

// Runs returns how often each key was run.
func (r *Responder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string]int, len(r.runs))
	for key, n := range r.runs {
		runs[key] = n
	}
	return runs
}

// Load returns the number of requests running or waiting.
func (r *Responder) Load() int { return int(r.load.Load()) }

func (r *Responder) state() string {
	if r.behaviour.Load().Draining {
		return "draining"
	}
	return "serving"
}

// announcement is the body of an announcement.
type announcement struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Load        int    `json:"load"`
}

// announce tries the entries in turn until one takes it.
func (r *Responder) announce(ctx context.Context, method string) bool {
	body, err := json.Marshal(announcement{
		Address: cmp.Or(r.settings.Advertise, r.settings.Address), DataCentre: r.settings.DataCentre, Slots: r.settings.Slots,
		Connections: r.settings.Connections, State: r.state(), Incarnation: r.incarnation,
		Sequence: r.sequence.Add(1), Load: r.Load(),
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
	_, _ = io.Copy(io.Discard, response.Body) // for the connection's sake
	_ = response.Body.Close()                 // read to its end
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
	r.SetBehaviour(req.Context(), b)
}

func (r *Responder) handleSilence(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, r.SilenceConnections()) // goes silent itself
}

func (r *Responder) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(r.Runs()) // the asker may have gone
}

func (r *Responder) handleConnections(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, r.listener.openCount()) // the asker may have gone
}

func (r *Responder) handleProbe(w http.ResponseWriter, _ *http.Request) {
	b := r.behaviour.Load()
	time.Sleep(time.Duration(b.ServiceMs * float64(time.Millisecond)))
	r.setLoadHeader(w)
	w.WriteHeader(http.StatusNoContent)
}

// setLoadHeader sets the load header, as late and as wrong as the behaviour says.
func (r *Responder) setLoadHeader(w http.ResponseWriter) {
	b := r.behaviour.Load()
	load := r.history.loadAt(time.Now().Add(-time.Duration(b.LoadDelayMs)*time.Millisecond), r.Load())
	value := "load=" + strconv.Itoa(max(0, load+b.LoadOffset))
	if !b.NoState {
		value += ", state=" + r.state()
	}
	w.Header().Set("Endpoint-Load-Metrics", value)
}

func (r *Responder) refuse(w http.ResponseWriter) {
	r.setLoadHeader(w)
	w.Header().Set("Comfreyplank-Outcome", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleCall runs a request: it waits for a slot, is busy for the service time, and
// answers with what it was asked.
func (r *Responder) handleCall(w http.ResponseWriter, req *http.Request) {
	b := r.behaviour.Load()
	switch {
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
	defer r.leaveLoad()
	if !r.execute(req, *b) {
		return
	}
	r.respond(w, req, *b, body)
}

// leaveLoad counts a request out, before its answer is sent.
func (r *Responder) leaveLoad() { r.history.record(time.Now(), int(r.load.Add(-1))) }

// execute holds a slot for the service time. A request cancelled while it waits is not
// execute.
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
		_, _ = fmt.Fprintln(r.settings.Record, key, req.Header.Get("X-Sending"), kind) // the reader finds it missing
	}
}

// respond echoes the caller's mark and body, and as many bytes more as were asked
// for.
func (r *Responder) respond(w http.ResponseWriter, req *http.Request, b Behaviour, body []byte) {
	size, _ := strconv.Atoi(req.URL.Query().Get("bytes"))
	text := []byte(fmt.Sprintf("%s %s %s\n", r.settings.Endpoint, req.Header.Get("X-Mark"), body))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+size))
	r.setLoadHeaderWithoutCurrent(w)
	if b.Endless {
		r.sendEndless(w)
		return
	}
	if b.HalfResponse {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)                            // the asker may have gone
	_, _ = w.Write(bytes.Repeat([]byte{'x'}, size)) // the asker may have gone
}

// endlessResponses are beginnings of answers, each with what follows without end.
var endlessResponses = []struct{ first, again string }{
	{"HTTP/1.1 200 ", "a"},
	{"", "no answer "},
	{"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
	{"HTTP/1.1 200 OK\r\n", "X-Line: a\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Trailer: a\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
}

// endlessTimeout bounds an answer without end: the other side must have closed by then.
const endlessTimeout = 30 * time.Second

// sendEndless sends bytes without end, one of the streams for each answer.
func (r *Responder) sendEndless(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()                  // nothing can follow on it
	_ = conn.SetDeadline(time.Now().Add(endlessTimeout)) // a closed connection ends the writes too
	s := endlessResponses[rand.IntN(len(endlessResponses))]
	_, err = io.WriteString(conn, s.first)
	for part := []byte(strings.Repeat(s.again, endlessChunkBytes/len(s.again))); err == nil; {
		_, err = conn.Write(part)
	}
}

// endlessChunkBytes is how much is written at once.
const endlessChunkBytes = 4 << 10

// setLoadHeaderWithoutCurrent reports the load without the request that is being answered.
func (r *Responder) setLoadHeaderWithoutCurrent(w http.ResponseWriter) {
	r.load.Add(-1)
	r.setLoadHeader(w)
	r.load.Add(1)
}
