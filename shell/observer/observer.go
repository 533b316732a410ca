// Package observer tells when a handler begins its response.
package observer

import "net/http"

// ResponseWriter passes a response on, and calls a function before its head is written.
type ResponseWriter struct {
	http.ResponseWriter
	begin func(http.Header)
	begun bool
}

// New returns a writer that passes the response on to w. The begin function gets its header, which it may change; it may
// be nil.
func New(w http.ResponseWriter, begin func(http.Header)) *ResponseWriter {
	return &ResponseWriter{ResponseWriter: w, begin: begin}
}

// Begun reports whether the head of the response has been written. Informational responses don't count, except a switch
// of protocols, which is final.
func (w *ResponseWriter) Begun() bool { return w.begun }

// Begin calls the function unless it has been called. It is for handlers that have ended without writing anything: the
// server then writes an empty response.
func (w *ResponseWriter) Begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.begin != nil {
		w.begin(w.Header())
	}
}

// Unwrap is for http.ResponseController.
func (w *ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *ResponseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.Begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	w.Begin()
	return w.ResponseWriter.Write(p)
}

// FlushError is for http.ResponseController. A flush sends the head of a success.
func (w *ResponseWriter) FlushError() error {
	w.Begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}
