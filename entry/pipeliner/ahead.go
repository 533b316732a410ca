package pipeliner

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// ErrDiscarded is returned to a handler whose response is not used.
var ErrDiscarded = errors.New("the response is not used")

// aheadRequest is a request whose handler was started ahead. It is the handler's http.ResponseWriter: calls are recorded
// until it is the request's turn, and then repeated one by one, as the server frames a response by them. From then on
// calls go to the server's writer.
type aheadRequest struct {
	// parsed is the request as it was read.
	parsed *http.Request
	cancel context.CancelFunc
	// header is the handler's own.
	header http.Header
	// status is that of the response, and length its stated length; negative if there is none. written is how many
	// bytes the handler has written. They are used by the handler only.
	status          int
	length, written int64

	mu      sync.Mutex
	changed sync.Cond
	// calls are those that have been recorded and not repeated; size is the memory that they take.
	calls []recordedCall
	size  int
	// writer is the server's writer. It is set once all recorded calls have been repeated.
	writer    http.ResponseWriter
	discarded bool
	// finished is set once the handler has ended, and panicked is what it has panicked with.
	finished bool
	panicked any
}

// recordedCall is a call of a handler: of WriteHeader if it has a status, of Write if it has data, and of Flush otherwise.
type recordedCall struct {
	status int
	header http.Header
	data   []byte
}

// callBytes is what a recorded call takes besides its contents.
const callBytes = 64

func newAheadRequest(parsed *http.Request, cancel context.CancelFunc) *aheadRequest {
	a := &aheadRequest{parsed: parsed, cancel: cancel, header: make(http.Header), length: -1}
	a.changed.L = &a.mu
	return a
}

// run calls the handler.
func (a *aheadRequest) run(next http.Handler, r *http.Request) {
	defer func() {
		panicked := recover()
		if panicked != nil && panicked != http.ErrAbortHandler { //nolint:errorlint // the very value, as in net/http
			slog.Error("a handler that ran ahead has panicked", "panic", panicked, "stack", string(debug.Stack()))
		}
		a.cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.finished = true
		a.panicked = panicked
		a.changed.Broadcast()
	}()
	next.ServeHTTP(a, r)
}

// discard frees a handler that waits for its turn, which does not come.
func (a *aheadRequest) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discarded = true
	a.calls = nil
	a.changed.Broadcast()
}

// deliver writes the response to the server's writer, and returns once the handler has ended. It panics if the handler
// has.
func (a *aheadRequest) deliver(w http.ResponseWriter) {
	a.mu.Lock()
	for len(a.calls) > 0 {
		calls := a.calls
		a.calls, a.size = nil, 0
		a.mu.Unlock()
		for _, call := range calls {
			call.repeat(w)
		}
		a.mu.Lock()
	}
	a.writer = w
	a.changed.Broadcast()
	for !a.finished {
		a.changed.Wait()
	}
	panicked := a.panicked
	a.mu.Unlock()
	if panicked != nil {
		panic(panicked)
	}
	replaceHeader(w.Header(), a.header) // trailers are set after the body
}

// repeat makes the call. As in the handler's own place, errors of the connection show in later calls.
func (c recordedCall) repeat(w http.ResponseWriter) {
	switch {
	case c.status != 0:
		replaceHeader(w.Header(), c.header)
		w.WriteHeader(c.status)
	case c.data != nil:
		_, _ = w.Write(c.data)
	default:
		_ = http.NewResponseController(w).Flush()
	}
}

func replaceHeader(dst, src http.Header) {
	clear(dst)
	maps.Copy(dst, src)
}

// record keeps a call until the request's turn, and reports whether it has. If it would take too much memory, it waits
// for the turn; then the call is to be made on the writer that it returns.
func (a *aheadRequest) record(call recordedCall) (http.ResponseWriter, error) {
	size := callBytes + len(call.data)
	for name, values := range call.header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.writer == nil && !a.discarded && a.size+size > maxResponseBytes {
		a.changed.Wait()
	}
	switch {
	case a.writer != nil:
		return a.writer, nil
	case a.discarded:
		return nil, ErrDiscarded
	}
	a.size += size
	call.data = bytes.Clone(call.data)
	a.calls = append(a.calls, call)
	return nil, nil
}

// Header implements http.ResponseWriter.
func (a *aheadRequest) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *aheadRequest) WriteHeader(status int) {
	if a.status != 0 {
		return // only the first counts
	}
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid WriteHeader code %v", status)) // as the server does
	}
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.status = status
		if length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
			a.length = length
		}
	}
	call := recordedCall{status: status, header: a.header.Clone()}
	if w, _ := a.record(call); w != nil { // a discarded response shows in later calls
		call.repeat(w)
	}
}

// Write implements io.Writer. It returns the errors that the server's writer does.
func (a *aheadRequest) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified || a.status < http.StatusOK {
		return 0, http.ErrBodyNotAllowed
	}
	a.written += int64(len(p))
	if a.length >= 0 && a.written > a.length {
		return 0, http.ErrContentLength
	}
	w, err := a.record(recordedCall{data: p})
	switch {
	case w != nil:
		return w.Write(p)
	case err != nil:
		return 0, err
	}
	return len(p), nil
}

// FlushError is for http.ResponseController.
func (a *aheadRequest) FlushError() error {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	w, err := a.record(recordedCall{})
	if w != nil {
		return http.NewResponseController(w).Flush()
	}
	return err
}
