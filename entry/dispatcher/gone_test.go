package dispatcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
