package forwarder

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
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
	maxHeaderBytes   = 64 << 10
	maxInformational = 5
	bufferBytes      = 8 << 10
)

// errHeader is returned when an endpoint sends too much before its answer.
var errHeader = errors.New("the endpoint's header is too large")

// past is a deadline that has passed, to end what is under way on a connection.
var past = time.Unix(1, 0)

// connection is one connection to an endpoint. The standard library writes
// requests to it and reads answers from it, on the goroutine of the attempt.
type connection struct {
	conn net.Conn
	// reader is there while the connection is in use.
	reader *bufio.Reader
	// written counts the bytes handed to the system: what is not counted was not
	// sent.
	written atomic.Int64
	// headerLeft bounds the header that may still be read; negative outside one.
	headerLeft int64
	openedAt   time.Time
	group      *sync.WaitGroup
	// answeredAt is when the last whole answer came; zero before the first.
	answeredAt time.Time
}

// dial opens a connection.
func dial(ctx context.Context, address string, now func() time.Time, group *sync.WaitGroup) (*connection, error) {
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
	c := &connection{conn: raw, openedAt: now(), headerLeft: -1, group: group}
	c.begin()
	return c, nil
}

// readers and writers hold the buffers that no connection uses: most connections are idle.
var readers, writers sync.Pool

// begin gives the connection a buffer to read with.
func (c *connection) begin() {
	reader, ok := readers.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, bufferBytes)
	}
	reader.Reset(limitedReader{c})
	c.reader = reader
}

// rest gives the buffer back after a whole answer. It reports false where more was read
// than the answer: the connection can't be used again.
func (c *connection) rest() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
	return true
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

// countingWriter counts bytes before they are handed to the system, so a failed
// write is never taken for none.
type countingWriter struct{ c *connection }

// Write is part of io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	w.c.written.Add(int64(len(p)))
	return w.c.conn.Write(p)
}

// limitedReader bounds the size of a header.
type limitedReader struct{ c *connection }

// Read is part of io.Reader.
func (r limitedReader) Read(p []byte) (int, error) {
	left := r.c.headerLeft
	if left == 0 {
		return 0, errHeader
	}
	if left > 0 && int64(len(p)) > left {
		p = p[:left]
	}
	n, err := r.c.conn.Read(p)
	if left > 0 {
		r.c.headerLeft -= int64(n)
	}
	return n, err
}

// alive reports whether an idle connection is open and quiet. The other end may
// have closed it, or sent what belongs to no request.
func (c *connection) alive() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
	})
	return err == nil && quiet
}

// roundTrip writes a request and reads the head of its answer.
func (c *connection) roundTrip(request *http.Request, streamed bool) (*http.Response, []Informational, error) {
	if streamed {
		// The endpoint may answer before it has read the whole body.
		sent := make(chan error, 1)
		c.group.Go(func() { sent <- c.send(request) })
		response, informational, err := c.receive(request)
		if err == nil {
			markUnfinished(sent, response)
		}
		return response, informational, err
	}
	if err := c.send(request); err != nil {
		return nil, nil, err
	}
	return c.receive(request)
}

// markUnfinished marks the connection as one that can't be used again unless the
// whole request has been sent.
func markUnfinished(sent chan error, response *http.Response) {
	select {
	case err := <-sent:
		response.Close = response.Close || err != nil
	default:
		response.Close = true
	}
}

func (c *connection) send(request *http.Request) error {
	writer, ok := writers.Get().(*bufio.Writer)
	if !ok {
		writer = bufio.NewWriterSize(nil, bufferBytes)
	}
	defer writers.Put(writer)
	writer.Reset(countingWriter{c})
	defer writer.Reset(nil)
	if err := request.Write(writer); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(writer.Flush(), "write request")
}

// receive reads the head of an answer, and the informational ones before it.
func (c *connection) receive(request *http.Request) (*http.Response, []Informational, error) {
	var informational []Informational
	for {
		c.headerLeft = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, request)
		c.headerLeft = -1
		if err != nil {
			return nil, nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, informational, nil
		}
		if len(informational) >= maxInformational {
			return nil, nil, errHeader
		}
		if response.StatusCode != http.StatusContinue {
			informational = append(informational, Informational{response.StatusCode, response.Header})
		}
	}
}

// interruptWith ends what is under way when the context ends. The returned
// function reports whether the connection has been left alone.
func (c *connection) interruptWith(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(past) }) // a closed connection is interrupted too
}

func (c *connection) close() { _ = c.conn.Close() } // nothing is expected from it any more

// lastProof returns when the connection was last known to work.
func (c *connection) lastProof() time.Time {
	if c.answeredAt.After(c.openedAt) {
		return c.answeredAt
	}
	return c.openedAt
}
