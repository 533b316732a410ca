package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// samplingHarness drives a balancer that probes two endpoints before each call.
type samplingHarness struct {
	t *testing.T
	*Balancer
	now time.Time
}

func newSamplingHarness(t *testing.T, endpoints int) *samplingHarness {
	h := &samplingHarness{t: t, now: epoch}
	h.Balancer = New("e", validator.Service{Name: "s", QueueLimit: 9}, WithOptionalConfigLease(), WithRand(rand.New(rand.NewPCG(1, 2))),
		WithSampling(Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 100}))
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "s", Endpoint: fmt.Sprint("m", i)}, Address: fmt.Sprint("m", i), Slots: 4, Connections: 99,
			State: registrar.StateServing, Incarnation: 1,
		}})
	}
	h.Handle(h.now, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 9}, Endpoints: list, Entries: 1})
	return h
}

func (h *samplingHarness) arrive(id CallID, target time.Duration) []Probe {
	return probesIn(h.Handle(h.now, CallArrived{Call: Call{
		ID: id, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: h.now.Add(time.Second), LatencyTarget: target,
	}}))
}

func probesIn(actions []Action) []Probe {
	var list []Probe
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			list = append(list, p)
		}
	}
	return list
}

// outcome returns the endpoint or the refusal reason that a call got; empty if it still waits.
func outcome(actions []Action) string {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			return v.Endpoint
		case Refuse:
			return string(v.Reason)
		case Probe:
			return "probes"
		}
	}
	return ""
}

func probeReply(p Probe, load int, slowdown float64) ProbeEnded {
	return ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: true, Report: Report{Load: load, Slowdown: slowdown}}
}

func TestCallGoesToFastestEndpoint(t *testing.T) {
	tests := []struct {
		name          string
		first, second Report
		want          int
	}{
		{"lower slowdown", Report{Load: 1, Slowdown: 5}, Report{Load: 3, Slowdown: 1}, 1},
		{"free slot", Report{Load: 4, Slowdown: 1}, Report{Load: 2, Slowdown: 1}, 1},
		{"fewer slots in use", Report{Load: 3, Slowdown: 1}, Report{Load: 2, Slowdown: 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newSamplingHarness(t, 2)
			probes := h.arrive(1, 0)
			assert.Equal(t, len(probes), 2)
			assert.Equal(t, outcome(h.Handle(h.now, probeReply(probes[0], tt.first.Load, tt.first.Slowdown))), "")
			assert.Equal(t, outcome(h.Handle(h.now, probeReply(probes[1], tt.second.Load, tt.second.Slowdown))), probes[tt.want].Endpoint)
		})
	}
}

func TestGoodReplyEndsSampling(t *testing.T) {
	h := newSamplingHarness(t, 2)
	probes := h.arrive(1, 0)
	assert.Equal(t, outcome(h.Handle(h.now, probeReply(probes[0], 0, 1))), probes[0].Endpoint)
	assert.Equal(t, outcome(h.Handle(h.now, probeReply(probes[1], 0, 1))), "")
}

func TestUnresponsiveEndpointsAreSkipped(t *testing.T) {
	h := newSamplingHarness(t, 6)
	first := h.arrive(1, 0)
	h.now = h.now.Add(20 * time.Millisecond)
	second := probesIn(h.Handle(h.now, Tick{}))
	assert.Equal(t, len(second), 2)
	for _, p := range second {
		assert.Assert(t, p.Endpoint != first[0].Endpoint && p.Endpoint != first[1].Endpoint)
	}
	assert.Equal(t, outcome(h.Handle(h.now, probeReply(second[0], 1, 1))), second[0].Endpoint)
}

func TestEndpointWithReusedAddressGetsNoRequests(t *testing.T) {
	h := newSamplingHarness(t, 3)
	probes := h.arrive(1, 0)
	h.Handle(h.now, ProbeEnded{Call: 1, Endpoint: probes[0].Endpoint, Misdirected: true})
	h.Handle(h.now, probeReply(probes[1], 0, 1))
	for id := CallID(2); id < 20; id++ {
		for _, p := range h.arrive(id, 0) {
			assert.Assert(t, p.Endpoint != probes[0].Endpoint)
			h.Handle(h.now, probeReply(p, 0, 1))
		}
	}
}

// TestFullEndpointsCauseEarlyRefusal asserts that a call waits for a slot for about an eighth of
// its latency target, is then refused, and may be retried within a third of its remaining time.
func TestFullEndpointsCauseEarlyRefusal(t *testing.T) {
	h := newSamplingHarness(t, 2)
	target := 400 * time.Millisecond
	h.usualTime.observe(target, 100*time.Millisecond)
	start := h.now
	probes := h.arrive(1, target)
	for {
		assert.Assert(t, h.now.Sub(start) <= target/maxHoldDivisor+resampleInterval)
		var actions []Action
		for _, p := range probes {
			actions = append(actions, h.Handle(h.now, probeReply(p, 4, 1))...)
		}
		if got := outcome(actions); got != "" {
			assert.Equal(t, got, string(ReasonOverload))
			for _, action := range actions {
				if v, ok := action.(Refuse); ok {
					assert.Equal(t, v.Outcome, OutcomeNotRun)
					remaining := time.Second - h.now.Sub(start)
					assert.Assert(t, v.RetryAfter > 0 && v.RetryAfter <= remaining/retryAfterDivisor)
				}
			}
			return
		}
		h.now = h.now.Add(resampleInterval)
		probes = probesIn(h.Handle(h.now, Tick{}))
	}
}

// TestEndpointRemovedDuringSampling removes the endpoints that a call has probed before all
// replies have arrived.
func TestEndpointRemovedDuringSampling(t *testing.T) {
	h := newSamplingHarness(t, 3)
	probes := h.arrive(1, 0)
	h.Handle(h.now, probeReply(probes[0], 3, 5))
	h.Handle(h.now, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 9}, Entries: 1})
	assert.Equal(t, outcome(h.Handle(h.now, probeReply(probes[1], 0, 1))), string(ReasonNoEndpoint))
	assert.Equal(t, h.InFlight(), 0)
}

func TestRecentReportsReplaceProbes(t *testing.T) {
	h := newSamplingHarness(t, 3)
	h.sampling.ProbesPerSecond = 2
	probes := h.arrive(1, 0)
	h.samplingBudget.tokens = 1 // the accumulated probes are spent
	h.Handle(h.now, probeReply(probes[0], 4, 1))
	h.Handle(h.now, probeReply(probes[1], 1, 1))
	got := h.Handle(h.now, CallArrived{Call: Call{ID: 2, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: h.now.Add(time.Second)}})
	assert.Equal(t, outcome(got), probes[1].Endpoint)
}

// TestSamplingBudgetRefillsEvenly spends as many probes as the budget allows. A surge gets those
// that have accumulated. After that they become available at a constant rate, not all at the
// start of each second.
func TestSamplingBudgetRefillsEvenly(t *testing.T) {
	var budget samplingBudget
	const perSecond = 30
	probes := make([]int, samplingBurstSeconds*2*10)
	for i := range probes {
		for budget.spend(epoch.Add(time.Duration(i)*time.Second/10), 3, perSecond) {
			probes[i] += 3
		}
	}
	assert.Equal(t, probes[0], samplingBurstSeconds*perSecond)
	for _, n := range probes[1:] {
		assert.Equal(t, n, perSecond/10)
	}
}

// TestRefusalJustBeforeTheDeadline guards against a panic: a third of the last two nanoseconds
// before the deadline is no time to draw a random delay from.
func TestRefusalJustBeforeTheDeadline(t *testing.T) {
	for _, remaining := range []time.Duration{0, 1, 2, 3, 4} {
		h := newSamplingHarness(t, 3)
		c := &call{Call: Call{Deadline: h.now.Add(remaining), LatencyTarget: time.Second}, sampled: true, arrivedAt: h.now}
		delay := h.retryAfter(h.now, c, ReasonOverload)
		assert.Assert(t, delay >= 0 && delay <= minRetryAfter+remaining)
	}
}

// TestLateReplyIsAwaited guards against probes that are cut off as their call stops waiting: each would cost the
// endpoint a new connection. Until it has replied, the endpoint is not probed again.
func TestLateReplyIsAwaited(t *testing.T) {
	h := newSamplingHarness(t, 3)
	first := h.arrive(1, 0)
	for _, p := range first {
		assert.Equal(t, p.Deadline, h.now.Add(sampleProbeTimeout))
	}
	h.now = h.now.Add(20 * time.Millisecond)
	h.Handle(h.now, Tick{})
	for id := CallID(2); id < 9; id++ {
		for _, p := range h.arrive(id, 0) {
			assert.Assert(t, p.Endpoint != first[0].Endpoint && p.Endpoint != first[1].Endpoint)
		}
		h.now = h.now.Add(50 * time.Millisecond)
	}
	h.Handle(h.now, probeReply(first[0], 0, 1))
	probed := map[string]bool{}
	for id := CallID(9); id < 40; id++ {
		for _, p := range h.arrive(id, 0) {
			probed[p.Endpoint] = true
			h.Handle(h.now, probeReply(p, 0, 1))
		}
	}
	assert.Assert(t, probed[first[0].Endpoint] && !probed[first[1].Endpoint])
}

// TestCallsShareProbes guards against a probe for each call where the reply to an earlier one is due any moment.
func TestCallsShareProbes(t *testing.T) {
	h := newSamplingHarness(t, 2)
	probes := h.arrive(1, 0)
	assert.Equal(t, len(probes), 2)
	assert.Equal(t, len(h.arrive(2, 0)), 0)
	sent := map[CallID]string{}
	for _, p := range probes {
		for _, a := range h.Handle(h.now, probeReply(p, 0, 1)) {
			if d, ok := a.(Dispatch); ok {
				sent[d.Call] = d.Endpoint
			}
		}
	}
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, len(h.arrive(3, 0)), 2)
}
