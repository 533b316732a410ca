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
	"net"
	"net/http"
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

// effectiveTimeout returns the timeout in effect where the server would wait for the given
// time.
func (k *Keeper) effectiveTimeout(wait time.Duration) time.Duration {
	limits := k.timeouts()
	if wait <= maxHeaderTimeout {
		return min(wait, cmp.Or(limits.Header, defaultHeaderTimeout))
	}
	return min(wait, cmp.Or(limits.Idle, defaultIdleTimeout))
}
