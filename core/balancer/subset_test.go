package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// twoDataCentres lists endpoints, the first ones in the entry's own data centre.
func twoDataCentres(near, far int) []Endpoint {
	var list []Endpoint
	for i := range near + far {
		list = append(list, Endpoint{Remote: i >= near, Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "s", Endpoint: fmt.Sprint("i-", i)}, Address: fmt.Sprint("a-", i), Slots: 6,
			State: registrar.StateServing, Incarnation: 1,
		}})
	}
	return list
}

func preferring(t *testing.T, entry string, list []Endpoint) *Balancer {
	t.Helper()
	b := New(entry, validator.Service{Name: "s", QueueLimit: 64}, WithOptionalConfigLease())
	b.Handle(epoch, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 64}, Endpoints: list, Entries: 1})
	return b
}

// preferred lists the endpoints that an entry asks first.
func (b *Balancer) preferred() []string {
	var names []string
	for i, e := range b.endpoints {
		if b.candidates[i].Preferred {
			names = append(names, e.name())
		}
	}
	return names
}

// TestSubsetsCoverEndpointsEvenly counts in how many of the subsets of many entries each
// endpoint is.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	const entries, near, far = 300, 25, 50
	covered := map[string]int{}
	for i := range entries {
		for _, name := range preferring(t, fmt.Sprint("entry-", i), twoDataCentres(near, far)).preferred() {
			covered[name]++
		}
	}
	for i := range near + far {
		mean := entries * nearSubset / near
		if i >= near {
			mean = entries * farSubset / far
		}
		got := covered[fmt.Sprint("i-", i)]
		assert.Assert(t, got > mean/3 && got < 2*mean, "i-%d is in %d subsets, %d on average", i, got, mean)
	}
}

// TestSubsetMovesLittle takes one endpoint after the other away: each time at most one
// other takes its place, and small services are in the subset whole.
func TestSubsetMovesLittle(t *testing.T) {
	list := twoDataCentres(25, 8)
	b := preferring(t, "entry", list)
	before := b.preferred()
	assert.Equal(t, len(before), nearSubset+farSubset)
	for i := range 20 {
		list[i].State = registrar.StateDraining
		b.Handle(epoch.Add(time.Duration(i)*time.Second), Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 64}, Endpoints: list, Entries: 1})
		after := b.preferred()
		assert.Assert(t, !slices.Contains(after, list[i].Endpoint))
		fresh := 0
		for _, name := range after {
			if !slices.Contains(before, name) {
				fresh++
			}
		}
		assert.Assert(t, fresh <= 1, "after %d have left, %d are new", i+1, fresh)
		before = after
	}
	assert.Equal(t, len(before), 5+farSubset) // all that are left near, and the same far ones
}

// TestLargeServiceIsAskedInPart asserts that in usual load entries keep to few endpoints,
// whose connections stay in use, and serve as many in time as if they asked all.
func TestLargeServiceIsAskedInPart(t *testing.T) {
	p := shifting
	p.entries = 40
	p.endpoints = 80
	p.rate = 700
	p.duration = 6 * time.Second
	w := play(p, asking)
	pairs := w.pairsAsked()
	t.Logf("in time: %.3f; %d pairs of %d asked", w.shareInTime(), pairs, p.entries*p.endpoints)
	assert.Assert(t, w.shareInTime() > 0.95)
	assert.Assert(t, pairs < p.entries*p.endpoints/3)
}
