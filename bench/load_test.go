package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/bench/loader"
)

// TestCheckRunsIgnoresRepeatableCalls also checks that violations by once-only calls are
// found: a repeatable call may run twice, a once-only call may not.
func TestCheckRunsIgnoresRepeatableCalls(t *testing.T) {
	const done, refused, twice = "0190-done", "0190-refused", "0190-twice"
	tests := []struct {
		name, record string
		want         int
	}{
		{"a repeatable call that was hedged", "m7\nm7\n" + done + "\n", 0},
		{"a once-only call that ran twice", done + "\n" + twice + "\n" + twice + "\n", 1},
		{"a once-only call that was refused as not run, and ran", done + "\n" + refused + "\n", 1},
		{"a once-only call that was answered, and did not run", "m7\n", 1},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "record")
		assert.NilError(t, os.WriteFile(path, []byte(tt.record), 0o600))
		c := loadCommand{Records: []string{path}}
		problems, err := c.checkRuns(&loader.Results{AnsweredKeys: []string{done}, NotRunKeys: []string{refused}})
		assert.NilError(t, err)
		assert.Equal(t, len(problems), tt.want, "%s: %v", tt.name, problems)
	}
}
