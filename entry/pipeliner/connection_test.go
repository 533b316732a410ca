package pipeliner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// capturingListener keeps the last connection that it has accepted.
type capturingListener struct {
	net.Listener
	accepted chan net.Conn
}

// Accept implements net.Listener.
func (l *capturingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// TestConnectionWithoutPipeliningCostsNothing guards against buffers and goroutines for callers that wait for each
// response: none of what they send may be copied, and nothing but the server's own goroutines may run.
func TestConnectionWithoutPipeliningCostsNothing(t *testing.T) {
	var goroutines [2]int
	for i := range goroutines {
		p := New(func(run func()) { run() }, func(string, string, string) bool { return true })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		captured := &capturingListener{Listener: l, accepted: make(chan net.Conn, 1)}
		serve := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(10 * time.Millisecond) // the server's background read has begun
			goroutines[i] = runtime.NumGoroutine()
			_, _ = io.WriteString(w, "ok")
		}))
		s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		if i == 1 {
			p.Configure(s)
			captured.Listener = p.Listener(l)
			serve = p.Handler(serve)
		}
		s.Handler = serve
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, errors.Is(s.Serve(captured), http.ErrServerClosed)) })
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		reader := bufio.NewReader(c)
		for _, request := range []string{
			"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n",
			fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n%s", strings.Repeat("\n\r\n\n", 5000)),
			"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n\n\n\n\r\n0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		} {
			_, err = io.WriteString(c, request)
			assert.NilError(t, err)
			method, _, _ := strings.Cut(request, " ")
			response, err := http.ReadResponse(reader, &http.Request{Method: method})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
		}
		assert.NilError(t, c.Close())
		assert.NilError(t, s.Close())
		group.Wait()
		if conn, ok := (<-captured.accepted).(*connection); ok {
			assert.Assert(t, conn.pending == nil, "bytes have been copied")
		}
	}
	assert.Equal(t, goroutines[1], goroutines[0])
}

// TestFindBlankLine guards against a head whose end is seen elsewhere than by the server: too late, and the server would
// get bytes of the next request.
func TestFindBlankLine(t *testing.T) {
	tests := []struct {
		text  string
		end   int
		found bool
	}{
		{"", 0, false},
		{"a", 1, false},
		{"a\r\n", 3, false},
		{"a\n\nb", 3, true},
		{"a\r\n\r\nb", 5, true},
		{"a\n\r\nb", 4, true},
		{"a\r\n\nb", 4, true},
		{"a\n\rb\n\n", 6, true},
		{"a\n\r\r\n\n", 6, true},
		{"a\n \n\nb", 5, true},
		{"a\r\r\n\r", 5, false},
	}
	for _, tt := range tests {
		end, found, _ := inLine.findBlankLine([]byte(tt.text))
		assert.Equal(t, end, tt.end, "%q", tt.text)
		assert.Equal(t, found, tt.found, "%q", tt.text)
		state, at := inLine, 0
		for found := false; at < len(tt.text) && !found; at++ {
			_, found, state = state.findBlankLine([]byte(tt.text)[at : at+1])
		}
		assert.Equal(t, at, tt.end, "byte by byte: %q", tt.text)
		assert.Equal(t, stateAfter(inLine, []byte(tt.text)), lastState(tt.text), "%q", tt.text)
	}
}

// lastState returns the state after a text, byte by byte.
func lastState(text string) lineState {
	state := inLine
	for i := range text {
		_, _, state = state.findBlankLine([]byte(text)[i : i+1])
	}
	return state
}

// TestNothingStartsBeforeTheHandlerIsCalled guards against a request that is started while the server has read another
// and not called its handler: the server's background read can run that early. What is started then does not match, and
// is thrown away.
func TestNothingStartsBeforeTheHandlerIsCalled(t *testing.T) {
	caller, accepted := net.Pipe()
	p := New(func(func()) {}, func(string, string, string) bool { return true })
	c := newConnection(accepted, p)
	var group sync.WaitGroup
	defer group.Wait() // after the connection is closed, which ends all reads and writes
	defer func() {
		assert.NilError(t, caller.Close())
		assert.NilError(t, c.Close())
		assert.Equal(t, p.Waiting(), 0)
	}()
	next := http.NotFoundHandler()
	head := func(i int) []byte { return fmt.Appendf(nil, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }
	// readHead reads a head as the server does.
	readHead := func(i int) *http.Request {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		group.Go(func() {
			_, err := caller.Write(head(i))
			assert.Check(t, err)
		})
		buffer := make([]byte, 4<<10)
		n, err := c.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:n]), string(head(i)))
		assert.NilError(t, c.SetReadDeadline(time.Time{}))
		return parse(buffer[:n])
	}
	assert.Assert(t, c.beginRequest(readHead(1), next) == nil)
	c.endRequest()
	second := readHead(2)
	group.Go(func() {
		_, err := c.Read(make([]byte, 1)) // the background read
		assert.Check(t, errors.Is(err, os.ErrDeadlineExceeded))
	})
	_, err := caller.Write(head(3))
	assert.NilError(t, err)
	time.Sleep(10 * time.Millisecond) // the bytes are taken in
	assert.Equal(t, p.Waiting(), 0)
	assert.Assert(t, c.beginRequest(second, next) == nil)
	assert.Equal(t, p.Waiting(), 1)
	c.endRequest()
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
}
