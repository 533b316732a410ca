package observer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBeginIsCalledOnceBeforeTheHead checks that the function can still change the header, and that it is not called
// again by what the handler does afterwards.
func TestBeginIsCalledOnceBeforeTheHead(t *testing.T) {
	tests := []struct {
		name   string
		handle func(*ResponseWriter)
	}{
		{"status", func(w *ResponseWriter) { w.WriteHeader(http.StatusNoContent) }},
		{"informational status first", func(w *ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			assert.Check(t, !w.Begun())
			w.WriteHeader(http.StatusOK)
		}},
		{"body", func(w *ResponseWriter) { _, _ = io.WriteString(w, "x") }},
		{"flush", func(w *ResponseWriter) { assert.Check(t, http.NewResponseController(w).Flush()) }},
		{"nothing", func(w *ResponseWriter) { w.Begin() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				observed := New(w, func(h http.Header) {
					calls++
					h.Set("X-Begun", "1")
				})
				tt.handle(observed)
				_, _ = io.WriteString(observed, "more")
				assert.Check(t, observed.Begun())
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, calls, 1)
			assert.Equal(t, response.Header.Get("X-Begun"), "1")
		})
	}
}
