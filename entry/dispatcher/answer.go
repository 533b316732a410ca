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

// write passes a verdict on to the caller.
func (l *lane) write(w http.ResponseWriter, r *http.Request, v verdict, id string) {
	switch {
	case v.refuse != nil:
		l.writeRefusal(w, *v.refuse, id)
	case v.replay != nil:
		writeStored(w, *v.replay, id)
	case v.answer != nil:
		l.writeAnswer(w, r, v.answer, id)
	}
}

// statusOf returns the status of a refusal.
func statusOf(r balancer.Refuse) int {
	switch r.Reason {
	case balancer.ReasonKeyMissing, balancer.ReasonKeyTooOld, balancer.ReasonKeyFuture:
		return http.StatusBadRequest
	case balancer.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case balancer.ReasonResponseTooLarge:
		return http.StatusConflict
	case balancer.ReasonTimeout, balancer.ReasonKeyOutcomeUnknown, balancer.ReasonKeyPending:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == balancer.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (l *lane) writeRefusal(w http.ResponseWriter, r balancer.Refuse, id string) {
	refusal := translator.Refusal{Status: statusOf(r), Outcome: r.Outcome, Detail: string(r.Reason), Request: id}
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = cmp.Or(r.RetryAfter, balancer.RetryAfter)
	}
	l.around.Callers.Refuse(w, refusal)
}

func writeStored(w http.ResponseWriter, a claimer.Response, id string) {
	h := w.Header()
	h.Set(replayedHeader, "true")
	h.Set(translator.RequestHeader, id)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.Location != "" {
		h.Set("Location", a.Location)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that has gone can't be told
}

func (l *lane) writeAnswer(w http.ResponseWriter, r *http.Request, t *attempt, id string) {
	response := t.answer.Response
	for _, info := range t.answer.Informational {
		copyHeader(w.Header(), info.Header)
		w.WriteHeader(info.Status)
		clear(w.Header())
	}
	copyHeader(w.Header(), withoutHops(response.Header))
	l.around.Callers.PrepareResponse(w.Header(), id)
	if _, ok := response.Header["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // keeps the server from guessing
	}
	if t.answer.Whole {
		l.writeWhole(w, r, t.answer)
		return
	}
	l.stream(w, r, t)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

func (l *lane) writeWhole(w http.ResponseWriter, r *http.Request, a *forwarder.Answer) {
	chunked := len(a.Response.Trailer) > 0
	if r.Method != http.MethodHead && !chunked && bodyAllowed(a.Response.StatusCode) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Prefix)))
	}
	w.WriteHeader(a.Response.StatusCode)
	if chunked {
		_ = http.NewResponseController(w).Flush() // trailers need a chunked body
	}
	_, _ = l.around.Outbound.Writer(r.Context(), w).Write(a.Prefix) // a caller that has gone can't be told
	writeTrailers(w, a.Response)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// stream passes a long body on as it comes. When it is cut, the caller's
// connection is cut too, so that the answer can't pass for a whole one.
func (l *lane) stream(w http.ResponseWriter, r *http.Request, t *attempt) {
	response := t.answer.Response
	w.WriteHeader(response.StatusCode)
	t.ending = pass(w, l.around.Outbound.Writer(r.Context(), w), t.answer)
	close(t.finished)
	if t.ending != balancer.EndingComplete {
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
}

// pass copies the body, and says whose end failed if one did.
func pass(w http.ResponseWriter, paced io.Writer, a *forwarder.Answer) balancer.Ending {
	to := &flushing{writer: paced, control: http.NewResponseController(w)}
	if _, err := to.Write(a.Prefix); err != nil {
		return balancer.EndingCancelled
	}
	if _, err := io.Copy(to, a.Response.Body); err == nil {
		return balancer.EndingComplete
	}
	if to.failed {
		return balancer.EndingCancelled
	}
	return balancer.EndingLost
}

// flushing sends each part of a body as it comes.
type flushing struct {
	writer  io.Writer
	control *http.ResponseController
	// failed is set once the caller can't be written to.
	failed bool
}

// Write is part of io.Writer.
func (f *flushing) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	if err == nil {
		err = f.control.Flush()
	}
	f.failed = f.failed || err != nil
	return n, err
}
