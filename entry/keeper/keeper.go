// Package keeper keeps callers' connections open for requests that have begun while a
// server shuts down. The standard server closes connections that it takes to be idle; a
// request that it reads at that moment would be passed on and its answer cut off.
package keeper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Keeper watches the connections of one server.
type Keeper struct {
	// serving counts the requests that handlers serve, none of them on a closed connection.
	serving atomic.Int64
}

// New returns a keeper of no connections.
func New() *Keeper { return &Keeper{} }

// Serving returns how many requests are being served. The server itself may not know of all
// of them once it shuts down.
func (k *Keeper) Serving() int { return int(k.serving.Load()) }

// Watch makes the server tell the keeper's handler which connection a request came on.
func (k *Keeper) Watch(s *http.Server) {
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

// CloseWrite ends what is sent, so that the last answer on the connection is not lost to
// unread bytes of a request.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
