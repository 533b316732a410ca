package registrar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// digestOf sums up what is held now.
func digestOf(r *Registry) uint64 {
	var sum uint64
	for _, a := range r.All("") {
		sum += a.hash()
	}
	return sum
}

// TestRandomExpiries compares the registry with a plain list of times: leases end exactly
// when they do there, and the next expiry is told exactly.
func TestRandomExpiries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const lease = 50 * time.Millisecond
		now := time.Unix(1000, 0)
		r := New(WithLease(lease))
		ends := map[string]time.Time{}
		var sequence uint64
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 4).Draw(rt, "endpoint"))
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1:
				sequence++
				r.Announce(now, Announcement{
					Name: Name{Service: "s", Endpoint: name}, Incarnation: 1, Sequence: sequence,
					State:        rapid.SampledFrom([]State{StateServing, StateDraining}).Draw(rt, "state"),
					Deregistered: rapid.Bool().Draw(rt, "gone"),
				})
				ends[name] = now.Add(lease)
			case 2:
				r.Remove(Name{Service: "s", Endpoint: name})
				delete(ends, name)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms")) * time.Millisecond)
			}
			due := 0
			var first time.Time
			for name, at := range ends {
				if !now.Before(at) {
					due++
					delete(ends, name)
					continue
				}
				if first.IsZero() || at.Before(first) {
					first = at
				}
			}
			assert.Equal(rt, len(r.Expire(now)), due)
			assert.Equal(rt, r.Len(), len(ends))
			assert.Equal(rt, r.Digest(), digestOf(r))
			if next := r.NextExpiry(); !first.IsZero() && (next.After(first) || !next.After(now)) {
				rt.Fatalf("next expiry %s, and the first lease ends at %s", next, first)
			}
		}
	})
}
