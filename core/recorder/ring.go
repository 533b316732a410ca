package recorder

import (
	"cmp"
	"slices"
	"strings"
)

// Ring is a ring buffer of the latest events.
type Ring struct {
	events []Event
	// next is the index for the next event once the buffer is full.
	next  int
	total uint64
}

// NewRing returns an empty ring with room for capacity events.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, 0, capacity)}
}

// Add stores an event. It overwrites the oldest event if the ring is full.
func (r *Ring) Add(e Event) {
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Overwritten returns the number of events that newer ones have overwritten.
func (r *Ring) Overwritten() uint64 { return r.total - uint64(len(r.events)) }

// Select returns the events that match a filter, oldest first.
func (r *Ring) Select(f Filter) []Event {
	var selected []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Filter selects events. Empty fields match every event.
type Filter struct {
	// After excludes events up to and including this stamp.
	After    Stamp
	Instance string
	Kind     Kind
	Service  string
	Endpoint string
	Request  string
}

func (f Filter) matches(e Event) bool {
	return f.After.Before(e.At) &&
		matchesField(f.Instance, e.Instance) &&
		matchesField(string(f.Kind), string(e.Kind)) &&
		matchesField(f.Service, e.Service) &&
		matchesField(f.Endpoint, e.Endpoint) &&
		matchesField(f.Request, e.Request)
}

func matchesField(want, got string) bool { return want == "" || want == got }

// Merge returns the events of several processes in one list, ordered by stamp and then by
// instance.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At.Wall, b.At.Wall), cmp.Compare(a.At.Count, b.At.Count), strings.Compare(a.Instance, b.Instance))
	})
	return all
}
