package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartsOfAStopFitTheGraceTime guards against operators' requests that are cut as the platform kills a
// replica: with a short grace time, the transfer of the leadership alone took longer.
func TestPartsOfAStopFitTheGraceTime(t *testing.T) {
	for grace := time.Second; grace <= time.Minute; grace += 100 * time.Millisecond {
		parts := divideGrace(grace)
		assert.Assert(t, parts.transfer > 0 && parts.requests > 0, "%s", grace)
		assert.Assert(t, parts.transfer+parts.requests <= grace*3/4, "%s", grace)
	}
}
