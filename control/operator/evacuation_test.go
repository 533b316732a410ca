package operator

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/shell/publisher"
)

// TestEvacuationNeedsTheOperatorKey guards against an evacuation by anyone who reaches the address, and against one
// that a replica confirms on its own.
func TestEvacuationNeedsTheOperatorKey(t *testing.T) {
	events := publisher.New("c1", publisher.DefaultCapacity)
	var group sync.WaitGroup
	d, err := driver.New(&group, events, t.TempDir(), "c1", "127.0.0.1:1")
	assert.NilError(t, err)
	r := chi.NewRouter()
	New(d, events, "k").Register(r)
	tests := []struct {
		name, method, key string
		status            int
	}{
		{"begin without the key", http.MethodPut, "", http.StatusForbidden},
		{"finish with another key", http.MethodDelete, "Bearer x", http.StatusForbidden},
		{"begin without a leader", http.MethodPut, "Bearer k", http.StatusServiceUnavailable},
		{"finish without a leader", http.MethodDelete, "Bearer k", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := httptest.NewRequest(tt.method, "/comfreyplank/v1/evacuations/dc-2", nil)
			request.Header.Set("Authorization", tt.key)
			w := httptest.NewRecorder()
			r.ServeHTTP(w, request)
			assert.Equal(t, w.Code, tt.status)
		})
	}
}

// TestOutcomesOfEvacuations guards against an order that is reported as confirmed though it may be lost.
func TestOutcomesOfEvacuations(t *testing.T) {
	tests := []struct {
		reply  controller.ApplyStatus
		status int
		result string
	}{
		{controller.ApplyInEffect, http.StatusOK, "in-force"},
		{controller.ApplyNotInEffect, http.StatusOK, "accepted"},
		{controller.ApplyRefused, http.StatusNotFound, "refused"},
		{controller.ApplyNotProposed, http.StatusServiceUnavailable, "not-taken"},
		{controller.ApplyUnknown, http.StatusServiceUnavailable, "unknown"},
	}
	for _, tt := range tests {
		status, result := describeEvacuation(tt.reply)
		assert.Equal(t, status, tt.status)
		assert.Equal(t, result.Status, tt.result)
	}
}
