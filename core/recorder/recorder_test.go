package recorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClockNeverGoesBackwards(t *testing.T) {
	var c Clock
	now := time.UnixMilli(5000)
	last := c.Next(now)
	assert.Equal(t, last.Wall, int64(5000))
	c.Observe(now, Stamp{Wall: 9000, Count: 4})
	c.Observe(now, Stamp{Wall: now.Add(time.Hour).UnixMilli()}) // too far ahead, ignored
	for _, at := range []time.Time{now, now.Add(-time.Hour), time.UnixMilli(9000), time.UnixMilli(9001), now} {
		next := c.Next(at)
		assert.Assert(t, last.Before(next))
		last = next
	}
	assert.Equal(t, last.Wall, int64(9001))
}

func TestRingKeepsLatestEvents(t *testing.T) {
	r := NewRing(3)
	for i := range 5 {
		r.Add(Event{At: Stamp{Wall: int64(i + 1)}, Service: []string{"a", "b"}[i%2]})
	}
	assert.Equal(t, r.Overwritten(), uint64(2))
	all := r.Select(Filter{})
	assert.Equal(t, len(all), 3)
	assert.Equal(t, all[0].At.Wall, int64(3))
	assert.Equal(t, len(r.Select(Filter{Service: "b"})), 1)
	assert.Equal(t, len(r.Select(Filter{After: Stamp{Wall: 4}})), 1)
}

func TestMergeOrdersEventsByStamp(t *testing.T) {
	a := []Event{{At: Stamp{Wall: 1}, Instance: "x"}, {At: Stamp{Wall: 3}, Instance: "x"}}
	b := []Event{{At: Stamp{Wall: 2}, Instance: "y"}, {At: Stamp{Wall: 3, Count: 1}, Instance: "y"}}
	merged := Merge(a, b)
	for i := 1; i < len(merged); i++ {
		assert.Assert(t, merged[i-1].At.Before(merged[i].At))
	}
}
