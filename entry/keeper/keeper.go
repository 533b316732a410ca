// Package keeper decides how long callers' connections stay open: as long as a request is
// served, even while the server shuts down, and otherwise for the timeouts in effect at that
// time.
//
// The standard server closes connections that it considers idle; a request that it reads at
// that moment would be forwarded and its response cut off. Its own timeouts can't change while
// it runs.
package keeper

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts used where the configuration sets none.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// Timeouts of the server itself, which must be longer than any configured one. The keeper tells
// by their lengths what the server waits for.
const (
	maxHeaderTimeout = 10 * time.Minute
	maxIdleTimeout   = 2 * maxHeaderTimeout
)

// Timeouts are how long a request's header may take, and how long a connection may be without a
// request. Zero selects the keeper's default. Neither is above ten minutes.
type Timeouts struct {
	Header, Idle time.Duration
}

// Keeper tracks the connections of one server.
type Keeper struct {
	timeouts func() Timeouts
	// serving counts the requests that handlers serve, none of which is on a closed connection,
	// and the connections that linger after their last response.
	serving atomic.Int64
}

// New returns a keeper without connections. The timeouts function returns those in effect.
func New(timeouts func() Timeouts) *Keeper { return &Keeper{timeouts: timeouts} }

// Serving returns how many requests are being served or have a response under way. The server itself may not know of all of
// them once it shuts down.
func (k *Keeper) Serving() int { return int(k.serving.Load()) }

// Configure sets the server's timeouts, and makes the connection of each request known to the
// keeper's handler.
func (k *Keeper) Configure(s *http.Server) {
	s.ReadHeaderTimeout = maxHeaderTimeout
	s.IdleTimeout = maxIdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
}

// Listener returns a listener whose connections stay open while a request is served on them.
func (k *Keeper) Listener(l net.Listener) net.Listener { return &listener{Listener: l, keeper: k} }

// Handler passes requests on to the next handler, except those whose connection has already
// been closed.
func (k *Keeper) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

// connectionKey is the key of the connection in a request's context.
type connectionKey struct{}

type listener struct {
	net.Listener
	keeper *Keeper
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, keeper: l.keeper}, nil
}

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

// SetReadDeadline implements net.Conn. It leaves the deadline of an abandoned connection as it is. Where the server waits for a request, or for its header,
// the timeout in effect replaces the server's own.
func (c *connection) SetReadDeadline(t time.Time) error {
	if c.isAbandoned() {
		return nil
	}
	if wait := time.Until(t); wait > 0 && !c.isServing() {
		t = t.Add(c.keeper.effectiveTimeout(wait) - wait)
	}
	return c.Conn.SetReadDeadline(t)
}

// effectiveTimeout returns the timeout in effect where the server would wait for the given
// time.
func (k *Keeper) effectiveTimeout(wait time.Duration) time.Duration {
	limits := k.timeouts()
	if wait <= maxHeaderTimeout {
		return min(wait, cmp.Or(limits.Header, defaultHeaderTimeout))
	}
	return min(wait, cmp.Or(limits.Idle, defaultIdleTimeout))
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
