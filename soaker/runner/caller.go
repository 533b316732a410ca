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
	"comfreyplank.org/standin/responder"
)

const (
	// callTimeout is how long a caller waits for a response: longer than any route's
	// deadline plus a pause of a process.
	callTimeout = 9 * time.Second
	// meanCallInterval is the mean of the exponentially distributed pause between two calls
	// of a caller.
	meanCallInterval = 15 * time.Millisecond
	// maxRequests limits how often a call is sent until it is answered. A call without a key
	// is sent again only if no connection could be opened.
	maxRequests = 4
	// readMargin is how long before a planned stop a request must have been sent for the
	// entry to have read it for certain.
	readMargin = 200 * time.Millisecond
	// minDeadline is the shortest deadline of a route in the operator's documents.
	minDeadline = 2 * time.Second
	// maxExtraBytes limits the padding that a caller requests in a response.
	maxExtraBytes = 48 << 10
)

// callKind describes the calls to one route.
type callKind struct {
	method, path string
	execution    checker.Execution
	// hasKey tells whether calls carry an idempotency key, under which they may be sent
	// again.
	hasKey bool
}

var callKinds = []callKind{
	{http.MethodGet, "/rounds/today", checker.Repeatable, false},
	{http.MethodPost, "/claims/new", checker.AtMostOnce, false},
	{http.MethodPost, "/pledges/new", checker.AtMostOnce, true},
}

// caller sends one call after the other and reuses its connections until the entries close
// them. It is not safe for concurrent use.
type caller struct {
	name        string
	entries     []*host
	check       *checker.Checker
	rand        *rand.Rand
	connections map[*host]*connection
	calls       int
}

// connection is an open connection to an entry.
type connection struct {
	netConn     net.Conn
	reader      *bufio.Reader
	incarnation int
}

func newCaller(name string, entries []*host, check *checker.Checker, rng *rand.Rand) *caller {
	return &caller{name: name, entries: entries, check: check, rand: rng, connections: make(map[*host]*connection)}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(callKinds[c.rand.IntN(len(callKinds))])
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(meanCallInterval)))
	}
	for _, conn := range c.connections {
		_ = conn.netConn.Close() // no request is under way
	}
}

// call sends a call until it is answered or may not be sent again.
func (c *caller) call(k callKind) {
	c.calls++
	id := fmt.Sprintf("%s-%d", c.name, c.calls)
	extraBytes := c.rand.IntN(maxExtraBytes)
	for i := range maxRequests {
		h := c.entries[c.rand.IntN(len(c.entries))]
		outcome := c.send(h, k, callRequest{call: id, name: fmt.Sprintf("%s/%d", id, i+1), extraBytes: extraBytes})
		if outcome == 0 {
			continue // the entry doesn't listen
		}
		c.check.RecordOutcome(id, k.execution, outcome)
		if outcome == checker.Answered || !k.hasKey {
			return
		}
	}
}

// callRequest is one request of a call; a call with a key may take several.
type callRequest struct {
	// call is the ID of the call, and name the ID of this request.
	call, name string
	// extraBytes is the length of the padding that the caller requests in the response.
	extraBytes int
}

// send sends a call once. It returns zero if no connection could be opened.
func (c *caller) send(h *host, k callKind, request callRequest) checker.Outcome {
	conn, err := c.connect(h)
	if err != nil {
		return 0
	}
	sentAt := time.Now()
	c.check.Sent(sentAt, request.name, processID(h, conn.incarnation))
	r, err := conn.exchange(k, request)
	if err != nil {
		_ = conn.netConn.Close() // already broken
		delete(c.connections, h)
		return c.classifyBroken(h, conn, request, sentAt, err)
	}
	c.check.PassedOn(time.Now(), request.name, r.endpoint)
	if r.closes {
		_ = conn.netConn.Close() // requested by the entry
		delete(c.connections, h)
	}
	return c.classify(r, request.call, request.extraBytes)
}

func (c *caller) connect(h *host) (*connection, error) {
	if conn, ok := c.connections[h]; ok {
		return conn, nil
	}
	incarnation, _ := h.state()
	netConn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	conn := &connection{netConn: netConn, reader: bufio.NewReader(netConn), incarnation: incarnation}
	c.connections[h] = conn
	return conn, nil
}

// result is a complete response of an entry.
type result struct {
	status int
	body   []byte
	// notRun tells whether the entry guarantees that the call was not run.
	notRun bool
	// endpoint is the one that gave the response; empty if the entry did.
	endpoint string
	// closes tells whether the entry closes the connection after the response.
	closes bool
}

func (c *connection) exchange(k callKind, s callRequest) (result, error) {
	request, err := http.NewRequest(k.method, "http://"+c.netConn.RemoteAddr().String()+k.path+"?bytes="+strconv.Itoa(s.extraBytes), strings.NewReader("pack "+s.call))
	if err != nil {
		return result{}, err
	}
	request.Header.Set("X-Mark", s.call)
	request.Header.Set("X-Sending", s.name)
	if k.hasKey {
		request.Header.Set("Idempotency-Key", s.call)
	}
	if err := c.netConn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return result{}, err
	}
	if err := request.Write(c.netConn); err != nil {
		return result{}, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = response.Body.Close() }() // already read to its end
	body, err := io.ReadAll(response.Body)
	notRun := response.Header.Get("Comfreyplank-Outcome") == "not-run"
	return result{status: response.StatusCode, body: body, notRun: notRun, endpoint: response.Header.Get(responder.NameHeader), closes: response.Close}, err
}

// classifyBroken returns the outcome of a request whose connection ended without a complete
// response. A planned stop must not interrupt a request that the entry has read or passed
// on to an endpoint.
func (c *caller) classifyBroken(h *host, conn *connection, request callRequest, sentAt time.Time, err error) checker.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return checker.Unknown
	}
	stoppedAt, gracefulStop := h.gracefulStop(conn.incarnation)
	started := c.check.HasStarted(request.name)
	now := time.Now()
	if gracefulStop && (sentAt.Before(stoppedAt.Add(-readMargin)) || started) && !c.check.MayAbort(now, request.name, sentAt, minDeadline) {
		c.check.AddViolation("%s was cut off by the planned stop of %s: sent %s before it, passed on: %t, cut after %s: %v",
			request.name, h.process.Name, stoppedAt.Sub(sentAt).Round(time.Millisecond), started, now.Sub(sentAt).Round(time.Millisecond), err)
	}
	return checker.Broken
}

// classify returns the outcome that a response guarantees, and checks that a successful
// response is complete and belongs to this call.
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
