// Package pipeliner runs requests that a caller pipelines on one connection concurrently, where that is safe: requests
// without a body on repeatable routes.
//
// The standard server serves the requests of a connection one after the other. While it serves one, its background read
// waits for what the caller sends next. Here that read continues, the requests that it gets are parsed, and the handlers
// of those that may run ahead start at once, with buffered responses. The server later reads the same bytes, and the
// buffered response is its handler's. The server remains the only reader of framing and the only writer of responses.
package pipeliner

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"comfreyplank.org/shell/observer"
)

// Bounds of what a connection holds.
const (
	// maxRequests is how many requests of a connection may run or wait for their turn, besides the one that the
	// server serves.
	maxRequests = 8
	// maxReadBytes is how many bytes are read ahead.
	maxReadBytes = 64 << 10
	// maxResponseBytes is how much of the response of one request is buffered until its turn: 256 KiB for each
	// connection. Most responses are shorter.
	maxResponseBytes = 32 << 10
)

// Counter counts requests that ran ahead.
type Counter interface {
	// RanAhead counts a request whose handler was started ahead.
	RanAhead()
	// DiscardedAhead counts a request that was started ahead and whose result was not used.
	DiscardedAhead()
}

// Option configures a Pipeliner.
type Option func(*Pipeliner)

// WithCounter sets what counts requests.
func WithCounter(c Counter) Option { return func(p *Pipeliner) { p.counter = c } }

// Pipeliner starts pipelined requests of one server ahead.
type Pipeliner struct {
	mayRunAhead func(method, host, path string) bool
	start       func(func())
	counter     Counter
	// maxHeaderBytes is the server's own limit.
	maxHeaderBytes int
	// waiting counts the requests that were started ahead and have not had their turn.
	waiting  atomic.Int64
	stopping atomic.Bool
}

// New returns a pipeliner. The start function runs a function in a goroutine. The mayRunAhead function reports whether a
// request without a body may run concurrently with others; it is asked only once a caller pipelines.
func New(start func(func()), mayRunAhead func(method, host, path string) bool, opts ...Option) *Pipeliner {
	p := &Pipeliner{start: start, mayRunAhead: mayRunAhead, counter: noCounter{}, maxHeaderBytes: http.DefaultMaxHeaderBytes}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

type noCounter struct{}

// RanAhead implements Counter.
func (noCounter) RanAhead() {}

// DiscardedAhead implements Counter.
func (noCounter) DiscardedAhead() {}

// Waiting returns how many requests were started ahead and have not had their turn.
func (p *Pipeliner) Waiting() int { return int(p.waiting.Load()) }

// Stop keeps further requests from being started ahead.
func (p *Pipeliner) Stop() { p.stopping.Store(true) }

// Listener returns a listener whose connections are read ahead. The connections that the server gets must be these, or
// have a NetConn method that returns them.
func (p *Pipeliner) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, pipeliner: p}
}

type listener struct {
	net.Listener
	pipeliner *Pipeliner
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(c, l.pipeliner), nil
}

// connectionKey is the key of the connection in a request's context.
type connectionKey struct{}

// Configure makes the connection of each request known to the pipeliner's handler, after what the server's ConnContext
// already does. The server needs timeouts for idle connections and for headers: the pipeliner tells by them whether the
// server waits for a request.
func (p *Pipeliner) Configure(s *http.Server) {
	p.maxHeaderBytes = cmp.Or(s.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
	former := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if former != nil {
			ctx = former(ctx, c)
		}
		if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = outer.NetConn()
		}
		return context.WithValue(ctx, connectionKey{}, c)
	}
}

// Handler passes requests on to the next handler. Those that were started ahead get the response of the handler that
// runs already.
func (p *Pipeliner) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ahead := c.beginRequest(r, next)
		defer c.endRequest()
		response := observer.New(w, c.beginResponse)
		if ahead != nil {
			ahead.deliver(response)
		} else {
			next.ServeHTTP(response, r)
		}
		response.Begin() // a handler that has written nothing gets the server's empty response
	})
}
