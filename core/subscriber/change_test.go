package subscriber

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
)

// view holds the endpoints of a balancer that carries out the actions of a subscriber.
type view map[string]balancer.Endpoint

func (v view) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reconfigure:
			clear(v)
			for _, e := range a.Reconfigure.Endpoints {
				v[e.Endpoint] = e
			}
		case ChangeEndpoints:
			for _, e := range a.Changed.Changed {
				v[e.Endpoint] = e
			}
			for _, name := range a.Changed.Removed {
				delete(v, name)
			}
		}
	}
}

// TestRandomChangesMatchFullList handles random announcements, from replicas and directly from
// endpoints, and checks that the sum of the changes equals the full list of endpoints.
func TestRandomChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := configured()
		now := epoch
		v := view{}
		v.apply(s.Handle(now, Tick{}))
		var sequence uint64
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			sequence++
			a := serving(fmt.Sprint("e", rapid.IntRange(0, 5).Draw(rt, "endpoint")), rapid.Bool().Draw(rt, "deregistered"))
			a.Sequence = sequence
			a.State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
			var in Input = Announced{Announcement: a}
			switch rapid.IntRange(0, 4).Draw(rt, "input") {
			case 0:
				in = MessageReceived{messenger.EndpointUpdate{Full: true, Changed: []registrar.Announcement{a}}}
			case 1:
				in = MessageReceived{messenger.EndpointUpdate{Changed: []registrar.Announcement{a}}}
			case 2:
				in = MessageReceived{messenger.EndpointUpdate{Removed: []registrar.Name{a.Name}}}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond)
				in = Tick{}
			}
			v.apply(s.Handle(now, in))
			service, _ := s.document.Service("s")
			var want []string
			for _, e := range s.endpoints(now, service) {
				want = append(want, e.Endpoint)
				if got := v[e.Endpoint]; got.State != e.State || got.Sequence > e.Sequence {
					rt.Fatalf("after %T: %s is %s, but %s in the full list", in, e.Endpoint, got.State, e.State)
				}
			}
			assert.DeepEqual(rt, slices.Sorted(maps.Keys(v)), want)
		}
	})
}
