package recorder

import (
	"cmp"
	"slices"
	"strings"
)

// Ring keeps the latest events.
type Ring struct {
	events []Event
	// next is where the next event goes; it wraps at the capacity.
	next  int
	total uint64
}

// NewRing returns a ring for a number of events.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, 0, capacity)}
}

// Add stores an event in place of the oldest.
func (r *Ring) Add(e Event) {
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Overwritten returns how many events have made room for newer ones.
func (r *Ring) Overwritten() uint64 { return r.total - uint64(len(r.events)) }

// Select returns the events that pass a filter, oldest first.
func (r *Ring) Select(f Filter) []Event {
	var found []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.passes(e) {
			found = append(found, e)
		}
	}
	return found
}

// Filter chooses events. Empty fields match everything.
type Filter struct {
	// After excludes events up to this stamp.
	After    Stamp
	Instance string
	Kind     Kind
	Service  string
	Endpoint string
	Request  string
}

func (f Filter) passes(e Event) bool {
	return f.After.Before(e.At) &&
		matches(f.Instance, e.Instance) &&
		matches(string(f.Kind), string(e.Kind)) &&
		matches(f.Service, e.Service) &&
		matches(f.Endpoint, e.Endpoint) &&
		matches(f.Request, e.Request)
}

func matches(want, have string) bool { return want == "" || want == have }

// Merge orders the events of several processes.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At.Wall, b.At.Wall), cmp.Compare(a.At.Count, b.At.Count), strings.Compare(a.Instance, b.Instance))
	})
	return all
}
