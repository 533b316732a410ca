package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/recorder"
)

// WithTrace records each attempt and each response of a call, with the data behind the decision.
// It costs an event for each of them, so it is meant for entries with a few hundred calls per
// second.
func WithTrace() Option { return func(b *Balancer) { b.tracing = true } }

// traceSent records the destination of an attempt and the age of the load report that it was
// chosen by.
func (b *Balancer) traceSent(now time.Time, c *call, a *attempt) {
	if !b.tracing {
		return
	}
	e := a.endpoint
	detail := fmt.Sprintf("number %d, %s after its arrival, %s left; %d in flight from here", c.attemptsMade,
		roundToMs(now.Sub(c.arrivedAt)), roundToMs(c.Deadline.Sub(now)), len(e.inFlight))
	if !e.lastReportAt.IsZero() {
		detail += fmt.Sprintf("; load %d of %d, pace %.2f, told %s ago", e.report.Load, e.Slots, e.report.Slowdown, roundToMs(now.Sub(e.lastReportAt)))
	}
	b.record(recorder.KindAttemptSent, c, e, detail)
}

// traceResponse records the response to a call.
func (b *Balancer) traceResponse(now time.Time, c *call, a *attempt, status int) {
	if !b.tracing {
		return
	}
	detail := fmt.Sprintf("status %d from attempt %d of %d, %s after its sending, %s after the call's arrival, target %s",
		status, a.number, c.attemptsMade, roundToMs(now.Sub(a.sentAt)), roundToMs(now.Sub(c.arrivedAt)), c.LatencyTarget)
	b.record(recorder.KindCallCompleted, c, a.endpoint, detail)
}

func (b *Balancer) traceAbandoned(now time.Time, c *call) {
	if b.tracing {
		b.record(recorder.KindCallerDisconnected, c, nil, fmt.Sprintf("%s after its arrival, %d attempts in flight", roundToMs(now.Sub(c.arrivedAt)), len(c.liveAttempts)))
	}
}

func roundToMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// refusalDetail adds the data behind a refusal to its reason when tracing is on.
func (b *Balancer) refusalDetail(now time.Time, c *call, reason Reason) string {
	if !b.tracing {
		return string(reason)
	}
	text := fmt.Sprintf("%s; %s after its arrival, %d attempts", reason, roundToMs(now.Sub(c.arrivedAt)), c.attemptsMade)
	for i := range c.samples {
		if s := &c.samples[i]; s.replied && s.ok {
			text += fmt.Sprintf("; %s has load %d of %d, pace %.2f", s.endpoint.name(), s.report.Load, s.endpoint.Slots, s.report.Slowdown)
		}
	}
	return text
}
