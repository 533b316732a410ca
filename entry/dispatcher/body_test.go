package dispatcher

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sizes and times of the uploads.
const (
	uploadBytes = 400_000
	// earlyBytes is how much of a body an endpoint reads before it responds early.
	earlyBytes = 100_000
	// The first earlyBytes are sent at once, the rest in pieces.
	pieceBytes    = 8_000
	pieceInterval = 20 * time.Millisecond
)

// positionedBody returns a body in which each eight bytes tell their position.
func positionedBody(size int) []byte {
	body := make([]byte, size)
	for i := 0; i+8 <= size; i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

// received is what an endpoint has got of a body.
type received struct {
	// bytes counts the body's bytes, and same reports whether they are those that the caller sent.
	bytes int
	same  bool
	// err is nil if the body ended as complete.
	err error
}

// earlyEndpoint responds after the first part of a body and reads on.
type earlyEndpoint struct {
	address string
	// respond writes the response; afterwards the connection is read to the end of the body.
	respond func(w io.Writer)
	bodies  chan received
}

func startEarlyEndpoint(t *testing.T, respond func(w io.Writer)) *earlyEndpoint {
	t.Helper()
	e := &earlyEndpoint{respond: respond, bodies: make(chan received, 100)}
	e.address = serveConnections(t, e.serve)
	return e
}

func (e *earlyEndpoint) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var got strings.Builder
		_, err = io.CopyN(&got, r.Body, earlyBytes)
		var group sync.WaitGroup
		if err == nil {
			group.Go(func() { e.respond(conn) })
			_, err = io.Copy(&got, r.Body)
		}
		group.Wait()
		e.bodies <- received{bytes: got.Len(), same: strings.HasPrefix(string(positionedBody(uploadBytes)), got.String()), err: err}
		if err != nil {
			return
		}
	}
}

// upload is a request with a long body, sent over a connection of its own.
type upload struct {
	conn   net.Conn
	reader *bufio.Reader
	// sent receives the error of sending the body.
	sent chan error
}

// uploadFraming is how a caller tells the length of its body.
type uploadFraming string

const (
	framedByLength uploadFraming = "length"
	framedInChunks uploadFraming = "chunks"
)

// startUpload begins to send a body of which the first part has the given length. The rest, if any,
// is never sent.
func (f *fixture) startUpload(framing uploadFraming, size int, header string) *upload {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	u := &upload{conn: conn, reader: bufio.NewReader(conn), sent: make(chan error, 1)}
	f.group.Go(func() { u.sent <- u.send(framing, size, header) })
	return u
}

func (u *upload) send(framing uploadFraming, size int, header string) error {
	var body io.Writer = u.conn
	var end io.Closer
	if framing == framedInChunks {
		header += "Transfer-Encoding: chunked\r\n"
		w := httputil.NewChunkedWriter(u.conn)
		body, end = w, w
	} else {
		header += fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
	}
	if _, err := io.WriteString(u.conn, "PUT /x HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		return err
	}
	data := positionedBody(uploadBytes)[:size]
	first := min(len(data), earlyBytes)
	if _, err := body.Write(data[:first]); err != nil {
		return err
	}
	data = data[first:]
	for len(data) > 0 {
		n := min(len(data), pieceBytes)
		if _, err := body.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(pieceInterval)
	}
	if end == nil || size < uploadBytes {
		return nil
	}
	if err := end.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(u.conn, "\r\n")
	return err
}

// response reads the response; its length is -1 if the body is not complete.
func (u *upload) response(t *testing.T, wait time.Duration) (response *http.Response, length int) {
	t.Helper()
	assert.NilError(t, u.conn.SetReadDeadline(time.Now().Add(wait)))
	response, err := http.ReadResponse(u.reader, &http.Request{Method: http.MethodPut})
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response, -1
	}
	return response, len(body)
}

// TestEarlyResponseLeavesTheBodyAlone guards against bytes that the server takes from a body which is
// still being forwarded, as it writes the response: the endpoint got later bytes in their place, and took
// the body for complete.
func TestEarlyResponseLeavesTheBodyAlone(t *testing.T) {
	long := strings.Repeat("d", 200_000)
	tests := []struct {
		name, response string
		status, length int
		// endsLate is set if the caller learns of the end of the response only as the body ends; the
		// body may then be cut.
		endsLate bool
	}{
		{"long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 200, len(long), false},
		{"long, in chunks", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), 200, len(long), true},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, 2, false},
		{"trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, 2, true},
		{"failure", "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno", 500, 2, false},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", 204, 0, false},
	}
	for _, tt := range tests {
		for _, framing := range []uploadFraming{framedByLength, framedInChunks} {
			t.Run(fmt.Sprintf("%s to a body with %s", tt.name, framing), func(t *testing.T) {
				t.Parallel()
				e := startEarlyEndpoint(t, func(w io.Writer) { _, _ = io.WriteString(w, tt.response) })
				f := newFixture(t, e.address)
				for range 3 {
					u := f.startUpload(framing, uploadBytes, "")
					response, length := u.response(t, 5*time.Second)
					assert.Equal(t, response.StatusCode, tt.status)
					assert.Equal(t, length, tt.length)
					got := <-e.bodies
					assert.Check(t, got.same, "other bytes among %d", got.bytes)
					assert.Check(t, got.err != nil || got.bytes == uploadBytes, "complete after %d bytes", got.bytes)
					assert.Check(t, got.err == nil || tt.endsLate, "%d bytes, %v", got.bytes, got.err)
					assert.NilError(t, <-u.sent)
				}
			})
		}
	}
}

// TestEarlyRefusalLeavesTheBodyAlone guards against the same for responses of the entry itself, and against
// refusals that wait for more of a body which the caller doesn't send.
func TestEarlyRefusalLeavesTheBodyAlone(t *testing.T) {
	silent := func(io.Writer) {}
	refusal := func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 503 Full\r\nComfreyplank-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
	}
	garbage := func(w io.Writer) { _, _ = io.WriteString(w, "\x00\x01\r\n\r\n") }
	tests := []struct {
		name    string
		respond func(io.Writer)
		header  string
		// size is how much of the body the caller sends.
		size, status int
	}{
		{"endpoint that doesn't respond", silent, "Comfreyplank-Timeout-Ms: 500\r\n", uploadBytes, 504},
		{"endpoint that doesn't respond to a body that stalls", silent, "Comfreyplank-Timeout-Ms: 300\r\n", 2 * earlyBytes, 504},
		{"endpoint that refuses", refusal, "", uploadBytes, 503},
		{"endpoint that refuses a body that stalls", refusal, "", 2 * earlyBytes, 503},
		{"endpoint that sends garbage", garbage, "", uploadBytes, 502},
		{"endpoint that sends garbage to a body that stalls", garbage, "", 2 * earlyBytes, 502},
		{"body that stalls at its start", silent, "Comfreyplank-Timeout-Ms: 300\r\n", 1000, 408},
		{"wrong timeout and a body that stalls", silent, "Comfreyplank-Timeout-Ms: soon\r\n", 1000, 400},
		{"connection to be handed over and a body that stalls", silent, "Upgrade: h2c\r\n", 1000, 501},
	}
	for _, tt := range tests {
		for _, framing := range []uploadFraming{framedByLength, framedInChunks} {
			t.Run(fmt.Sprintf("%s, body with %s", tt.name, framing), func(t *testing.T) {
				t.Parallel()
				e := startEarlyEndpoint(t, tt.respond)
				f := newFixture(t, e.address)
				u := f.startUpload(framing, tt.size, tt.header)
				response, length := u.response(t, 2*time.Second)
				assert.Equal(t, response.StatusCode, tt.status)
				assert.Check(t, length >= 0, "the response breaks off")
				assert.Check(t, response.Close, "the connection is kept in the middle of a body")
				assert.NilError(t, u.conn.Close())
				if tt.size < earlyBytes {
					return
				}
				got := <-e.bodies
				assert.Check(t, got.same, "other bytes among %d", got.bytes)
				assert.Check(t, got.err != nil, "the body ended as complete after %d bytes", got.bytes)
			})
		}
	}
}
