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

// stallingConn holds a request back after it is read and before the server sees it.
type stallingConn struct {
	net.Conn
	stall chan struct{}
	// stalled receives a value for each request that is held back; resume lets it continue.
	stalled, resume chan struct{}
}

// Read implements net.Conn.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.stall:
		if n > 0 {
			c.stalled <- struct{}{}
			<-c.resume
		}
	default:
	}
	return n, err
}

// stallingListener accepts connections that hold requests back.
type stallingListener struct {
	net.Listener
	stall, stalled, resume chan struct{}
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: c, stall: l.stall, stalled: l.stalled, resume: l.resume}, nil
}

// noTimeouts leaves the keeper's defaults in effect.
func noTimeouts() keeper.Timeouts { return keeper.Timeouts{} }

func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
}

// startServer runs the server on the keeper's listener, and returns a connection to it.
func startServer(t *testing.T, k *keeper.Keeper, server *http.Server, l net.Listener) net.Conn {
	t.Helper()
	k.Configure(server)
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = server.Close() }) // it may have been shut down
	group.Go(func() { assert.Check(t, errors.Is(server.Serve(k.Listener(l)), http.ErrServerClosed)) })
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the test has read everything that it needs
	return c
}

// TestRequestReadDuringShutdownIsNotServed checks that a request is not served if the server
// reads it while it closes idle connections: the response could not reach the caller.
func TestRequestReadDuringShutdownIsNotServed(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &stallingListener{Listener: raw, stall: make(chan struct{}), stalled: make(chan struct{}, 1), resume: make(chan struct{})}
	k := keeper.New(noTimeouts)
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
	c := startServer(t, k, server, l)
	responses := bufio.NewReader(c)
	sendRequest(t, c)
	_, err = http.ReadResponse(responses, nil)
	assert.NilError(t, err)

	<-idle // the server waits for the next request, and considers the connection idle
	close(l.stall)
	sendRequest(t, c)
	<-l.stalled
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
	close(l.resume)
	_, err = http.ReadResponse(responses, nil)
	assert.Check(t, err != nil, "response on a closed connection")
	time.Sleep(settleTime)
	assert.Equal(t, served.Load(), int64(1))
}

// settleTime is how long a handler would take to be called.
const settleTime = 50 * time.Millisecond

// TestConnectionStaysOpenWhileServing checks that a connection which the server closes as idle,
// just as the next request has reached the handler, stays open until the response is sent.
func TestConnectionStaysOpenWhileServing(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := keeper.New(noTimeouts)
	accepted := make(chan net.Conn, 1)
	serving, respond := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted <- c
			}
		},
		Handler: k.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(serving)
			<-respond
			w.WriteHeader(http.StatusNoContent)
		})),
	}
	c := startServer(t, k, server, raw)
	sendRequest(t, c)
	<-serving
	assert.Equal(t, k.Serving(), 1)
	assert.NilError(t, (<-accepted).Close()) // as the server does with a connection that it considers idle
	close(respond)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Equal(t, k.Serving(), 0)
}

// TestConfiguredTimeoutsMayExceedDefaults checks that the document may set timeouts that are
// longer than the keeper's defaults.
func TestConfiguredTimeoutsMayExceedDefaults(t *testing.T) {
	tests := []struct {
		name     string
		wait     time.Duration
		timeouts keeper.Timeouts
		want     time.Duration
	}{
		{"header, shorter than the default", 10 * time.Minute, keeper.Timeouts{Header: 150 * time.Millisecond, Idle: time.Second}, 150 * time.Millisecond},
		{"header, default", 10 * time.Minute, keeper.Timeouts{}, 10 * time.Second},
		{"header, longer than the default", 10 * time.Minute, keeper.Timeouts{Header: time.Minute, Idle: time.Second}, time.Minute},
		{"idle, default", 20 * time.Minute, keeper.Timeouts{}, 2 * time.Minute},
		{"idle, longer than the default", 20 * time.Minute, keeper.Timeouts{Header: time.Second, Idle: 9 * time.Minute}, 9 * time.Minute},
		{"idle, shorter than the default", 20 * time.Minute, keeper.Timeouts{Idle: 15 * time.Second}, 15 * time.Second},
	}
	for _, tt := range tests {
		k := keeper.New(func() keeper.Timeouts { return tt.timeouts })
		s := &http.Server{}
		k.Configure(s)
		assert.Assert(t, tt.wait == s.ReadHeaderTimeout || tt.wait == s.IdleTimeout, tt.name)
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }() // nothing is sent on it
		defer func() { _ = remote.Close() }()
		recorder := &deadlineRecorder{Conn: local}
		conn, err := k.Listener(&singleListener{conn: recorder}).Accept()
		assert.NilError(t, err)
		before := time.Now()
		assert.NilError(t, conn.SetReadDeadline(before.Add(tt.wait)))
		after := time.Now()
		assert.Assert(t, !recorder.deadline.Before(before.Add(tt.want)) && !recorder.deadline.After(after.Add(tt.want)), "%s: %s", tt.name, recorder.deadline.Sub(before))
	}
}

// singleListener accepts one connection.
type singleListener struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (s *singleListener) Accept() (net.Conn, error) { return s.conn, nil }

// deadlineRecorder records the read deadline of a connection.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

// SetReadDeadline implements net.Conn.
func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadline = deadline
	return nil
}

// TestTimeoutsAreThoseInEffect checks that an incomplete header, and a connection without a
// request, last as long as the timeouts in effect at that time, not those in effect when the
// server was created. The other timeout is far longer than the test waits.
func TestTimeoutsAreThoseInEffect(t *testing.T) {
	const short, long = 150 * time.Millisecond, 5 * time.Minute
	tests := []struct {
		name string
		// afterRequest says that a whole request is sent and answered before partial is sent.
		afterRequest bool
		partial      string
		limits       keeper.Timeouts
		// closes is whether the connection closes after the short timeout; otherwise it stays
		// open.
		closes bool
	}{
		{"first header incomplete", false, "GET / HT", keeper.Timeouts{Header: short, Idle: long}, true},
		{"later header incomplete", true, "GET / HT", keeper.Timeouts{Header: short, Idle: long}, true},
		{"connection without a request", true, "", keeper.Timeouts{Header: long, Idle: short}, true},
		{"idle timeout longer than the header timeout", true, "", keeper.Timeouts{Header: short, Idle: long}, false},
		{"header timeout longer than the idle timeout", false, "GET / HT", keeper.Timeouts{Header: long, Idle: short}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var current atomic.Pointer[keeper.Timeouts]
			current.Store(&keeper.Timeouts{})
			k := keeper.New(func() keeper.Timeouts { return *current.Load() })
			server := &http.Server{Handler: k.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
			current.Store(&tt.limits)
			c := startServer(t, k, server, raw)
			responses := bufio.NewReader(c)
			if tt.afterRequest {
				sendRequest(t, c)
				_, err = http.ReadResponse(responses, nil)
				assert.NilError(t, err)
			}
			start := time.Now()
			_, err = c.Write([]byte(tt.partial))
			assert.NilError(t, err)
			timeout := time.Minute // enough for a machine that stalls meanwhile
			if !tt.closes {
				timeout = 4 * short
			}
			assert.NilError(t, c.SetReadDeadline(start.Add(timeout)))
			_, err = io.Copy(io.Discard, responses) // an error response may precede the end
			took := time.Since(start)
			assert.Equal(t, err == nil, tt.closes, "%v after %s", err, took)
			assert.Check(t, took > short-short/3, "closed after %s", took)
		})
	}
}
