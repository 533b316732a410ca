package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/validator"
)

// Limits on the cost of an endpoint that sends without end.
const (
	// routeDeadline is the deadline of the test's route.
	routeDeadline = time.Second
	// closeTime is how soon a connection must be closed once its response is no longer needed.
	closeTime = 500 * time.Millisecond
	// idleCloseTime is how soon a connection must be closed if bytes arrive on it after a
	// complete response: idle connections are checked every five seconds.
	idleCloseTime = 6 * time.Second
	// memoryLimit is how much memory all endless streams together may add.
	memoryLimit = 32 << 20
	// slowInterval is the pause between two bytes of a slow endpoint.
	slowInterval = 100 * time.Millisecond
)

const (
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// outcome classifies what a caller gets.
type outcome uint8

const (
	// refused is a response of the entry itself, with a status of 500 or above.
	refused outcome = iota
	// broken is a response that visibly breaks off.
	broken
	// succeeded is the complete response.
	succeeded
)

// endlessResponses are ways to send bytes without end: the first part, and the part that is
// repeated.
var endlessResponses = []struct {
	name, first, repeated string
	want                  outcome
}{
	{"status line", "HTTP/1.1 200 ", "a", refused},
	{"no status line", "", "a\x00b", refused},
	{"empty lines", "", "\r\n", refused},
	{"single header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a", refused},
	{"many header lines", "HTTP/1.1 200 OK\r\n", "X-Line: a\r\n", refused},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", refused},
	{"continue", "", "HTTP/1.1 100 Continue\r\n\r\n", refused},
	{"informational responses with long headers", "", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: a\r\n", 1000) + "\r\n", refused},
	{"chunk size", chunked, "0", refused},
	{"chunk extension", chunked + "5;", "a", refused},
	{"single trailer", chunked + "2\r\nok\r\n0\r\nX-Trailer: ", "a", refused},
	{"many trailers", chunked + "2\r\nok\r\n0\r\n", "X-Trailer: a\r\n", refused},
	{"chunks", chunked, "1\r\na\r\n", broken},
	{"body delimited by the end of the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a", broken},
	{"bytes after a complete body", complete, "x", succeeded},
	{"unsolicited responses", complete, complete, succeeded},
}

// endlessEndpoint is an endpoint that responds to each request with bytes without end.
type endlessEndpoint struct {
	address         string
	first, repeated string
	slow            bool
	requests        atomic.Int64
	// closedAt receives the time at which writing to a connection failed, for each connection.
	closedAt chan time.Time
}

func newEndlessEndpoint(t *testing.T, first, repeated string, slow bool) *endlessEndpoint {
	t.Helper()
	e := &endlessEndpoint{first: first, repeated: repeated, slow: slow, closedAt: make(chan time.Time, 1000)}
	e.address = serveConnections(t, e.serve)
	return e
}

// serve reads one request on a connection and responds without end.
func (e *endlessEndpoint) serve(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	e.requests.Add(1)
	if e.slow {
		e.writeSlowly(conn)
	} else {
		e.writeFast(conn)
	}
	e.closedAt <- time.Now()
}

// writeFast sends at full speed.
func (e *endlessEndpoint) writeFast(conn net.Conn) {
	part := []byte(strings.Repeat(e.repeated, 1+(16<<10)/len(e.repeated)))
	_, err := io.WriteString(conn, e.first)
	for err == nil {
		_, err = conn.Write(part)
	}
}

// writeSlowly sends the first part at once, and the repeated part byte by byte.
func (e *endlessEndpoint) writeSlowly(conn net.Conn) {
	_, err := io.WriteString(conn, e.first)
	for i := 0; err == nil; i++ {
		time.Sleep(slowInterval)
		_, err = conn.Write([]byte{e.repeated[i%len(e.repeated)]})
	}
}

// configureRoute applies a document with a route of a short deadline, and sets the service's
// endpoints.
func (f *fixture) configureRoute(addresses ...string) {
	service := validator.Service{Name: "s", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
		{PathPrefix: "/", DeadlineMs: int(routeDeadline.Milliseconds()), Class: validator.ClassInteractive},
	}}
	f.Configure(validator.Document{Services: []validator.Service{service}})
	f.Handle("s", balancer.Reconfigured{Service: service, Endpoints: endpointsAt(addresses), Entries: 1})
}

// get sends a request and returns the outcome and the start of the response body.
func (f *fixture) get(ctx context.Context) (outcome, string) {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(f.request(http.MethodGet, "/x", "").WithContext(ctx))
	if err != nil {
		return broken, ""
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusInternalServerError {
		return refused, ""
	}
	var body strings.Builder
	if _, err := io.Copy(&body, io.LimitReader(response.Body, 1<<10)); err != nil {
		return broken, ""
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return broken, ""
	}
	return succeeded, body.String()
}

// forEachEndlessEndpoint runs a test for each way of sending without end, fast and slow.
func forEachEndlessEndpoint(t *testing.T, test func(t *testing.T, e *endlessEndpoint, want outcome)) {
	for _, tt := range endlessResponses {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %t", tt.name, slow), func(t *testing.T) {
				t.Parallel()
				want := tt.want
				if slow && want == broken {
					want = refused // nothing was passed on within the route's deadline
				}
				test(t, newEndlessEndpoint(t, tt.first, tt.repeated, slow), want)
			})
		}
	}
}

// TestEndlessResponsesAreBoundedInTime checks that the caller gets a response within the
// route's deadline, and that the connection to the endpoint is closed soon after that.
func TestEndlessResponsesAreBoundedInTime(t *testing.T) {
	forEachEndlessEndpoint(t, func(t *testing.T, e *endlessEndpoint, want outcome) {
		f := newFixture(t)
		f.configureRoute(e.address)
		start := time.Now()
		got, body := f.get(t.Context())
		assert.Equal(t, got, want)
		limit := routeDeadline + closeTime
		if want == succeeded {
			assert.Equal(t, body, "ok")
			limit = idleCloseTime
		} else {
			assert.Assert(t, time.Since(start) < limit, "%s", time.Since(start))
		}
		for range e.requests.Load() {
			select {
			case closedAt := <-e.closedAt:
				assert.Assert(t, closedAt.Sub(start) < limit, "closed after %s", closedAt.Sub(start))
			case <-time.After(time.Until(start.Add(limit))):
				t.Fatalf("a connection is still open after %s", limit)
			}
		}
	})
}

// TestEndlessResponsesStopWhenTheCallerDisconnects checks that nothing more is read for a
// caller that has disconnected.
func TestEndlessResponsesStopWhenTheCallerDisconnects(t *testing.T) {
	forEachEndlessEndpoint(t, func(t *testing.T, e *endlessEndpoint, want outcome) {
		if want == succeeded {
			return // the caller gets its response before it disconnects
		}
		f := newFixture(t)
		f.configureRoute(e.address)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		f.get(ctx)
		disconnectedAt := time.Now()
		for range e.requests.Load() {
			select {
			case <-e.closedAt:
			case <-time.After(time.Until(disconnectedAt.Add(closeTime))):
				t.Fatalf("a connection is still open %s after the caller disconnected", closeTime)
			}
		}
	})
}

// TestRequestsAreRetriedAfterEndlessResponses runs a healthy endpoint next to one sending
// without end at full speed: each caller gets the healthy endpoint's response to its own
// request, and the other endpoint soon gets few requests.
func TestRequestsAreRetriedAfterEndlessResponses(t *testing.T) {
	for _, tt := range endlessResponses {
		if tt.want != refused {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := newEndlessEndpoint(t, tt.first, tt.repeated, false)
			healthy := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("X-Mark")) })
			f := newFixture(t)
			f.configureRoute(healthy, e.address)
			const calls = 60
			for i := range calls {
				mark := fmt.Sprint("mark-", i)
				response, body := f.do(f.request(http.MethodGet, "/x", "", "X-Mark", mark))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, mark)
			}
			assert.Assert(t, e.requests.Load() <= calls/4, "%d of %d requests went to the endless endpoint", e.requests.Load(), calls)
		})
	}
}

// TestEndlessResponsesAreBoundedInMemoryAndCPU runs all kinds at once and checks their cost to
// the process.
func TestEndlessResponsesAreBoundedInMemoryAndCPU(t *testing.T) {
	for _, slow := range []bool{true, false} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		used := cpuTime(t)
		var group sync.WaitGroup
		for _, tt := range endlessResponses {
			if !slow && tt.want != refused {
				continue // the caller reads these at full speed, so the cost is its own
			}
			f := newFixture(t)
			f.configureRoute(newEndlessEndpoint(t, tt.first, tt.repeated, slow).address)
			group.Go(func() { f.get(t.Context()) })
		}
		group.Wait()
		used = cpuTime(t) - used
		runtime.ReadMemStats(&after)
		if slow {
			assert.Assert(t, used < routeDeadline/2, "%s of CPU time", used)
		}
		assert.Assert(t, int64(after.HeapInuse)-int64(before.HeapInuse) < memoryLimit, "heap grew by %d bytes", after.HeapInuse-before.HeapInuse)
	}
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestProbesAreBounded probes endpoints that send without end: no probe outlasts its deadline,
// and its connection is closed.
func TestProbesAreBounded(t *testing.T) {
	const timeout = 50 * time.Millisecond
	forEachEndlessEndpoint(t, func(t *testing.T, e *endlessEndpoint, want outcome) {
		f := newFixture(t)
		f.configureRoute(e.address)
		s := f.serviceDispatcher("s")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		s.forwarder.Probe(ctx, balancer.Probe{Endpoint: "e0", Address: e.address})
		assert.Assert(t, time.Since(start) < timeout+closeTime, "%s", time.Since(start))
		limit := timeout + closeTime
		if want == succeeded {
			limit = idleCloseTime
		}
		select {
		case <-e.closedAt:
		case <-time.After(time.Until(start.Add(limit))):
			t.Fatalf("the connection is still open after %s", limit)
		}
	})
}
