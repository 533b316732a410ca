package checker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// TestBrokenPromisesAreFound breaks each promise once, and keeps it once.
func TestBrokenPromisesAreFound(t *testing.T) {
	tests := []struct {
		name string
		see  func(c *Checker)
		want int
	}{
		{"a call that may run once runs twice", func(c *Checker) {
			c.Ran(epoch, "e", "a", "a/1")
			c.Ran(epoch, "e", "a", "a/1")
			c.Ended("a", Once, Answered)
		}, 1},
		{"a repeatable one runs twice", func(c *Checker) {
			c.Ran(epoch, "e", "a", "a/1")
			c.Ran(epoch, "e", "a", "a/1")
			c.Ended("a", Repeatable, Answered)
		}, 0},
		{"refused, and has run", func(c *Checker) { c.Ran(epoch, "e", "a", "a/1"); c.Ended("a", Repeatable, NotRun) }, 1},
		{"refused, and runs later", func(c *Checker) { c.Ended("a", Repeatable, NotRun); c.Ran(epoch, "e", "a", "a/1") }, 1},
		{"refused, then sent again", func(c *Checker) {
			c.Ended("a", Once, NotRun)
			c.Ran(epoch, "e", "a", "a/1")
			c.Ended("a", Once, Answered)
		}, 0},
		{"broken, and has run", func(c *Checker) { c.Ran(epoch, "e", "a", "a/1"); c.Ended("a", Once, Broken) }, 0},
		{"answered by nobody", func(c *Checker) { c.Ended("a", Repeatable, Answered) }, 1},
		{"work after a departure", func(c *Checker) { c.Left(epoch, "e"); c.Ran(epoch.Add(leaveBound+1), "e", "a", "a/1") }, 1},
		{"work soon after a departure", func(c *Checker) { c.Left(epoch, "e"); c.Ran(epoch.Add(leaveBound), "e", "a", "a/1") }, 0},
		{"work after a return", func(c *Checker) { c.Left(epoch, "e"); c.Returned("e"); c.Ran(epoch.Add(2*leaveBound), "e", "a", "a/1") }, 0},
		{"two changes in one place", func(c *Checker) { c.Accepted(3, "x", false); c.Accepted(3, "y", false) }, 1},
		{"a change acknowledged twice", func(c *Checker) { c.Accepted(3, "x", false); c.Accepted(3, "x", true) }, 0},
		{"an old read", func(c *Checker) { c.Accepted(3, "x", true); c.Read(2, "w", c.Newest()) }, 1},
		{"a read of something else", func(c *Checker) { c.Accepted(3, "x", true); c.Read(3, "w", c.Newest()) }, 1},
		{"a newer read", func(c *Checker) { c.Accepted(3, "x", true); c.Read(4, "z", c.Newest()) }, 0},
	}
	for _, tt := range tests {
		c := New()
		tt.see(c)
		assert.Equal(t, len(c.Finish()), tt.want, tt.name)
	}
}

// TestRunsAreToldApartBySending: what an earlier sending of a call has run says nothing of
// a later one.
func TestRunsAreToldApartBySending(t *testing.T) {
	c := New()
	c.Ran(epoch, "e", "a", "a/1")
	assert.Check(t, c.PassedOn("a/1"))
	assert.Check(t, !c.PassedOn("a/2"))
}

// TestOnlyUnendingAnswersMayBreakOff: and no sooner than the time of their route is over.
func TestOnlyUnendingAnswersMayBreakOff(t *testing.T) {
	c := New()
	c.Unending("a/1")
	assert.Check(t, c.MayBreakOff("a/1", time.Second, time.Second))
	assert.Check(t, !c.MayBreakOff("a/1", time.Second-1, time.Second))
	assert.Check(t, !c.MayBreakOff("a/2", time.Second, time.Second))
}
