package dispatcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/timekeeper"
)

// benchmarkRouting measures the stages from a request's header to its balancer, which refuses the call as the
// service has no endpoints.
func benchmarkRouting(b *testing.B, doc validator.Document, header http.Header, keyLease time.Duration) {
	d := New("entry", Dependencies{
		Now: time.Now, Start: func(f func()) { f() }, Publish: func(recorder.Event) {}, Counter: noCounter{},
		KeyLease: keyLease, Suspended: timekeeper.New().Suspended,
	})
	doc.Services = []validator.Service{{Name: "s", QueueLimit: 10, Routes: []validator.Route{{PathPrefix: "/", DeadlineMs: 5000, Class: validator.ClassInteractive}}}}
	d.Configure(doc)
	d.Handle("s", balancer.Reconfigured{Service: doc.Services[0], Entries: 1})
	d.RenewConfigLease(time.Now(), time.Now().Add(time.Hour), 1)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x?y=z", http.NoBody)
	for name, values := range header {
		r.Header[name] = values
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Body.Reset()
		d.ServeHTTP(w, r)
	}
	if w.Code != http.StatusServiceUnavailable {
		b.Fatal(w.Code)
	}
}

// BenchmarkRoutingWithoutKeys measures requests while the document lists no workspaces.
func BenchmarkRoutingWithoutKeys(b *testing.B) {
	benchmarkRouting(b, validator.Document{}, http.Header{"Accept": {"*/*"}, "User-Agent": {"x"}}, 0)
}

// BenchmarkRoutingWithKeys measures requests with the key of one of as many workspaces as the users have.
func BenchmarkRoutingWithKeys(b *testing.B) { benchmarkKeys(b, 0) }

// BenchmarkRoutingWithKeyLease measures them where they need the key lease.
func BenchmarkRoutingWithKeyLease(b *testing.B) { benchmarkKeys(b, time.Hour) }

func benchmarkKeys(b *testing.B, keyLease time.Duration) {
	var doc validator.Document
	for i := range 86 {
		doc.Workspaces = append(doc.Workspaces, validator.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprintf("key-%032d", i)}})
	}
	benchmarkRouting(b, doc, http.Header{"Accept": {"*/*"}, "User-Agent": {"x"}, "Comfreyplank-Key": {fmt.Sprintf("key-%032d", 40)}}, keyLease)
}
