package timekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspensionIsMeasured guards against a suspension that is overlooked, and against one that is found where the
// process was only not scheduled between two reads.
func TestSuspensionIsMeasured(t *testing.T) {
	start := time.Now()
	suspended := 3 * time.Second
	stalls := 0
	clock := func() time.Duration {
		if stalls > 0 {
			stalls--
			time.Sleep(30 * time.Millisecond)
		}
		return time.Since(start) + suspended
	}
	k := New(WithBoottime(clock))
	assert.Assert(t, k.Suspended().Abs() < precision)
	stalls = maxReads - 1
	assert.Assert(t, k.Suspended().Abs() < 2*precision)
	suspended += 700 * time.Millisecond
	assert.Assert(t, (k.Suspended()-700*time.Millisecond).Abs() < 2*precision)
	suspended += time.Hour
	assert.Assert(t, (k.Suspended()-time.Hour-700*time.Millisecond).Abs() < 2*precision)
}

// TestNoSuspensionIsMeasuredWithoutOne guards against leases that are void because the clocks are read one after the other.
func TestNoSuspensionIsMeasuredWithoutOne(t *testing.T) {
	k := New()
	for range 1000 {
		assert.Assert(t, k.Suspended().Abs() < 100*time.Millisecond)
	}
}

func BenchmarkSuspended(b *testing.B) {
	k := New()
	b.ReportAllocs()
	for b.Loop() {
		_ = k.Suspended()
	}
}
