package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/translator"
)

// lateConn is a connection whose endpoint has gone. Closing it lets the caller's body come first, and
// waits until a part of it has been written.
type lateConn struct {
	net.Conn
	body    *io.PipeWriter
	once    sync.Once
	written chan struct{}
	closed  atomic.Bool
}

// Read implements net.Conn.
func (c *lateConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetDeadline implements net.Conn.
func (c *lateConn) SetDeadline(time.Time) error { return nil }

// Write implements net.Conn.
func (c *lateConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.once.Do(func() { close(c.written) })
	return len(p), nil
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	_, err := io.WriteString(c.body, strings.Repeat("x", 2*bufferBytes))
	<-c.written
	c.closed.Store(true)
	return err
}

// TestStreamedRequestIsNotProvedUnsent guards against a request that is refused as not run, or sent once
// more, though a part of it reached the endpoint: the goroutine that sends it went on between the look at
// what was written and the end of the connection.
func TestStreamedRequestIsNotProvedUnsent(t *testing.T) {
	source, body := io.Pipe()
	r := httptest.NewRequest(http.MethodPost, "/", source)
	w := httptest.NewRecorder()
	receiver.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		f := New(time.Now, translator.NativeEndpoints(), pacer.Pacer{})
		conn := &lateConn{body: body, written: make(chan struct{})}
		p := f.pool("endpoint")
		c := &connection{conn: conn, openedAt: time.Now(), headerBudget: -1, group: &f.group}
		p.idle, p.open = []*connection{c}, 1
		request := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Stream: receiver.BodyOf(r), ContentLength: -1}
		_, ending := f.Send(context.Background(), balancer.Dispatch{
			Address: "endpoint", Deadline: time.Now().Add(time.Minute),
			ConnectionPolicy: balancer.ConnectionPolicy{MaxIdle: time.Minute, MaxOpen: 1},
		}, request)
		assert.Equal(t, ending, balancer.EndingLost)
		assert.NilError(t, body.CloseWithError(errors.New("the caller left")))
		f.group.Wait()
	})).ServeHTTP(w, r)
}
