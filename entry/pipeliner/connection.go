package pipeliner

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/entry/translator"
)

// connection is a caller's connection. It passes the bytes that it reads on to the server unchanged and in order.
//
// Where the server reads the head of a GET or HEAD request, no read goes beyond the end of that head. So the server has
// no byte of the next request when it calls the handler, and what is read from then on starts with the next head.
type connection struct {
	net.Conn
	pipeliner *Pipeliner

	mu sync.Mutex
	// changed is signalled when a background read that waits may continue.
	changed sync.Cond
	// pending holds the bytes that were read and not passed on, and readErr the error that comes after them.
	pending []byte
	readErr error
	// deadline is that of reads; the server sets none while it serves a request.
	deadline time.Time

	// The fields below describe what the server has read since it began to wait for a request.

	// headRead is set once the server has read at least once.
	headRead bool
	// start holds the first bytes of the head, until its method is known.
	start []byte
	// unsplit is set if reads may go beyond the end of a head. Then the server may have bytes of further requests.
	unsplit bool
	// early is the first byte of a head, if the server's wait for the end of the connection has read it.
	early []byte
	// pipelined is set if the server had the whole head of the request before. Then its own buffer may begin with a
	// part of the head, and reads are split whatever its method.
	pipelined bool
	// deciding is set until the method of the head is known.
	deciding bool
	// lines is the state after the bytes that were passed on, and headEnded is set if they end with a blank line.
	lines     lineState
	headEnded bool

	// The fields below describe the request that the server serves.

	// serving is set while the handler runs. served is set from its end until the server waits for a request.
	serving, served bool
	// open is set if further requests may run beside this one. asked is set once mayRunAhead has said so too.
	open, asked        bool
	method, host, path string
	remoteAddr         string
	ctx                context.Context //nolint:containedctx // provides the values for requests that run ahead
	next               http.Handler

	// queue holds the requests that were started ahead, in order. parsed is how many bytes of pending they take, and
	// scanned how many have been searched for the end of the next head, with scanState after them.
	queue           []*aheadRequest
	parsed, scanned int
	scanState       lineState
	// full is set if the head after the queue can't run ahead; nothing is read beyond it.
	full bool
	// ended is set once nothing is started ahead any more.
	ended bool
	// closing is set if a response was to close the connection and others waited behind it.
	closing bool
}

func newConnection(c net.Conn, p *Pipeliner) *connection {
	conn := &connection{Conn: c, pipeliner: p}
	conn.changed.L = &conn.mu
	return conn
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBackgroundRead(p) {
		return c.readAhead(p)
	}
	if c.deadlinePassed() {
		return 0, os.ErrDeadlineExceeded // also where bytes are pending: the server interrupts a read that begins late
	}
	if !c.deadline.IsZero() && !c.headRead {
		c.headRead = true
		c.start, c.early = append(c.start, c.early...), c.early[:0]
		c.deciding = !c.pipelined
	}
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		n = c.passOn(p[:n])
		c.removePending(n)
		c.noteEarly(p, n)
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.noteError(err)
	c.noteEarly(p, n)
	if passed := c.passOn(p[:n]); passed < n {
		c.pending = append(c.pending, p[passed:n]...)
		return passed, nil // the error, if any, comes again
	}
	return n, err
}

func (c *connection) deadlinePassed() bool {
	return !c.deadline.IsZero() && !c.deadline.After(time.Now())
}

// noteEarly keeps the byte that a background read has got.
func (c *connection) noteEarly(p []byte, n int) {
	if n == 1 && len(p) == 1 && c.deadline.IsZero() {
		c.early = append(c.early[:0], p[0])
	}
}

// passOn returns how many of the bytes are passed on to the server.
func (c *connection) passOn(p []byte) int {
	if len(p) == 0 {
		return 0
	}
	if c.deciding {
		c.decide(p)
	}
	if c.unsplit {
		c.lines = stateAfter(c.lines, p)
		c.headEnded = false
		return len(p)
	}
	n, found, state := c.lines.findBlankLine(p)
	c.lines, c.headEnded = state, found
	return n
}

// decide looks at the method of a head, as far as its first bytes tell. After other methods than GET and HEAD a body may
// follow, and to split it from the head would cost a copy.
func (c *connection) decide(p []byte) {
	if len(c.start) > 0 {
		c.start = append(c.start, p[:min(len(p), len("HEAD "))]...)
		p = c.start
	}
	switch {
	case isBodilessMethod(p):
		c.deciding = false
	case mayBecomeBodilessMethod(p):
		c.start = append(c.start[:0], p...)
	default:
		c.deciding = false
		c.unsplit = true
	}
}

// stateAfter returns the state after bytes, of which at most the last two matter.
func stateAfter(s lineState, p []byte) lineState {
	if len(p) > 2 {
		s, p = inLine, p[len(p)-2:]
	}
	for len(p) > 0 {
		n, _, state := s.findBlankLine(p)
		s, p = state, p[n:]
	}
	return s
}

// removePending removes bytes that were passed on.
func (c *connection) removePending(n int) {
	c.parsed = max(0, c.parsed-n)
	c.scanned = max(0, c.scanned-n)
	if n == len(c.pending) {
		c.pending = c.pending[:0]
		if cap(c.pending) > minBuffer {
			c.pending = nil
		}
		return
	}
	c.pending = c.pending[n:]
}

// minBuffer is the size of reads ahead, and the largest buffer that is kept when it is empty.
const minBuffer = 4 << 10

// aligned reports whether the server has read one head, and nothing beyond it.
func (c *connection) aligned() bool { return c.headRead && c.headEnded && !c.unsplit }

// isBackgroundRead reports whether a read is the server's wait for the end of the connection while it serves a request.
// That read takes one byte; in other reads of one byte the head is not complete or has a deadline.
func (c *connection) isBackgroundRead(p []byte) bool {
	return len(p) == 1 && c.deadline.IsZero() && c.aligned()
}

// readAhead reads until the server interrupts it by a deadline in the past, or the connection fails. It returns no bytes
// but one that comes after the handler has ended: a caller that has the response already does not pipeline.
func (c *connection) readAhead(p []byte) (int, error) {
	for {
		switch {
		case c.deadlinePassed():
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil:
			return 0, c.readErr
		case c.full || len(c.pending) > maxReadBytes-minBuffer:
			c.changed.Wait()
			continue
		}
		if len(c.pending) > 0 {
			if err := c.readMore(); err != nil {
				return 0, err
			}
			c.startReady()
			continue
		}
		// The first byte is read into p, so that a connection on which none comes has no buffer.
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		c.noteError(err)
		if err != nil || n > 0 && (c.served || c.deadlinePassed()) {
			c.passOn(p[:n])
			c.early = append(c.early[:0], p[:n]...)
			return n, err
		}
		c.pending = append(c.pending, p[:n]...)
	}
}

// readMore reads bytes and keeps them.
func (c *connection) readMore() error {
	buffered := len(c.pending)
	if cap(c.pending)-buffered < minBuffer {
		grown := make([]byte, buffered, min(2*buffered+minBuffer, maxReadBytes))
		copy(grown, c.pending)
		c.pending = grown
	}
	dst := c.pending[buffered : buffered+minBuffer]
	c.mu.Unlock()
	n, err := c.Conn.Read(dst)
	c.mu.Lock()
	c.pending = c.pending[:buffered+n]
	c.noteError(err)
	return err
}

// noteError cancels what runs ahead if an error has ended the connection.
func (c *connection) noteError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr = err
	c.cancelAhead()
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.deadline.IsZero() && !t.IsZero() && !c.serving {
		// The server waits for a request. What it reads may run before its handler is called, so nothing is open.
		c.headRead, c.unsplit, c.served, c.open = false, false, false, false
		c.start = c.start[:0]
	}
	c.deadline = t
	c.changed.Signal()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. The server cancels requests after a failed write.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.cancelAhead()
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.discardAhead()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is what net.TCPConn has.
func (c *connection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// beginRequest notes the request that the server serves from now on. It returns the one that was started ahead, if that
// is the same.
func (c *connection) beginRequest(r *http.Request, next http.Handler) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := c.takeAhead(r)
	c.pipelined = !c.headRead
	bodiless := isBodiless(r)
	if !bodiless {
		c.unsplit = true // its body is passed on unseen
	}
	c.serving, c.full, c.asked = true, false, false
	c.scanned = c.parsed
	c.open = bodiless && c.aligned() && !c.ended && !c.closing
	if c.open {
		c.method, c.host = r.Method, r.Host
		c.path, _ = translator.Path(r) // without a path it has no route
		c.ctx, c.remoteAddr, c.next = r.Context(), r.RemoteAddr, next
		c.startReady()
	}
	c.changed.Signal()
	return ahead
}

// takeAhead removes the first request that was started ahead and returns it, unless it differs from the one that the
// server has read.
func (c *connection) takeAhead(r *http.Request) *aheadRequest {
	if len(c.queue) == 0 {
		return nil
	}
	ahead := c.queue[0]
	if !c.aligned() || !equal(ahead.parsed, r) {
		c.discardAhead()
		return nil
	}
	c.queue = c.queue[1:]
	c.pipeliner.waiting.Add(-1) // the server's handler counts it from now on
	return ahead
}

func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.served = false, true
}

// beginResponse is called before the head of a response is written. A response that would close the connection is kept
// from doing so while requests that were started wait behind it; the last of them closes it.
func (c *connection) beginResponse(h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case h.Get("Connection") == "close":
		c.open = false
		c.ended = true
		if len(c.queue) > 0 {
			c.closing = true
			h.Del("Connection")
		}
	case c.closing && len(c.queue) == 0:
		h.Set("Connection", "close")
	}
}

// startReady starts the requests that have been read and may run ahead.
func (c *connection) startReady() {
	for c.open && !c.full && len(c.queue) < maxRequests && len(c.pending) > c.parsed && !c.pipeliner.stopping.Load() {
		head := c.nextHead()
		if head == nil {
			return
		}
		if !c.asked && !c.pipeliner.mayRunAhead(c.method, c.host, c.path) {
			c.open = false
			return
		}
		c.asked = true
		r := c.parseAhead(head)
		if r == nil {
			c.full = true
			return
		}
		c.parsed += len(head)
		c.scanned, c.scanState = c.parsed, inLine
		c.queue = append(c.queue, c.startAhead(r))
	}
}

// nextHead returns the head after those of the queue, if all of it has been read.
func (c *connection) nextHead() []byte {
	if c.scanned <= c.parsed {
		c.scanned, c.scanState = c.parsed, inLine
	}
	end, found, state := c.scanState.findBlankLine(c.pending[c.scanned:])
	c.scanned += end
	c.scanState = state
	if !found {
		return nil
	}
	return c.pending[c.parsed:c.scanned]
}

func (c *connection) parseAhead(head []byte) *http.Request {
	if len(head) > c.pipeliner.maxHeaderBytes {
		return nil
	}
	r := parse(head)
	if r == nil {
		return nil
	}
	if path, ok := translator.Path(r); !ok || !c.pipeliner.mayRunAhead(r.Method, r.Host, path) {
		return nil
	}
	return r
}

// startAhead starts the handler of a request. Its context has the values of the connection, and is cancelled with it.
func (c *connection) startAhead(parsed *http.Request) *aheadRequest {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	r := parsed.WithContext(ctx)
	r.Header = parsed.Header.Clone() // handlers may change it
	r.RemoteAddr = c.remoteAddr
	ahead := newAheadRequest(parsed, cancel)
	next := c.next
	c.pipeliner.waiting.Add(1)
	c.pipeliner.counter.RanAhead()
	c.pipeliner.start(func() { ahead.run(next, r) })
	return ahead
}

// cancelAhead cancels the requests that were started ahead; nothing is started any more.
func (c *connection) cancelAhead() {
	c.open = false
	c.ended = true
	for _, ahead := range c.queue {
		ahead.cancel()
	}
}

// discardAhead cancels the requests that were started ahead and throws their responses away.
func (c *connection) discardAhead() {
	c.cancelAhead()
	for _, ahead := range c.queue {
		ahead.discard()
		c.pipeliner.waiting.Add(-1)
		c.pipeliner.counter.DiscardedAhead()
	}
	c.queue = nil
}
