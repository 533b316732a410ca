package validator

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `{"base-revision":3,"change-id":"c-1","entries":24,"services":[{"name":"rounds",
"routes":[{"path-prefix":"/rounds","deadline-ms":1000,"class":"interactive"}],
"queue-limit":10,"retry-percent":10,"probe-ms-per-second":50,"probe-bytes-per-second":1000}],
"stops":[{"service":"rounds","endpoint":"e1","at":"2027-01-31T18:00:00Z"}]}`

func TestParseAcceptsCompleteDocument(t *testing.T) {
	doc, problems := Parse([]byte(valid))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, doc.BaseRevision, uint64(3))
	assert.Equal(t, doc.Services[0].Routes[0].Class, ClassInteractive)
	encoded, err := json.Marshal(doc)
	assert.NilError(t, err)
	_, problems = Parse(encoded)
	assert.Equal(t, len(problems), 0)
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", `"stops"`, `"stop"`, []string{"stop: is not a known key"}},
		{"unknown key in nested object", `"queue-limit"`, `"queue-limits"`, []string{"services[0].queue-limits: is not a known key", "services[0].queue-limit: is missing"}},
		{"wrong type", `"entries":24`, `"entries":"24"`, []string{"entries: must be a whole number"}},
		{"fraction", `"entries":24`, `"entries":2.5`, []string{"entries: must be a whole number"}},
		{"null", `"entries":24`, `"entries":null`, []string{"entries: must be a whole number"}},
		{"integer out of range", `"retry-percent":10`, `"retry-percent":101`, []string{"services[0].retry-percent: must be from 0 to 100"}},
		{"invalid choice", `"interactive"`, `"fast"`, []string{"services[0].routes[0].class: must be one of interactive, bulk"}},
		{"invalid name", `"rounds",`, `"a/b",`, []string{"services[0].name: may hold letters, digits, dot, dash and underscore only"}},
		{"invalid time", `2027-01-31T18:00:00Z`, `tomorrow`, []string{"stops[0].at: must be a time such as 2027-01-31T18:00:00Z"}},
		{"object instead of list", `"services":[`, `"services":{},"x":[`, []string{"x: is not a known key", "services: must be a list"}},
		{"stop of unknown service", `"service":"rounds"`, `"service":"other"`, []string{"stops[0].service: names no service of this document"}},
		{"path prefix without slash", `"/rounds"`, `"rounds"`, []string{"services[0].routes[0].path-prefix: must start with a slash"}},
		{"reserved path prefix", `"/rounds"`, `"/comfreyplank/x"`, []string{"services[0].routes[0].path-prefix: is reserved for the system"}},
		{"workspace name repeated", `"stops"`, `"workspaces":[{"name":"w1","keys":["k1"]},{"name":"w1","keys":[]}],"stops"`, []string{"workspaces[1].name: repeats workspaces[0].name"}},
		{"key of two workspaces", `"stops"`, `"workspaces":[{"name":"w1","keys":["k1","k1"]},{"name":"w2","keys":["k2","k1"]}],"stops"`, []string{"workspaces[1].keys[1]: is a key of workspaces[0] too"}},
		{"empty key", `"stops"`, `"workspaces":[{"name":"w1","keys":[""]}],"stops"`, []string{"workspaces[0].keys[0]: must have 1 to 1000 bytes"}},
		{"negative rate", `"stops"`, `"workspaces":[{"name":"w1","keys":[],"rate-per-second":-0.5}],"stops"`, []string{"workspaces[0].rate-per-second: must be from 0 to 1000000000"}},
		{"huge burst", `"stops"`, `"workspaces":[{"name":"w1","keys":[],"burst":1e10}],"stops"`, []string{"workspaces[0].burst: must be from 0 to 1000000000"}},
		{"rate of another type", `"stops"`, `"workspaces":[{"name":"w1","keys":[],"rate-per-second":"2"}],"stops"`, []string{"workspaces[0].rate-per-second: must be a number"}},
		{"priority out of range", `"stops"`, `"workspaces":[{"name":"w1","keys":[],"priority":1001}],"stops"`, []string{"workspaces[0].priority: must be from 0 to 1000"}},
		{"public of another type", `"class"`, `"public":1,"class"`, []string{"services[0].routes[0].public: must be true or false"}},
		{"not JSON", `{"base`, `{base`, nil},
		{"data after end of document", `Z"}]}`, `Z"}]} {}`, []string{"document: has data after its end"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			assert.Assert(t, text != valid)
			doc, problems := Parse([]byte(text))
			assert.Assert(t, len(problems) > 0)
			assert.DeepEqual(t, doc, Document{})
			if tt.want == nil {
				return
			}
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestCheckDetectsDuplicateServicesAndRoutes(t *testing.T) {
	doc, _ := Parse([]byte(valid))
	doc.Services = append(doc.Services, doc.Services[0])
	problems := Check(doc)
	assert.Equal(t, len(problems), 2)
	assert.Equal(t, problems[0].Path, "services[1].name")
	assert.Equal(t, problems[1].Path, "services[1].routes[0]")
}

func TestWithMethodsDoNotModifyReceiver(t *testing.T) {
	doc, _ := Parse([]byte(valid))
	stop := Stop{Service: "rounds", Endpoint: "e2"}
	changed := doc.WithStop(stop).WithoutStop("rounds", "e1").WithBase(4, "c-2")
	assert.Equal(t, len(doc.Stops), 1)
	assert.Equal(t, doc.Stops[0].Endpoint, "e1")
	assert.DeepEqual(t, changed.Stops, []Stop{stop})
	assert.Equal(t, len(doc.WithStop(stop).WithStop(stop).Stops), 2)
	assert.Assert(t, changed.Stopped("rounds", "e2", time.Unix(0, 0)))
}

func TestReferencePageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/document.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Reference(), "run: ctl reference > docs/document.md")
}

func TestExampleIsValid(t *testing.T) {
	example, err := os.ReadFile("../../docs/example.json")
	assert.NilError(t, err)
	_, problems := Parse(example)
	assert.Equal(t, len(problems), 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"services":[{}],"stops":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, problems := Parse(data)
		if len(problems) > 0 {
			return
		}
		encoded, err := json.Marshal(doc)
		assert.NilError(t, err)
		_, problems = Parse(encoded)
		assert.Equal(t, len(problems), 0, "an accepted document is refused after encoding")
	})
}
