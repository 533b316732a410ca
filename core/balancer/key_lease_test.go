package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// keyedCall lets a call with a key arrive.
func (h *harness) keyedCall(e router.Execution) {
	h.lastCall++
	h.handle(CallArrived{Call: Call{
		ID: h.lastCall, Execution: e, Class: validator.ClassInteractive, Deadline: h.now.Add(10 * time.Second), Key: "k", NeedsKeyLease: true,
	}})
}

// TestNoAttemptWithoutKeyLease guards against an attempt of a call with a key that is sent after the key lease has
// ended: at once, from the queue, after a claim, after probes, as a retry or as a hedge.
func TestNoAttemptWithoutKeyLease(t *testing.T) {
	const lease = 100 * time.Millisecond
	tests := []struct {
		name string
		// before happens under the lease, and after once it has ended.
		before, after func(h *harness)
		// sent is how many attempts are sent under the lease.
		sent    int
		outcome Outcome
	}{
		{"at once", func(*harness) {}, func(h *harness) { h.keyedCall(router.Repeatable) }, 0, OutcomeNotRun},
		{"queued", func(h *harness) {
			for len(h.dispatched) == int(h.lastCall) { // until the endpoint is full
				h.keyedCall(router.SingleAttempt)
			}
		}, func(h *harness) { h.respond(h.dispatched[0], 200) }, 4, OutcomeNotRun},
		{"claimed", func(h *harness) { h.keyedCall(router.OnceOnly) }, func(h *harness) { h.grantClaim() }, 0, OutcomeNotRun},
		{"retry after a refusal", func(h *harness) {
			h.addEndpoint()
			h.keyedCall(router.Repeatable)
		}, func(h *harness) { h.fail(h.dispatched[0], EndingRefused) }, 1, OutcomeNotRun},
		{"retry after a loss", func(h *harness) {
			h.addEndpoint()
			h.keyedCall(router.Repeatable)
		}, func(h *harness) { h.fail(h.dispatched[0], EndingLost) }, 1, OutcomeUnknown},
		{"hedge", func(h *harness) {
			h.addEndpoint()
			h.keyedCall(router.Repeatable)
		}, func(h *harness) { h.advance(2 * time.Second) }, 1, 0},
		{"suspension", func(*harness) {}, func(h *harness) {
			h.handle(ConfigLeaseChanged{Until: h.now.Add(time.Hour), KeyLeaseUntil: h.now.Add(time.Hour)})
			h.handle(ConfigLeaseChanged{Until: h.now.Add(time.Hour)})
			h.keyedCall(router.Repeatable)
		}, 0, OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(1, 100)
			h.handle(ConfigLeaseChanged{Until: h.now.Add(time.Hour), KeyLeaseUntil: h.now.Add(lease)})
			tt.before(h)
			assert.Equal(t, len(h.dispatched), tt.sent)
			h.advance(lease)
			tt.after(h)
			assert.Equal(t, len(h.dispatched), tt.sent)
			if tt.outcome == 0 {
				assert.Equal(t, len(h.refused), 0)
				return
			}
			assert.Equal(t, len(h.refused), 1)
			assert.Equal(t, h.refused[0].Outcome, tt.outcome)
			if tt.outcome == OutcomeNotRun {
				assert.Equal(t, h.refused[0].Reason, ReasonNoKeyLease)
				assert.Equal(t, h.refused[0].RetryAfter, RetryAfter)
			}
		})
	}
}

// TestProbedCallNeedsKeyLease guards against an attempt that is sent after the key lease has ended while its call
// waited for the replies to probes.
func TestProbedCallNeedsKeyLease(t *testing.T) {
	h := newHarness(3, 100)
	WithSampling(Sampling{Endpoints: 3, Timeout: 200 * time.Millisecond, ProbesPerSecond: 100})(h.Balancer)
	h.handle(ConfigLeaseChanged{Until: h.now.Add(time.Hour), KeyLeaseUntil: h.now.Add(100 * time.Millisecond)})
	h.keyedCall(router.Repeatable)
	assert.Equal(t, len(h.probes), 3)
	h.advance(100 * time.Millisecond)
	for _, p := range h.probes {
		h.handle(ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: true, Report: Report{Load: 0}})
	}
	assert.Equal(t, len(h.dispatched), 0)
	assert.Equal(t, len(h.refused), 1)
	assert.Equal(t, h.refused[0].Reason, ReasonNoKeyLease)
}

// TestCallsWithoutKeysNeedNoKeyLease guards against public routes and documents without workspaces that are refused.
func TestCallsWithoutKeysNeedNoKeyLease(t *testing.T) {
	h := newHarness(1, 100)
	h.newCall(router.Repeatable)
	assert.Equal(t, len(h.dispatched), 1)
}

// addEndpoint adds a second endpoint.
func (h *harness) addEndpoint() {
	e := h.endpoints[0]
	e.Endpoint = "other"
	e.Address = "127.0.0.1:99"
	h.endpoints = append(h.endpoints, e)
	h.configure()
}
