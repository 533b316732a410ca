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

	"comfreyplank.org/entry/inspector"
	"comfreyplank.org/entry/receiver"
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
	// maxHeaderBytes limits the headers of a response and of the informational ones before it together: a call keeps no more
	// than that beside the part of the body that is being passed on.
	maxHeaderBytes   = 64 << 10
	maxInformational = 5
	bufferBytes      = 8 << 10
)

// Errors of what an endpoint sends ahead of the response's body.
var (
	errHeaderTooLarge       = errors.New("the endpoint's headers are too large")
	errTooManyInformational = errors.New("the endpoint sends too many informational responses")
)

// pastDeadline lies in the past: setting it interrupts pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// connection is one connection to an endpoint. The standard library writes requests to it and
// reads responses from it, on the goroutine of the attempt.
type connection struct {
	conn net.Conn
	// reader is set while the connection is in use.
	reader *bufio.Reader
	// inspector checks the responses that reader reads; it holds nothing while reader is nil.
	inspector inspector.Reader
	// written counts the bytes handed to the operating system: bytes that are not counted were
	// not sent.
	written atomic.Int64
	// headerBudget is how many bytes of header may still be read; negative outside a header.
	headerBudget int64
	openedAt     time.Time
	group        *sync.WaitGroup
	// respondedAt is when the last complete response arrived; zero before the first.
	respondedAt time.Time
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
	c := &connection{conn: raw, openedAt: now(), headerBudget: -1, group: group}
	c.attachReader()
	return c, nil
}

// readerPool and writerPool hold buffers that no connection uses: most connections are idle.
var readerPool, writerPool sync.Pool

// attachReader gives the connection a read buffer.
func (c *connection) attachReader() {
	reader, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, bufferBytes)
	}
	c.inspector.Reset(limitedReader{c})
	reader.Reset(&c.inspector)
	c.reader = reader
}

// releaseReader returns the read buffer to the pool after a complete response. It reports false
// if bytes beyond the response were read: the connection can't be used again.
func (c *connection) releaseReader() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
	c.inspector.Release()
	return true
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// countingWriter counts bytes before they are handed to the operating system, so that a failed
// write never counts as nothing sent.
type countingWriter struct{ c *connection }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	w.c.written.Add(int64(len(p)))
	return w.c.conn.Write(p)
}

// limitedReader limits the size of a header.
type limitedReader struct{ c *connection }

// Read implements io.Reader.
func (r limitedReader) Read(p []byte) (int, error) {
	budget := r.c.headerBudget
	if budget == 0 {
		return 0, errHeaderTooLarge
	}
	if budget > 0 && int64(len(p)) > budget {
		p = p[:budget]
	}
	n, err := r.c.conn.Read(p)
	if budget > 0 {
		r.c.headerBudget -= int64(n)
	}
	return n, err
}

// reusable reports whether an idle connection is still open and has no unread bytes. The
// endpoint may have closed it, or sent bytes that belong to no request.
func (c *connection) reusable() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = recvErr == unix.EAGAIN
	})
	return err == nil && noData
}

// sending is the forwarding of a request whose body is streamed. It may go on after the response has
// begun.
type sending struct {
	// body is the part of the request's body that is streamed.
	body *receiver.Transfer
	// done is closed once nothing more is sent.
	done chan struct{}
	// err is why not the whole request was sent; it may be read once done is closed.
	err error
}

// complete reports whether the whole request has been sent.
func (s *sending) complete() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// roundTrip writes a request and reads the head of the response. Where the rest of the request's
// body is streamed, it is sent from a goroutine of its own, as the endpoint may respond before it has read
// the whole body.
func (c *connection) roundTrip(request outgoing, rest *receiver.Transfer) (*http.Response, []Informational, *sending, error) {
	var streamed *sending
	if rest != nil {
		streamed = c.startSending(request, rest)
	} else if err := c.send(request); err != nil {
		return nil, nil, nil, err
	}
	response, informational, err := c.receive(request.Request)
	return response, informational, streamed, err
}

// startSending sends a request with a streamed body. If the body breaks off, the sending side of the
// connection is closed, so that the endpoint can't take the request for complete.
func (c *connection) startSending(request outgoing, rest *receiver.Transfer) *sending {
	s := &sending{body: rest, done: make(chan struct{})}
	c.group.Go(func() {
		defer close(s.done)
		s.err = c.send(request)
		if s.err != nil && rest.Err() != nil {
			c.closeWrite()
		}
	})
	return s
}

func (c *connection) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection has ended
	}
}

func (c *connection) send(request outgoing) error {
	writer, ok := writerPool.Get().(*bufio.Writer)
	if !ok {
		writer = bufio.NewWriterSize(nil, bufferBytes)
	}
	defer writerPool.Put(writer)
	writer.Reset(countingWriter{c})
	defer writer.Reset(nil)
	if err := request.writeTo(writer); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(writer.Flush(), "write request")
}

// receive reads the head of a response, and any informational responses before it.
func (c *connection) receive(request *http.Request) (*http.Response, []Informational, error) {
	var informational []Informational
	c.inspector.Begin(request.Method)
	c.headerBudget = maxHeaderBytes
	defer func() { c.headerBudget = -1 }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read response")
		}
		if response.StatusCode >= http.StatusOK {
			return response, informational, nil
		}
		if response.StatusCode != http.StatusContinue {
			informational = append(informational, Informational{response.StatusCode, response.Header})
		}
	}
	return nil, nil, errTooManyInformational
}

// interruptOnDone interrupts pending reads and writes when the context ends. The returned
// function stops that, and reports whether the connection was not interrupted.
func (c *connection) interruptOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) }) // a closed connection needs no interruption
}

func (c *connection) close() { _ = c.conn.Close() } // an error in closing changes nothing

// lastKnownGood returns when the connection was last known to work.
func (c *connection) lastKnownGood() time.Time {
	if c.respondedAt.After(c.openedAt) {
		return c.respondedAt
	}
	return c.openedAt
}
