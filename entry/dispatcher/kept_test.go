package dispatcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/validator"
)

// callsAtOnce is the number of calls whose memory is measured together, and bytesOfAttempt the most that one attempt of a call may
// keep of its endpoint's bytes: several times the limits of headers and buffered bodies, as decoded headers take more.
const (
	callsAtOnce    = 50
	bytesOfAttempt = 768 << 10
)

// configureKinds applies a document with a repeatable route and one with keys, both with a short deadline.
func (f *fixture) configureKinds(addresses ...string) {
	route := func(prefix string, execution validator.Execution) validator.Route {
		return validator.Route{PathPrefix: prefix, Execution: execution, DeadlineMs: int(routeDeadline.Milliseconds()), Class: validator.ClassInteractive}
	}
	service := validator.Service{Name: "s", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
		route("/", validator.ExecutionRepeatable), route("/once", validator.ExecutionOnceOnly),
	}}
	f.Configure(validator.Document{Services: []validator.Service{service}})
	endpoints := endpointsAt(addresses)
	for i := range endpoints {
		endpoints[i].Slots = 1000 // all calls run at once
	}
	f.Handle("s", balancer.Reconfigured{Service: service, Endpoints: endpoints, Entries: 1})
}

// mostHeap returns by how much the heap grew at most while all of a number of calls ran.
func mostHeap(calls int, run func(call int)) int64 {
	runtime.GC()
	before := heapInUse()
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range calls {
		group.Go(func() { run(i) })
	}
	go func() {
		group.Wait()
		close(done)
	}()
	most := before
	for {
		select {
		case <-done:
			return int64(most) - int64(before)
		case <-time.After(10 * time.Millisecond):
			most = max(most, heapInUse())
		}
	}
}

// TestWhatAnAttemptKeepsIsBounded guards against an entry that runs out of memory with what endpoints send to hedged calls, to
// calls with a key, and over slow links, where TestHeadsOfManyCallsAreBounded has plain calls.
func TestWhatAnAttemptKeepsIsBounded(t *testing.T) {
	parts := []struct{ name, first string }{
		{"header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("L: a\r\n", 10000)},
		{"a body up to its buffer", chunked + "fc00\r\n" + strings.Repeat("b", 0xfc00) + "\r\n"},
		{"a body and trailers", chunked + "f000\r\n" + strings.Repeat("b", 0xf000) + "\r\n0\r\n" + strings.Repeat("T: a\r\n", 1000)},
	}
	calls := []struct {
		name, method, path string
		endpoints          int
	}{
		{"hedged", http.MethodGet, "/x", 3},
		{"with a key", http.MethodPost, "/once", 1},
	}
	for _, call := range calls {
		for _, part := range parts {
			t.Run(call.name+", "+part.name, func(t *testing.T) {
				var addresses []string
				var requests atomic.Int64
				for range call.endpoints {
					addresses = append(addresses, startStalling(t, part.first, &requests))
				}
				f := newFixture(t)
				f.configureKinds(addresses...)
				grown := mostHeap(callsAtOnce, func(i int) {
					response, err := http.DefaultTransport.RoundTrip(f.request(call.method, call.path, "pack", "Idempotency-Key", fmt.Sprint("k", i)))
					if err != nil {
						return // cut off at its deadline
					}
					_, _ = io.Copy(io.Discard, response.Body) // nor is its end
					_ = response.Body.Close()
				})
				assert.Check(t, grown <= requests.Load()*bytesOfAttempt, "the heap grew by %d bytes", grown)
				assert.Check(t, requests.Load() >= callsAtOnce*9/10, "only %d attempts", requests.Load())
				t.Logf("%d attempts, %d KiB each", requests.Load(), grown/requests.Load()>>10)
			})
		}
	}
}

// TestBodyWithoutEndWaitsForItsCaller guards against an entry that keeps a body without end for callers that don't read, or read
// slowly: of each it keeps what its buffers hold.
func TestBodyWithoutEndWaitsForItsCaller(t *testing.T) {
	for _, pace := range []time.Duration{0, 50 * time.Millisecond} {
		t.Run(fmt.Sprint("pause ", pace), func(t *testing.T) {
			e := newEndlessEndpoint(t, chunked, "400\r\n"+strings.Repeat("b", 0x400)+"\r\n", false)
			f := newFixture(t)
			f.configureKinds(e.address)
			grown := mostHeap(callsAtOnce, func(int) {
				conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				buffer := make([]byte, 1<<10)
				for end := time.Now().Add(2 * routeDeadline); time.Now().Before(end); time.Sleep(max(pace, 10*time.Millisecond)) {
					if pace == 0 {
						continue
					}
					if _, err := conn.Read(buffer); err != nil {
						return
					}
				}
			})
			assert.Check(t, grown <= callsAtOnce*bytesOfAttempt, "the heap grew by %d bytes", grown)
			assert.Check(t, e.requests.Load() >= callsAtOnce/2, "only %d calls reached the endpoint", e.requests.Load())
			t.Logf("%d KiB a call", grown/callsAtOnce>>10)
		})
	}
}
