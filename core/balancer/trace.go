package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/recorder"
)

// WithTrace records each sending and each answer of a call, with what decided it. It
// costs a line a call, so it is for entries that see some hundred calls a second.
func WithTrace() Option { return func(b *Balancer) { b.traces = true } }

// traceSent records where an attempt goes, and how old the word is that decided it.
func (b *Balancer) traceSent(now time.Time, c *call, a *attempt) {
	if !b.traces {
		return
	}
	e := a.endpoint
	detail := fmt.Sprintf("number %d, %s after its arrival, %s left; %d in flight from here", c.made,
		round(now.Sub(c.arrivedAt)), round(c.Deadline.Sub(now)), len(e.flights))
	if !e.saidAt.IsZero() {
		detail += fmt.Sprintf("; load %d of %d, pace %.2f, told %s ago", e.said.Load, e.Slots, e.said.Slowdown, round(now.Sub(e.saidAt)))
	}
	b.record(recorder.KindAttemptSent, c, e, detail)
}

// traceAnswered records what became of a call that was answered.
func (b *Balancer) traceAnswered(now time.Time, c *call, a *attempt, status int) {
	if !b.traces {
		return
	}
	detail := fmt.Sprintf("status %d from attempt %d of %d, %s after its sending, %s after the call's arrival, target %s",
		status, a.number, c.made, round(now.Sub(a.start)), round(now.Sub(c.arrivedAt)), c.LatencyTarget)
	b.record(recorder.KindCallCompleted, c, a.endpoint, detail)
}

func (b *Balancer) traceAbandoned(now time.Time, c *call) {
	if b.traces {
		b.record(recorder.KindCallerDisconnected, c, nil, fmt.Sprintf("%s after its arrival, %d attempts in flight", round(now.Sub(c.arrivedAt)), len(c.live)))
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// explain adds to a reason what it rests on.
func (b *Balancer) explain(now time.Time, c *call, reason Reason) string {
	if !b.traces {
		return string(reason)
	}
	text := fmt.Sprintf("%s; %s after its arrival, %d attempts", reason, round(now.Sub(c.arrivedAt)), c.made)
	for i := range c.samples {
		if s := &c.samples[i]; s.answered && s.ok {
			text += fmt.Sprintf("; %s has load %d of %d, pace %.2f", s.endpoint.name(), s.said.Load, s.endpoint.Slots, s.said.Slowdown)
		}
	}
	return text
}
