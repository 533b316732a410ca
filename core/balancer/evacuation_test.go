package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/router"
)

// setEvacuated marks the endpoints of a data centre, and announces them again.
func (h *statementHarness) setEvacuated(t assert.TestingT, dataCentre string, evacuated bool) {
	for i := range h.endpoints {
		if h.endpoints[i].DataCentre == dataCentre {
			h.endpoints[i].Evacuated = evacuated
		}
	}
	h.handle(t, Reconfigured{Service: h.service, Endpoints: h.endpoints, Entries: 24})
}

// newEvacuationHarness returns a balancer with a share of the probe budget and six endpoints in two data centres.
func newEvacuationHarness(t assert.TestingT, sampling bool) *statementHarness {
	h := newStatementHarness(6, sampling)
	for i := range h.endpoints {
		h.endpoints[i].DataCentre = []string{"dc-1", "dc-2"}[i%2]
	}
	h.setEvacuated(t, "", false)
	h.handle(t, ShareGranted{Share: allotter.Share{ProbeMicros: 1_000_000, ProbeBytes: 1_000_000}, Until: h.now.Add(time.Hour)})
	return h
}

// checkEvacuated asserts that no attempt and no probe since the counts went to an evacuated endpoint.
func (h *statementHarness) checkEvacuated(t assert.TestingT, dispatched, probes int) {
	for _, d := range h.dispatched[dispatched:] {
		assert.Assert(t, !h.endpointsByName[d.Endpoint].Evacuated, "%s got an attempt", d.Endpoint)
	}
	for _, p := range h.asked[probes:] {
		assert.Assert(t, !h.endpointsByName[p.Endpoint].Evacuated, "%s got a probe", p.Endpoint)
	}
}

// TestEvacuatedEndpointsGetNothingNew guards against attempts, hedges, retries and probes at the endpoints of an
// evacuated data centre, and against requests in flight there that are lost.
func TestEvacuatedEndpointsGetNothingNew(t *testing.T) {
	for _, sampling := range []bool{false, true} {
		h := newEvacuationHarness(t, sampling)
		for range 30 {
			h.call(t, router.Repeatable)
			h.wait(t, 5*time.Millisecond)
		}
		inFlight := map[string]int{}
		for _, d := range h.open {
			inFlight[h.endpointsByName[d.Endpoint].DataCentre]++
		}
		assert.Assert(t, inFlight["dc-2"] > 0, "sampling: %t", sampling)
		h.setEvacuated(t, "dc-2", true)
		dispatched, probes := len(h.dispatched), len(h.asked)
		assert.Equal(t, len(h.Leaving()), 0)
		for _, d := range h.open {
			ending := EndingComplete
			if d.Attempt%2 == 0 {
				ending = EndingLost // is retried
			}
			h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: NoReport})
		}
		h.open = nil
		for range 30 {
			h.call(t, router.Repeatable)
			h.wait(t, 50*time.Millisecond) // long enough for hedges
		}
		assert.Assert(t, len(h.dispatched) > dispatched)
		h.checkEvacuated(t, dispatched, probes)
		for _, e := range h.endpointsByName {
			if e.Evacuated {
				assert.Equal(t, len(e.inFlight), 0, "what was in flight has ended")
			}
		}
		h.setEvacuated(t, "dc-2", false)
		dispatched = len(h.dispatched)
		for _, d := range h.open {
			h.handle(t, AttemptEnded{Attempt: d.Attempt, Ending: EndingComplete, Report: NoReport})
		}
		h.open = nil
		returned := 0
		for range 100 {
			h.call(t, router.Repeatable)
			h.wait(t, 50*time.Millisecond)
		}
		for _, d := range h.dispatched[dispatched:] {
			if h.endpointsByName[d.Endpoint].DataCentre == "dc-2" {
				returned++
			}
		}
		assert.Assert(t, returned > 0, "sampling: %t", sampling)
	}
}

// TestReplyToProbeDoesNotReopenEvacuatedEndpoint guards against a call that has probed an endpoint before the
// evacuation and is sent there after it.
func TestReplyToProbeDoesNotReopenEvacuatedEndpoint(t *testing.T) {
	h := newEvacuationHarness(t, true)
	for range 4 {
		h.call(t, router.Repeatable)
	}
	probes := h.asked
	assert.Assert(t, len(probes) > 0)
	h.setEvacuated(t, "dc-2", true)
	for _, p := range probes {
		h.handle(t, probeReply(p, 0, 1))
	}
	h.wait(t, time.Second)
	assert.Assert(t, len(h.dispatched) > 0)
	h.checkEvacuated(t, 0, len(probes))
}

// TestRandomEvacuations evacuates and returns data centres among random calls, responses and replies to probes.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newEvacuationHarness(rt, rapid.Bool().Draw(rt, "sampling"))
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			dispatched, probes := len(h.dispatched), len(h.asked)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				h.setEvacuated(rt, rapid.SampledFrom([]string{"dc-1", "dc-2"}).Draw(rt, "data centre"), rapid.Bool().Draw(rt, "evacuated"))
			case 1, 2:
				h.call(rt, router.Repeatable)
			case 3:
				if len(h.open) > 0 {
					i := rapid.IntRange(0, len(h.open)-1).Draw(rt, "attempt")
					d := h.open[i]
					ending := rapid.SampledFrom([]Ending{EndingComplete, EndingLost, EndingRefused, EndingNotSent}).Draw(rt, "ending")
					h.say(rt, d, ending, false, 0)
				}
			case 4:
				if len(h.asked) > 0 {
					i := rapid.IntRange(0, len(h.asked)-1).Draw(rt, "probe")
					p := h.asked[i]
					h.asked = append(h.asked[:i:i], h.asked[i+1:]...)
					probes--
					h.handle(rt, probeReply(p, rapid.IntRange(0, 4).Draw(rt, "load"), 1))
				}
			case 5:
				h.wait(rt, time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms"))*time.Millisecond)
			}
			h.checkEvacuated(rt, dispatched, probes)
		}
	})
}
