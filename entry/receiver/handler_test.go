package receiver_test

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

	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/receiver"
)

// maxWait is how long a response may take, also on a busy machine.
const maxWait = 5 * time.Second

// startServer serves a handler as an entry does.
func startServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	k := keeper.New(func() keeper.Timeouts { return keeper.Timeouts{} })
	server := httptest.NewUnstartedServer(k.Handler(receiver.Handler(handler)))
	server.Listener = k.Listener(server.Listener)
	k.Configure(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// refuse responds without reading the body.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "no")
}

// TestUnreadBodyIsNotTakenForARequest guards against the rest of a body that the server takes for the next
// request on the connection, and against a response that waits for a body.
func TestUnreadBodyIsNotTakenForARequest(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(next), next)
	tests := []struct {
		name, head, body string
		// kept is whether the connection serves a further request.
		kept bool
	}{
		{"short body", "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", "12345", true},
		{"short body in chunks", "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n12345\r\n0\r\n\r\n", true},
		{"body that stalls", "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n", "", false},
		{"long body that stalls", "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n", next, false},
		{"body in chunks that stalls", "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, false},
		{"body in invalid chunks", "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "zz\r\n" + next, false},
		{"body that waits to be asked for", "POST /first HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", "", false},
		{"HTTP/1.0", "POST /first HTTP/1.0\r\nHost: h\r\nContent-Length: 500\r\n\r\n", next, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			served := make(chan string, 10)
			server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				served <- r.URL.Path
				refuse(w, r)
			})
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(maxWait)))
			_, err = io.WriteString(c, tt.head+tt.body)
			assert.NilError(t, err)
			reader := bufio.NewReader(c)
			readRefusal(t, reader, !tt.kept)
			_, err = io.WriteString(c, next)
			if tt.kept {
				assert.NilError(t, err)
				readRefusal(t, reader, false)
				return
			}
			_, err = reader.ReadByte()
			assert.Assert(t, err != nil, "the connection goes on")
			assert.Equal(t, len(served), 1)
		})
	}
}

func readRefusal(t *testing.T, reader *bufio.Reader, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Close, closes)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "no")
}

// TestResponseSurvivesTheRestOfABody guards against a connection that is reset while the caller is
// sending its body: the reset destroys the response, which the caller reads afterwards.
func TestResponseSurvivesTheRestOfABody(t *testing.T) {
	server := startServer(t, refuse)
	for _, size := range []int{100_000, 300_000, 3 << 20} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(maxWait)))
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		assert.NilError(t, err)
		_, err = io.WriteString(c, strings.Repeat("x", size))
		assert.NilError(t, err)
		readRefusal(t, bufio.NewReader(c), true)
		assert.NilError(t, c.Close())
	}
}

// TestHandlerThatEndsEarlyEndsTheConnection guards against the rest of a body being read after its
// handler has returned or panicked.
func TestHandlerThatEndsEarlyEndsTheConnection(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		// status is zero where the caller gets no response.
		status int
	}{
		{"no response", func(http.ResponseWriter, *http.Request) {}, http.StatusOK},
		{"panic", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := startServer(t, tt.handler)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(maxWait)))
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nabc")
			assert.NilError(t, err)
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			if tt.status == 0 {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}
