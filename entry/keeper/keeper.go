// Package keeper decides how long callers' connections stay open: as long as a request is
// served, also while the server shuts down, and otherwise for the times that are in force
// then.
//
// The standard server closes connections that it takes to be idle; a request that it reads
// at that moment would be passed on and its answer cut off. Its own timeouts can't change
// while it runs.
package keeper

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts where none are in force.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// Timeouts of the server itself, which must be longer than any that may be in force. The
// keeper knows by their lengths what the server waits for.
const (
	maxHeaderTimeout = 10 * time.Minute
	maxIdleTimeout   = 2 * maxHeaderTimeout
)

// Timeouts are how long a request's header may take, and how long a connection may be
// without a request. Zero leaves it to the keeper. Neither is above ten minutes.
type Timeouts struct {
	Header, Idle time.Duration
}

// Keeper watches the connections of one server.
type Keeper struct {
	timeouts func() Timeouts
	// serving counts the requests that handlers serve, none of them on a closed connection.
	serving atomic.Int64
}

// New returns a keeper of no connections. Timeouts returns those that are in force.
func New(timeouts func() Timeouts) *Keeper { return &Keeper{timeouts: timeouts} }

// Serving returns how many requests are being served. The server itself may not know of all
// of them once it shuts down.
func (k *Keeper) Serving() int { return int(k.serving.Load()) }

// Watch sets the server's timeouts, and makes it tell the keeper's handler which connection a
// request came on.
func (k *Keeper) Watch(s *http.Server) {
	s.ReadHeaderTimeout = maxHeaderTimeout
	s.IdleTimeout = maxIdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
}

// Listener returns a listener whose connections stay open while a request is served on them.
func (k *Keeper) Listener(l net.Listener) net.Listener { return &listener{Listener: l, keeper: k} }

// Handler passes requests on to the next handler, but none whose connection was closed
// before.
func (k *Keeper) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.enter() {
			panic(http.ErrAbortHandler)
		}
		defer c.leave()
		next.ServeHTTP(w, r)
	})
}

// connectionKey is the key of the connection in a request's context.
type connectionKey struct{}

type listener struct {
	net.Listener
	keeper *Keeper
}

// Accept is part of net.Listener.
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
	// serving is set while a handler serves a request, and never once closed is.
	serving bool
	closed  bool
}

// enter begins to serve a request, unless the connection has been closed.
func (c *connection) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.serving = true
	c.keeper.serving.Add(1)
	return true
}

func (c *connection) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.keeper.serving.Add(-1)
}

// Close is part of net.Conn. While a request is served it does nothing: the server closes
// the connection after the answer, as it shuts down.
func (c *connection) Close() error {
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline is part of net.Conn. Where the server waits for a request, or for its
// header, the deadline is the one in force.
func (c *connection) SetReadDeadline(t time.Time) error {
	if wait := time.Until(t); wait > 0 && !c.isServing() {
		t = t.Add(c.keeper.inForce(wait) - wait)
	}
	return c.Conn.SetReadDeadline(t)
}

// inForce returns how long to wait where the server would wait for so long.
func (k *Keeper) inForce(wait time.Duration) time.Duration {
	limit := k.timeouts()
	if wait <= maxHeaderTimeout {
		return min(wait, cmp.Or(limit.Header, defaultHeaderTimeout))
	}
	return min(wait, cmp.Or(limit.Idle, defaultIdleTimeout))
}

func (c *connection) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// CloseWrite ends what is sent, so that the last answer on the connection is not lost to
// unread bytes of a request.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
