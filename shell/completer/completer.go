// Package completer keeps a server from completing a response that its handler has not given: net/http makes an empty
// success of it, which the caller takes for the result of its request.
package completer

import (
	"log/slog"
	"net/http"

	"comfreyplank.org/shell/observer"
)

// Handler passes requests on to the next handler. It breaks the connection of a request off that next has left without
// a response; a panic of next does the same.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := observer.New(w, nil)
		next.ServeHTTP(response, r)
		if response.Begun() {
			return
		}
		if r.Context().Err() == nil { // otherwise the caller has left
			slog.Error("a request was left without a response; its connection is broken off", "method", r.Method, "path", r.URL.Path)
		}
		panic(http.ErrAbortHandler)
	})
}
