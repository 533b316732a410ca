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

// Bounds of what an endpoint that sends without end may cost.
const (
	// routeTime is the deadline of the test's route.
	routeTime = time.Second
	// closeTime is how soon a connection is closed once its answer is of no use any more.
	closeTime = 500 * time.Millisecond
	// idleTime is how soon one is closed on which bytes come after a whole answer: such
	// connections are looked at each five seconds.
	idleTime = 6 * time.Second
	// memoryBound is how much more memory a stream without end may take.
	memoryBound = 32 << 20
	// slowPause is the pause between two bytes of a slow endpoint.
	slowPause = 100 * time.Millisecond
)

const (
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	whole   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// outcome is what a caller may get.
type outcome uint8

const (
	// refused is an answer of the entry's own, with a status of 500 or above.
	refused outcome = iota
	// broken is an answer that breaks off visibly.
	broken
	// answered is the whole answer.
	answered
)

// endless are ways to send bytes without end: what comes first, and what is repeated.
var endless = []struct {
	name, first, again string
	want               outcome
}{
	{"a status line", "HTTP/1.1 200 ", "a", refused},
	{"no status line", "", "a\x00b", refused},
	{"empty lines", "", "\r\n", refused},
	{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a", refused},
	{"many header lines", "HTTP/1.1 200 OK\r\n", "X-Line: a\r\n", refused},
	{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", refused},
	{"a chunk's size", chunked, "0", refused},
	{"a chunk's extension", chunked + "5;", "a", refused},
	{"one trailer", chunked + "2\r\nok\r\n0\r\nX-Trailer: ", "a", refused},
	{"many trailers", chunked + "2\r\nok\r\n0\r\n", "X-Trailer: a\r\n", refused},
	{"chunks", chunked, "1\r\na\r\n", broken},
	{"a body up to the end of its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a", broken},
	{"bytes past a body", whole, "x", answered},
	{"answers that nobody asked for", whole, whole, answered},
}

// talker is an endpoint that answers each request with bytes without end.
type talker struct {
	address      string
	first, again string
	slow         bool
	requests     atomic.Int64
	// ended gets the time at which each connection could not be written to any more.
	ended chan time.Time
}

func newTalker(t *testing.T, first, again string, slow bool) *talker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &talker{address: listener.Addr().String(), first: first, again: again, slow: slow, ended: make(chan time.Time, 1000)}
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { e.talk(conn) })
		}
	})
	return e
}

// talk answers one request on a connection, without end.
func (e *talker) talk(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	e.requests.Add(1)
	if e.slow {
		e.drip(conn)
	} else {
		e.pour(conn)
	}
	e.ended <- time.Now()
}

// pour sends at full speed.
func (e *talker) pour(conn net.Conn) {
	part := []byte(strings.Repeat(e.again, 1+(16<<10)/len(e.again)))
	_, err := io.WriteString(conn, e.first)
	for err == nil {
		_, err = conn.Write(part)
	}
}

// drip sends the beginning at once, and what follows byte by byte.
func (e *talker) drip(conn net.Conn) {
	_, err := io.WriteString(conn, e.first)
	for i := 0; err == nil; i++ {
		time.Sleep(slowPause)
		_, err = conn.Write([]byte{e.again[i%len(e.again)]})
	}
}

// withRoute puts a service with a short deadline in force, with these endpoints.
func (f *fixture) withRoute(addresses ...string) {
	service := validator.Service{Name: "s", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
		{PathPrefix: "/", DeadlineMs: int(routeTime.Milliseconds()), Class: validator.ClassInteractive},
	}}
	f.Configure(validator.Document{Services: []validator.Service{service}})
	f.Handle("s", balancer.Reconfigured{Service: service, Endpoints: endpointsAt(addresses), Entries: 1})
}

// ask sends a request and returns what the caller gets, and its whole body.
func (f *fixture) ask(ctx context.Context) (outcome, string) {
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
	return answered, body.String()
}

// forEachTalker runs a test for each way of sending without end, fast and slow.
func forEachTalker(t *testing.T, test func(t *testing.T, e *talker, want outcome)) {
	for _, tt := range endless {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %t", tt.name, slow), func(t *testing.T) {
				t.Parallel()
				want := tt.want
				if slow && want == broken {
					want = refused // nothing of it was passed on within the route's time
				}
				test(t, newTalker(t, tt.first, tt.again, slow), want)
			})
		}
	}
}

// TestBytesWithoutEndAreBoundInTime asserts that the caller has an answer within the route's
// time, and that the connection to the endpoint is closed soon after that.
func TestBytesWithoutEndAreBoundInTime(t *testing.T) {
	forEachTalker(t, func(t *testing.T, e *talker, want outcome) {
		f := newFixture(t)
		f.withRoute(e.address)
		start := time.Now()
		got, body := f.ask(t.Context())
		assert.Equal(t, got, want)
		most := routeTime + closeTime
		if want == answered {
			assert.Equal(t, body, "ok")
			most = idleTime
		} else {
			assert.Assert(t, time.Since(start) < most, "%s", time.Since(start))
		}
		for range e.requests.Load() {
			select {
			case ended := <-e.ended:
				assert.Assert(t, ended.Sub(start) < most, "closed after %s", ended.Sub(start))
			case <-time.After(time.Until(start.Add(most))):
				t.Fatalf("a connection is open after %s", most)
			}
		}
	})
}

// TestBytesWithoutEndStopWhenTheCallerLeaves asserts that nothing is read for a caller who has
// gone.
func TestBytesWithoutEndStopWhenTheCallerLeaves(t *testing.T) {
	forEachTalker(t, func(t *testing.T, e *talker, want outcome) {
		if want == answered {
			return // the caller has its answer before it leaves
		}
		f := newFixture(t)
		f.withRoute(e.address)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		f.ask(ctx)
		left := time.Now()
		for range e.requests.Load() {
			select {
			case <-e.ended:
			case <-time.After(time.Until(left.Add(closeTime))):
				t.Fatalf("a connection is open %s after the caller has left", closeTime)
			}
		}
	})
}

// TestBytesWithoutEndAreSentAgain puts a sound endpoint beside one that sends without end at
// full speed: callers get its answers, all of them their own, and the other soon gets little.
func TestBytesWithoutEndAreSentAgain(t *testing.T) {
	for _, tt := range endless {
		if tt.want != refused {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := newTalker(t, tt.first, tt.again, false)
			sound := endpoint(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("X-Mark")) })
			f := newFixture(t)
			f.withRoute(sound, e.address)
			const calls = 60
			for i := range calls {
				mark := fmt.Sprint("mark-", i)
				response, body := f.do(f.request(http.MethodGet, "/x", "", "X-Mark", mark))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, mark)
			}
			assert.Assert(t, e.requests.Load() <= calls/4, "%d of %d went to the endpoint that never ends", e.requests.Load(), calls)
		})
	}
}

// TestBytesWithoutEndAreBoundInMemoryAndWork lets all kinds come at once and asserts what
// they cost the process.
func TestBytesWithoutEndAreBoundInMemoryAndWork(t *testing.T) {
	for _, slow := range []bool{true, false} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		work := processorTime(t)
		var group sync.WaitGroup
		for _, tt := range endless {
			if !slow && tt.want != refused {
				continue // the caller reads those at full speed, and pays for them
			}
			f := newFixture(t)
			f.withRoute(newTalker(t, tt.first, tt.again, slow).address)
			group.Go(func() { f.ask(t.Context()) })
		}
		group.Wait()
		work = processorTime(t) - work
		runtime.ReadMemStats(&after)
		if slow {
			assert.Assert(t, work < routeTime/2, "%s of processor time", work)
		}
		assert.Assert(t, int64(after.HeapInuse)-int64(before.HeapInuse) < memoryBound, "%d bytes", after.HeapInuse-before.HeapInuse)
	}
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestQuestionsAreBound asks endpoints that send without end for their load: no question
// outlasts its deadline, and its connection is closed.
func TestQuestionsAreBound(t *testing.T) {
	const wait = 50 * time.Millisecond
	forEachTalker(t, func(t *testing.T, e *talker, want outcome) {
		f := newFixture(t)
		f.withRoute(e.address)
		l := f.lane("s")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		l.forwarder.Probe(ctx, balancer.Probe{Endpoint: "e0", Address: e.address})
		assert.Assert(t, time.Since(start) < wait+closeTime, "%s", time.Since(start))
		most := wait + closeTime
		if want == answered {
			most = idleTime
		}
		select {
		case <-e.ended:
		case <-time.After(time.Until(start.Add(most))):
			t.Fatalf("the connection is open after %s", most)
		}
	})
}
