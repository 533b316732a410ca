// Package forwarder sends attempts to endpoints over connections of its own pool
// and reads their answers. It carries out what the balancer decided: which
// endpoint, and which connections may be used.
package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/translator"
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
	// release stops the interruption by the attempt's context, and reports whether
	// it had not come.
	release func() bool
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
	now      func() time.Time
	protocol translator.Endpoints
	// inbound paces the bodies of answers.
	inbound pacer.Pacer

	// group holds the goroutines that send long bodies.
	group sync.WaitGroup
	mu    sync.Mutex
	pools map[string]*pool
	// trimmer closes idle connections that can't be used again; trims is set while it runs,
	// as there are some.
	trimmer *time.Timer
	trims   bool
	closed  bool
}

// New returns a forwarder without connections.
func New(now func() time.Time, protocol translator.Endpoints, inbound pacer.Pacer) *Forwarder {
	f := &Forwarder{now: now, protocol: protocol, inbound: inbound, pools: make(map[string]*pool)}
	f.trimmer = time.AfterFunc(trimInterval, f.trim)
	f.trimmer.Stop()
	return f
}

// trimInterval is how often idle connections are looked at: often enough that one whose
// endpoint goes on sending is closed soon.
const trimInterval = 5 * time.Second

func (f *Forwarder) pool(address string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[address]
	if !ok {
		p = &pool{address: address, now: f.now, group: &f.group}
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

// trim closes idle connections that can't be used again, and comes back as long as there are
// others.
func (f *Forwarder) trim() {
	f.mu.Lock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	f.trims = false
	f.mu.Unlock()
	left := 0
	for _, p := range pools {
		left += p.trim(balancer.MaxIdleRepeatable)
	}
	if left > 0 {
		f.trimLater()
	}
}

// trimLater sets the trimmer, unless it runs already.
func (f *Forwarder) trimLater() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.trims && !f.closed {
		f.trims = true
		f.trimmer.Reset(trimInterval)
	}
}

// Close ends what the forwarder does by itself. Connections stay with their attempts.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.trimmer.Stop()
}

// Send makes one attempt. Either there is an answer, which the caller must Finish,
// or the ending says how the attempt failed.
func (f *Forwarder) Send(ctx context.Context, d balancer.Dispatch, r Request) (*Answer, balancer.Ending) {
	p := f.pool(d.Address)
	for {
		c, reused, err := p.get(ctx, d.ConnectionPolicy)
		if err != nil {
			return nil, balancer.EndingNotSent
		}
		before := c.written.Load()
		answer, err := f.exchange(ctx, p, c, d, r)
		if err == nil {
			return f.judge(answer.Response.Request.Header, answer)
		}
		sent := c.written.Load() != before
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

// judge takes a refusal, or the answer to another request, for what it is.
func (f *Forwarder) judge(sent http.Header, a *Answer) (*Answer, balancer.Ending) {
	ending := f.protocol.ClassifyResponse(sent, a.Response)
	if ending == balancer.EndingComplete {
		return a, ending
	}
	// What follows the answer to another request on the connection can't be trusted.
	f.Finish(a, a.Whole && ending == balancer.EndingRefused)
	return a, ending
}

func (f *Forwarder) exchange(ctx context.Context, p *pool, c *connection, d balancer.Dispatch, r Request) (*Answer, error) {
	request, err := f.outgoing(ctx, d, r)
	if err != nil {
		return nil, err
	}
	return f.converse(ctx, p, c, request, r.Stream != nil)
}

// converse sends a request over a connection and reads its answer, or as much of
// it as is kept.
func (f *Forwarder) converse(ctx context.Context, p *pool, c *connection, request *http.Request, streamed bool) (*Answer, error) {
	release := c.interruptWith(ctx)
	response, informational, err := c.roundTrip(request, streamed) //nolint:bodyclose // Finish ends it with the connection
	if err != nil {
		release()
		return nil, err
	}
	answer := &Answer{
		Response: response, Informational: informational, Report: f.protocol.Report(response.Header),
		pool: p, connection: c, release: release,
	}
	response.Body = f.inbound.Body(ctx, response.Body)
	answer.Prefix, answer.Whole, err = readAhead(response.Body, response.ContentLength)
	if err != nil {
		release()
		return nil, err
	}
	return answer, nil
}

// readAhead reads a body to its end, or as much of it as is kept. The length is
// negative when it is not known.
func readAhead(body io.Reader, length int64) (prefix []byte, whole bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(length, 0), WholeBytes)+bytes.MinRead))
	n, err := buffer.ReadFrom(io.LimitReader(body, WholeBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read answer")
	}
	return buffer.Bytes(), n <= WholeBytes, nil
}

// Finish gives the answer's connection back, or closes it unless the whole body
// was read.
func (f *Forwarder) Finish(a *Answer, whole bool) {
	alone := a.release()
	if !whole || !alone || a.Response.Close {
		a.pool.discard(a.connection)
		return
	}
	a.pool.put(a.connection)
	f.trimLater()
}

// outgoing returns the request as one attempt sends it.
func (f *Forwarder) outgoing(ctx context.Context, d balancer.Dispatch, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.Address+r.URI, r.body())
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Host = r.Host
	request.ContentLength = r.ContentLength
	request.Header = r.Header.Clone()
	left := max(time.Millisecond, d.Deadline.Sub(f.now()))
	f.protocol.PrepareAttempt(request.Header, translator.Attempt{Endpoint: d.Endpoint, Number: d.Number, Remaining: left})
	return request, nil
}

func (r Request) body() io.Reader {
	switch {
	case r.Stream != nil:
		return io.MultiReader(bytes.NewReader(r.Body), r.Stream)
	case len(r.Body) == 0:
		return nil
	}
	return bytes.NewReader(r.Body)
}

// Probe asks an endpoint for its load, and says how that ended.
func (f *Forwarder) Probe(ctx context.Context, v balancer.Probe) (balancer.Report, balancer.Ending) {
	p := f.pool(v.Address)
	c, _, err := p.get(ctx, balancer.ConnectionPolicy{MaxIdle: balancer.MaxIdleRepeatable, MaxOpen: 1})
	if err != nil {
		return balancer.NoReport, balancer.EndingNotSent
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Address+cmp.Or(v.Path, translator.ProbePath), nil)
	if err != nil {
		p.discard(c)
		return balancer.NoReport, balancer.EndingNotSent
	}
	answer, err := f.converse(ctx, p, c, request, false)
	if err != nil {
		p.discard(c)
		return balancer.NoReport, balancer.EndingLost
	}
	f.Finish(answer, answer.Whole)
	return answer.Report, f.protocol.ClassifyProbe(v.Endpoint, answer.Response)
}
