package dispatcher

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/entry/forwarder"
	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/translator"
)

const replayedHeader = "Comfreyplank-Replayed"

// writeResult sends the result of a call to the caller.
func (s *serviceDispatcher) writeResult(w http.ResponseWriter, r *http.Request, v callResult, id string) {
	switch {
	case v.refusal != nil:
		s.writeRefusal(w, *v.refusal, id)
	case v.replay != nil:
		writeReplay(w, *v.replay, id)
	case v.delivered != nil:
		s.writeResponse(w, r, v.delivered, id)
	default:
		panic(http.ErrAbortHandler) // the attempt has ended meanwhile; no response is no success
	}
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(refusal balancer.Refuse) int {
	switch refusal.Reason {
	case balancer.ReasonKeyMissing, balancer.ReasonKeyTooOld, balancer.ReasonKeyFuture:
		return http.StatusBadRequest
	case balancer.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case balancer.ReasonResponseTooLarge:
		return http.StatusConflict
	case balancer.ReasonTimeout, balancer.ReasonKeyOutcomeUnknown, balancer.ReasonKeyPending:
		return http.StatusGatewayTimeout
	}
	if refusal.Outcome == balancer.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (s *serviceDispatcher) writeRefusal(w http.ResponseWriter, r balancer.Refuse, id string) {
	refusal := translator.Refusal{Status: refusalStatus(r), Outcome: r.Outcome, Detail: string(r.Reason), Request: id}
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = cmp.Or(r.RetryAfter, balancer.RetryAfter)
	}
	s.deps.Callers.Refuse(w, refusal)
}

func writeReplay(w http.ResponseWriter, stored claimer.Response, id string) {
	h := w.Header()
	h.Set(replayedHeader, "true")
	h.Set(translator.RequestHeader, id)
	if stored.ContentType != "" {
		h.Set("Content-Type", stored.ContentType)
	}
	if stored.Location != "" {
		h.Set("Location", stored.Location)
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body) // nothing can be reported to a disconnected caller
}

func (s *serviceDispatcher) writeResponse(w http.ResponseWriter, r *http.Request, t *attempt, id string) {
	httpResponse := t.response.HTTP
	for _, info := range t.response.Informational {
		copyHeader(w.Header(), info.Header)
		w.WriteHeader(info.Status)
		clear(w.Header())
	}
	copyHeader(w.Header(), removeHopByHop(httpResponse.Header))
	s.deps.Callers.PrepareResponse(w.Header(), id)
	if httpResponse.StatusCode == http.StatusServiceUnavailable {
		w.Header().Del("Retry-After") // it speaks of this endpoint, others may serve sooner
	}
	if _, ok := httpResponse.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // keeps the server from guessing
	}
	if t.response.Complete {
		s.writeComplete(w, r, t)
		return
	}
	s.streamBody(w, r, t)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}

func (s *serviceDispatcher) writeComplete(w http.ResponseWriter, r *http.Request, t *attempt) {
	response := t.response
	chunked := len(response.HTTP.Trailer) > 0 && r.ProtoAtLeast(1, 1)
	if r.Method != http.MethodHead && !chunked && bodyAllowed(response.HTTP.StatusCode) {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Prefix)))
	}
	w.WriteHeader(response.HTTP.StatusCode)
	if chunked {
		_ = http.NewResponseController(w).Flush() // trailers need a chunked body
	}
	_, _ = s.deps.Outbound.Writer(r.Context(), w).Write(response.Prefix) // nothing can be reported to a disconnected caller
	s.awaitSending(w, r, t)
	t.ending = balancer.EndingComplete
	close(t.bodyDone)
	writeTrailers(w, response.HTTP)
}

// maxSendingAfterStream is how long the end of a response of unknown length may be held back while the
// rest of the request's body is sent: the caller learns of that end only as the handler returns.
const maxSendingAfterStream = 250 * time.Millisecond

// awaitSending passes the response to the caller, and then lets the rest of the request's body reach
// the endpoint, until the attempt ends.
func (s *serviceDispatcher) awaitSending(w http.ResponseWriter, r *http.Request, t *attempt) {
	sending := t.response.Sending()
	if sending == nil {
		return
	}
	_ = http.NewResponseController(w).Flush() // nothing can be reported to a disconnected caller
	ctx, cancel := t.ctx, context.CancelFunc(func() {})
	hasBody := r.Method != http.MethodHead && bodyAllowed(t.response.HTTP.StatusCode)
	if hasBody && w.Header().Get("Content-Length") == "" {
		ctx, cancel = context.WithTimeout(ctx, maxSendingAfterStream)
	}
	defer cancel()
	select {
	case <-sending:
	case <-ctx.Done():
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// streamBody passes a long body on as it arrives. If the body breaks off, the caller's
// connection is cut too, so that the caller can't take the response for a complete one.
func (s *serviceDispatcher) streamBody(w http.ResponseWriter, r *http.Request, t *attempt) {
	httpResponse := t.response.HTTP
	// Without a length, the body ends with the connection for callers of HTTP/1.0.
	delimited := !r.ProtoAtLeast(1, 1) && w.Header().Get("Content-Length") == ""
	if delimited {
		keeper.ResetOnClose(r.Context(), true)
	}
	w.WriteHeader(httpResponse.StatusCode)
	// An endpoint that pauses would otherwise be held until it sends more.
	stop := context.AfterFunc(r.Context(), t.cancel)
	t.ending = copyBody(w, s.deps.Outbound.Writer(r.Context(), w), t.response)
	if t.ending == balancer.EndingLost {
		s.forwarder.ReportMalformed(t.response)
	}
	if !stop() {
		t.ending = balancer.EndingCancelled
	}
	if t.ending == balancer.EndingComplete {
		s.awaitSending(w, r, t)
	}
	close(t.bodyDone)
	if t.ending != balancer.EndingComplete {
		panic(http.ErrAbortHandler)
	}
	if delimited {
		keeper.ResetOnClose(r.Context(), false)
	}
	writeTrailers(w, httpResponse)
}

// copyBody copies the body, and on failure tells whether the caller's or the endpoint's side
// failed.
func copyBody(w http.ResponseWriter, paced io.Writer, response *forwarder.Response) balancer.Ending {
	dst := &flushWriter{writer: paced, control: http.NewResponseController(w)}
	if _, err := dst.Write(response.Prefix); err != nil {
		return balancer.EndingCancelled
	}
	if _, err := io.Copy(dst, response.HTTP.Body); err == nil {
		return balancer.EndingComplete
	}
	if dst.failed {
		return balancer.EndingCancelled
	}
	return balancer.EndingLost
}

// flushWriter flushes after each write.
type flushWriter struct {
	writer  io.Writer
	control *http.ResponseController
	// failed is set once the caller can't be written to.
	failed bool
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	if err == nil {
		err = f.control.Flush()
	}
	f.failed = f.failed || err != nil
	return n, err
}
