package console

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"comfreyplank.org/control/operator"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// fakeReplica implements all interfaces of the console. Apply records each document and returns a
// fixed result.
type fakeReplica struct {
	current controller.DocumentReply
	applied []validator.Document
	result  operator.Result
	status  int
	// evacuated are the evacuated data centres.
	evacuated []string
}

func (f *fakeReplica) ReadDocument(context.Context) (controller.DocumentReply, error) {
	return f.current, nil
}

func (f *fakeReplica) Status() controller.Status {
	return controller.Status{Replica: "c1", Evacuated: f.evacuated, Endpoints: []registrar.Announcement{{Name: registrar.Name{Service: "rounds", Endpoint: "e1"}, State: "serving"}}}
}

func (f *fakeReplica) Apply(_ context.Context, document []byte) (int, operator.Result) {
	doc, _ := validator.Parse(document)
	f.applied = append(f.applied, doc)
	return f.status, f.result
}

func (f *fakeReplica) Select(recorder.Filter) []recorder.Event { return nil }

func newFakeReplica() *fakeReplica {
	doc := validator.Document{Entries: 24, ChangeID: "c", Services: []validator.Service{{
		Name: "rounds", QueueLimit: 10, Routes: []validator.Route{{PathPrefix: "/rounds", DeadlineMs: 1000, Class: validator.ClassInteractive}},
	}}}
	return &fakeReplica{
		current: controller.DocumentReply{Revision: 4, Document: doc, Confirmed: true},
		status:  http.StatusOK, result: operator.Result{Status: "in-force", Detail: "accepted"},
	}
}

func (f *fakeReplica) handler(key string) http.Handler {
	r := chi.NewRouter()
	New(f, f, f, key).Register(r)
	return r
}

func post(h http.Handler, path string, header http.Header, fields ...string) *httptest.ResponseRecorder {
	values := url.Values{}
	for i := 0; i < len(fields); i += 2 {
		values.Add(fields[i], fields[i+1])
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(values.Encode()))
	r.Header = header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func (f *fakeReplica) draft(t *testing.T) string {
	data, err := json.Marshal(newDraft(f.current))
	assert.NilError(t, err)
	return string(data)
}

func TestFormsChangeOnlyTheDraft(t *testing.T) {
	tests := []struct {
		name   string
		fields []string
		want   string
	}{
		{"stop", []string{"action", "stop", "service", "rounds", "endpoint", "e1"}, "Endpoint e1 of rounds gets no new work at once."},
		{"timed stop", []string{"action", "stop", "service", "rounds", "endpoint", "e1", "at", "2027-01-31T18:00:00Z"}, "from 2027-01-31T18:00:00Z on."},
		{"invalid time", []string{"action", "stop", "service", "rounds", "endpoint", "e1", "at", "later"}, "the time must be such as"},
		{"entries", []string{"action", "system", "entries", "30"}, "At most 30 entries run at once, instead of 24."},
		{"invalid number", []string{"action", "system", "entries", "many"}, `id="entries-problem">must be a whole number`},
		{"out of range", []string{"action", "system", "entries", "0"}, `id="entries-problem">must be from 1 to 10000`},
		{"removed service", []string{"action", "remove-service", "service", "rounds"}, "Service rounds is removed"},
		{"new service", []string{
			"action", "service", "name", "guides", "queue-limit", "1", "retry-percent", "2", "probe-ms-per-second", "3", "probe-bytes-per-second", "4",
			"route-path-prefix", "/guides", "route-deadline-ms", "500", "route-class", "bulk", "route-execution", "", "route-host", "",
		}, "Service guides is new, with 1 routes."},
		{"changed service", []string{
			"action", "service", "name", "rounds", "queue-limit", "11", "retry-percent", "0", "probe-ms-per-second", "0", "probe-bytes-per-second", "0",
			"route-path-prefix", "/rounds", "route-deadline-ms", "x", "route-class", "interactive", "route-execution", "", "route-host", "",
		}, `id="services[0].routes[0].deadline-ms-problem">must be a whole number`},
		{"unknown action", []string{"action", "override"}, "the form asks for nothing known"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeReplica()
			w := post(f.handler(""), "/console/edit", nil, append(tt.fields, "draft", f.draft(t))...)
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Assert(t, strings.Contains(w.Body.String(), tt.want), w.Body.String())
			assert.Equal(t, len(f.applied), 0)
		})
	}
}

func TestDraftKeepsItsChangeID(t *testing.T) {
	f := newFakeReplica()
	draft := f.draft(t)
	w := post(f.handler(""), "/console/apply", nil, "draft", draft)
	assert.Equal(t, w.Code, http.StatusOK)
	post(f.handler(""), "/console/apply", nil, "draft", draft)
	assert.Equal(t, len(f.applied), 2)
	assert.Equal(t, f.applied[0].ChangeID, f.applied[1].ChangeID)
	assert.Equal(t, f.applied[0].BaseRevision, uint64(4))
}

func TestRefusedDraftIsShownWithItsProblems(t *testing.T) {
	f := newFakeReplica()
	f.status = http.StatusUnprocessableEntity
	f.result = operator.Result{Status: "refused", Detail: "not valid", Problems: []validator.Problem{{Path: "services[0].queue-limit", Detail: "is odd"}}}
	w := post(f.handler(""), "/console/apply", nil, "draft", f.draft(t))
	assert.Equal(t, w.Code, http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(w.Body.String(), `id="services[0].queue-limit-problem">is odd`))
}

func TestOutdatedDraftCannotBeApplied(t *testing.T) {
	f := newFakeReplica()
	draft := f.draft(t)
	f.current.Revision = 5
	w := post(f.handler(""), "/console/edit", nil, "action", "system", "entries", "30", "draft", draft)
	assert.Assert(t, strings.Contains(w.Body.String(), "Someone else has changed the configuration"))
	assert.Assert(t, strings.Contains(w.Body.String(), "<button disabled>Apply"))
}

func TestCrossSitePostsAndWrongKeysAreRefused(t *testing.T) {
	f := newFakeReplica()
	w := post(f.handler(""), "/console/apply", http.Header{"Sec-Fetch-Site": {"cross-site"}}, "draft", f.draft(t))
	assert.Equal(t, w.Code, http.StatusForbidden)
	w = post(f.handler("secret"), "/console/apply", nil, "draft", f.draft(t), "key", "guess")
	assert.Equal(t, w.Code, http.StatusForbidden)
	assert.Equal(t, len(f.applied), 0)
	w = post(f.handler("secret"), "/console/apply", nil, "draft", f.draft(t), "key", "secret")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, len(f.applied), 1)
}

func TestDraftTextIsEscaped(t *testing.T) {
	f := newFakeReplica()
	w := post(f.handler(""), "/console/edit", nil, "action", "stop", "service", "rounds", "endpoint", "<script>x</script>", "draft", f.draft(t))
	assert.Assert(t, !strings.Contains(w.Body.String(), "<script>"))
}

// TestPageShowsEvacuations guards against an evacuation that nobody remembers to finish.
func TestPageShowsEvacuations(t *testing.T) {
	f := newFakeReplica()
	for _, evacuated := range [][]string{nil, {"dc-1", "dc-2"}} {
		f.evacuated = evacuated
		w := httptest.NewRecorder()
		f.handler("").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/console", nil))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, strings.Contains(w.Body.String(), "dc-1, dc-2"), evacuated != nil)
	}
}
