// Package scheduler determines when a state machine is next due from the times at which its
// parts are due. The zero time means never.
package scheduler

import "time"

// Earliest returns the earliest of the times that are not zero, or zero if there is none.
func Earliest(times ...time.Time) time.Time {
	var earliest time.Time
	for _, at := range times {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}
