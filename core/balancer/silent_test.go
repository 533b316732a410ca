package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/router"
)

// TestSilentEndpointGetsFewCalls guards against an endpoint that answers nothing and gets calls all the same, as each is answered by
// its hedge and the attempt that lost says nothing of its endpoint. Bound as in TestRequestsAreRetriedAfterEndlessResponses.
func TestSilentEndpointGetsFewCalls(t *testing.T) {
	const calls = 60
	for _, endpoints := range []int{2, 3, 6} {
		h := newHarness(endpoints, 100)
		got := 0
		for range calls {
			got += h.callBesideSilent(t, h.endpoints[0].Endpoint)
		}
		t.Logf("%d of %d calls of %d endpoints", got, calls, endpoints)
		assert.Check(t, got <= calls/4, "%d of %d calls went to the silent one of %d endpoints", got, calls, endpoints)
	}
}

// callBesideSilent makes a call that the silent endpoint doesn't answer and any other answers after 6 ms. It returns the number of
// attempts at the silent one.
func (h *harness) callBesideSilent(t *testing.T, silent string) int {
	const took = 6 * time.Millisecond
	first, delivered := len(h.dispatched), len(h.delivered)
	h.cancelled = nil
	h.newCall(router.Repeatable)
	var sentAt []time.Time
	got := 0
	for len(h.delivered) == delivered {
		for _, d := range h.dispatched[first+len(sentAt):] {
			sentAt = append(sentAt, h.now)
			if d.Endpoint == silent {
				got++
			}
		}
		for i, d := range h.dispatched[first:] {
			if d.Endpoint != silent && len(h.delivered) == delivered && h.now.Sub(sentAt[i]) >= took {
				h.respond(d, 200)
			}
		}
		h.advance(time.Millisecond)
		assert.Assert(t, h.now.Sub(sentAt[0]) < time.Second)
	}
	for _, c := range h.cancelled {
		h.handle(AttemptEnded{Attempt: c.Attempt, Ending: EndingCancelled, Report: NoReport})
	}
	return got
}
