package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkAfterLeavingIsFound checks that the soak finds requests that were sent to an endpoint by an entry which had
// passed on that it leaves, and nothing else.
func TestWorkAfterLeavingIsFound(t *testing.T) {
	tests := []struct {
		name string
		// by is the endpoint whose response to the first request is passed on.
		by string
		// entry and at are the process and the time of a request after the first one, which went to e1/1 at 1 s.
		entry   string
		at      time.Duration
		prepare func(c *Checker)
		want    int
	}{
		{"the entry that passed it on", "e", "e1/1", 3 * time.Second, func(*Checker) {}, 1},
		{"the response of another endpoint", "other", "e1/1", 3 * time.Second, func(*Checker) {}, 0},
		{"at once", "e", "e1/1", 1100 * time.Millisecond, func(*Checker) {}, 0},
		{"another entry", "e", "e2/1", 3 * time.Second, func(*Checker) {}, 0},
		{"the entry after a restart", "e", "e1/2", 3 * time.Second, func(*Checker) {}, 0},
		{"the entry after a freeze", "e", "e1/1", 3 * time.Second, func(c *Checker) { c.Excused(epoch.Add(2*time.Second), "e1/1") }, 0},
		{"another entry was frozen", "e", "e1/1", 3 * time.Second, func(c *Checker) { c.Excused(epoch.Add(2*time.Second), "e2/1") }, 1},
		{"the next incarnation", "e", "e1/1", 3 * time.Second, func(c *Checker) { c.LeavingSaid(epoch.Add(2*time.Second), "e", false) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			c.LeavingSaid(epoch, "e", true)
			request := func(id, entry string, at time.Duration) {
				now := epoch.Add(at)
				c.Sent(now, id, entry)
				c.Arrived(now, "e", id, 0)
				c.Ran(now, "e", "call-"+id, id)
				c.PassedOn(now, id, tt.by)
			}
			request("first", "e1/1", time.Second)
			tt.prepare(c)
			request("second", tt.entry, tt.at)
			violations := c.Finish()
			assert.Equal(t, len(violations), tt.want, "%v", violations)
		})
	}
}

// TestWorkInAPauseIsFound checks that the soak counts the requests that the bound of a pause counts, and no others.
func TestWorkInAPauseIsFound(t *testing.T) {
	const pause = 3 * time.Second
	tests := []struct {
		name string
		// entry is the process that the requests come from, and from when; they come 100 ms apart.
		entry    string
		from     time.Duration
		requests int
		prepare  func(c *Checker)
		want     int
	}{
		{"as many as are allowed", "e1/1", time.Second, 2, func(*Checker) {}, 0},
		{"one too many", "e1/1", time.Second, 3, func(*Checker) {}, 1},
		{"in flight", "e1/1", 0, 5, func(*Checker) {}, 0},
		{"after the pause", "e1/1", pause, 5, func(*Checker) {}, 0},
		{"another entry", "e2/1", time.Second, 5, func(*Checker) {}, 0},
		{"the entry was frozen", "e1/1", time.Second, 5, func(c *Checker) { c.Excused(epoch.Add(time.Second), "e1/1") }, 0},
		{"the link of the endpoint was cut", "e1/1", time.Second, 5, func(c *Checker) { c.Excused(epoch, "e") }, 0},
		{"the next incarnation", "e1/1", time.Second, 5, func(c *Checker) { c.LeavingSaid(epoch.Add(900*time.Millisecond), "e", false) }, 0},
		{"a fault long before", "e1/1", time.Second, 5, func(c *Checker) { c.Excused(epoch.Add(-time.Minute), "e") }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			c.Sent(epoch, "first", "e1/1")
			c.Arrived(epoch, "e", "first", pause)
			tt.prepare(c)
			for n := range tt.requests {
				at := epoch.Add(tt.from + time.Duration(n)*100*time.Millisecond)
				c.Sent(at, fmt.Sprint(n), tt.entry)
				c.Arrived(at, "e", fmt.Sprint(n), 0)
			}
			violations := c.Finish()
			assert.Equal(t, len(violations), tt.want, "%v", violations)
		})
	}
}

// TestViolationOfAPauseNamesTheOtherAttempts guards against a report that doesn't tell whether the entry may have dropped the refusal
// unread, as another attempt of the request was answered.
func TestViolationOfAPauseNamesTheOtherAttempts(t *testing.T) {
	c := New()
	c.Sent(epoch, "first", "e1/1")
	c.Arrived(epoch.Add(-20*time.Millisecond), "other", "first", 0)
	c.Arrived(epoch, "e", "first", 3*time.Second)
	for n := range 3 {
		at := epoch.Add(time.Second + time.Duration(n))
		c.Sent(at, fmt.Sprint(n), "e1/1")
		c.Arrived(at, "e", fmt.Sprint(n), 0)
	}
	violations := c.Finish()
	assert.Equal(t, len(violations), 1)
	assert.Assert(t, strings.HasSuffix(violations[0], "allowed 2; it refused first, which reached other -20ms after that"), violations[0])
}
