package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/entry/forwarder"
)

// malformedResponses are responses that break a rule; the package inspector tests every rule.
var malformedResponses = []struct {
	name, text string
	// rule is part of the event that tells of the response.
	rule string
}{
	{"status 000", "HTTP/1.1 000 \r\nContent-Length: 6\r\n\r\nmarker", "status"},
	{"HTTP/9.1", "HTTP/9.1 200 OK\r\nContent-Length: 6\r\n\r\nmarker", "version"},
	{"space in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 6\r\n\r\nmarker", "field name"},
	{"space before the colon", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 6\r\n\r\nmarker", "colon"},
	{"chunks hidden by a space", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 6\r\n\r\nmarker", "colon"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 6\r\n\r\nmarker", "field name"},
	{"folded line", "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\nContent-Length: 6\r\n\r\nmarker", "folded"},
	{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nmarker\r\n0\r\n\r\n", "both"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nmarker\r\n0\r\n\r\n", "HTTP/1.0"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6 \r\nmarker\r\n0\r\n\r\n", "chunk size"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nmarker\r\n0\r\nX Odd: 1\r\n\r\n", "field name"},
	{"length among the trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nmarker\r\n0\r\nContent-Length: 6\r\n\r\n", "trailer"},
	{"body of 204", "HTTP/1.1 204 No Content\r\nContent-Length: 6\r\n\r\nmarker", "body"},
	{"after early hints", "HTTP/1.1 103 Early Hints\r\nLink: marker\r\n\r\nHTTP/1.1 000 \r\n\r\n", "status"},
	{"long header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Marker: marker\r\n", 1000) + "X Odd: 1\r\n\r\n", "field name"},
}

// malformedEvents counts malformed responses and keeps their events.
type malformedEvents struct {
	noCounter
	counted atomic.Int64
	mu      sync.Mutex
	events  []recorder.Event
}

// Malformed implements Metrics.
func (m *malformedEvents) Malformed(string) { m.counted.Add(1) }

func (m *malformedEvents) publish(e recorder.Event) {
	if e.Kind != recorder.KindResponseMalformed {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

// check waits until there are as many events as malformed responses were sent, and checks them and the count.
func (m *malformedEvents) check(t *testing.T, sent int64, rule string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); m.published() < sent && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, m.published(), sent)
	assert.Equal(t, m.counted.Load(), sent)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.events {
		assert.Equal(t, e.Endpoint, "e0")
		assert.Assert(t, strings.Contains(e.Detail, rule), "%q", e.Detail)
	}
}

func (m *malformedEvents) published() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int64(len(m.events))
}

// watchMalformed has a fixture without requests count malformed responses.
func (f *fixture) watchMalformed() *malformedEvents {
	m := &malformedEvents{}
	s := f.serviceDispatcher("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deps.Counter, s.deps.Publish = m, m.publish
	return m
}

// malformedEndpoint responds to each request with the same bytes, and keeps its connections open.
type malformedEndpoint struct {
	address string
	sent    atomic.Int64
	// closed receives a value for each connection that the entry has closed.
	closed chan struct{}
}

func startMalformedEndpoint(t *testing.T, text string) *malformedEndpoint {
	t.Helper()
	e := &malformedEndpoint{closed: make(chan struct{}, 1000)}
	e.address = startRawEndpoint(t, func(reader *bufio.Reader, conn *net.TCPConn) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.sent.Add(1)
		_, _ = io.WriteString(conn, text)
		if _, err := reader.ReadByte(); err != nil && !isTimeout(err) {
			e.closed <- struct{}{}
		}
	})
	return e
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// awaitClosed waits until the entry has closed the connection of each response.
func (e *malformedEndpoint) awaitClosed(t *testing.T) {
	t.Helper()
	for range e.sent.Load() {
		select {
		case <-e.closed:
		case <-time.After(2 * time.Second):
			t.Fatal("a connection with a malformed response is kept")
		}
	}
}

// TestMalformedResponsesReachNoCaller guards against responses whose meaning is a guess: nothing of them reaches the
// caller, and their connections are not used again.
func TestMalformedResponsesReachNoCaller(t *testing.T) {
	for _, tt := range malformedResponses {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+", "+method, func(t *testing.T) {
				t.Parallel()
				e := startMalformedEndpoint(t, tt.text)
				f := newFixture(t, e.address)
				events := f.watchMalformed()
				text, err := f.exchange(method, "/x", "HTTP/1.1")
				assert.NilError(t, err)
				assert.Assert(t, strings.HasPrefix(text, "HTTP/1.1 502 "), "%.200q", text)
				assert.Assert(t, !strings.Contains(text, "marker") && !strings.Contains(text, "Odd"), "%.200q", text)
				assert.Assert(t, e.sent.Load() > 0)
				e.awaitClosed(t)
				events.check(t, e.sent.Load(), tt.rule)
			})
		}
	}
}

// TestRequestsAreRetriedAfterMalformedResponses guards against failures that callers see though another endpoint works.
func TestRequestsAreRetriedAfterMalformedResponses(t *testing.T) {
	healthy := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "well") })
	for _, tt := range malformedResponses {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, startMalformedEndpoint(t, tt.text).address, healthy)
			for range 20 {
				response, body := f.do(f.request(http.MethodGet, "/x", ""))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "well")
			}
		})
	}
}

// TestMalformedResponsesToProbesAreLost guards against load reports and health read from malformed responses.
func TestMalformedResponsesToProbesAreLost(t *testing.T) {
	for _, tt := range malformedResponses {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := startMalformedEndpoint(t, tt.text)
			f := newFixture(t)
			events := f.watchMalformed()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			report, ending := f.serviceDispatcher("s").forwarder.Probe(ctx, balancer.Probe{Endpoint: "e0", Address: e.address})
			assert.Equal(t, ending, balancer.EndingLost)
			assert.Equal(t, report, balancer.NoReport)
			e.awaitClosed(t)
			events.check(t, 1, tt.rule)
		})
	}
}

// TestMalformedEndOfLongResponseIsNoSuccess guards against a long response that is passed on as complete though its
// chunks or trailers are malformed.
func TestMalformedEndOfLongResponseIsNoSuccess(t *testing.T) {
	const size = "20000" // 128 KiB
	part := strings.Repeat("d", 2*forwarder.MaxBufferedBytes)
	tests := []struct{ name, end, rule string }{
		{"chunk end", "x\r\n0\r\n\r\n", "doesn't end"},
		{"chunk size", "\r\n0x0\r\n\r\n", "chunk size"},
		{"trailer", "\r\n0\r\nX Odd: 1\r\n\r\n", "field name"},
		{"length among the trailers", "\r\n0\r\nContent-Length: 1\r\n\r\n", "trailer"},
	}
	for _, tt := range tests {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(tt.name+", "+version, func(t *testing.T) {
				t.Parallel()
				e := startMalformedEndpoint(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+size+"\r\n"+part+tt.end)
				f := newFixture(t, e.address)
				events := f.watchMalformed()
				text, err := f.exchange(http.MethodPost, "/x", version)
				assert.Check(t, !looksWhole(http.MethodPost, text, err), "the caller gets %d bytes, %v", len(text), err)
				e.awaitClosed(t)
				events.check(t, 1, tt.rule)
			})
		}
	}
}
