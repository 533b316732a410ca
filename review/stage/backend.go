package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a stand-in server as PROTOCOL.md describes it. It answers status checks at once,
// runs a request in a slot for its work time, and rejects what it has no room for.
type Backend struct {
	d       *Deployment
	Service string
	ID      string
	Address string
	Zone    string
	Slots   int
	// TellsLoad is set for a backend that adds X-Backend-Load.
	TellsLoad bool
	Work      func(r *http.Request) time.Duration
	// Node returns the index of the machine that the next call goes to.
	Node func() int
	// Arrived is called when a request reaches the backend and isn't rejected.
	Arrived func(b *Backend, r *http.Request, at time.Time)

	born     int64
	sequence atomic.Int64
	server   *http.Server
	slots    chan struct{}
	load     atomic.Int64

	mu       sync.Mutex
	draining bool
	// confirmedAt is when its leave was confirmed; zero before.
	confirmedAt time.Time
	stop        context.CancelFunc
}

// queueLength is how many requests wait for a slot at most.
const queueLength = 12

// StartBackend starts a stand-in server.
func StartBackend(b *Backend) error {
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.slots = make(chan struct{}, b.Slots)
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	b.Announce()
	return nil
}

// Announce begins the status reports, and returns a function that ends them.
func (b *Backend) Announce() (stop func()) {
	b.born = time.Now().UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go b.beat(ctx)
	return cancel
}

// beat sends a status report each heartbeat.
func (b *Backend) beat(ctx context.Context) {
	for {
		b.Report("ready")
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.d.terms.Heartbeat):
		}
	}
}

// Report sends a status report to one machine after the other until one confirms it.
func (b *Backend) Report(state string) bool {
	return b.call("/api/Backends.Heartbeat/"+b.ID, func() string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`,
			b.Service, b.Address, b.Zone, b.Slots, state, b.sequence.Add(1), b.born)
	})
}

func (b *Backend) call(path string, body func() string) bool {
	for range 2 * len(b.d.Cores) {
		m := b.d.Cores[b.Node()%len(b.d.Cores)]
		text := body()
		status, _ := b.d.Post(m, path, text)
		b.d.record.Printf("%s: %s %s to %s: %d", b.ID, path, text, m.Name, status)
		if status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

// Deregister says that the backend leaves, as one that never reports draining, and serves on.
func (b *Backend) Deregister() bool {
	b.stop()
	ok := b.call("/api/Backends.Deregister/"+b.ID, func() string { return fmt.Sprintf(`{"born":%d}`, b.born) })
	b.noteLeave(ok)
	return ok
}

// Drain reports that the backend is draining, and serves on.
func (b *Backend) Drain() bool {
	b.stop()
	ok := b.Report("draining")
	b.noteLeave(ok)
	return ok
}

func (b *Backend) noteLeave(confirmed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	if confirmed && b.confirmedAt.IsZero() {
		b.confirmedAt = time.Now()
	}
}

// ConfirmedAt returns when the leave of the backend was confirmed.
func (b *Backend) ConfirmedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmedAt
}

// Exit ends the backend.
func (b *Backend) Exit() {
	b.stop()
	_ = b.server.Close()
}

func (b *Backend) leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// ServeHTTP answers status checks and runs requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.ID)
	if b.TellsLoad {
		w.Header().Set("X-Backend-Load", b.loadHeader())
	}
	if b.leaving() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if b.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.load.Add(1) > int64(b.Slots+queueLength) {
		b.load.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.load.Add(-1)
	if b.Arrived != nil {
		b.Arrived(b, r, at)
	}
	b.run(w, r, id, len(body))
}

func (b *Backend) loadHeader() string {
	running := len(b.slots)
	return strconv.Itoa(running) + "," + strconv.Itoa(max(0, int(b.load.Load())-running)) + "," + strconv.Itoa(b.Slots) + ",100"
}

// run works on a request, unless its connection closes or its deadline passes.
func (b *Backend) run(w http.ResponseWriter, r *http.Request, id string, size int) {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.d.record.Printf("%s: runs %s (%s, %d bytes)", b.ID, id, r.URL.Path, size)
	select {
	case <-time.After(b.Work(r)):
	case <-ctx.Done():
		b.d.record.Printf("%s: ends %s early (%v)", b.ID, id, context.Cause(ctx))
		if r.Context().Err() != nil {
			return
		}
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/plain")
	text := "answer to " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	b.d.record.Printf("%s: has answered %s", b.ID, id)
}
