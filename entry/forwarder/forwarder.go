// Package forwarder sends attempts to endpoints over connections of its own pool
// and reads their answers. It carries out what the balancer decided: which
// endpoint, and which connections may be used.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/reporter"
)

// Headers between the system, callers and endpoints.
const (
	TimeoutHeader = "Comfreyplank-Timeout-Ms"
	AttemptHeader = "Comfreyplank-Attempt"
	RequestHeader = "Comfreyplank-Request-Id"
	LoadHeader    = "Endpoint-Load-Metrics"
	// ProbePath answers a probe with a LoadHeader.
	ProbePath = "/comfreyplank/v1/probe"
)

// WholeBytes is the largest answer that is read to its end before its first byte
// goes to the caller.
const WholeBytes = 64 << 10

// Answer is an endpoint's answer.
type Answer struct {
	Response *http.Response
	// Prefix is the body, or the part of it that was read ahead.
	Prefix []byte
	// Whole is set when Prefix is the whole body.
	Whole bool
	// Informational are the 1xx answers that came before.
	Informational []Informational
	// Report is the load that came with the answer.
	Report balancer.Report

	pool       *pool
	connection *connection
}

// Informational is an answer with a 1xx status.
type Informational struct {
	Status int
	Header http.Header
}

// Request is what an attempt sends. Body is sent from its start by each attempt.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Stream is the rest of a body too large to be kept; it can be read once.
	Stream        io.Reader
	ContentLength int64
}

// Forwarder holds the pools of one service.
type Forwarder struct {
	now func() time.Time

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a forwarder without connections.
func New(now func() time.Time) *Forwarder {
	return &Forwarder{now: now, pools: make(map[string]*pool)}
}

func (f *Forwarder) pool(address string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[address]
	if !ok {
		p = &pool{address: address, now: f.now}
		f.pools[address] = p
	}
	return p
}

// Retire closes the connections to an address.
func (f *Forwarder) Retire(address string) {
	f.mu.Lock()
	p, ok := f.pools[address]
	delete(f.pools, address)
	f.mu.Unlock()
	if ok {
		p.retire()
	}
}

// Trim closes connections that have been quiet for too long.
func (f *Forwarder) Trim(quiet time.Duration) {
	f.mu.Lock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	f.mu.Unlock()
	for _, p := range pools {
		p.trim(quiet)
	}
}

// Send makes one attempt. Either there is an answer, which the caller must Finish,
// or the ending says how the attempt failed.
func (f *Forwarder) Send(ctx context.Context, d balancer.Dispatch, r Request) (*Answer, balancer.Ending) {
	p := f.pool(d.Address)
	for {
		c, reused, err := p.get(ctx, d.Connection)
		if err != nil {
			return nil, balancer.EndingNotSent
		}
		before := c.conn.written.Load()
		answer, err := f.exchange(ctx, p, c, d, r)
		if err == nil {
			return f.judge(answer)
		}
		sent := c.conn.written.Load() != before
		p.discard(c)
		if sent || !reused || r.Stream != nil || ctx.Err() != nil {
			return nil, endingOf(ctx, sent)
		}
	}
}

// endingOf names a failed exchange. What was not written was not run, also when
// time ran out meanwhile.
func endingOf(ctx context.Context, sent bool) balancer.Ending {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.EndingCancelled
	case !sent:
		return balancer.EndingNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.EndingTimeout
	}
	return balancer.EndingLost
}

// judge takes an explicit refusal for what it is.
func (f *Forwarder) judge(a *Answer) (*Answer, balancer.Ending) {
	refused := a.Response.StatusCode == http.StatusServiceUnavailable &&
		a.Response.Header.Get(reporter.OutcomeHeader) == reporter.OutcomeNotRun
	if !refused {
		return a, balancer.EndingComplete
	}
	f.Finish(a, a.Whole)
	return a, balancer.EndingRefused
}

func (f *Forwarder) exchange(ctx context.Context, p *pool, c *connection, d balancer.Dispatch, r Request) (*Answer, error) {
	answer := &Answer{pool: p, connection: c}
	trace := &httptrace.ClientTrace{Got1xxResponse: answer.addInformational}
	request, err := r.outgoing(httptrace.WithClientTrace(ctx, trace), d, f.now())
	if err != nil {
		return nil, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrap(err, "exchange with endpoint")
	}
	answer.Response = response
	answer.Report = ParseLoad(response.Header.Get(LoadHeader))
	answer.Prefix, answer.Whole, err = readAhead(response.Body)
	if err != nil {
		_ = response.Body.Close() // the connection is discarded
		return nil, err
	}
	return answer, nil
}

func (a *Answer) addInformational(code int, header textproto.MIMEHeader) error {
	if code != http.StatusContinue {
		a.Informational = append(a.Informational, Informational{code, http.Header(header).Clone()})
	}
	return nil
}

// readAhead reads a body to its end, or as much of it as is kept.
func readAhead(body io.Reader) (prefix []byte, whole bool, err error) {
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, body, WholeBytes+1)
	if errors.Is(err, io.EOF) {
		return buffer.Bytes(), true, nil
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "read answer")
	}
	return buffer.Bytes(), n <= WholeBytes, nil
}

// Finish gives the answer's connection back, or closes it unless the whole body
// was read.
func (f *Forwarder) Finish(a *Answer, whole bool) {
	_ = a.Response.Body.Close() // read to its end, or discarded
	if !whole || a.Response.Close {
		a.pool.discard(a.connection)
		return
	}
	a.pool.put(a.connection)
}

// outgoing returns the request as one attempt sends it.
func (r Request) outgoing(ctx context.Context, d balancer.Dispatch, now time.Time) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.Address+r.URI, r.body())
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Host = r.Host
	request.ContentLength = r.ContentLength
	request.Header = r.Header.Clone()
	request.Header.Set(TimeoutHeader, strconv.FormatInt(max(1, d.Deadline.Sub(now).Milliseconds()), 10))
	request.Header.Set(AttemptHeader, strconv.Itoa(d.Number))
	return request, nil
}

func (r Request) body() io.Reader {
	switch {
	case r.Stream != nil:
		return io.MultiReader(bytes.NewReader(r.Body), r.Stream)
	case len(r.Body) == 0:
		return nil
	}
	// Without the reader's type the transport can't send the body again by itself.
	return struct{ io.Reader }{bytes.NewReader(r.Body)}
}

// Probe asks an endpoint for its load.
func (f *Forwarder) Probe(ctx context.Context, address string) (balancer.Report, bool) {
	p := f.pool(address)
	c, _, err := p.get(ctx, balancer.Connection{MaxQuiet: balancer.AnyQuiet, MaxOpen: 1})
	if err != nil {
		return balancer.Report{Load: -1}, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ProbePath, nil)
	if err != nil {
		p.discard(c)
		return balancer.Report{Load: -1}, false
	}
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // Finish closes it
	if err != nil {
		p.discard(c)
		return balancer.Report{Load: -1}, false
	}
	answer := &Answer{Response: response, pool: p, connection: c}
	_, whole, err := readAhead(response.Body)
	f.Finish(answer, whole && err == nil)
	return ParseLoad(response.Header.Get(LoadHeader)), err == nil && response.StatusCode < http.StatusInternalServerError
}

// ParseLoad reads a load header such as "load=3, state=serving". What is missing
// or wrong is unknown.
func ParseLoad(value string) balancer.Report {
	report := balancer.Report{Load: -1}
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "load":
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				report.Load = n
			}
		case "state":
			report.State = stateOf(text)
		}
	}
	return report
}

func stateOf(text string) registrar.State {
	switch s := registrar.State(text); s {
	case registrar.StateStarting, registrar.StateServing, registrar.StateDraining:
		return s
	}
	return ""
}
