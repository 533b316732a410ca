package fencer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaseEndsInTime guards against a lease that outlives its duration, a suspension or a later heartbeat.
func TestLeaseEndsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	f := New(2 * time.Second)
	tests := []struct {
		name  string
		state Fencer
		want  time.Time
	}{
		{"no heartbeat", f, time.Time{}},
		{"one heartbeat", f.Renewed(at(0)), at(2000)},
		{"two heartbeats", f.Renewed(at(0)).Renewed(at(700)), at(2700)},
		{"replies out of order", f.Renewed(at(700)).Renewed(at(0)), at(2700)},
		{"suspended after the heartbeat", f.Renewed(at(0)).Observed(at(100), 5*time.Second), time.Time{}},
		{"suspended before the heartbeat", f.Observed(at(100), 5*time.Second).Renewed(at(100)), at(2100)},
		{"reply to a heartbeat from before", f.Observed(at(100), 5*time.Second).Renewed(at(99)), time.Time{}},
		{"noticed once", f.Observed(at(100), 5*time.Second).Renewed(at(200)).Observed(at(300), 5*time.Second), at(2200)},
		{"suspended twice", f.Observed(at(100), 5*time.Second).Renewed(at(200)).Observed(at(300), 6*time.Second), time.Time{}},
		{"stale measurement", f.Observed(at(100), 5*time.Second).Renewed(at(200)).Observed(at(300), 0), at(2200)},
		{"within the tolerance", f.Renewed(at(0)).Observed(at(100), Tolerance), at(2000)},
		{"many within the tolerance", f.Renewed(at(0)).Observed(at(100), Tolerance).Observed(at(200), 2*Tolerance), time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.state.Until(), tt.want) })
	}
	assert.Assert(t, f.Required() && !New(0).Required())
}

// TestDurationMeetsBothBounds guards against a lease that outlives the bound of the platform, or ends while the entry
// must still serve.
func TestDurationMeetsBothBounds(t *testing.T) {
	const bound, unaware, heartbeat, roundTrip = 5 * time.Second, time.Second, 700 * time.Millisecond, 100 * time.Millisecond
	duration := Duration(bound, unaware)
	assert.Equal(t, duration, 3900*time.Millisecond)
	assert.Assert(t, duration+unaware+Tolerance < bound)
	assert.Assert(t, duration >= 6*bound/10+heartbeat+roundTrip)
	assert.Assert(t, New(Duration(time.Second, unaware)).Required()) // not taken for no bound
	assert.Assert(t, New(Duration(unaware+Margin, unaware)).Required())
}
