package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/router"
	"comfreyplank.org/core/throttler"
)

func warmUpNamed(left time.Duration) throttler.WarmUpStatement {
	return throttler.WarmUpStatement{Kind: throttler.WarmUpNamed, Left: left}
}

var warmUpMissing = throttler.WarmUpStatement{Kind: throttler.WarmUpNone}

// newWarmUpHarness returns a balancer with endpoints that take 5 requests a second in warm-up, unless the rate is zero.
func newWarmUpHarness(rate float64) *harness {
	h := newHarness(3, 20)
	h.service.WarmUpRequestsPerSecond = rate
	h.configure()
	return h
}

func (h *harness) replyOfProbe(s throttler.WarmUpStatement, elapsed time.Duration) {
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Elapsed: elapsed, Report: Report{Load: 0, WarmUp: s}})
}

func (h *harness) announceWarmUp(until time.Time) {
	h.endpoints[0].WarmUpUntil = until
	h.handle(EndpointsChanged{Changed: h.endpoints[:1]})
}

// TestWarmUpEndsOnlyByNewerStatements guards against a response from before, or one that says nothing, that ends a warm-up.
func TestWarmUpEndsOnlyByNewerStatements(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name string
		do   func(h *harness)
		cold bool
	}{
		{"announced", func(*harness) {}, true},
		{"reply without a header, none named before", func(h *harness) { h.advance(100 * ms); h.replyOfProbe(warmUpMissing, ms) }, true},
		{"reply without a header, named before", func(h *harness) {
			h.replyOfProbe(warmUpNamed(time.Second), ms)
			h.advance(100 * ms)
			h.replyOfProbe(warmUpMissing, ms)
		}, false},
		{"reply that says so", func(h *harness) { h.advance(100 * ms); h.replyOfProbe(warmUpNamed(0), ms) }, false},
		{"reply that was asked for before", func(h *harness) { h.advance(100 * ms); h.replyOfProbe(warmUpNamed(0), 200*ms) }, true},
		{"unreadable reply", func(h *harness) {
			h.replyOfProbe(warmUpNamed(time.Second), ms)
			h.advance(100 * ms)
			h.replyOfProbe(throttler.WarmUpStatement{Kind: throttler.WarmUpInvalid}, ms)
		}, true},
		{"no reply", func(h *harness) { h.advance(100 * ms); h.replyOfProbe(throttler.WarmUpStatement{}, ms) }, true},
		{"by time", func(h *harness) { h.advance(time.Second) }, false},
		{"later end in a late reply", func(h *harness) {
			h.replyOfProbe(warmUpNamed(3*time.Second), 200*ms)
			h.advance(time.Second)
		}, true},
		{"announcement", func(h *harness) { h.advance(100 * ms); h.announceWarmUp(time.Time{}) }, false},
		{"announcement that may be older than a reply", func(h *harness) {
			h.replyOfProbe(warmUpNamed(3*time.Second), ms)
			h.advance(100 * ms)
			h.announceWarmUp(time.Time{})
		}, true},
		{"announcement after a reply", func(h *harness) {
			h.replyOfProbe(warmUpNamed(3*time.Second), ms)
			h.advance(announcementDelay)
			h.announceWarmUp(time.Time{})
		}, false},
		{"the same endpoints again", func(h *harness) { h.advance(100 * ms); h.configure() }, true},
		{"another process", func(h *harness) {
			h.endpoints[0].Incarnation++
			h.announceWarmUp(time.Time{})
		}, false},
		{"another process, cold too", func(h *harness) {
			h.endpoints[0].Incarnation++
			h.configure()
		}, true},
		{"no rate", func(h *harness) { h.service.WarmUpRequestsPerSecond = 0; h.configure() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newWarmUpHarness(5)
			h.advance(time.Second)
			h.announceWarmUp(h.now.Add(time.Second))
			assert.Assert(t, h.endpointNamed("e0").throttled(h.now))
			tt.do(h)
			assert.Equal(t, h.endpointNamed("e0").throttled(h.now), tt.cold)
		})
	}
}

// TestWarmUpOfResponses guards against a warm-up that a response names and that is overlooked, and against one of a process
// that has ended.
func TestWarmUpOfResponses(t *testing.T) {
	tests := []struct {
		name   string
		rate   float64
		report Report
		cold   bool
	}{
		{"named", 5, Report{Load: -1, WarmUp: warmUpNamed(time.Second)}, true},
		{"over", 5, Report{Load: -1, WarmUp: warmUpNamed(0)}, false},
		{"not named", 5, Report{Load: -1, WarmUp: warmUpMissing}, false},
		{"by this process", 5, Report{Load: -1, WarmUp: warmUpNamed(time.Second), Incarnation: 1}, true},
		{"by another process", 5, Report{Load: -1, WarmUp: warmUpNamed(time.Second), Incarnation: 2}, false},
		{"the service has no rate", 0, Report{Load: -1, WarmUp: warmUpNamed(time.Second)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newWarmUpHarness(tt.rate)
			h.newCall(router.Repeatable)
			d := h.dispatched[0]
			h.handle(ResponseStarted{Attempt: d.Attempt, Status: 200, Report: tt.report})
			e := h.endpointNamed(d.Endpoint)
			assert.Equal(t, e.throttled(h.now), tt.cold)
			assert.Equal(t, e.throttle != nil, tt.cold, "an endpoint that is not in warm-up has no throttle")
		})
	}
}

// TestWarmUpKeepsTheLimit guards against a limit that is lost in a warm-up.
func TestWarmUpKeepsTheLimit(t *testing.T) {
	h := newWarmUpHarness(5)
	e := h.endpointNamed("e0")
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Elapsed: time.Millisecond, Report: Report{Limit: throttler.Statement{Kind: throttler.StatementLimit, Rate: 2}, WarmUp: warmUpNamed(time.Second)}})
	assert.Equal(t, e.throttle.Limit().Rate, 2.0)
	h.advance(2 * time.Second)
	h.handle(Tick{})
	assert.Assert(t, e.throttled(h.now), "the limit outlasts the warm-up")
	h.announceWarmUp(h.now.Add(time.Second))
	h.advance(100 * time.Millisecond)
	h.handle(ProbeEnded{Endpoint: "e0", OK: true, Elapsed: time.Millisecond, Report: Report{Limit: throttler.Statement{Kind: throttler.StatementNone}, WarmUp: warmUpNamed(900 * time.Millisecond)}})
	assert.Equal(t, e.throttle.Limit().Rate, 0.0)
	assert.Assert(t, e.throttled(h.now), "the warm-up outlasts the limit")
	h.advance(time.Second)
	assert.Assert(t, !e.throttled(h.now))
}
