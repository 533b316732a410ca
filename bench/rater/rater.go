// Package rater holds the users' bound on the requests of an endpoint that names a limit, and applies
// it to the times at which requests arrive.
package rater

import "time"

// The bound: from Contact after the endpoint first named its limit, no more than factor times what
// that allows and slack requests in any Window.
const (
	Contact = 3 * time.Second
	Window  = 4 * time.Second
	factor  = 1.5
	slack   = 5
)

// Allowed returns how many requests may arrive in a Window under a limit in requests per second.
func Allowed(perSecond float64) int { return int(factor*Window.Seconds()*perSecond + slack) }

// Busiest returns the end of the Window with the most requests, and their number. The times must be in
// order. Only windows that end Contact after the limit was named, or later, count; requests before it
// don't.
func Busiest(times []time.Time, named time.Time) (end time.Time, requests int) {
	first := 0
	for last, at := range times {
		for first < last && (at.Sub(times[first]) >= Window || times[first].Before(named)) {
			first++
		}
		if n := last - first + 1; at.Sub(named) >= Contact && n > requests {
			end, requests = at, n
		}
	}
	return end, requests
}
