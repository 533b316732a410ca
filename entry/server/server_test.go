package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/reporter"
)

type fakeEntry struct {
	ready     bool
	announced []registrar.Announcement
}

func (e *fakeEntry) Announce(a registrar.Announcement)  { e.announced = append(e.announced, a) }
func (e *fakeEntry) Ready() bool                        { return e.ready }
func (e *fakeEntry) Revision() uint64                   { return 7 }
func (e *fakeEntry) MayHaveService(service string) bool { return service != "unknown" }

const (
	path              = "/comfreyplank/v1/services/rounds/endpoints/e1"
	validAnnouncement = `{"address":"127.0.0.1:9001","data-centre":"dc","slots":6,"connections":250,"state":"serving","incarnation":1,"sequence":2,"load":0}`
)

func send(s *Server, method, path, body, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	s.Public(http.NotFoundHandler()).ServeHTTP(w, r)
	return w
}

// withWarmUp returns a valid announcement with a warm-up.
func withWarmUp(ms string) string {
	return strings.Replace(validAnnouncement, `"load":0`, `"load":0,"warm-up-ms":`+ms, 1)
}

// TestWarmUpIsAnnounced guards against an announced warm-up that is lost.
func TestWarmUpIsAnnounced(t *testing.T) {
	e := &fakeEntry{ready: true}
	assert.Equal(t, send(New(e, "k"), "PUT", path, withWarmUp("1500"), "k").Code, 200)
	assert.Equal(t, e.announced[0].WarmUp, 1500*time.Millisecond)
}

func TestAnnouncementsAreAcceptedOrRefusedWithReasons(t *testing.T) {
	tests := []struct {
		name, method, path, body, key string
		status                        int
		problems                      int
	}{
		{"valid", "PUT", path, validAnnouncement, "k", 200, 0},
		{"deregistration", "DELETE", path, `{"incarnation":1,"sequence":3}`, "k", 200, 0},
		{"wrong key", "PUT", path, validAnnouncement, "x", 403, 0},
		{"not JSON", "PUT", path, "{", "k", 400, 1},
		{"in warm-up", "PUT", path, withWarmUp("1500"), "k", 200, 0},
		{"longest warm-up", "PUT", path, withWarmUp("3600000"), "k", 200, 0},
		{"negative warm-up", "PUT", path, withWarmUp("-1"), "k", 400, 1},
		{"warm-up that is too long", "PUT", path, withWarmUp("3600001"), "k", 400, 1},
		{"huge warm-up", "PUT", path, withWarmUp("9223372036854775807"), "k", 400, 1},
		{"warm-up that is not a number", "PUT", path, withWarmUp(`"1500"`), "k", 400, 1},
		{"unknown field", "PUT", path, `{"addresses":""}`, "k", 400, 1},
		{"wrong type", "PUT", path, strings.Replace(validAnnouncement, "6", `"6"`, 1), "k", 400, 1},
		{"data after the end", "PUT", path, validAnnouncement + "{}", "k", 400, 1},
		{"too large", "PUT", path, strings.Repeat(" ", maxAnnouncementBytes) + validAnnouncement, "k", 400, 1},
		{"all fields missing", "PUT", path, `{}`, "k", 400, 6},
		{"invalid service name", "PUT", "/comfreyplank/v1/services/a%20b/endpoints/e1", validAnnouncement, "k", 400, 1},
		{"unknown service", "PUT", "/comfreyplank/v1/services/unknown/endpoints/e1", validAnnouncement, "k", 404, 0},
		{"wrong method", "POST", path, validAnnouncement, "k", 405, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &fakeEntry{ready: true}
			w := send(New(e, "k"), tt.method, tt.path, tt.body, tt.key)
			assert.Equal(t, w.Code, tt.status, w.Body.String())
			assert.Equal(t, len(e.announced) == 1, tt.status == 200)
			if tt.status == 200 {
				return
			}
			var p reporter.Problem
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Equal(t, len(p.Errors), tt.problems, w.Body.String())
			assert.Equal(t, w.Header().Get(reporter.OutcomeHeader), reporter.OutcomeNotRun)
		})
	}
}

func TestEntryWithoutConfigLeaseAsksForAnnouncementElsewhere(t *testing.T) {
	e := &fakeEntry{}
	assert.Equal(t, send(New(e, ""), "PUT", path, validAnnouncement, "").Code, 503)
	assert.Equal(t, len(e.announced), 1)
}

func TestLargeHeaderIsRefusedWithProblem(t *testing.T) {
	r := httptest.NewRequest("GET", "/x", nil)
	r.Header.Set("X-Large", strings.Repeat("x", MaxHeaderBytes))
	w := httptest.NewRecorder()
	New(&fakeEntry{}, "").Public(http.NotFoundHandler()).ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
}

func TestReadinessFailsWhileStoppingAndWithoutConfigLease(t *testing.T) {
	e := &fakeEntry{ready: true}
	s := New(e, "")
	w := send(s, "GET", "/comfreyplank/ready", "", "")
	assert.Equal(t, w.Code, 200)
	assert.Equal(t, w.Header().Get("Connection"), "")
	e.ready = false
	assert.Equal(t, send(s, "GET", "/comfreyplank/ready", "", "").Code, 503)
	e.ready = true
	s.Stop()
	w = send(s, "GET", "/comfreyplank/ready", "", "")
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Equal(t, send(s, "GET", "/comfreyplank/live", "", "").Code, 200)
}
