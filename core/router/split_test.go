package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// TestRandomSplitsFollowWeights sends calls to splits of which some parts have too little
// capacity. Calls beyond the capacity of a part are refused and must not move to another part,
// so that each part gets its share of the calls.
func TestRandomSplitsFollowWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const calls = 1500
		now := time.Unix(1000, 0)
		route := validator.Route{PathPrefix: "/"}
		parts := map[string]*balancer.Balancer{}
		sum := 0
		for i := range rapid.IntRange(2, 4).Draw(rt, "parts") {
			name := fmt.Sprint("part-", i)
			weight := rapid.IntRange(1, 100).Draw(rt, "weight")
			sum += weight
			route.Split = append(route.Split, validator.WeightedService{Service: name, Weight: weight})
			parts[name] = part(now, name, rapid.IntRange(0, 3).Draw(rt, "endpoints"))
		}
		doc := validator.Document{Services: []validator.Service{{Name: "part-0", Routes: []validator.Route{route}}}}
		match, ok := router.New(doc).Match("host", "/x")
		if !ok {
			rt.Fatalf("no route matches")
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		arrived := map[string]int{}
		for i := range calls {
			name := match.PickService(random.Float64())
			arrived[name]++
			now = now.Add(time.Millisecond)
			call := balancer.Call{ID: balancer.CallID(i + 1), Execution: router.Repeatable, Deadline: now.Add(time.Second)}
			for _, a := range parts[name].Handle(now, balancer.CallArrived{Call: call}) {
				if d, ok := a.(balancer.Dispatch); ok && d.Address != name {
					rt.Fatalf("a call for %s was dispatched to %s", name, d.Address)
				}
			}
		}
		for _, p := range route.Split {
			share := float64(p.Weight) / float64(sum)
			deviation := math.Sqrt(share * (1 - share) / calls)
			if got := float64(arrived[p.Service]) / calls; math.Abs(got-share) > 5*deviation {
				rt.Fatalf("%s got a share of %.3f of the calls, want %.3f", p.Service, got, share)
			}
		}
	})
}

// part returns the balancer of a service with the given number of endpoints, which never
// respond.
func part(now time.Time, name string, endpoints int) *balancer.Balancer {
	service := validator.Service{Name: name, QueueLimit: 4}
	b := balancer.New("entry", service, balancer.WithOptionalConfigLease())
	var list []balancer.Endpoint
	for i := range endpoints {
		list = append(list, balancer.Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: name, Endpoint: fmt.Sprint("e", i)}, Address: name,
			Slots: 2, Connections: 10, State: registrar.StateServing, Incarnation: 1,
		}})
	}
	b.Handle(now, balancer.Reconfigured{Service: service, Endpoints: list, Entries: 1})
	return b
}
