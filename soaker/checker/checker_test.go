package checker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// TestViolationsAreReported breaks each promise once, and keeps it once.
func TestViolationsAreReported(t *testing.T) {
	tests := []struct {
		name string
		see  func(c *Checker)
		want int
	}{
		{"a call that may run once runs twice", func(c *Checker) {
			c.RecordExecution(epoch, "e", "a", "a/1")
			c.RecordExecution(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", AtMostOnce, Answered)
		}, 1},
		{"a repeatable one runs twice", func(c *Checker) {
			c.RecordExecution(epoch, "e", "a", "a/1")
			c.RecordExecution(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", Repeatable, Answered)
		}, 0},
		{"refused, and has run", func(c *Checker) { c.RecordExecution(epoch, "e", "a", "a/1"); c.RecordOutcome("a", Repeatable, NotRun) }, 1},
		{"refused, and runs later", func(c *Checker) { c.RecordOutcome("a", Repeatable, NotRun); c.RecordExecution(epoch, "e", "a", "a/1") }, 1},
		{"refused, then sent again", func(c *Checker) {
			c.RecordOutcome("a", AtMostOnce, NotRun)
			c.RecordExecution(epoch, "e", "a", "a/1")
			c.RecordOutcome("a", AtMostOnce, Answered)
		}, 0},
		{"broken, and has run", func(c *Checker) { c.RecordExecution(epoch, "e", "a", "a/1"); c.RecordOutcome("a", AtMostOnce, Broken) }, 0},
		{"answered by nobody", func(c *Checker) { c.RecordOutcome("a", Repeatable, Answered) }, 1},
		{"work after a departure", func(c *Checker) {
			c.RecordDeparture(epoch, "e")
			c.RecordExecution(epoch.Add(departureGrace+1), "e", "a", "a/1")
		}, 1},
		{"work soon after a departure", func(c *Checker) {
			c.RecordDeparture(epoch, "e")
			c.RecordExecution(epoch.Add(departureGrace), "e", "a", "a/1")
		}, 0},
		{"work after a return", func(c *Checker) {
			c.RecordDeparture(epoch, "e")
			c.RecordReturn("e")
			c.RecordExecution(epoch.Add(2*departureGrace), "e", "a", "a/1")
		}, 0},
		{"two changes in one place", func(c *Checker) { c.RecordChange(3, "x", false); c.RecordChange(3, "y", false) }, 1},
		{"a change acknowledged twice", func(c *Checker) { c.RecordChange(3, "x", false); c.RecordChange(3, "x", true) }, 0},
		{"an old read", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(2, "w", c.NewestRevision()) }, 1},
		{"a read of something else", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(3, "w", c.NewestRevision()) }, 1},
		{"a newer read", func(c *Checker) { c.RecordChange(3, "x", true); c.RecordRead(4, "z", c.NewestRevision()) }, 0},
	}
	for _, tt := range tests {
		c := New()
		tt.see(c)
		assert.Equal(t, len(c.Finish()), tt.want, tt.name)
	}
}

// TestExecutionsAreRecordedPerRequest: what an earlier sending of a call has run says nothing of
// a later one.
func TestExecutionsAreRecordedPerRequest(t *testing.T) {
	c := New()
	c.RecordExecution(epoch, "e", "a", "a/1")
	assert.Check(t, c.HasStarted("a/1"))
	assert.Check(t, !c.HasStarted("a/2"))
}

// TestOnlyEndlessResponsesMayAbort: and no sooner than the time of their route is over.
func TestOnlyEndlessResponsesMayAbort(t *testing.T) {
	c := New()
	c.RecordEndless("a/1")
	assert.Check(t, c.MayAbort("a/1", time.Second, time.Second))
	assert.Check(t, !c.MayAbort("a/1", time.Second-1, time.Second))
	assert.Check(t, !c.MayAbort("a/2", time.Second, time.Second))
}
