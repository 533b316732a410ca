package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// ignoreOrder compares actions whatever their order, because endpoints that are removed at the
// same time are retired in any order.
var ignoreOrder = cmpopts.SortSlices(func(a, b Action) bool { return fmt.Sprint(a) < fmt.Sprint(b) })

// TestRandomChangesMatchCompleteLists sends one balancer only the changes of the endpoints and
// another one the complete list each time. Both must choose among the same endpoints.
func TestRandomChangesMatchCompleteLists(t *testing.T) {
	service := validator.Service{Name: "s", QueueLimit: 64}
	rapid.Check(t, func(rt *rapid.T) {
		all := twoDataCentres(8, 8)
		newBalancer := func() *Balancer {
			return New("e", service, WithOptionalConfigLease(), WithRand(rand.New(rand.NewPCG(1, 1))))
		}
		incremental, complete := newBalancer(), newBalancer()
		announced := map[string]bool{}
		now := epoch
		for _, b := range []*Balancer{incremental, complete} {
			b.Handle(now, Reconfigured{Service: service, Entries: 1})
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Second)
			var v EndpointsChanged
			for range rapid.IntRange(1, 4).Draw(rt, "changes") {
				e := &all[rapid.IntRange(0, len(all)-1).Draw(rt, "endpoint")]
				if rapid.IntRange(0, 2).Draw(rt, "removed") == 0 {
					announced[e.Endpoint] = false
					continue
				}
				announced[e.Endpoint] = true
				e.State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
				e.Incarnation += uint64(rapid.IntRange(0, 1).Draw(rt, "restarted"))
			}
			var list []Endpoint
			for _, e := range all {
				if !announced[e.Endpoint] {
					v.Removed = append(v.Removed, e.Endpoint)
					continue
				}
				list = append(list, e)
				if old := incremental.endpointsByName[e.Endpoint]; old == nil || old.Endpoint != e {
					v.Changed = append(v.Changed, e)
				}
			}
			got := slices.Clone(incremental.Handle(now, v))
			want := slices.Clone(complete.Handle(now, Reconfigured{Service: service, Endpoints: list, Entries: 1}))
			assert.DeepEqual(rt, got, want, ignoreOrder)
			assert.DeepEqual(rt, incremental.preferred(), complete.preferred())
			for i := range complete.candidates {
				assert.Equal(rt, incremental.endpoints[i].Endpoint, complete.endpoints[i].Endpoint)
				assert.Equal(rt, incremental.candidates[i], complete.candidates[i])
			}
			assert.Equal(rt, len(incremental.endpoints), len(complete.endpoints))
			assert.Equal(rt, len(incremental.endpointsByName), len(incremental.endpoints))
		}
	})
}
