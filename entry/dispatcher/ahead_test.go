package dispatcher

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

// TestOnlyRepeatableRequestsRunAhead guards against requests that run before their turn although it matters whether they
// run.
func TestOnlyRepeatableRequestsRunAhead(t *testing.T) {
	d := New("entry", Dependencies{Now: time.Now})
	assert.Assert(t, !d.MayRunAhead(http.MethodGet, "h", "/x"), "without a document")
	d.Configure(validator.Document{Services: []validator.Service{{Name: "s", Routes: []validator.Route{
		{PathPrefix: "/x"},
		{PathPrefix: "/once", Execution: validator.ExecutionOnceOnly},
		{PathPrefix: "/most", Execution: validator.ExecutionAtMostOnce},
		{PathPrefix: "/repeat", Execution: validator.ExecutionRepeatable},
		{Host: "root", PathPrefix: "/"},
	}}}})
	tests := []struct {
		method, host, path string
		want               bool
	}{
		{http.MethodGet, "h", "/x", true},
		{http.MethodHead, "h", "/x/y", true},
		{http.MethodGet, "h", "/once", true}, // safe methods are exempt from once-only execution
		{http.MethodPost, "h", "/once", false},
		{http.MethodGet, "h", "/most", false},
		{http.MethodGet, "h", "/repeat", true},
		{http.MethodGet, "h", "/none", false},
		{http.MethodGet, "root", "/", true},
		{http.MethodGet, "root", "", false}, // the target has no path
	}
	for _, tt := range tests {
		assert.Equal(t, d.MayRunAhead(tt.method, tt.host, tt.path), tt.want, "%v", tt)
	}
}
