package console

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

// TestDifferenceTellsNoKeys guards against keys on the page that lists the changes of a draft, and against changes of
// workspaces that the page leaves out.
func TestDifferenceTellsNoKeys(t *testing.T) {
	priority := 2
	base := []validator.Workspace{{Name: "alder", Keys: []string{"secret-1"}}, {Name: "birch", Keys: []string{"secret-2"}}}
	tests := []struct {
		name  string
		draft []validator.Workspace
		want  string
	}{
		{"none", base, ""},
		{"new", append([]validator.Workspace{{Name: "cedar", Keys: []string{"secret-3", "secret-4"}}}, base...), "Workspace cedar is new, with 2 keys."},
		{"key replaced", []validator.Workspace{{Name: "alder", Keys: []string{"secret-5"}}, base[1]}, "Workspace alder: its keys have changed; there are 1."},
		{"priority", []validator.Workspace{{Name: "alder", Keys: []string{"secret-1"}, Priority: &priority}, base[1]}, "Workspace alder: its priority or its rate limit has changed."},
		{"rate", []validator.Workspace{{Name: "alder", Keys: []string{"secret-1"}, RatePerSecond: 5}, base[1]}, "Workspace alder: its priority or its rate limit has changed."},
		{"removed", base[:1], "Workspace birch is removed: its keys are not valid any more."},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines := strings.Join(describeChanges(validator.Document{Workspaces: base}, validator.Document{Workspaces: tt.draft}), "\n")
			assert.Equal(t, lines, tt.want)
			assert.Assert(t, !strings.Contains(lines, "secret"))
		})
	}
}
