// Package drainer decides the order of a planned stop of one of the system's own
// processes.
package drainer

import "time"

// Phase is a step of a planned stop.
type Phase uint8

// The phases, in order.
const (
	// PhaseServing: no stop is planned.
	PhaseServing Phase = iota
	// PhaseNoticing: readiness fails, and calls are still served while the
	// platform's balancer notices.
	PhaseNoticing
	// PhaseFinishing: the listener is closed and requests in flight end.
	PhaseFinishing
	// PhaseDone: nothing is in flight.
	PhaseDone
)

// Drainer is a planned stop. It is immutable.
type Drainer struct {
	phase  Phase
	notice time.Duration
	since  time.Time
}

// New returns a drainer that serves on for the notice time after a stop begins.
func New(notice time.Duration) Drainer { return Drainer{notice: notice} }

// Phase returns the current phase.
func (d Drainer) Phase() Phase { return d.phase }

// Ready reports whether the process should pass its readiness check.
func (d Drainer) Ready() bool { return d.phase == PhaseServing }

// WithStop begins the stop.
func (d Drainer) WithStop(now time.Time) Drainer {
	if d.phase == PhaseServing {
		d.phase = PhaseNoticing
		d.since = now
	}
	return d
}

// With lets time pass, with the number of requests in flight.
func (d Drainer) With(now time.Time, inFlight int) Drainer {
	if d.phase == PhaseNoticing && now.Sub(d.since) >= d.notice {
		d.phase = PhaseFinishing
	}
	if d.phase == PhaseFinishing && inFlight == 0 {
		d.phase = PhaseDone
	}
	return d
}
