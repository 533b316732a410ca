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
	// callTime is how long a caller waits: longer than any route's deadline and a pause.
	callTime = 9 * time.Second
	// callGap is the mean time between two calls of a caller.
	callGap = 15 * time.Millisecond
	// sendings is how often a once-only call is sent until it is answered.
	sendings = 4
	// surelyRead is how long before a stop a request was sent that the entry has surely
	// read by then.
	surelyRead = 200 * time.Millisecond
	// leastDeadline is the least deadline of a route in the operator's documents.
	leastDeadline = 2 * time.Second
	// maxExtra is the most that a caller asks for beside what it sent, in bytes.
	maxExtra = 48 << 10
)

// kind is a kind of call.
type kind struct {
	method, path string
	execution    checker.Execution
	// keyed calls may be sent again under their key.
	keyed bool
}

var kinds = []kind{
	{http.MethodGet, "/rounds/today", checker.Repeatable, false},
	{http.MethodPost, "/claims/new", checker.Once, false},
	{http.MethodPost, "/pledges/new", checker.Once, true},
}

// caller sends one call after the other and keeps its connections open as long as the
// entries let it. It is not safe for concurrent use.
type caller struct {
	name    string
	entries []*host
	check   *checker.Checker
	rand    *rand.Rand
	open    map[*host]*line
	calls   int
}

// line is an open connection to an entry.
type line struct {
	conn   net.Conn
	reader *bufio.Reader
	life   int
}

func newCaller(name string, entries []*host, check *checker.Checker, source *rand.Rand) *caller {
	return &caller{name: name, entries: entries, check: check, rand: source, open: make(map[*host]*line)}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.call(kinds[c.rand.IntN(len(kinds))])
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(callGap)))
	}
	for _, l := range c.open {
		_ = l.conn.Close() // nothing more is asked of it
	}
}

// call sends a call until it has an answer, or may not be sent again.
func (c *caller) call(k kind) {
	c.calls++
	id := fmt.Sprintf("%s-%d", c.name, c.calls)
	extra := c.rand.IntN(maxExtra)
	for n := range sendings {
		h := c.entries[c.rand.IntN(len(c.entries))]
		outcome := c.send(h, k, sending{call: id, name: fmt.Sprintf("%s/%d", id, n+1), extra: extra})
		if outcome == 0 {
			continue // nobody listens there
		}
		c.check.Ended(id, k.execution, outcome)
		if outcome == checker.Answered || !k.keyed {
			return
		}
	}
}

// sending is one sending of a call.
type sending struct {
	call, name string
	// extra is how many bytes the caller asks for beside what it sent.
	extra int
}

// send sends a call once, and returns zero when no connection was to be had.
func (c *caller) send(h *host, k kind, s sending) checker.Outcome {
	l, err := c.connect(h)
	if err != nil {
		return 0
	}
	begun := time.Now()
	a, err := l.exchange(k, s)
	if err != nil {
		_ = l.conn.Close() // it is broken
		delete(c.open, h)
		return c.broken(h, l, s, begun, err)
	}
	if a.last {
		_ = l.conn.Close() // as the entry asks
		delete(c.open, h)
	}
	return c.judge(a, s.call, s.extra)
}

func (c *caller) connect(h *host) (*line, error) {
	if l, ok := c.open[h]; ok {
		return l, nil
	}
	life, _ := h.state()
	conn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	l := &line{conn: conn, reader: bufio.NewReader(conn), life: life}
	c.open[h] = l
	return l, nil
}

// answer is a whole answer of an entry.
type answer struct {
	status int
	body   []byte
	// notRun is whether it promises that the call was not run.
	notRun bool
	// last is whether the entry closes the connection after it.
	last bool
}

func (l *line) exchange(k kind, s sending) (answer, error) {
	request, err := http.NewRequest(k.method, "http://"+l.conn.RemoteAddr().String()+k.path+"?bytes="+strconv.Itoa(s.extra), strings.NewReader("pack "+s.call))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("X-Mark", s.call)
	request.Header.Set("X-Sending", s.name)
	if k.keyed {
		request.Header.Set("Idempotency-Key", s.call)
	}
	if err := l.conn.SetDeadline(time.Now().Add(callTime)); err != nil {
		return answer{}, err
	}
	if err := request.Write(l.conn); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(l.reader, request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	notRun := response.Header.Get("Comfreyplank-Outcome") == "not-run"
	return answer{status: response.StatusCode, body: body, notRun: notRun, last: response.Close}, err
}

// broken judges a connection that ended without an answer. A planned stop must not cut
// off what the entry has read or passed on.
func (c *caller) broken(h *host, l *line, s sending, begun time.Time, err error) checker.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return checker.Unknown
	}
	at, stopping := h.stopping(l.life)
	passedOn := c.check.PassedOn(s.name)
	took := time.Since(begun)
	if stopping && (begun.Before(at.Add(-surelyRead)) || passedOn) && !c.check.MayBreakOff(s.name, took, leastDeadline) {
		c.check.Violated("%s was cut off by the planned stop of %s: sent %s before it, passed on: %t, cut after %s: %v",
			s.name, h.process.Name, at.Sub(begun).Round(time.Millisecond), passedOn, took.Round(time.Millisecond), err)
	}
	return checker.Broken
}

// judge tells what an answer promises, and checks that a whole one is the caller's own.
func (c *caller) judge(a answer, id string, extra int) checker.Outcome {
	switch a.status {
	case http.StatusOK:
		own := fmt.Appendf(nil, " %s pack %s\n", id, id)
		_, rest, ok := bytes.Cut(a.body, own)
		if !ok || len(rest) != extra || len(bytes.Trim(rest, "x")) > 0 {
			c.check.Violated("%s got an answer that isn't its own or not whole: %d bytes, %.60q", id, len(a.body), a.body)
		}
		return checker.Answered
	case http.StatusNotFound:
		c.check.Violated("%s got status 404, and its route is in every document", id)
	}
	if a.notRun {
		return checker.NotRun
	}
	return checker.Unknown
}
