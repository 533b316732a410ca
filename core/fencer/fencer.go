// Package fencer decides until when an entry may run requests by the keys that it knows. An entry that control can't
// reach, or that has stood still, may know keys that are not valid any more. The key lease ends before that matters.
package fencer

import "time"

// Tolerance is how much suspended time a measurement may miss: the clocks are not read at the same instant.
const Tolerance = 20 * time.Millisecond

// Margin is what Duration leaves below the bound: for suspensions within the tolerance, and for clocks of entries and
// replicas that don't run at the same rate.
const Margin = 100 * time.Millisecond

// Duration returns the duration of a key lease under a bound on the time from the confirmation of a document that
// removes a key to the last request that runs by it. A replica may not know a document that was confirmed up to
// unaware earlier, and grants leases by the one before; the lease takes the rest of the bound. Under a bound that is too
// short for a lease, one of the shortest duration is never held.
func Duration(bound, unaware time.Duration) time.Duration { return max(1, bound-unaware-Margin) }

// Fencer is the key lease of an entry. It is immutable. The zero value requires no lease.
type Fencer struct {
	// duration counts from the sending of the heartbeat that renewed the lease; zero if no lease is required.
	duration time.Duration
	// sentAt is when that heartbeat was sent; zero without a lease.
	sentAt time.Time
	// suspended is for how long the machine has been suspended, as far as noticed. resumedAt is when the latest
	// suspension was noticed.
	suspended time.Duration
	resumedAt time.Time
}

// New returns the state of an entry without a lease. With a duration of zero it requires none.
func New(duration time.Duration) Fencer { return Fencer{duration: duration} }

// Required reports whether requests with keys need the lease.
func (f Fencer) Required() bool { return f.duration != 0 }

// Renewed returns the state after a replica has granted the configuration lease in reply to a heartbeat that was sent
// at the given time.
func (f Fencer) Renewed(sentAt time.Time) Fencer {
	if sentAt.After(f.sentAt) {
		f.sentAt = sentAt
	}
	return f
}

// Observed returns the state after a measurement of the time for which the machine has been suspended in total. If it
// has grown, all heartbeats that were sent before now may have been sent before the suspension; now must have been read
// after the measurement.
func (f Fencer) Observed(now time.Time, suspended time.Duration) Fencer {
	if suspended > f.suspended+Tolerance {
		f.suspended = suspended
		f.resumedAt = now
	}
	return f
}

// Until returns the end of the lease; zero without one.
func (f Fencer) Until() time.Time {
	if f.sentAt.IsZero() || f.sentAt.Before(f.resumedAt) {
		return time.Time{}
	}
	return f.sentAt.Add(f.duration)
}
