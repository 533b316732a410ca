// Package dater tells from when on the request of an HTTP server can have been sent.
package dater

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Dater observes the connections of a server. The next request of a connection can have been sent from the time on at which
// the connection was accepted, or its last response was finished.
type Dater struct {
	now func() time.Time
	// connections holds the *connection of each net.Conn.
	connections sync.Map
}

// connection is one connection of a server.
type connection struct {
	mu sync.Mutex
	// since is when the connection was accepted, or became idle.
	since time.Time
}

type contextKey struct{}

// New returns a dater that takes the time from now.
func New(now func() time.Time) *Dater { return &Dater{now: now} }

// Observe makes a server date its requests. It must be called before the server starts.
func (d *Dater) Observe(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c := &connection{since: d.now()}
		d.connections.Store(conn, c)
		return context.WithValue(ctx, contextKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			value, _ := d.connections.Load(conn)
			if c, ok := value.(*connection); ok {
				c.restart(d.now())
			}
		case http.StateClosed, http.StateHijacked:
			d.connections.Delete(conn)
		case http.StateNew, http.StateActive:
		}
	}
}

func (c *connection) restart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
}

// Since returns a time no later than that at which a request can have been sent; zero if its server isn't observed.
func Since(r *http.Request) time.Time {
	c, ok := r.Context().Value(contextKey{}).(*connection)
	if !ok {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// CloseAfterResponse makes the client use another connection for its next request, so that the time at which that one is
// accepted dates the request.
func CloseAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }
