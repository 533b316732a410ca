package dispatcher

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/router"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/translator"
)

// Limits of a request's body.
const (
	// maxRetryBodyBytes is the largest body that is kept in memory, so that it can be sent
	// again.
	maxRetryBodyBytes = 64 << 10
	// maxOnceOnlyBodyBytes is the largest body of a once-only request; it is read completely
	// before the request is sent.
	maxOnceOnlyBodyBytes = 1 << 20
)

// readWithinDeadline reads a request, and requires that its body arrive by the call's deadline.
func (d *Dispatcher) readWithinDeadline(r *http.Request, call *balancer.Call, from sender) (forwarder.Request, *translator.Refusal) {
	body := receiver.BodyOf(r)
	if body == nil {
		return d.readRequest(r, nil, call, from)
	}
	limit := d.activeConfig.Load().limits.MaxBodyBytes
	body.Limit(int64(limit))
	body.SetDeadline(call.Deadline)
	defer body.SetDeadline(time.Time{})
	request, problem := d.readRequest(r, body, call, from)
	if errors.Is(body.Err(), receiver.ErrTooLarge) {
		return request, notRunRefusal(http.StatusRequestEntityTooLarge, bodyLimitDetail(limit))
	}
	return request, problem
}

// readRequest reads what the attempts will send. A body too large to be kept can be sent only
// once. The body is nil if the request has none.
func (d *Dispatcher) readRequest(r *http.Request, rest *receiver.Body, call *balancer.Call, from sender) (forwarder.Request, *translator.Refusal) {
	limit := maxRetryBodyBytes
	if call.Execution == router.OnceOnly {
		limit = maxOnceOnlyBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return forwarder.Request{}, bodyRefusal(err)
	}
	request := forwarder.Request{ID: call.Request, Method: r.Method, Target: translator.Target(r), Host: r.Host, Header: d.forwardedHeader(r, call.Request, from), Body: body, ContentLength: int64(len(body))}
	if len(body) <= limit {
		call.Key = r.Header.Get(idempotencyKeyHeader)
		if call.Execution == router.OnceOnly {
			call.Fingerprint = fingerprint(r, call.Workspace, body)
		}
		return request, nil
	}
	if call.Execution == router.OnceOnly {
		return forwarder.Request{}, notRunRefusal(http.StatusRequestEntityTooLarge, "the body of a once-only request is limited to 1 MiB")
	}
	call.Streamed = true
	request.Stream = rest
	request.ContentLength = r.ContentLength
	return request, nil
}

func notRunRefusal(status int, detail string) *translator.Refusal {
	return &translator.Refusal{Status: status, Outcome: balancer.OutcomeNotRun, Detail: detail}
}

// bodyRefusal returns the refusal for a body that could not be read: too slow or invalid.
func bodyRefusal(err error) *translator.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRunRefusal(http.StatusRequestTimeout, "the body did not come in time")
	}
	return notRunRefusal(http.StatusBadRequest, "the body could not be read")
}

// recordCutBody records that the endpoint has not got the whole body of a request: the caller sent no more
// of it, or it was still under way when the request ended.
func (d *Dispatcher) recordCutBody(body *receiver.Body, service, request string) {
	err := body.Err()
	if errors.Is(err, io.EOF) {
		return
	}
	detail := "the request ended first"
	if err != nil {
		detail = err.Error()
	}
	d.deps.Publish(recorder.Event{Kind: recorder.KindBodyCut, Service: service, Request: request, Detail: detail})
}
