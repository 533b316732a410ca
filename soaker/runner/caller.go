package runner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"comfreyplank.org/soaker/checker"
)

const (
	// callTimeout is how long a caller waits: longer than any route's deadline and a pause.
	callTimeout = 9 * time.Second
	// meanCallInterval is the mean time between two calls of a caller.
	meanCallInterval = 15 * time.Millisecond
	// maxRequests is how often a once-only call is sent until it is answered.
	maxRequests = 4
	// readMargin is how long before a stop a request was sent that the entry has surely
	// read by then.
	readMargin = 200 * time.Millisecond
	// minDeadline is the least deadline of a route in the operator's documents.
	minDeadline = 2 * time.Second
	// maxExtraBytes is the most that a caller asks for beside what it sent, in bytes.
	maxExtraBytes = 48 << 10
)

// callKind is a callKind of call.
type callKind struct {
	method, path string
	execution    checker.Execution
	// hasKey calls may be sent again under their key.
	hasKey bool
}

var callKinds = []callKind{
	{http.MethodGet, "/rounds/today", checker.Repeatable, false},
	{http.MethodPost, "/claims/new", checker.AtMostOnce, false},
	{http.MethodPost, "/pledges/new", checker.AtMostOnce, true},
}

// caller sends one call after the other and keeps its connections open as long as the
// entries let it. It is not safe for concurrent use.
type caller struct {
	name        string
	entries     []*host
	check       *checker.Checker
	rng         *rand.Rand
	connections map[*host]*connection
	calls       int
}

// connection is an open connection to an entry.
type connection struct {
	conn        net.Conn
	reader      *bufio.Reader
	incarnation int
}

func newCaller(name string, entries []*host, check *checker.Checker, rng *rand.Rand) *caller {
	return &caller{name: name, entries: entries, check: check, rng: rng, connections: make(map[*host]*connection)}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(callKinds[c.rng.IntN(len(callKinds))])
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanCallInterval)))
	}
	for _, conn := range c.connections {
		_ = conn.conn.Close() // nothing more is asked of it
	}
}

// call sends a call until it has an answer, or may not be sent again.
func (c *caller) call(k callKind) {
	c.calls++
	id := fmt.Sprintf("%s-%d", c.name, c.calls)
	extraBytes := c.rng.IntN(maxExtraBytes)
	for i := range maxRequests {
		h := c.entries[c.rng.IntN(len(c.entries))]
		outcome := c.send(h, k, callRequest{callID: id, requestID: fmt.Sprintf("%s/%d", id, i+1), extraBytes: extraBytes})
		if outcome == 0 {
			continue // nobody listens there
		}
		c.check.RecordOutcome(id, k.execution, outcome)
		if outcome == checker.Answered || !k.hasKey {
			return
		}
	}
}

// callRequest is one callRequest of a call.
type callRequest struct {
	callID, requestID string
	// extraBytes is how many bytes the caller asks for beside what it sent.
	extraBytes int
}

// send sends a call once, and returns zero when no connection was to be had.
func (c *caller) send(h *host, k callKind, request callRequest) checker.Outcome {
	conn, err := c.connect(h)
	if err != nil {
		return 0
	}
	sentAt := time.Now()
	r, err := conn.exchange(k, request)
	if err != nil {
		_ = conn.conn.Close() // it is broken
		delete(c.connections, h)
		return c.classifyBroken(h, conn, request, sentAt, err)
	}
	if r.closes {
		_ = conn.conn.Close() // as the entry asks
		delete(c.connections, h)
	}
	return c.classify(r, request.callID, request.extraBytes)
}

func (c *caller) connect(h *host) (*connection, error) {
	if l, ok := c.connections[h]; ok {
		return l, nil
	}
	incarnation, _ := h.state()
	conn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	l := &connection{conn: conn, reader: bufio.NewReader(conn), incarnation: incarnation}
	c.connections[h] = l
	return l, nil
}

// result is a whole result of an entry.
type result struct {
	status int
	body   []byte
	// notRun is whether it promises that the call was not run.
	notRun bool
	// closes is whether the entry closes the connection after it.
	closes bool
}

func (l *connection) exchange(k callKind, s callRequest) (result, error) {
	request, err := http.NewRequest(k.method, "http://"+l.conn.RemoteAddr().String()+k.path+"?bytes="+strconv.Itoa(s.extraBytes), strings.NewReader("pack "+s.callID))
	if err != nil {
		return result{}, err
	}
	request.Header.Set("X-Mark", s.callID)
	request.Header.Set("X-Sending", s.requestID)
	if k.hasKey {
		request.Header.Set("Idempotency-Key", s.callID)
	}
	if err := l.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return result{}, err
	}
	if err := request.Write(l.conn); err != nil {
		return result{}, err
	}
	response, err := http.ReadResponse(l.reader, request)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	notRun := response.Header.Get("Comfreyplank-Outcome") == "not-run"
	return result{status: response.StatusCode, body: body, notRun: notRun, closes: response.Close}, err
}

// classifyBroken judges a connection that ended without an answer. A planned stop must not cut
// off what the entry has read or passed on.
func (c *caller) classifyBroken(h *host, conn *connection, request callRequest, sentAt time.Time, err error) checker.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return checker.Unknown
	}
	stoppedAt, stopping := h.gracefulStop(conn.incarnation)
	started := c.check.HasStarted(request.requestID)
	elapsed := time.Since(sentAt)
	if stopping && (sentAt.Before(stoppedAt.Add(-readMargin)) || started) && !c.check.MayAbort(request.requestID, elapsed, minDeadline) {
		c.check.AddViolation("%s was cut off by the planned stop of %s: sent %s before it, passed on: %t, cut after %s: %v",
			request.requestID, h.process.Name, stoppedAt.Sub(sentAt).Round(time.Millisecond), started, elapsed.Round(time.Millisecond), err)
	}
	return checker.Broken
}

// classify tells what an answer promises, and checks that a whole one is the caller's own.
func (c *caller) classify(r result, callID string, extraBytes int) checker.Outcome {
	switch r.status {
	case http.StatusOK:
		expected := fmt.Appendf(nil, " %s pack %s\n", callID, callID)
		_, rest, ok := bytes.Cut(r.body, expected)
		if !ok || len(rest) != extraBytes || len(bytes.Trim(rest, "x")) > 0 {
			c.check.AddViolation("%s got an answer that isn't its own or not whole: %d bytes, %.60q", callID, len(r.body), r.body)
		}
		return checker.Answered
	case http.StatusNotFound:
		c.check.AddViolation("%s got status 404, and its route is in every document", callID)
	}
	if r.notRun {
		return checker.NotRun
	}
	return checker.Unknown
}
