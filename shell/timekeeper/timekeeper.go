// Package timekeeper measures for how long the machine has been suspended. The monotonic clock, by which all leases are
// measured, stands still meanwhile.
package timekeeper

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// precision is how much later than the other one a clock may be read without another try: far above the time
	// between two reads, and far below a suspension that matters to a lease.
	precision = time.Millisecond
	// maxReads bounds the tries. A process that is not scheduled between two reads measures too much.
	maxReads = 4
)

// Timekeeper measures since its creation.
type Timekeeper struct {
	epoch time.Time
	// base is the difference between the clocks at the epoch.
	base time.Duration
	// latest is the highest difference that was measured.
	latest atomic.Int64
	// boottime returns the time since the start of the machine, suspensions included.
	boottime func() time.Duration
}

// Option configures a timekeeper.
type Option func(*Timekeeper)

// WithBoottime replaces the clock that continues while the machine is suspended.
func WithBoottime(clock func() time.Duration) Option {
	return func(t *Timekeeper) { t.boottime = clock }
}

// New returns a timekeeper for the suspensions from now on.
func New(opts ...Option) *Timekeeper {
	t := &Timekeeper{epoch: time.Now(), boottime: boottime}
	for _, opt := range opts {
		opt(t)
	}
	t.base = t.difference(math.MinInt64)
	t.latest.Store(int64(t.base))
	return t
}

// Suspended returns for how long the machine has been suspended since the creation, to about a millisecond. It reads
// each clock once unless there was a suspension since the last call. It is safe for concurrent use.
func (t *Timekeeper) Suspended() time.Duration {
	latest := t.latest.Load()
	difference := t.difference(time.Duration(latest))
	if difference > time.Duration(latest)+precision {
		t.latest.CompareAndSwap(latest, int64(difference)) // another goroutine may have measured the same
	}
	return difference - t.base
}

// difference returns by how much the clock that continues is ahead. It reads again while the result is higher than
// expected, and returns the lowest.
func (t *Timekeeper) difference(expected time.Duration) time.Duration {
	lowest := time.Duration(math.MaxInt64)
	for range maxReads {
		monotonic := time.Since(t.epoch)
		lowest = min(lowest, t.boottime()-monotonic)
		if lowest <= expected+precision {
			break
		}
	}
	return lowest
}

// boottime reads CLOCK_BOOTTIME. Without it no suspension is measured, as the kernel supports none.
func boottime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
