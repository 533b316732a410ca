package pipeliner_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// big is a header value that makes a head longer than the server's limit.
var big = strings.Repeat("b", 30<<10)

// sequences are requests on one connection.
var sequences = []struct{ name, text string }{
	{"one", get("/a")},
	{"two", get("/a") + get("/b")},
	{"more than run ahead", strings.Repeat(get("/a"), 30)},
	{"the first is the slowest", get("/sleep:20") + get("/sleep:10") + get("/c")},
	{"HEAD", "HEAD /write:100 HTTP/1.1\r\nHost: h\r\n\r\n" + "HEAD /length:5/status:200/end HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b")},
	{"chunks as the handler writes", get("/a") + get("/write:10/write:3000/flush/write:1/flush/write:9000/write:5") + get("/b")},
	{"longer than the buffer", get("/sleep:10") + get("/write:100000/write:100000") + get("/length:100000/write:100000/end") + get("/b")},
	{"many small writes", get("/a") + get(strings.Repeat("/write:1/flush", 700)) + get("/b")},
	{"trailers", get("/a") + get("/write:5/flush/trailer:x") + get("/b")},
	{"early hints", get("/a") + get("/hints:x/hints:y/write:5") + get("/b")},
	{"no content", get("/a") + get("/status:204/write:5") + get("/status:304") + get("/b")},
	{"content type left out", get("/a") + get("/type/write:5") + get("/b")},
	{"errors in the middle", get("/a") + get("/status:500/write:5") + get("/status:404") + get("/b")},
	{"refusal in the middle", get("/a") + get("/status:503/close") + get("/b")},
	{"too long for its length", get("/a") + get("/length:3/write:5") + get("/b")},
	{"abort in the middle", get("/a") + get("/abort") + get("/b")},
	{"abort after the head", get("/a") + get("/write:5/flush/abort") + get("/b")},
	{"no response", get("/a") + get("/empty") + get("/b")},
	{"a body between", get("/a") + "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nG\n\nE" + get("/b") + get("/c")},
	{"a chunked body between", get("/a") + "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nG\n\nE\r\n0\r\n\r\n" + get("/b") + get("/c")},
	{"a chunked body with a trailer", get("/a") + "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: a\n\nGET /b HTTP/1.1\nHost: h\n\n" + get("/c") + get("/d")},
	{"a body of GET that looks like a request", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 31\r\n\r\nGET /no HTTP/1.1\r\nHost: none\r\n\r\n" + get("/b")},
	{"a body of a later GET", get("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: 32\r\n\r\n" + "GET /no HTTP/1.1\r\nHost: none\r\n\r\n" + get("/b")},
	{"an empty body of GET", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + get("/c")},
	{"blank lines after a body", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi\r\n" + get("/b") + get("/c")},
	{"blank lines between", get("/a") + "\r\n" + get("/b")},
	{"line feeds only", "GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\n\nGET /c HTTP/1.1\r\nHost: h\n\r\n"},
	{"continued lines", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX-Mark: m\r\n \r\n n\r\n\r\n" + get("/c")},
	{"not repeatable", get("/alone/1") + get("/a") + get("/alone/2") + get("/b") + get("/c")},
	{"Expect of a later request", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + get("/c")},
	{"unknown Expect", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n" + get("/c")},
	{"Expect with a body", get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi" + get("/c")},
	{"an upgrade", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + get("/c")},
	{"HTTP/1.0", get("/a") + "GET /b HTTP/1.0\r\n\r\n" + get("/c")},
	{"HTTP/1.0 kept alive", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + "GET /length:5/write:5/end HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/c")},
	{"HTTP/1.2 and 2.0", get("/a") + "GET /b HTTP/1.2\r\nHost: h\r\n\r\n" + "GET /b HTTP/2.0\r\nHost: h\r\n\r\n" + get("/c")},
	{"Connection: close in the middle", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/c")},
	{"Connection: close first", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/b")},
	{"no host", get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c")},
	{"an empty host", get("/a") + "GET /b HTTP/1.1\r\nHost:\r\n\r\n" + get("/c")},
	{"two hosts", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + get("/c")},
	{"a malformed host", get("/a") + "GET /b HTTP/1.1\r\nHost: h i\r\n\r\n" + get("/c")},
	{"an absolute target", get("/a") + "GET http://i/b HTTP/1.1\r\nHost: h\r\n\r\n" + "GET http://i/b HTTP/1.1\r\n\r\n" + get("/c")},
	{"a malformed name", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n" + get("/c")},
	{"a malformed value", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n" + get("/c")},
	{"a malformed line", get("/a") + "GET  /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c")},
	{"an unknown transfer coding", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n" + get("/c")},
	{"a length and a coding", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/c")},
	{"a malformed length", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n" + get("/c")},
	{"a head above the limit", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: " + big + "\r\n\r\n" + get("/c")},
	{"a long head below the limit", get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: " + big[:9000] + "\r\n\r\n" + get("/c")},
	{"OPTIONS *", get("/a") + "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na\n\n" + get("/b") + get("/c")},
	{"OPTIONS * in chunks", get("/a") + "OPTIONS * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: a\n\n" + get("/b") + get("/c") + get("/d")},
	{"other methods", get("/a") + "PUT /b HTTP/1.1\r\nHost: h\r\n\r\n" + "DELETE /c HTTP/1.1\r\nHost: h\r\n\r\n" + "get /d HTTP/1.1\r\nHost: h\r\n\r\n" + get("/e")},
	{"HTTP/2 by prior knowledge", get("/a") + "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + get("/b")},
	{"an incomplete head", get("/a") + get("/b") + "GET /c HTTP/1.1\r\nHos"},
	{"an incomplete body", get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhi"},
	{"not HTTP", "\x16\x03\x01\n\n\n"},
	{"not HTTP later", get("/a") + "\n\n\r\n"},
}

// TestResponsesAreThoseOfTheServer guards against any difference on the wire from a server without a pipeliner, and
// against requests that run although that server would not run them. Each sequence is sent at once, in pieces, and byte by
// byte.
func TestResponsesAreThoseOfTheServer(t *testing.T) {
	for _, tt := range sequences {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			text := []byte(tt.text)
			splits := [][][]byte{{text}, slices.Collect(slices.Chunk(text, 7)), slices.Collect(slices.Chunk(text, 61))}
			if len(text) < 400 {
				splits = append(splits, slices.Collect(slices.Chunk(text, 1)))
			}
			oracle, subject := newServer(t, false, respond), newServer(t, true, respond)
			for _, pieces := range splits {
				compare(t, oracle, subject, pieces)
			}
		})
	}
}

// compare sends the same bytes to a server with a pipeliner and to one without.
func compare(t testing.TB, oracle, subject *server, pieces [][]byte) {
	t.Helper()
	want, wantReset := oracle.exchange(t, pieces...)
	got, gotReset := subject.exchange(t, pieces...)
	// These responses cut or close the connection without notice, and what has started behind them is not delivered.
	aborted := regexp.MustCompile("/abort|/empty|/length:").Match(bytes.Join(pieces, nil))
	if wantReset || gotReset { // the system may have dropped the end of what the server has sent
		common := min(len(got), len(want))
		got, want = got[:common], want[:common]
	}
	if !bytes.Equal(got, want) {
		same := 0
		for same < min(len(got), len(want)) && got[same] == want[same] {
			same++
		}
		t.Fatalf("%.400q:\nafter %d bytes: %.200q\ninstead of: %.200q", bytes.Join(pieces, nil), same, got[same:], want[same:])
	}
	extra := subject.settle(t)
	discarded := subject.discarded.Swap(0)
	assert.Assert(t, aborted || discarded == 0, "%.400q: %d results were thrown away", bytes.Join(pieces, nil), discarded)
	for _, r := range oracle.settle(t) {
		i := slices.Index(extra, r)
		assert.Assert(t, i >= 0, "%q has not run", r)
		extra = slices.Delete(extra, i, i+1)
	}
	for _, r := range extra {
		repeatable := (strings.HasPrefix(r, "GET ") || strings.HasPrefix(r, "HEAD ")) && !strings.Contains(r, " /alone")
		assert.Assert(t, aborted && repeatable, "%q has run in excess", r)
	}
}

// readResponses reads responses to GET requests and returns their bodies.
func readResponses(t *testing.T, c io.Reader, n int) []string {
	t.Helper()
	reader := bufio.NewReader(c)
	var bodies []string
	for range n {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "after %d responses", len(bodies))
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		bodies = append(bodies, string(body))
	}
	return bodies
}

// TestRequestsRunConcurrently guards against requests that wait for the one before them, however they arrive.
func TestRequestsRunConcurrently(t *testing.T) {
	tests := []struct {
		name   string
		pieces []string
	}{
		{"at once", []string{get("/1") + get("/2") + get("/3") + get("/4")}},
		{"one by one", []string{get("/1"), get("/2"), get("/3"), get("/4")}},
		{"in parts", []string{get("/1") + get("/2")[:9], get("/2")[9:] + get("/3") + get("/4")[:20], get("/4")[20:]}},
		{"after a body", []string{"POST /alone HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", get("/1") + get("/2") + get("/3") + get("/4")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var running sync.WaitGroup
			running.Add(4)
			s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/alone" {
					running.Done()
					running.Wait() // no request ends before all four run
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c := s.dial(t)
			var want []string
			for _, p := range tt.pieces {
				if strings.HasPrefix(p, "POST") {
					want = append(want, "/alone")
				}
				_, err := io.WriteString(c, p)
				assert.NilError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
			want = append(want, "/1", "/2", "/3", "/4")
			assert.DeepEqual(t, readResponses(t, c, len(want)), want)
			assert.Equal(t, s.ahead.Load(), int64(3))
			assert.Equal(t, s.discarded.Load(), int64(0))
		})
	}
}

// TestTwoRequestsTakeTheTimeOfOne checks the purpose of pipelining: two requests of 100 ms take about 100 ms.
func TestTwoRequestsTakeTheTimeOfOne(t *testing.T) {
	const took = 100 * time.Millisecond
	s := newServer(t, true, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(w, "ok")
	})
	c := s.dial(t)
	start := time.Now()
	_, err := io.WriteString(c, get("/a")+get("/b"))
	assert.NilError(t, err)
	readResponses(t, c, 2)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed >= took && elapsed < 2*took, "%s", elapsed)
}

// TestRequestsThatMayNotRunAheadRunAlone guards against a request that runs beside another of its connection although
// one of them has a body or an unrepeatable route.
func TestRequestsThatMayNotRunAheadRunAlone(t *testing.T) {
	alone := []string{
		"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		get("/alone"), "PUT /p HTTP/1.1\r\nHost: h\r\n\r\n", "GET /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
		"GET /p HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\n\r\n", "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
	}
	for _, text := range alone {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			var running, violations atomic.Int64
			s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
				n := running.Add(1)
				time.Sleep(20 * time.Millisecond)
				if single := r.URL.Path != "/a"; single && (n > 1 || running.Load() > 1) {
					violations.Add(1)
				}
				_, _ = io.WriteString(w, r.URL.Path)
				running.Add(-1)
			})
			c := s.dial(t)
			_, err := io.WriteString(c, get("/a")+get("/a")+text+get("/a")+get("/a"))
			assert.NilError(t, err)
			readResponses(t, c, 5)
			assert.Equal(t, violations.Load(), int64(0))
			assert.Assert(t, s.ahead.Load() >= 1)
		})
	}
}

// TestBoundsOfAConnection guards against a connection on which more runs or is read ahead than the bounds say, while the
// first request does not end.
func TestBoundsOfAConnection(t *testing.T) {
	const maxAhead, maxRead = 8, 64 << 10
	end := make(chan struct{})
	var running atomic.Int64
	s := newServer(t, true, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-end
		_, _ = io.WriteString(w, "ok")
	})
	c := s.dial(t)
	assert.NilError(t, c.SetWriteBuffer(4<<10))
	request := get("/" + strings.Repeat("x", 1000))
	const requests = 500
	var sent atomic.Int64
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for range requests {
			if _, err := io.WriteString(c, request); !assert.Check(t, err) {
				return
			}
			sent.Add(1)
		}
	})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, running.Load(), int64(1+maxAhead))
	assert.Equal(t, s.pipeliner.Waiting(), maxAhead)
	// The sockets and the server's own buffer hold some more.
	assert.Assert(t, sent.Load()*int64(len(request)) < 2*maxRead, "%d requests were taken", sent.Load())
	close(end)
	readResponses(t, c, requests)
}

// TestManyRequests guards against a connection that stalls, loses or reorders responses under a long pipeline.
func TestManyRequests(t *testing.T) {
	const requests = 10_000
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c := s.dial(t)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for i := range requests {
			if _, err := io.WriteString(c, get(fmt.Sprintf("/%d", i))); !assert.Check(t, err) {
				return
			}
		}
	})
	for i, body := range readResponses(t, c, requests) {
		assert.Equal(t, body, fmt.Sprintf("/%d", i))
	}
	assert.Assert(t, s.ahead.Load() > requests/2, "%d", s.ahead.Load())
	assert.Equal(t, s.discarded.Load(), int64(0))
}

// TestSlowReaderHoldsBack guards against long responses that are buffered as a whole for a caller that does not read, and
// against ones that are not passed on until they are complete.
func TestSlowReaderHoldsBack(t *testing.T) {
	const chunk, chunks = 16 << 10, 1000
	var written [2]atomic.Int64
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		i := int(r.URL.Path[1] - '0')
		for range chunks {
			if _, err := w.Write(bytes.Repeat([]byte{r.URL.Path[1]}, chunk)); !assert.Check(t, err) {
				return
			}
			written[i].Add(chunk)
			_ = http.NewResponseController(w).Flush()
		}
	})
	c := s.dial(t)
	_, err := io.WriteString(c, get("/0")+get("/1"))
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, written[0].Load() < 2<<20, "%d bytes are under way", written[0].Load())
	assert.Assert(t, written[1].Load() <= 64<<10, "%d bytes are buffered", written[1].Load())
	for i, body := range readResponses(t, c, 2) {
		assert.Equal(t, body, strings.Repeat(fmt.Sprint(i), chunk*chunks))
	}
}

// TestLongResponseIsStreamed guards against a response that ran ahead and reaches the caller only when it is complete.
func TestLongResponseIsStreamed(t *testing.T) {
	next := make(chan struct{})
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/b" {
			_ = http.NewResponseController(w).Flush()
			<-next
			_, _ = io.WriteString(w, "end")
		}
	})
	c := s.dial(t)
	_, err := io.WriteString(c, get("/a")+get("/b"))
	assert.NilError(t, err)
	reader := bufio.NewReader(c)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = reader.Discard(len("/a"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	begin := make([]byte, 2)
	_, err = io.ReadFull(response.Body, begin)
	assert.NilError(t, err)
	assert.Equal(t, string(begin), "/b")
	close(next)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "end")
}

// TestCallerThatDisconnectsCancelsItsRequests guards against requests that go on for a caller that has gone, and against
// handlers that wait for a turn which does not come.
func TestCallerThatDisconnectsCancelsItsRequests(t *testing.T) {
	var started, ended sync.WaitGroup
	started.Add(4)
	ended.Add(4)
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		defer ended.Done()
		started.Done()
		if r.URL.Path == "/long" {
			_, err := w.Write(make([]byte, 1<<20))
			assert.Check(t, err != nil)
			return
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	c := s.dial(t)
	_, err := io.WriteString(c, get("/a")+get("/b")+get("/long")+get("/c")+get("/d")[:20])
	assert.NilError(t, err)
	started.Wait()
	assert.NilError(t, c.Close())
	ended.Wait()
	s.settle(t)
	assert.Equal(t, s.discarded.Load(), int64(3))
}

// TestAbortCancelsTheRest guards against requests that go on behind an aborted one, whose connection is cut.
func TestAbortCancelsTheRest(t *testing.T) {
	var started, ended sync.WaitGroup
	started.Add(2)
	ended.Add(2)
	s := newServer(t, true, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			started.Wait()
			panic(http.ErrAbortHandler)
		}
		defer ended.Done()
		started.Done()
		<-r.Context().Done()
	})
	c := s.dial(t)
	_, err := io.WriteString(c, get("/abort")+get("/a")+get("/b"))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	ended.Wait()
	s.settle(t)
}

// TestPlannedStop guards against started requests that a stop leaves without a response, against ones that are started
// during it, and against a stop that does not wait: the response before them does not close the connection, the last does.
func TestPlannedStop(t *testing.T) {
	var stopping atomic.Bool
	release := make(chan struct{})
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
		}
		if stopping.Load() {
			w.Header().Set("Connection", "close") // as the entry's server does
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial(t)
	_, err := io.WriteString(c, get("/first")+get("/a")+get("/b"))
	assert.NilError(t, err)
	for s.pipeliner.Waiting() < 2 || len(s.ran()) < 3 {
		time.Sleep(time.Millisecond)
	}
	s.pipeliner.Stop()
	stopping.Store(true)
	_, err = io.WriteString(c, get("/late"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.keeper.Serving()+s.pipeliner.Waiting(), 3)
	close(release)
	assert.DeepEqual(t, closingResponses(t, c), []bool{false, false, true})
	assert.Assert(t, !slices.Contains(s.ran(), "GET /late "))
}

// closingResponses reads responses until the connection ends, and returns which of them say that it does.
func closingResponses(t *testing.T, c io.Reader) []bool {
	t.Helper()
	var closing []bool
	for reader := bufio.NewReader(c); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			assert.Equal(t, err, io.ErrUnexpectedEOF)
			return closing
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		closing = append(closing, response.Close)
	}
}

// TestClosingResponseIsSentLast guards against a response that closes the connection, as of a refusal, in front of others
// that were started already, and against requests that are started behind it.
func TestClosingResponseIsSentLast(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []bool
	}{
		{"in the middle", get("/sleep:100/a") + get("/close/status:503") + get("/b") + get("/c"), []bool{false, false, false, true}},
		{"the last", get("/sleep:100/a") + get("/b") + get("/close/status:503"), []bool{false, false, true}},
		{"in front of one that runs alone", get("/sleep:100/a") + get("/close/status:503") + get("/b") + get("/alone"), []bool{false, false, true}},
		{"twice", get("/sleep:100/a") + get("/close") + get("/close/status:503") + get("/b"), []bool{false, false, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newServer(t, true, respond)
			c := s.dial(t)
			_, err := io.WriteString(c, tt.text)
			assert.NilError(t, err)
			assert.DeepEqual(t, closingResponses(t, c), tt.want)
			assert.Equal(t, len(s.settle(t)), len(tt.want))
		})
	}
}

// TestResponseThatClosesLeavesTheRestUnread guards against requests that run behind a response that has closed the
// connection.
func TestResponseThatClosesLeavesTheRestUnread(t *testing.T) {
	s := newServer(t, true, respond)
	got, _ := s.exchange(t, []byte(get("/a")+"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/c")+get("/d")))
	assert.Equal(t, strings.Count(string(got), "HTTP/1.1 200 OK"), 2)
	assert.DeepEqual(t, s.ran(), []string{"GET /a ", "GET /b "})
}

// TestPanicIsPassedOn guards against a panic of a handler that ran ahead, which would end the process.
func TestPanicIsPassedOn(t *testing.T) {
	s := newServer(t, true, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/b" {
			panic("a fault")
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	s.http.ErrorLog = log.New(io.Discard, "", 0)
	got, _ := s.exchange(t, []byte(get("/a")+get("/b")+get("/c")))
	assert.Equal(t, strings.Count(string(got), "HTTP/1.1"), 1, "%s", got)
}
