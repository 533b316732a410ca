package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/entry/forwarder"
)

// unframedHeads are heads of responses whose bodies end with the connection.
var unframedHeads = []struct{ name, text string }{
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
	{"HTTP/1.1", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
}

// startRawEndpoint starts an endpoint that passes the reader and the connection of each caller to serve.
func startRawEndpoint(t *testing.T, serve func(*bufio.Reader, *net.TCPConn)) string {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // ends the test if the entry holds the connection
		serve(bufio.NewReader(conn), conn.(*net.TCPConn))
	})
}

// uploadAtOnce sends an upload without pauses, and returns the response as far as it came and the error that ended it.
func (f *fixture) uploadAtOnce(size int) (text string, err error) {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		_, _ = fmt.Fprintf(conn, "PUT /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = conn.Write(make([]byte, size)) // the entry may respond before it has read all
	})
	all, err := io.ReadAll(conn)
	return string(all), err
}

// TestPartBeforeAResetIsNoSuccess guards against a part of a response that reaches the caller as the whole: an endpoint
// responds to a long upload without a length, sends a part and resets the connection while the upload is still written.
// The system reports a reset once, so that the reader saw a normal end whenever the writer had got the error.
func TestPartBeforeAResetIsNoSuccess(t *testing.T) {
	const uploads = 150
	for _, head := range unframedHeads {
		for _, part := range []int{0, 2000, 2 * forwarder.MaxBufferedBytes} {
			t.Run(fmt.Sprintf("%s, part of %d bytes", head.name, part), func(t *testing.T) {
				t.Parallel()
				address := startRawEndpoint(t, func(reader *bufio.Reader, conn *net.TCPConn) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, head.text+strings.Repeat("d", part))
					time.Sleep(time.Millisecond) // lets the part be read before the reset
					_ = conn.SetLinger(0)
				})
				f := newFixture(t, address)
				for range uploads {
					text, err := f.uploadAtOnce(300_000)
					assert.Check(t, !looksWhole(http.MethodPut, text, err), "the caller gets %d bytes, %v", len(text), err)
				}
			})
		}
	}
}

// TestResponseEndedByItsConnectionIsDelivered guards against responses to long uploads that are lost for want of a
// length, though the endpoint had got the whole request.
func TestResponseEndedByItsConnectionIsDelivered(t *testing.T) {
	for _, head := range unframedHeads {
		for _, size := range []int{0, 2000, 2 * forwarder.MaxBufferedBytes} {
			t.Run(fmt.Sprintf("%s, %d bytes", head.name, size), func(t *testing.T) {
				t.Parallel()
				address := startRawEndpoint(t, func(reader *bufio.Reader, conn *net.TCPConn) {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					_, _ = io.WriteString(conn, head.text+strings.Repeat("d", size))
				})
				f := newFixture(t, address)
				for range 30 {
					text, err := f.uploadAtOnce(300_000)
					assert.Check(t, looksWhole(http.MethodPut, text, err), "the caller gets %.80q, %v", text, err)
					response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
					assert.NilError(t, err)
					body, err := io.ReadAll(response.Body)
					assert.NilError(t, err)
					assert.Equal(t, len(body), size)
				}
			})
		}
	}
}
