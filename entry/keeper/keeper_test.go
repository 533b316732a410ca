package keeper_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/entry/keeper"
)

// crossing holds a request back where the server does not know of it yet.
type crossing struct {
	net.Conn
	hold chan struct{}
	// read is told of each request that is held back, which goes on with free.
	read, free chan struct{}
}

// Read is part of net.Conn.
func (c *crossing) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.hold:
		if n > 0 {
			c.read <- struct{}{}
			<-c.free
		}
	default:
	}
	return n, err
}

// crossed accepts connections that hold requests back.
type crossed struct {
	net.Listener
	hold, read, free chan struct{}
}

// Accept is part of net.Listener.
func (l *crossed) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossing{Conn: c, hold: l.hold, read: l.read, free: l.free}, nil
}

// none leaves the keeper's own bounds in force.
func none() keeper.Timeouts { return keeper.Timeouts{} }

func request(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
}

// serve lets the server serve at the keeper's listener, and returns a connection to it.
func serve(t *testing.T, k *keeper.Keeper, server *http.Server, l net.Listener) net.Conn {
	t.Helper()
	k.Watch(server)
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = server.Close() }) // it may have been shut down
	group.Go(func() { assert.Check(t, errors.Is(server.Serve(k.Listener(l)), http.ErrServerClosed)) })
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the test has read all that it wants
	return c
}

// TestRequestThatCrossesTheShutdown: a request that the server reads while it closes idle
// connections is not served, as its answer could not come.
func TestRequestThatCrossesTheShutdown(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &crossed{Listener: raw, hold: make(chan struct{}), read: make(chan struct{}, 1), free: make(chan struct{})}
	k := keeper.New(none)
	var served atomic.Int64
	idle := make(chan struct{}, 1)
	server := &http.Server{
		Handler: k.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				idle <- struct{}{}
			}
		},
	}
	c := serve(t, k, server, l)
	answers := bufio.NewReader(c)
	request(t, c)
	_, err = http.ReadResponse(answers, nil)
	assert.NilError(t, err)

	<-idle // the server waits for the next request, and takes the connection for idle
	close(l.hold)
	request(t, c)
	<-l.read
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
	close(l.free)
	_, err = http.ReadResponse(answers, nil)
	assert.Check(t, err != nil, "the connection was closed")
	time.Sleep(settleTime)
	assert.Equal(t, served.Load(), int64(1))
}

// settleTime is how long a handler would take to be called.
const settleTime = 50 * time.Millisecond

// TestConnectionStaysOpenForWhatIsServed: a connection that is closed as idle while its next
// request has just reached the handler is kept until that is answered.
func TestConnectionStaysOpenForWhatIsServed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := keeper.New(none)
	accepted := make(chan net.Conn, 1)
	serving, answer := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted <- c
			}
		},
		Handler: k.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(serving)
			<-answer
			w.WriteHeader(http.StatusNoContent)
		})),
	}
	c := serve(t, k, server, raw)
	request(t, c)
	<-serving
	assert.Equal(t, k.Serving(), 1)
	assert.NilError(t, (<-accepted).Close()) // as the server does when it took the connection for idle
	close(answer)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Equal(t, k.Serving(), 0)
}

// TestLongTimeoutsAreInForceToo: the document may allow more than the keeper's own timeouts.
func TestLongTimeoutsAreInForceToo(t *testing.T) {
	tests := []struct {
		name string
		wait time.Duration
		in   keeper.Timeouts
		want time.Duration
	}{
		{"a header, shorter", 10 * time.Minute, keeper.Timeouts{Header: 150 * time.Millisecond, Idle: time.Second}, 150 * time.Millisecond},
		{"a header, by default", 10 * time.Minute, keeper.Timeouts{}, 10 * time.Second},
		{"a header, longer", 10 * time.Minute, keeper.Timeouts{Header: time.Minute, Idle: time.Second}, time.Minute},
		{"idle, by default", 20 * time.Minute, keeper.Timeouts{}, 2 * time.Minute},
		{"idle, longer", 20 * time.Minute, keeper.Timeouts{Header: time.Second, Idle: 9 * time.Minute}, 9 * time.Minute},
		{"idle, shorter", 20 * time.Minute, keeper.Timeouts{Idle: 15 * time.Second}, 15 * time.Second},
	}
	for _, tt := range tests {
		k := keeper.New(func() keeper.Timeouts { return tt.in })
		s := &http.Server{}
		k.Watch(s)
		assert.Assert(t, tt.wait == s.ReadHeaderTimeout || tt.wait == s.IdleTimeout, tt.name)
		mine, theirs := net.Pipe()
		defer func() { _ = mine.Close() }() // nothing is sent on it
		defer func() { _ = theirs.Close() }()
		seen := &deadlines{Conn: mine}
		conn, err := k.Listener(&single{conn: seen}).Accept()
		assert.NilError(t, err)
		before := time.Now()
		assert.NilError(t, conn.SetReadDeadline(before.Add(tt.wait)))
		after := time.Now()
		assert.Assert(t, !seen.at.Before(before.Add(tt.want)) && !seen.at.After(after.Add(tt.want)), "%s: %s", tt.name, seen.at.Sub(before))
	}
}

// single accepts one connection.
type single struct {
	net.Listener
	conn net.Conn
}

// Accept is part of net.Listener.
func (s *single) Accept() (net.Conn, error) { return s.conn, nil }

// deadlines remembers the read deadline of a connection.
type deadlines struct {
	net.Conn
	at time.Time
}

// SetReadDeadline is part of net.Conn.
func (d *deadlines) SetReadDeadline(at time.Time) error {
	d.at = at
	return nil
}

// TestTimeoutsAreThoseInForce: a header that does not come to its end, and a connection without
// a request, last as long as is in force then, also where that changes while the server runs.
// The other timeout is far longer than the test waits.
func TestTimeoutsAreThoseInForce(t *testing.T) {
	const short, long = 150 * time.Millisecond, 5 * time.Minute
	tests := []struct {
		name string
		// before is sent and answered first, and begun is sent after that.
		before bool
		begun  string
		limits keeper.Timeouts
		// closes is whether the connection closes after the short time; it stays otherwise.
		closes bool
	}{
		{"the first header", false, "GET / HT", keeper.Timeouts{Header: short, Idle: long}, true},
		{"a later header", true, "GET / HT", keeper.Timeouts{Header: short, Idle: long}, true},
		{"a connection without a request", true, "", keeper.Timeouts{Header: long, Idle: short}, true},
		{"idle time that is longer than that of headers", true, "", keeper.Timeouts{Header: short, Idle: long}, false},
		{"a first header that is longer than idle time", false, "GET / HT", keeper.Timeouts{Header: long, Idle: short}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var inForce atomic.Pointer[keeper.Timeouts]
			inForce.Store(&keeper.Timeouts{})
			k := keeper.New(func() keeper.Timeouts { return *inForce.Load() })
			server := &http.Server{Handler: k.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
			inForce.Store(&tt.limits)
			c := serve(t, k, server, raw)
			answers := bufio.NewReader(c)
			if tt.before {
				request(t, c)
				_, err = http.ReadResponse(answers, nil)
				assert.NilError(t, err)
			}
			start := time.Now()
			_, err = c.Write([]byte(tt.begun))
			assert.NilError(t, err)
			patience := time.Minute // for a machine that stands still meanwhile
			if !tt.closes {
				patience = 4 * short
			}
			assert.NilError(t, c.SetReadDeadline(start.Add(patience)))
			_, err = io.Copy(io.Discard, answers) // a refusal may come before the end
			took := time.Since(start)
			assert.Equal(t, err == nil, tt.closes, "%v after %s", err, took)
			assert.Check(t, took > short-short/3, "closed after %s", took)
		})
	}
}
