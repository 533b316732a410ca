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

// Drainer is the state of a shutdown. It is immutable. Each of its times is counted from the stop
// signal, so that a part which takes longer leaves less for the next ones.
type Drainer struct {
	phase  Phase
	notice time.Duration
	// idleFor is how long nothing must be in flight before idle connections are closed, and
	// idleTimeout how long after the notice they are closed at the latest.
	idleFor, idleTimeout time.Duration
	// total is how long the whole shutdown may take; zero sets no bound.
	total     time.Duration
	stoppedAt time.Time
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

// WithTotal returns a drainer whose shutdown ends at the latest when it has taken that long.
func (d Drainer) WithTotal(total time.Duration) Drainer {
	d.total = total
	return d
}

// End returns when a shutdown that has begun ends at the latest, whatever is in flight then. It
// returns the zero time if there is no bound.
func (d Drainer) End() time.Time {
	if d.total == 0 {
		return time.Time{}
	}
	return d.stoppedAt.Add(d.total)
}

// answerShare is the part of a shutdown that is left for the last responses, and for ending.
const answerShare = 20

// AnswerBy returns by when every request is answered, so that none is cut off as the shutdown ends. It returns the zero time
// if there is no bound.
func (d Drainer) AnswerBy() time.Time {
	if d.total == 0 {
		return time.Time{}
	}
	return d.End().Add(-d.total / answerShare)
}

// Accepts reports whether a request that arrives now is served, and by when. During the notice each is
// served, by the end of the shutdown at the latest. After the notice a request whose deadline comes later than
// that end could be cut off, and is left to another instance.
func (d Drainer) Accepts(now, deadline time.Time) (by time.Time, ok bool) {
	if d.phase == PhaseServing || d.total == 0 || deadline.Before(d.AnswerBy()) {
		return deadline, true
	}
	return d.AnswerBy(), now.Sub(d.stoppedAt) < d.notice
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
	if d.phase == PhaseNotice && now.Sub(d.stoppedAt) >= d.bounded(d.notice) {
		d.phase = PhaseAwaitingIdle
		d.busyAt = now
	}
	if inFlight > 0 {
		d.busyAt = now
	}
	if d.phase == PhaseAwaitingIdle && (now.Sub(d.busyAt) >= d.idleFor || now.Sub(d.stoppedAt) >= d.bounded(d.notice+d.idleTimeout)) {
		d.phase = PhaseFinishing
	}
	if d.phase == PhaseFinishing && inFlight == 0 {
		d.phase = PhaseDone
	}
	return d
}

// bounded limits a time since the stop to the whole shutdown.
func (d Drainer) bounded(sinceStop time.Duration) time.Duration {
	if d.total > 0 {
		return min(sinceStop, d.total)
	}
	return sinceStop
}
