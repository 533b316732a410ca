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
	// PhaseAwaitingIdle: the listener is closed, and open connections are still served until
	// nothing has been in flight for a little while.
	PhaseAwaitingIdle
	// PhaseFinishing: idle connections are closed and requests in flight end.
	PhaseFinishing
	// PhaseDone: nothing is in flight.
	PhaseDone
)

// Drainer is a planned stop. It is immutable.
type Drainer struct {
	phase  Phase
	notice time.Duration
	// quiet is for how long nothing must be in flight before idle connections are closed,
	// and patience how long that is waited for.
	quiet, patience time.Duration
	since           time.Time
	// busyAt is when something was last in flight.
	busyAt time.Time
}

// New returns a drainer that serves on for the notice time after a stop begins.
func New(notice time.Duration) Drainer { return Drainer{notice: notice} }

// WithIdleWait lets idle connections stay open until nothing was in flight for so long, or for
// the time of patience: a request that is on its way behind a long answer still arrives.
func (d Drainer) WithIdleWait(quiet, patience time.Duration) Drainer {
	d.quiet = quiet
	d.patience = patience
	return d
}

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

// Advance lets time pass, with the number of requests in flight.
func (d Drainer) Advance(now time.Time, inFlight int) Drainer {
	if d.phase == PhaseNoticing && now.Sub(d.since) >= d.notice {
		d.phase = PhaseAwaitingIdle
		d.busyAt = now
	}
	if inFlight > 0 {
		d.busyAt = now
	}
	if d.phase == PhaseAwaitingIdle && (now.Sub(d.busyAt) >= d.quiet || now.Sub(d.since) >= d.notice+d.patience) {
		d.phase = PhaseFinishing
	}
	if d.phase == PhaseFinishing && inFlight == 0 {
		d.phase = PhaseDone
	}
	return d
}
