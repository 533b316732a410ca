package checker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// TestViolationsAreReported violates each guarantee once, and tests a similar case that
// keeps it.
func TestViolationsAreReported(t *testing.T) {
	tests := []struct {
		name string
		see  func(c *Checker)
		want int
	}{
		{"an at-most-once call runs twice", func(c *Checker) {
			c.Ran(epoch, "e", "a", "a/1")
			c.Ran(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", AtMostOnce, Answered)
		}, 1},
		{"a repeatable call runs twice", func(c *Checker) {
			c.Ran(epoch, "e", "a", "a/1")
			c.Ran(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", Repeatable, Answered)
		}, 0},
		{"a call refused as not run has run", func(c *Checker) { c.Ran(epoch, "e", "a", "a/1"); c.RecordOutcome("a", Repeatable, NotRun) }, 1},
		{"a call refused as not run runs later", func(c *Checker) { c.RecordOutcome("a", Repeatable, NotRun); c.Ran(epoch, "e", "a", "a/1") }, 1},
		{"a refused call is sent again and runs", func(c *Checker) {
			c.RecordOutcome("a", AtMostOnce, NotRun)
			c.Ran(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", AtMostOnce, Answered)
		}, 0},
		{"a call whose connection broke has run", func(c *Checker) { c.Ran(epoch, "e", "a", "a/1"); c.RecordOutcome("a", AtMostOnce, Broken) }, 0},
		{"a response to a call that never ran", func(c *Checker) { c.RecordOutcome("a", Repeatable, Answered) }, 1},
		{"new work after a departure", func(c *Checker) { c.Departed(epoch, "e"); c.Ran(epoch.Add(grace+1), "e", "a", "a/1") }, 1},
		{"new work soon after a departure", func(c *Checker) { c.Departed(epoch, "e"); c.Ran(epoch.Add(grace), "e", "a", "a/1") }, 0},
		{"new work after a return", func(c *Checker) { c.Departed(epoch, "e"); c.Returned("e"); c.Ran(epoch.Add(2*grace), "e", "a", "a/1") }, 0},
		{"two changes acknowledged as one revision", func(c *Checker) { c.RecordChange(3, "x", false); c.RecordChange(3, "y", false) }, 1},
		{"a change acknowledged twice", func(c *Checker) { c.RecordChange(3, "x", false); c.RecordChange(3, "x", true) }, 0},
		{"a stale read", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(2, "w", c.NewestRevision()) }, 1},
		{"a read of another change", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(3, "w", c.NewestRevision()) }, 1},
		{"a read of a newer revision", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(4, "z", c.NewestRevision()) }, 0},
	}
	for _, tt := range tests {
		c := New()
		tt.see(c)
		assert.Equal(t, len(c.Finish()), tt.want, tt.name)
	}
}

// TestExecutionsAreRecordedPerRequest checks that a call that ran for an earlier request
// isn't taken as started for a later one.
func TestExecutionsAreRecordedPerRequest(t *testing.T) {
	c := New()
	c.Ran(epoch, "e", "a", "a/1")
	assert.Check(t, c.HasStarted("a/1"))
	assert.Check(t, !c.HasStarted("a/2"))
}

// TestOnlyEndlessResponsesMayAbort checks that no other response may, and an endless one not before the route's deadline, unless
// the connection over which it comes was reset meanwhile.
func TestOnlyEndlessResponsesMayAbort(t *testing.T) {
	const deadline = 2 * time.Second
	tests := []struct {
		name     string
		endless  bool
		endpoint string
		// resetAt and now count from when the request was sent. A negative resetAt is before that; zero is no reset.
		resetAt, now time.Duration
		want         bool
	}{
		{"at the deadline", true, "e", 0, deadline, true},
		{"before the deadline", true, "e", 0, deadline - 1, false},
		{"not endless, at the deadline", false, "e", 0, deadline, false},
		{"its connection was reset", true, "e", time.Second, time.Second + 1, true},
		{"its connection is reset later", true, "e", time.Second + 1, time.Second, false},
		{"another connection was reset before", true, "e", -1, time.Second, false},
		{"the connection to another endpoint was reset", true, "other", time.Second, time.Second + 1, false},
		{"not endless, its connection was reset", false, "e", time.Second, time.Second + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			c.Ran(epoch, "e", "a", "a/1")
			if tt.endless {
				c.RecordEndless("e", "a/1")
			}
			if tt.resetAt != 0 {
				c.LinkReset(epoch.Add(tt.resetAt), tt.endpoint)
			}
			assert.Equal(t, c.MayAbort(epoch.Add(tt.now), "a/1", epoch, deadline), tt.want)
			assert.Check(t, !c.MayAbort(epoch.Add(tt.now), "a/2", epoch, deadline))
		})
	}
}
