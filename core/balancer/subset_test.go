package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// twoDataCentres returns endpoints in two data centres, first those in the entry's own.
func twoDataCentres(local, remote int) []Endpoint {
	var list []Endpoint
	for i := range local + remote {
		list = append(list, Endpoint{Remote: i >= local, Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "s", Endpoint: fmt.Sprint("i-", i)}, Address: fmt.Sprint("a-", i), Slots: 6,
			State: registrar.StateServing, Incarnation: 1,
		}})
	}
	return list
}

func newWithEndpoints(t *testing.T, entry string, list []Endpoint) *Balancer {
	t.Helper()
	b := New(entry, validator.Service{Name: "s", QueueLimit: 64}, WithOptionalConfigLease())
	b.Handle(epoch, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 64}, Endpoints: list, Entries: 1})
	return b
}

// preferred returns the names of the preferred endpoints.
func (b *Balancer) preferred() []string {
	var names []string
	for i, e := range b.endpoints {
		if b.candidates[i].Tier == picker.TierPreferred {
			names = append(names, e.name())
		}
	}
	return names
}

// TestSubsetsCoverEndpointsEvenly counts for each endpoint how many entries have it in their
// subset.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	const entries, local, remote = 300, 25, 50
	covered := map[string]int{}
	for i := range entries {
		for _, name := range newWithEndpoints(t, fmt.Sprint("entry-", i), twoDataCentres(local, remote)).preferred() {
			covered[name]++
		}
	}
	for i := range local + remote {
		mean := entries * localSubset / local
		if i >= local {
			mean = entries * remoteSubset / remote
		}
		got := covered[fmt.Sprint("i-", i)]
		assert.Assert(t, got > mean/3 && got < 2*mean, "i-%d is in %d subsets, %d on average", i, got, mean)
	}
}

// TestSubsetChangesLittle drains one endpoint after the other. Each time at most one other
// endpoint may take its place, and once few local endpoints are left, all of them are in the
// subset.
func TestSubsetChangesLittle(t *testing.T) {
	list := twoDataCentres(25, 8)
	b := newWithEndpoints(t, "entry", list)
	before := b.preferred()
	assert.Equal(t, len(before), localSubset+remoteSubset)
	for i := range 20 {
		list[i].State = registrar.StateDraining
		b.Handle(epoch.Add(time.Duration(i)*time.Second), Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 64}, Endpoints: list, Entries: 1})
		after := b.preferred()
		assert.Assert(t, !slices.Contains(after, list[i].Endpoint))
		added := 0
		for _, name := range after {
			if !slices.Contains(before, name) {
				added++
			}
		}
		assert.Assert(t, added <= 1, "after %d departures, %d endpoints are new", i+1, added)
		before = after
	}
	assert.Equal(t, len(before), 5+remoteSubset) // all remaining local endpoints and the same remote ones
}

// TestLargeServiceIsProbedInPart asserts that under the usual load entries keep to few endpoints,
// whose connections stay in use, and still have nearly all responses in time.
func TestLargeServiceIsProbedInPart(t *testing.T) {
	load := shiftingLoad
	load.entries = 40
	load.endpoints = 80
	load.rate = 700
	load.duration = 6 * time.Second
	s := simulate(load, withSampling)
	pairs := s.probedPairCount()
	t.Logf("in time: %.3f; %d of %d pairs probed", s.inTimeShare(), pairs, load.entries*load.endpoints)
	assert.Assert(t, s.inTimeShare() > 0.95)
	assert.Assert(t, pairs < load.entries*load.endpoints/3)
}

// TestSurgeKeepsToTheReserve guards against calls that look for room all over a large service as their own endpoints
// are full: each endpoint would get a connection from each entry.
func TestSurgeKeepsToTheReserve(t *testing.T) {
	load := shiftingLoad
	load.entries = 40
	load.endpoints = 120
	load.rate = 3600
	load.duration = 6 * time.Second
	s := simulate(load, withSampling)
	pairs := s.probedPairCount()
	t.Logf("in time: %.3f; refused %d; %d of %d pairs probed", s.inTimeShare(), s.refused, pairs, load.entries*load.endpoints)
	assert.Assert(t, s.refused > 0)
	assert.Assert(t, pairs <= load.entries*(localSubset+localReserve+remoteSubset+remoteReserve))
}
