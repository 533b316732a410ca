package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/translator"
)

// endingConn is a connection on which a response without a length ends while the request is sent. It tells the reader
// of a normal end, as the system does after it has told the writer of a reset.
type endingConn struct {
	net.Conn
	response io.Reader
	// accepts is how many bytes of the request are written before the end.
	accepts int
	// writeErr is the result of the write after these bytes, or of the last one.
	writeErr error
	// lingers has that write return only once the reader has seen the end.
	lingers bool

	once sync.Once
	// reached is closed as that write begins, and ended as the reader sees the end.
	reached, ended chan struct{}
	endOnce        sync.Once
}

// Read implements net.Conn.
func (c *endingConn) Read(p []byte) (int, error) {
	<-c.reached
	n, err := c.response.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *endingConn) Write(p []byte) (int, error) {
	c.accepts -= len(p)
	if c.accepts > 0 {
		return len(p), nil
	}
	c.once.Do(func() { close(c.reached) })
	if c.lingers {
		<-c.ended
		time.Sleep(10 * time.Millisecond) // the reader goes on before the result is known
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

// SetDeadline implements net.Conn.
func (c *endingConn) SetDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *endingConn) Close() error { return nil }

// TestEndOfConnectionProvesBodyOnlyAfterTheWholeRequest guards against a part of a response that is delivered as the
// whole because its connection was reset while the request was sent, and against whole responses that are lost because
// the sender of the request hadn't noticed yet that its last write was done.
func TestEndOfConnectionProvesBodyOnlyAfterTheWholeRequest(t *testing.T) {
	const bodyBytes = 300_000
	const unframed = "HTTP/1.0 200 OK\r\n\r\npart"
	tests := []struct {
		name, response string
		// accepts is how much of the request is written before the end.
		accepts   int
		writeErr  error
		lingers   bool
		delivered bool
	}{
		{"reset while the request is sent", unframed, 100_000, syscall.ECONNRESET, false, false},
		{"reset reported after the reader's end", unframed, 100_000, syscall.ECONNRESET, true, false},
		{"end while the request is sent", unframed, 100_000, nil, true, false},
		{"reset at the last write", unframed, bodyBytes, syscall.ECONNRESET, true, false},
		{"end after the last write", unframed, bodyBytes, nil, false, true},
		{"end after the last write, noticed late", unframed, bodyBytes, nil, true, true},
		{"reset, response with a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nwell", 100_000, syscall.ECONNRESET, false, true},
		{"reset, response in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n", 100_000, syscall.ECONNRESET, false, true},
		{"reset, response without a body", "HTTP/1.0 204 No Content\r\n\r\n", 100_000, syscall.ECONNRESET, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bodyBytes)))
			receiver.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				f := New(time.Now, translator.NativeEndpoints(), pacer.Pacer{})
				conn := &endingConn{
					response: strings.NewReader(tt.response), accepts: tt.accepts, writeErr: tt.writeErr, lingers: tt.lingers,
					reached: make(chan struct{}), ended: make(chan struct{}),
				}
				p := f.pool("endpoint")
				p.idle, p.open = []*connection{{conn: conn, openedAt: time.Now(), headerBudget: -1, group: &f.group}}, 1
				request := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Stream: receiver.BodyOf(r), ContentLength: bodyBytes}
				answer, ending := f.Send(context.Background(), balancer.Dispatch{
					Address: "endpoint", Deadline: time.Now().Add(time.Minute),
					ConnectionPolicy: balancer.ConnectionPolicy{MaxIdle: time.Minute, MaxOpen: 1},
				}, request)
				if tt.delivered {
					assert.Equal(t, ending, balancer.EndingComplete)
					assert.Assert(t, answer.Complete)
				} else {
					assert.Equal(t, ending, balancer.EndingLost)
				}
				conn.endOnce.Do(func() { close(conn.ended) })
				f.group.Wait()
			})).ServeHTTP(httptest.NewRecorder(), r)
		})
	}
}
