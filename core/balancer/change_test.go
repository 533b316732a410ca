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

// inOrder compares actions whatever their order: the endpoints that go are retired together.
var inOrder = cmpopts.SortSlices(func(a, b Action) bool { return fmt.Sprint(a) < fmt.Sprint(b) })

// TestRandomChangesAreLikeWholeLists tells one balancer what changes and another one the whole
// list each time: both choose among the same endpoints.
func TestRandomChangesAreLikeWholeLists(t *testing.T) {
	service := validator.Service{Name: "s", QueueLimit: 64}
	rapid.Check(t, func(rt *rapid.T) {
		all := twoDataCentres(8, 8)
		one := func() *Balancer {
			return New("e", service, WithOptionalConfigLease(), WithRand(rand.New(rand.NewPCG(1, 1))))
		}
		changed, whole := one(), one()
		here := map[string]bool{}
		now := epoch
		for _, b := range []*Balancer{changed, whole} {
			b.Handle(now, Reconfigured{Service: service, Entries: 1})
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Second)
			var v EndpointsChanged
			for range rapid.IntRange(1, 4).Draw(rt, "at once") {
				e := &all[rapid.IntRange(0, len(all)-1).Draw(rt, "endpoint")]
				if rapid.IntRange(0, 2).Draw(rt, "goes") == 0 {
					here[e.Endpoint] = false
					continue
				}
				here[e.Endpoint] = true
				e.State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
				e.Incarnation += uint64(rapid.IntRange(0, 1).Draw(rt, "anew"))
			}
			var list []Endpoint
			for _, e := range all {
				if !here[e.Endpoint] {
					v.Removed = append(v.Removed, e.Endpoint)
					continue
				}
				list = append(list, e)
				if old := changed.named[e.Endpoint]; old == nil || old.Endpoint != e {
					v.Changed = append(v.Changed, e)
				}
			}
			got := slices.Clone(changed.Handle(now, v))
			want := slices.Clone(whole.Handle(now, Reconfigured{Service: service, Endpoints: list, Entries: 1}))
			assert.DeepEqual(rt, got, want, inOrder)
			assert.DeepEqual(rt, changed.preferred(), whole.preferred())
			for i := range whole.candidates {
				assert.Equal(rt, changed.endpoints[i].Endpoint, whole.endpoints[i].Endpoint)
				assert.Equal(rt, changed.candidates[i], whole.candidates[i])
			}
			assert.Equal(rt, len(changed.endpoints), len(whole.endpoints))
			assert.Equal(rt, len(changed.named), len(changed.endpoints))
		}
	})
}
