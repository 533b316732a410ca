package keeper

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// connection is a caller's connection.
type connection struct {
	net.Conn
	keeper *Keeper

	mu sync.Mutex
	// serving is set while a handler serves a request; it is never set once closed is.
	serving bool
	closed  bool
	// abandoned is set once the rest of the request in progress is not read any more; there is
	// no further request.
	abandoned bool
}

// Abandon ends the reading of a request, whose caller has not sent all of it: a pending read is
// interrupted, and the connection is closed after the response. It reports false if the context is not
// that of a request on a keeper's connection.
func Abandon(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if ok {
		c.abandon()
	}
	return ok
}

// ResetOnClose sets whether the end of a request's connection, also by the end of the process, resets it.
// That tells a caller that a body which ends with the connection is not complete. It changes nothing if the
// context is not that of a request on a keeper's connection.
func ResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		seconds := -1 // the system's default: an end in order
		if reset {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds) // fails only if the connection has ended
	}
}

func (c *connection) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // on a closed connection no read is pending
}

// pastDeadline lies in the past: setting it interrupts pending reads.
var pastDeadline = time.Unix(1, 0)

func (c *connection) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// NetConn returns the connection that the listener has accepted.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. An abandoned connection looks closed by the caller.
func (c *connection) Read(p []byte) (int, error) {
	if c.isAbandoned() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if err != nil && c.isAbandoned() {
		err = io.EOF
	}
	return n, err
}

// beginRequest marks a request as being served. It reports false if the connection has been
// closed.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.serving = true
	c.keeper.serving.Add(1)
	return true
}

func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.keeper.serving.Add(-1)
}

// Close implements net.Conn. While a request is served it does nothing: the server closes the
// connection after the response, as it shuts down. An abandoned connection lingers, unless it is
// closed once more.
func (c *connection) Close() error {
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return nil
	}
	lingers := c.abandoned && !c.closed
	c.closed = true
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	return c.Conn.Close()
}

// Bounds of lingering.
const (
	maxLingerTime  = 2 * time.Second
	maxLingerBytes = 4 << 20
)

// linger ends the response, and then drops what the caller still sends until it closes: closing a
// connection with unread bytes resets it, and the reset could destroy a response on its way.
func (c *connection) linger() {
	c.keeper.serving.Add(1) // a planned stop waits for it
	defer c.keeper.serving.Add(-1)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime)) != nil {
		return // the caller has closed the connection already
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // any end of it is good
}

// SetReadDeadline implements net.Conn. Where the server waits for a request, or for its header,
// the timeout in effect replaces the server's own. The deadline of an abandoned connection stays
// in the past.
func (c *connection) SetReadDeadline(t time.Time) error {
	if c.isAbandoned() {
		return nil
	}
	if wait := time.Until(t); wait > 0 && !c.isServing() {
		t = t.Add(c.keeper.effectiveTimeout(wait) - wait)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *connection) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// CloseWrite closes the sending side, so that unread bytes of a request don't destroy the last
// response on the connection.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
