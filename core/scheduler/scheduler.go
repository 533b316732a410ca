// Package scheduler finds out when a machine is next due from the times at which its parts
// are. The zero time stands for never.
package scheduler

import "time"

// Earliest returns the earliest of some times; zero where all are.
func Earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
