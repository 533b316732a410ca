package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutResponses are the responses of an endpoint that breaks off.
var cutResponses = []struct {
	name, method, text string
	// delimited is set if the end of the connection is the end of the body.
	delimited bool
}{
	{"length", "POST", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 15\r\n\r\nfifteen letters", false},
	{"chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfifteen\r\n8;x=y\r\n letters\r\n0\r\n\r\n", false},
	{"trailers", "POST", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfifteen\r\n0\r\nX-Sum: 1\r\n\r\n", false},
	{"neither", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfifteen letters", true},
	{"no content", "POST", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", false},
	{"not modified", "POST", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", false},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n", false},
	{"early hints", "POST", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
}

// cuttingEndpoint answers each request with the start of a response and ends the connection.
type cuttingEndpoint struct {
	address string
	// text is what it writes in answer to a request; resets has the connection reset afterwards.
	text    atomic.Pointer[string]
	resets  atomic.Bool
	reached atomic.Int64
}

func startCuttingEndpoint(t *testing.T) *cuttingEndpoint {
	t.Helper()
	e := &cuttingEndpoint{}
	e.address = serveConnections(t, e.serve)
	return e
}

func (e *cuttingEndpoint) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		e.reached.Add(1)
		_, _ = io.WriteString(c, *e.text.Load())
		if e.resets.Load() {
			time.Sleep(time.Millisecond) // lets the bytes be read before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// exchange sends a request of an HTTP version over a connection of its own, and returns what comes back.
func (f *fixture) exchange(method, path, version string) (text string, err error) {
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(f.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path, version)
	assert.NilError(f.t, err)
	all, err := io.ReadAll(c)
	return string(all), err
}

// looksWhole reports whether a caller takes a response for a complete success.
func looksWhole(method, text string, connectionErr error) bool {
	reader := bufio.NewReader(strings.NewReader(text))
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(reader, &http.Request{Method: method})
	}
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		return false
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	delimited := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return !delimited || connectionErr == nil
}

// TestResponseCutAnywhereIsNoSuccess guards against a response that breaks off, in its head or later, and
// reaches the caller as a complete success.
func TestResponseCutAnywhereIsNoSuccess(t *testing.T) {
	for _, response := range cutResponses {
		for _, resets := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
					t.Run(fmt.Sprintf("%s, reset %t, kept connection %t, %s", response.name, resets, kept, version), func(t *testing.T) {
						t.Parallel()
						e := startCuttingEndpoint(t)
						e.resets.Store(resets)
						f := newFixture(t, e.address)
						head := strings.LastIndex(response.text, "\r\n\r\n") + 4
						for cut := range len(response.text) {
							if response.delimited && !resets && cut >= head {
								break // nothing tells such an end from a complete body
							}
							text := response.text[:cut]
							e.text.Store(&text)
							if kept {
								_, err := f.exchange("GET", "/warm", "HTTP/1.1")
								assert.NilError(t, err)
							}
							got, err := f.exchange(response.method, "/x", version)
							assert.Check(t, !looksWhole(response.method, got, err), "cut after %q, the caller gets %q", text, got)
						}
						assert.Check(t, e.reached.Load() >= int64(head), "only %d of the cuts were played", e.reached.Load())
					})
				}
			}
		}
	}
}

// TestLongResponseCutAnywhereIsNoSuccess guards against the same for responses that are passed on before their
// end: to a caller of HTTP/1.0, whose body ends with the connection, the end looked like a complete body.
func TestLongResponseCutAnywhereIsNoSuccess(t *testing.T) {
	const long = 200_000
	part := strings.Repeat("d", long)
	tests := []struct{ name, text string }{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*long, part)},
		{"chunk", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*long, part)},
		{"chunk size", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n1", long, part)},
		{"last chunk", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", long, part)},
		{"trailer", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n", long, part)},
	}
	for _, tt := range tests {
		for _, resets := range []bool{false, true} {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(fmt.Sprintf("%s, reset %t, %s", tt.name, resets, version), func(t *testing.T) {
					t.Parallel()
					e := startCuttingEndpoint(t)
					e.resets.Store(resets)
					e.text.Store(&tt.text)
					got, err := newFixture(t, e.address).exchange("POST", "/x", version)
					assert.Check(t, !looksWhole("POST", got, err), "the caller gets %d bytes, %v", len(got), err)
				})
			}
		}
	}
}
