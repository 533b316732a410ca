package dispatcher

import (
	"cmp"
	"io"
	"net/http"
	"strconv"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/entry/forwarder"
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
	response := t.answer.HTTP
	for _, info := range t.answer.Informational {
		copyHeader(w.Header(), info.Header)
		w.WriteHeader(info.Status)
		clear(w.Header())
	}
	copyHeader(w.Header(), removeHopByHop(response.Header))
	s.deps.Callers.PrepareResponse(w.Header(), id)
	if _, ok := response.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // keeps the server from guessing
	}
	if t.answer.Complete {
		s.writeComplete(w, r, t.answer)
		return
	}
	s.streamBody(w, r, t)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}

func (s *serviceDispatcher) writeComplete(w http.ResponseWriter, r *http.Request, answer *forwarder.Response) {
	chunked := len(answer.HTTP.Trailer) > 0
	if r.Method != http.MethodHead && !chunked && bodyAllowed(answer.HTTP.StatusCode) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Prefix)))
	}
	w.WriteHeader(answer.HTTP.StatusCode)
	if chunked {
		_ = http.NewResponseController(w).Flush() // trailers need a chunked body
	}
	_, _ = s.deps.Outbound.Writer(r.Context(), w).Write(answer.Prefix) // nothing can be reported to a disconnected caller
	writeTrailers(w, answer.HTTP)
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
	response := t.answer.HTTP
	w.WriteHeader(response.StatusCode)
	t.ending = copyBody(w, s.deps.Outbound.Writer(r.Context(), w), t.answer)
	close(t.bodyDone)
	if t.ending != balancer.EndingComplete {
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
}

// copyBody copies the body, and on failure tells whether the caller's or the endpoint's side
// failed.
func copyBody(w http.ResponseWriter, paced io.Writer, answer *forwarder.Response) balancer.Ending {
	dst := &flushWriter{writer: paced, control: http.NewResponseController(w)}
	if _, err := dst.Write(answer.Prefix); err != nil {
		return balancer.EndingCancelled
	}
	if _, err := io.Copy(dst, answer.HTTP.Body); err == nil {
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
