// Package drainer implements the state machine of the graceful shutdown of one of the
// system's own processes.
package drainer

import "time"

// Phase is a step of a shutdown.
type Phase uint8

// The phases in their order.
const (
	// PhaseServing means that no shutdown has begun.
	PhaseServing Phase = iota
	// PhaseNotice means that the readiness check fails, but requests are still served until
	// the platform's load balancer has noticed.
	PhaseNotice
	// PhaseAwaitingIdle means that the listener is closed, but open connections are still
	// served until nothing has been in flight for a short time.
	PhaseAwaitingIdle
	// PhaseFinishing means that idle connections are closed and the requests in flight are
	// being completed.
	PhaseFinishing
	// PhaseDone means that nothing is in flight.
	PhaseDone
)

// Drainer is the state of a shutdown. It is immutable.
type Drainer struct {
	phase  Phase
	notice time.Duration
	// idleFor is how long nothing must be in flight before idle connections are closed, and
	// idleTimeout how long after the notice they are closed at the latest.
	idleFor, idleTimeout time.Duration
	stoppedAt            time.Time
	// busyAt is when a request was last in flight.
	busyAt time.Time
}

// New returns a drainer that continues to serve for the shutdown notice after a shutdown begins.
func New(notice time.Duration) Drainer { return Drainer{notice: notice} }

// WithIdleWait returns a drainer that keeps idle connections open after the notice until
// nothing has been in flight for idleFor, but no longer than idleTimeout. This way, a request that
// a caller has sent while a long response was still in flight is served as well.
func (d Drainer) WithIdleWait(idleFor, idleTimeout time.Duration) Drainer {
	d.idleFor = idleFor
	d.idleTimeout = idleTimeout
	return d
}

// Phase returns the current phase.
func (d Drainer) Phase() Phase { return d.phase }

// Ready reports whether the process should pass its readiness check.
func (d Drainer) Ready() bool { return d.phase == PhaseServing }

// WithStop returns a drainer whose shutdown has begun, now unless it began before.
func (d Drainer) WithStop(now time.Time) Drainer {
	if d.phase == PhaseServing {
		d.phase = PhaseNotice
		d.stoppedAt = now
	}
	return d
}

// Advance returns the drainer in the phase for the given time and number of requests in flight.
func (d Drainer) Advance(now time.Time, inFlight int) Drainer {
	if d.phase == PhaseNotice && now.Sub(d.stoppedAt) >= d.notice {
		d.phase = PhaseAwaitingIdle
		d.busyAt = now
	}
	if inFlight > 0 {
		d.busyAt = now
	}
	if d.phase == PhaseAwaitingIdle && (now.Sub(d.busyAt) >= d.idleFor || now.Sub(d.stoppedAt) >= d.notice+d.idleTimeout) {
		d.phase = PhaseFinishing
	}
	if d.phase == PhaseFinishing && inFlight == 0 {
		d.phase = PhaseDone
	}
	return d
}
