package authenticator

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

func priority(p int) *int { return &p }

// TestKeysNameTheirWorkspaces guards against a request that runs for another workspace than that of its key.
func TestKeysNameTheirWorkspaces(t *testing.T) {
	long := strings.Repeat("k", validator.MaxKeyBytes)
	doc := validator.Document{Workspaces: []validator.Workspace{
		{Name: "alder", Keys: []string{"key-1", "key-2", long}, Priority: priority(0)},
		{Name: "birch", Keys: []string{"key-3"}},
		{Name: "without-keys", Keys: []string{}},
	}}
	tests := []struct {
		name     string
		keys     []string
		public   bool
		want     string
		verdict  Verdict
		priority int
	}{
		{"first key", []string{"key-1"}, false, "alder", VerdictKnown, 0},
		{"second key", []string{"key-2"}, false, "alder", VerdictKnown, 0},
		{"longest key", []string{long}, false, "alder", VerdictKnown, 0},
		{"other workspace", []string{"key-3"}, false, "birch", VerdictKnown, 7},
		{"known key on a public route", []string{"key-3"}, true, "birch", VerdictKnown, 7},
		{"no key", nil, false, "", VerdictMissing, 7},
		{"empty key", []string{""}, false, "", VerdictMissing, 7},
		{"key that is too long", []string{long + "k"}, false, "", VerdictMissing, 7},
		{"two lines with the same key", []string{"key-1", "key-1"}, false, "", VerdictAmbiguous, 7},
		{"two empty lines", []string{"", ""}, false, "", VerdictAmbiguous, 7},
		{"list of keys in one line", []string{"key-1, key-2"}, false, "", VerdictUnknown, 7},
		{"other case", []string{"KEY-1"}, false, "", VerdictUnknown, 7},
		{"prefix", []string{"key-"}, false, "", VerdictUnknown, 7},
		{"no key on a public route", nil, true, "", VerdictOpen, 7},
		{"unknown key on a public route", []string{"key-4"}, true, "", VerdictOpen, 7},
		{"two keys on a public route", []string{"key-1", "key-3"}, true, "", VerdictOpen, 7},
	}
	a := New(doc)
	assert.Assert(t, a.Enabled())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workspace, verdict := a.Authenticate(tt.keys, tt.public)
			assert.Equal(t, verdict, tt.verdict)
			assert.Equal(t, workspace.Priority(7), tt.priority)
			assert.Equal(t, workspace != nil, tt.want != "")
			if workspace != nil {
				assert.Equal(t, workspace.Name, tt.want)
			}
		})
	}
}

// TestWithoutWorkspacesKeysMeanNothing guards against a document that does not ask for keys and refuses them.
func TestWithoutWorkspacesKeysMeanNothing(t *testing.T) {
	a := New(validator.Document{Workspaces: []validator.Workspace{}})
	assert.Assert(t, !a.Enabled())
	for _, keys := range [][]string{nil, {""}, {"key-1"}, {"key-1", "key-2"}} {
		workspace, verdict := a.Authenticate(keys, false)
		assert.Assert(t, workspace == nil)
		assert.Equal(t, verdict, VerdictOpen)
	}
}

// TestAuthenticatorKeepsNoKeys guards against keys that reach a log by way of a formatted value.
func TestAuthenticatorKeepsNoKeys(t *testing.T) {
	a := New(validator.Document{Workspaces: []validator.Workspace{{Name: "alder", Keys: []string{"secret-key"}}}})
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v %#v", a, a), "secret"))
}

// BenchmarkAuthenticate measures the search for a key among those of the largest users' workspaces.
func BenchmarkAuthenticate(b *testing.B) {
	var doc validator.Document
	for i := range 86 {
		doc.Workspaces = append(doc.Workspaces, validator.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprintf("key-%032d-a", i), fmt.Sprintf("key-%032d-b", i)}})
	}
	a := New(doc)
	keys := []string{fmt.Sprintf("key-%032d-b", 40)}
	b.ReportAllocs()
	for b.Loop() {
		if _, verdict := a.Authenticate(keys, false); verdict != VerdictKnown {
			b.Fatal(verdict)
		}
	}
}
