package completer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNoHandlerLeavesAnEmptySuccess guards against a success that nobody has given. Each handler serves each kind of
// request; what the caller reads from the socket must be the handler's response or no final response at all.
func TestNoHandlerLeavesAnEmptySuccess(t *testing.T) {
	handlers := []struct {
		name  string
		serve http.HandlerFunc
		// want is the status of the response; empty if there is none.
		want string
	}{
		{"forgets its response", func(http.ResponseWriter, *http.Request) {}, ""},
		{"sets a header only", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-A", "b") }, ""},
		{"reads the body only", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, ""},
		{"gives early hints only", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, ""},
		{"panics", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ""},
		{"ends with its context", func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(100 * time.Millisecond):
			}
		}, ""},
		{"gives a status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, "200 OK"},
		{"gives no content", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, "204 No Content"},
		{"refuses", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "503 Service Unavailable"},
		{"writes a body", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }, "200 OK"},
		{"flushes", func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }, "200 OK"},
		{"gives early hints and a response", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusNotFound)
		}, "404 Not Found"},
	}
	requests := []struct{ name, text string }{
		{"GET", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HEAD", "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"with a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"},
		{"with a body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n"},
		{"the second on a connection", "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	}
	for _, h := range handlers {
		for _, r := range requests {
			for _, leaves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, closes its side %t", h.name, r.name, leaves), func(t *testing.T) {
					method, _, _ := strings.Cut(r.text, " ")
					got := statuses(t, h.serve, r.text, method, leaves)
					if strings.Contains(r.text, "/first") {
						assert.Equal(t, got[0], "200 OK")
						got = got[1:]
					}
					assert.Equal(t, strings.Join(got, ", "), h.want)
				})
			}
		}
	}
}

// statuses sends requests over a connection and returns the statuses of the final responses. A request for /first has a
// response of its own.
func statuses(t *testing.T, serve http.HandlerFunc, text, method string, leaves bool) []string {
	t.Helper()
	server := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			w.WriteHeader(http.StatusOK)
			return
		}
		serve(w, r)
	})))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	if leaves {
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	}
	var got []string
	for reader := bufio.NewReader(conn); ; {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return got
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusOK {
			got = append(got, response.Status)
		}
		if len(got) == strings.Count(text, "HTTP/1.") {
			return got
		}
	}
}
