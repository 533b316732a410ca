package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/entry/forwarder"
)

// TestCallerThatLeavesGetsNoSuccess guards against a handler that returns without a response: the server
// completed it as a 200 with an empty body, and a caller that had closed its side first took that for
// the result of its request.
func TestCallerThatLeavesGetsNoSuccess(t *testing.T) {
	tests := []struct {
		name, request string
		// responds is set if the endpoint responds after the caller has left.
		responds bool
	}{
		{"without a body", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", false},
		{"with a body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", false},
		{"with a response", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", true},
		{"HTTP/1.0", "GET /x HTTP/1.0\r\nHost: h\r\n\r\n", false},
		{"HEAD", "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", false},
		{"once-only", "POST /once HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi", false},
		{"streamed body", fmt.Sprintf("PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes)), false},
		{"half a streamed body", fmt.Sprintf("PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes/2)), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-time.After(time.Second):
				case <-r.Context().Done():
				}
				if tt.responds {
					_, _ = io.WriteString(w, "late")
				}
			}))
			c, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(c, tt.request)
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond) // the request is at the endpoint
			assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			text, _ := io.ReadAll(c) // the connection may be reset
			assert.Check(t, !strings.HasPrefix(string(text), "HTTP/1.1 2") && !strings.HasPrefix(string(text), "HTTP/1.0 2"), "the caller gets %q", text)
		})
	}
}

// TestPausingResponseEndsWithItsCaller guards against an endpoint that is held by a long response which pauses, after
// the caller has left.
func TestPausingResponseEndsWithItsCaller(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"resets", func(c *net.TCPConn) error {
			_ = c.SetLinger(0) // if it fails, the connection is closed in order
			return c.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan time.Time, 1)
			f := newFixture(t, startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", 2*forwarder.MaxBufferedBytes))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
				case <-time.After(4 * time.Second):
				}
				ended <- time.Now()
			}))
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, err = io.CopyN(io.Discard, response.Body, 2*forwarder.MaxBufferedBytes) // all there is before the pause
			assert.NilError(t, err)
			left := time.Now()
			assert.NilError(t, tt.leave(conn.(*net.TCPConn)))
			took := (<-ended).Sub(left)
			assert.Assert(t, took < 500*time.Millisecond, "the endpoint was at work for %s after the caller had left", took)
		})
	}
}
