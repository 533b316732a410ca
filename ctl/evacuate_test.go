package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/ctl/client"
)

// replicaStub responds to every request in the same way and records the requests.
type replicaStub struct {
	status   int
	result   string
	requests []string
}

func (s *replicaStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests = append(s.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Authorization"))
	w.WriteHeader(s.status)
	_ = json.NewEncoder(w).Encode(client.Result{Status: s.result}) // the test sees what is missing
}

// TestEvacuateTriesReplicasInTurn guards against an order that is reported as done though no replica has confirmed it.
func TestEvacuateTriesReplicasInTurn(t *testing.T) {
	confirmed := replicaStub{status: http.StatusOK, result: "in-force"}
	accepted := replicaStub{status: http.StatusOK, result: "accepted"}
	minority := replicaStub{status: http.StatusServiceUnavailable, result: "unknown"}
	leaderless := replicaStub{status: http.StatusServiceUnavailable, result: "not-taken"}
	unaware := replicaStub{status: http.StatusNotFound, result: "refused"}
	tests := []struct {
		name     string
		args     []string
		replicas []replicaStub
		exit     int
		requests []int
	}{
		{"confirmed", []string{"dc-2"}, []replicaStub{confirmed, confirmed}, 0, []int{1, 0}},
		{"finish", []string{"--finish", "dc-2"}, []replicaStub{confirmed}, 0, []int{1}},
		{"not yet in effect", []string{"dc-2"}, []replicaStub{accepted}, exitUnknown, []int{1}},
		{"minority first", []string{"dc-2"}, []replicaStub{minority, confirmed}, 0, []int{1, 1}},
		{"only a minority", []string{"dc-2"}, []replicaStub{minority, minority}, exitUnknown, []int{1, 1}},
		{"no leader", []string{"dc-2"}, []replicaStub{leaderless}, exitFailed, []int{1}},
		{"known to the second", []string{"dc-2"}, []replicaStub{unaware, confirmed}, 0, []int{1, 1}},
		{"unknown", []string{"dc-2"}, []replicaStub{unaware, unaware}, exitRefused, []int{1, 1}},
		{"no data centre", nil, []replicaStub{confirmed}, exitUsage, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := []string{"--operator-key", "k"}
			for i := range tt.replicas {
				server := httptest.NewServer(&tt.replicas[i])
				defer server.Close()
				args = append(args, "--control", strings.TrimPrefix(server.URL, "http://"))
			}
			assert.Equal(t, run(append(append(args, "evacuate"), tt.args...)), tt.exit)
			method := http.MethodPut
			if len(tt.args) > 1 {
				method = http.MethodDelete
			}
			for i, want := range tt.requests {
				assert.Equal(t, len(tt.replicas[i].requests), want)
				for _, r := range tt.replicas[i].requests {
					assert.Equal(t, r, method+" /comfreyplank/v1/evacuations/dc-2 Bearer k")
				}
			}
		})
	}
}

// TestStatusShowsEvacuations guards against an evacuation that nobody remembers to finish.
func TestStatusShowsEvacuations(t *testing.T) {
	var out bytes.Buffer
	showStatus(&out, []controller.Status{{Replica: "c1", Revision: 3}, {Replica: "c2", Revision: 4, Evacuated: []string{"dc-2"}}})
	assert.Assert(t, strings.Contains(out.String(), "EVACUATED DATA CENTRE\ndc-2\n"), out.String())
	out.Reset()
	showStatus(&out, []controller.Status{{Replica: "c1", Revision: 5}, {Replica: "c2", Revision: 4, Evacuated: []string{"dc-2"}}})
	assert.Assert(t, !strings.Contains(out.String(), "EVACUATED"), out.String())
}
