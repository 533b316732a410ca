package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// userTimeout ends a connection whose data is not acknowledged.
	userTimeout       = 5 * time.Second
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 3
)

// Limits of what an endpoint may send.
const (
	maxHeaderBytes = 64 << 10
	bufferBytes    = 16 << 10
)

// errSpent is returned when a transport asks for a second connection: it has been
// given its only one.
var errSpent = errors.New("the connection has ended")

// countingConn counts what is written, as proof of what was not.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write is part of net.Conn. Bytes count before they are handed to the system, so
// a failed write is never taken for none.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// connection is one connection to an endpoint, with a transport of its own so
// that a request goes over just this one.
type connection struct {
	conn      *countingConn
	transport *http.Transport
	openedAt  time.Time
	// answeredAt is when the last whole answer came; zero before the first.
	answeredAt time.Time
}

// dial opens a connection.
func dial(ctx context.Context, address string, now func() time.Time) (*connection, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial endpoint")
	}
	c := &connection{conn: &countingConn{Conn: raw}, openedAt: now()}
	c.transport = c.newTransport()
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

func (c *connection) newTransport() *http.Transport {
	var given atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if given.Swap(true) {
				return nil, errSpent
			}
			return c.conn, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxConnsPerHost:        1,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		ExpectContinueTimeout:  time.Second,
	}
}

func (c *connection) close() {
	c.transport.CloseIdleConnections()
	_ = c.conn.Close() // nothing is expected from it any more
}

// lastProof returns when the connection was last known to work.
func (c *connection) lastProof() time.Time {
	if c.answeredAt.After(c.openedAt) {
		return c.answeredAt
	}
	return c.openedAt
}
