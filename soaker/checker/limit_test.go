package checker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExceededLimitIsFound checks that the soak counts what the bound counts, and nothing else.
func TestExceededLimitIsFound(t *testing.T) {
	const rate = 2.0
	tests := []struct {
		name string
		// entry returns the entry that a request is sent to.
		entry func(n int) string
		// gap is the time between two requests.
		gap     time.Duration
		prepare func(c *Checker)
		want    int
	}{
		{"below the limit", func(int) string { return "e1/1" }, 600 * time.Millisecond, func(*Checker) {}, 0},
		{"one entry above the limit", func(int) string { return "e1/1" }, 100 * time.Millisecond, func(*Checker) {}, 1},
		{"each entry below the limit, together above", func(n int) string { return fmt.Sprintf("e%d/1", n%9) }, 100 * time.Millisecond, func(*Checker) {}, 1},
		{"entries that have passed on nothing", func(n int) string { return fmt.Sprintf("e%d/1", n) }, 100 * time.Millisecond, func(*Checker) {}, 0},
		{"an entry that was frozen", func(int) string { return "e1/1" }, 100 * time.Millisecond, func(c *Checker) {
			for s := range 10 {
				c.Excused(epoch.Add(time.Duration(s)*time.Second), "e1/1")
			}
		}, 0},
		{"a limit that has ended", func(int) string { return "e1/1" }, 100 * time.Millisecond, func(c *Checker) {
			c.LimitNamed(epoch.Add(time.Second), "e", 0)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			c.LimitNamed(epoch, "e", rate)
			tt.prepare(c)
			for n := range 60 {
				id := fmt.Sprint(n)
				at := epoch.Add(time.Duration(n+1) * tt.gap)
				c.Sent(at, id, tt.entry(n))
				c.Arrived(at, "e", id, 0)
				c.Ran(at, "e", "call-"+id, id)
				c.PassedOn(at, id, "e")
			}
			assert.Equal(t, len(c.Finish()), tt.want)
		})
	}
}
