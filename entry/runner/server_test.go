package runner

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestServersCompleteNoResponse guards against an empty success for a request that a handler has forgotten.
func TestServersCompleteNoResponse(t *testing.T) {
	s := newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
	s.Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}
