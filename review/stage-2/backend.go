package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend began to work on.
type run struct {
	at                        time.Time
	backend, id, method, path string
}

// runs collects the runs of all backends.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// backend is a stand-in backend that follows the pages.
type backend struct {
	id, service, zone, address string
	born                       int64
	slots                      int
	work                       time.Duration
	// loses tells of a run whether its answer is lost: the connection is reset.
	loses    func(n int64) bool
	handled  atomic.Int64
	running  atomic.Int64
	draining atomic.Bool
	sequence atomic.Uint64
	runs     *runs
	record   *record
	controls []string
	server   *http.Server
	stop     context.CancelFunc
}

// start serves requests and sends status reports.
func (b *backend) start(ctx context.Context) error {
	b.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	ctx, b.stop = context.WithCancel(ctx)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }() // ends with the server
	go b.beat(ctx)
	return nil
}

// crash ends the backend without a word.
func (b *backend) crash() {
	b.stop()
	_ = b.server.Close() // requests in progress are cut, as in a crash
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Backend-Load", fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.runs.add(run{time.Now(), b.id, id, r.Method, r.RequestURI})
	b.record.add("backend %s of %s runs %s %s, id %s", b.id, b.service, r.Method, r.RequestURI, id)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	if b.loses != nil && b.loses(b.handled.Add(1)) {
		b.record.add("backend %s loses its answer to id %s", b.id, id)
		reset(w)
		return
	}
	answer := []byte(fmt.Sprintf("%s has run %s %s\n%s", b.id, r.Method, r.RequestURI, body))
	w.Header().Set("X-Response-Seal", "seal."+b.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // the system may have left
}

// reset ends the connection of a request by a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed all the same
	}
	_ = conn.Close() // it has no further use
}

// beat sends a status report each heartbeat.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if !b.draining.Load() {
			b.report(ctx, "ready")
		}
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// report sends one status report, to one node after the other until one acknowledges it.
func (b *backend) report(ctx context.Context, state string) (node string, ok bool) {
	sequence := b.sequence.Add(1)
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": state, "warmup_left": "0ms", "sequence": sequence, "born": b.born,
	}) // strings and numbers can always be encoded
	for i := range b.controls {
		node = b.controls[(int(sequence)+i)%len(b.controls)]
		if status, _, err := post(ctx, node, "/api/Backends.Heartbeat/"+b.id, body); err == nil && status/100 == 2 {
			return node, true
		}
	}
	return "", false
}

// controlClient opens a connection for each call; a call waits a second at most.
var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probeClient is that of the platform's probe.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends one call to a node that serves control.
func post(ctx context.Context, node, path string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
