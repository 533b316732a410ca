package balancer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/router"
)

// TestStatementOfAnUnknownIncarnation guards against work at an endpoint that has said that it leaves, or wants a pause,
// before this entry knew its incarnation: the announcement of that incarnation was taken for the end of what it had said.
func TestStatementOfAnUnknownIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		// announced is the incarnation that is announced after the response, which is of incarnation 2.
		announced uint64
		returns   bool
	}{
		{"leaving, then announced", Report{Load: -1, Incarnation: 2, Leaving: true}, 2, false},
		{"leaving, then a later one", Report{Load: -1, Incarnation: 2, Leaving: true}, 3, true},
		{"leaving, not announced yet", Report{Load: -1, Incarnation: 2, Leaving: true}, 1, false},
		{"pause, then announced", Report{Load: -1, Incarnation: 2, Pause: pauseOf(time.Minute)}, 2, false},
		{"pause, then a later one", Report{Load: -1, Incarnation: 2, Pause: pauseOf(time.Minute)}, 3, true},
		{"an earlier one leaves", Report{Load: -1, Incarnation: 0, Leaving: true}, 2, true},
	}
	for _, tt := range tests {
		for _, ending := range []Ending{EndingComplete, EndingRefused} {
			t.Run(tt.name, func(t *testing.T) {
				h := newStatementHarness(1, false)
				h.call(t, router.Repeatable)
				d := h.open[0]
				if ending == EndingComplete {
					h.handle(t, ResponseStarted{Attempt: d.Attempt, Status: 200, Report: tt.report})
				}
				h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: tt.report})
				h.endpoints[0].Incarnation = tt.announced
				h.handle(t, Reconfigured{Service: h.service, Endpoints: slices.Clone(h.endpoints), Entries: 24})
				before := len(h.dispatched)
				h.call(t, router.Repeatable)
				assert.Equal(t, len(h.dispatched) > before, tt.returns)
			})
		}
	}
}
