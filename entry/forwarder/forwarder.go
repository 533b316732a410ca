// Package forwarder sends attempts to endpoints over pooled connections and reads the
// responses. It carries out the balancer's decisions: which endpoint to use, and which
// connections are eligible.
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
	"comfreyplank.org/entry/inspector"
	"comfreyplank.org/entry/pacer"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/translator"
)

// MaxBufferedBytes is the size of the largest response body that is read completely before its
// first byte goes to the caller.
const MaxBufferedBytes = 64 << 10

// Response is an endpoint's response, with the part of its body that was read ahead.
type Response struct {
	HTTP *http.Response
	// Prefix is the body, or the part of it that was read ahead.
	Prefix []byte
	// Complete is set when Prefix is the whole body.
	Complete bool
	// Informational holds the 1xx responses that came first.
	Informational []Informational
	// Report is the load report in the response.
	Report balancer.Report

	pool       *pool
	connection *connection
	// endpoint and request name the attempt.
	endpoint, request string
	// sending is the forwarding of a streamed request body; nil if the request was sent before
	// the response was read.
	sending *sending
	// stopInterrupt detaches the connection from the attempt's context, and reports whether the
	// connection was not interrupted.
	stopInterrupt func() bool
}

// Informational is a response with a 1xx status.
type Informational struct {
	Status int
	Header http.Header
}

// Request is what an attempt sends. Each attempt sends Body from its start.
type Request struct {
	// ID identifies the request in reports of malformed responses.
	ID     string
	Method string
	// Target is the request target, which endpoints get byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Stream is the rest of a body too large to be kept; it can be sent only once.
	Stream        *receiver.Body
	ContentLength int64
}

// Forwarder holds the connection pools of one service.
type Forwarder struct {
	now      func() time.Time
	protocol translator.Endpoints
	// inbound paces the bodies of responses.
	inbound pacer.Pacer
	// reportMalformed is called for each response that breaks a rule.
	reportMalformed func(Malformed)

	// group holds the goroutines that send long bodies.
	group sync.WaitGroup
	mu    sync.Mutex
	pools map[string]*pool
	// trimmer closes idle connections that can't be used again. trimScheduled is set while its
	// timer runs, which is as long as there may be idle connections.
	trimmer       *time.Timer
	trimScheduled bool
	closed        bool
}

// Malformed is a response that broke a rule of the protocol. Its attempt or probe is lost.
type Malformed struct {
	Endpoint string
	// Request is the ID of the request; empty for a probe.
	Request string
	// Rule is the rule that was broken.
	Rule *inspector.Violation
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithMalformed has a function called for each malformed response.
func WithMalformed(report func(Malformed)) Option {
	return func(f *Forwarder) { f.reportMalformed = report }
}

// New returns a forwarder without connections.
func New(now func() time.Time, protocol translator.Endpoints, inbound pacer.Pacer, options ...Option) *Forwarder {
	f := &Forwarder{now: now, protocol: protocol, inbound: inbound, reportMalformed: func(Malformed) {}, pools: make(map[string]*pool)}
	for _, option := range options {
		option(f)
	}
	f.trimmer = time.AfterFunc(trimInterval, f.trim)
	f.trimmer.Stop()
	return f
}

// trimInterval is how often idle connections are checked: often enough to close one soon if its
// endpoint keeps sending.
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

// trim closes idle connections that can't be used again, and schedules the next run while idle
// connections remain.
func (f *Forwarder) trim() {
	f.mu.Lock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	f.trimScheduled = false
	f.mu.Unlock()
	remaining := 0
	for _, p := range pools {
		remaining += p.trim(balancer.MaxIdleRepeatable)
	}
	if remaining > 0 {
		f.scheduleTrim()
	}
}

// scheduleTrim starts the trimmer's timer unless it is running.
func (f *Forwarder) scheduleTrim() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.trimScheduled && !f.closed {
		f.trimScheduled = true
		f.trimmer.Reset(trimInterval)
	}
}

// Close stops the trimmer. Connections in use stay open until their attempts end.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.trimmer.Stop()
}

// Send makes one attempt. It returns a response, which the caller must Finish, or an ending
// that tells how the attempt failed.
func (f *Forwarder) Send(ctx context.Context, d balancer.Dispatch, r Request) (*Response, balancer.Ending) {
	p := f.pool(d.Address)
	policy := f.connectionPolicy(d, r)
	for {
		c, reused, err := p.get(ctx, policy)
		if err != nil {
			return nil, balancer.EndingNotSent
		}
		before := c.written.Load()
		answer, err := f.sendOn(ctx, p, c, d, r)
		if err == nil {
			answer.endpoint, answer.request = d.Endpoint, r.ID
			return f.classify(answer.HTTP.Request.Header, answer)
		}
		f.reportViolation(c, d.Endpoint, r.ID)
		p.discard(c) // first, as a streamed body may be written until then
		sent := c.written.Load() != before
		if sent || !reused || r.Stream != nil || ctx.Err() != nil {
			return nil, classifyFailure(ctx, sent)
		}
	}
}

// connectionPolicy excludes idle connections for a request whose response could be taken for that to an
// earlier one: an endpoint may write a response again.
func (f *Forwarder) connectionPolicy(d balancer.Dispatch, r Request) balancer.ConnectionPolicy {
	policy := d.ConnectionPolicy
	if !f.mayReuse(r.Header) {
		policy.MaxIdle = noIdle
	}
	return policy
}

// noIdle is shorter than any connection has been idle.
const noIdle = -1

// classifyFailure returns the ending of a failed exchange. A request of which nothing was
// written was not run, even if its time ran out meanwhile.
func classifyFailure(ctx context.Context, sent bool) balancer.Ending {
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

// classify recognises a refusal, and the response to another request.
func (f *Forwarder) classify(sent http.Header, a *Response) (*Response, balancer.Ending) {
	a.HTTP.Close = a.HTTP.Close || !f.mayReuse(sent)
	ending := f.protocol.ClassifyResponse(sent, a.HTTP)
	if ending == balancer.EndingComplete {
		return a, ending
	}
	// After the response to another request, the connection's further bytes can't be trusted.
	f.Finish(a, a.Complete && ending == balancer.EndingRefused && f.identifiesRefusals())
	return a, ending
}

// mayReuse reports whether a later request may use the connection of a request.
func (f *Forwarder) mayReuse(sent http.Header) bool {
	return f.protocol.Unidentified == nil || !f.protocol.Unidentified(sent)
}

// identifiesRefusals reports whether a refusal tells which request it refuses. Where it doesn't, an endpoint
// that writes it again would refuse the next request on the connection, which it runs.
func (f *Forwarder) identifiesRefusals() bool { return f.protocol.Unidentified != nil }

func (f *Forwarder) sendOn(ctx context.Context, p *pool, c *connection, d balancer.Dispatch, r Request) (*Response, error) {
	var rest *receiver.Transfer
	if r.Stream != nil {
		rest = r.Stream.Transfer()
	}
	request, err := f.buildRequest(ctx, d, r, rest)
	if err != nil {
		return nil, err
	}
	return f.exchange(ctx, p, c, request, rest)
}

// exchange sends a request over a connection and reads its response, up to the number of bytes
// that are buffered. The rest of the request's body is nil unless the body is streamed.
func (f *Forwarder) exchange(ctx context.Context, p *pool, c *connection, request outgoing, rest *receiver.Transfer) (*Response, error) {
	stopInterrupt := c.interruptOnDone(ctx)
	response, informational, sending, err := c.roundTrip(request, rest) //nolint:bodyclose // Finish ends it with the connection
	if err != nil {
		stopInterrupt()
		return nil, err
	}
	answer := &Response{
		HTTP: response, Informational: informational, Report: f.protocol.Report(request.Header, response),
		pool: p, connection: c, sending: sending, stopInterrupt: stopInterrupt,
	}
	if sending != nil && endsWithConnection(response) {
		response.Body = &unframedBody{response.Body, sending}
	}
	response.Body = f.inbound.Body(ctx, response.Body)
	answer.Prefix, answer.Complete, err = readAhead(response.Body, response.ContentLength)
	if err != nil {
		stopInterrupt()
		return nil, err
	}
	return answer, nil
}

// readAhead reads a body to its end, or up to the number of bytes that are buffered. The length
// is negative when it is not known.
func readAhead(body io.Reader, length int64) (prefix []byte, complete bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(length, 0), MaxBufferedBytes)+bytes.MinRead))
	n, err := buffer.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read response body")
	}
	return buffer.Bytes(), n <= MaxBufferedBytes, nil
}

// ReportMalformed reports a response whose body broke a rule after its head was delivered. It must not be called while
// the body is read.
func (f *Forwarder) ReportMalformed(a *Response) {
	f.reportViolation(a.connection, a.endpoint, a.request)
}

func (f *Forwarder) reportViolation(c *connection, endpoint, request string) {
	if violation := c.inspector.Violation(); violation != nil {
		f.reportMalformed(Malformed{Endpoint: endpoint, Request: request, Rule: violation})
	}
}

// Sending returns a channel that is closed once nothing more of the request is sent. It returns nil
// if the request was sent before its response.
func (a *Response) Sending() <-chan struct{} {
	if a.sending == nil {
		return nil
	}
	return a.sending.done
}

// Finish returns the response's connection to its pool, or closes it unless the whole request was
// sent and the whole body read.
func (f *Forwarder) Finish(a *Response, complete bool) {
	uninterrupted := a.stopInterrupt()
	sent := a.sending == nil || a.sending.complete()
	if !complete || !sent || !uninterrupted || a.HTTP.Close {
		a.pool.discard(a.connection)
		return
	}
	a.pool.put(a.connection)
	f.scheduleTrim()
}

// buildRequest returns the HTTP request for one attempt.
func (f *Forwarder) buildRequest(ctx context.Context, d balancer.Dispatch, r Request, rest *receiver.Transfer) (outgoing, error) {
	if err := checkTarget(r.Target); err != nil {
		return outgoing{}, err
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.Address+"/", r.bodyReader(rest))
	if err != nil {
		return outgoing{}, errors.Wrap(err, "build request")
	}
	request.Host = r.Host
	request.ContentLength = r.ContentLength
	request.Header = r.Header.Clone()
	remaining := max(time.Millisecond, d.Deadline.Sub(f.now()))
	f.protocol.PrepareAttempt(request.Header, translator.Attempt{Endpoint: d.Endpoint, Number: d.Number, Remaining: remaining})
	return outgoing{request, r.Target}, nil
}

func (r Request) bodyReader(rest *receiver.Transfer) io.Reader {
	switch {
	case rest != nil:
		return io.MultiReader(bytes.NewReader(r.Body), rest)
	case len(r.Body) == 0:
		return nil
	}
	return bytes.NewReader(r.Body)
}

// Probe requests an endpoint's load report, and returns it with the ending of the probe.
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
	answer, err := f.exchange(ctx, p, c, outgoing{request, request.URL.RequestURI()}, nil)
	if err != nil {
		f.reportViolation(c, v.Endpoint, "")
		p.discard(c)
		return balancer.NoReport, balancer.EndingLost
	}
	ending := f.protocol.ClassifyProbe(v.Endpoint, answer.HTTP)
	f.Finish(answer, answer.Complete && (ending == balancer.EndingComplete || f.identifiesRefusals()))
	return answer.Report, ending
}
