// Package waker calls a machine when it is due, by one timer.
package waker

import "time"

// neverDue is how far the timer is set that is not needed yet.
const neverDue = 24 * time.Hour

// Waker is the timer of one machine. It is as little safe for concurrent use as the machine,
// and is used under the same lock.
type Waker struct {
	now   func() time.Time
	timer *time.Timer
	// due is when the timer goes off; zero while it is stopped.
	due   time.Time
	ended bool
}

// New returns a waker that calls wake, without the lock, each time that the machine is due.
func New(now func() time.Time, wake func()) *Waker {
	w := &Waker{now: now, timer: time.AfterFunc(neverDue, wake)}
	w.timer.Stop()
	return w
}

// Fired notes that the timer has gone off. The next Set must follow.
func (w *Waker) Fired() { w.due = time.Time{} }

// Set lets the timer go off at a time, or never for zero.
func (w *Waker) Set(due time.Time) {
	switch {
	case w.ended || due.Equal(w.due):
		return
	case due.IsZero():
		w.timer.Stop()
	default:
		w.timer.Reset(due.Sub(w.now()))
	}
	w.due = due
}

// Stop lets the timer never go off again.
func (w *Waker) Stop() {
	w.ended = true
	w.timer.Stop()
}
