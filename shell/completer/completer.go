// Package completer keeps a server from completing a response that its handler has not given: net/http makes an empty
// success of it, which the caller takes for the result of its request.
package completer

import (
	"log/slog"
	"net/http"
)

// Handler passes requests on to the next handler. It breaks the connection of a request off that next has left without
// a response; a panic of next does the same.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := &responseWriter{ResponseWriter: w}
		next.ServeHTTP(response, r)
		if response.begun {
			return
		}
		if r.Context().Err() == nil { // otherwise the caller has left
			slog.Error("a request was left without a response; its connection is broken off", "method", r.Method, "path", r.URL.Path)
		}
		panic(http.ErrAbortHandler)
	})
}

// responseWriter notes whether a response has begun.
type responseWriter struct {
	http.ResponseWriter
	// begun is set once a status other than an informational one has been written.
	begun bool
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// FlushError is for http.ResponseController. A flush sends the head of a success.
func (w *responseWriter) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}
