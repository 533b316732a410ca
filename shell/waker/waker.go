// Package waker provides the timer that drives a state machine.
package waker

import "time"

// initialDelay is the delay of a new timer, which New stops before it can fire.
const initialDelay = 24 * time.Hour

// Waker is the timer of a state machine. It is not safe for concurrent use; callers use it under
// the lock of the state machine.
type Waker struct {
	now   func() time.Time
	timer *time.Timer
	// due is the time at which the timer fires, or the zero time if it is not set.
	due     time.Time
	stopped bool
}

// New returns a waker whose timer is not set. Each time that the timer fires, it calls wake in a
// separate goroutine, without the lock.
func New(now func() time.Time, wake func()) *Waker {
	w := &Waker{now: now, timer: time.AfterFunc(initialDelay, wake)}
	w.timer.Stop()
	return w
}

// Fired records that the timer has fired. A call of Set must follow.
func (w *Waker) Fired() { w.due = time.Time{} }

// Set sets the timer to fire at the given time. The zero time stops the timer until the next Set.
func (w *Waker) Set(due time.Time) {
	switch {
	case w.stopped || due.Equal(w.due):
		return
	case due.IsZero():
		w.timer.Stop()
	default:
		w.timer.Reset(due.Sub(w.now()))
	}
	w.due = due
}

// Stop stops the timer for good: later calls of Set have no effect.
func (w *Waker) Stop() {
	w.stopped = true
	w.timer.Stop()
}
