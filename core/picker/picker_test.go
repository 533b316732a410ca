package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPicker(p Policy) *Picker {
	return New(WithPolicy(p), WithRand(rand.New(rand.NewPCG(1, 2))))
}

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Slots: 6, Limit: 8, Latency: 6 * time.Millisecond}
	}
	return list
}

// pickCounts picks n times and returns how often each position was chosen.
func pickCounts(k *Picker, now time.Time, list []Candidate, n int) []int {
	counts := make([]int, len(list))
	for range n {
		counts[k.Pick(now, list, nil)]++
	}
	return counts
}

func TestAdaptiveAvoids(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		degrade func(*Candidate)
	}{
		{"more requests of this entry", func(c *Candidate) { c.InFlight = 3 }},
		{"higher reported load of others", func(c *Candidate) { c.RecordLoad(now, 20, 0) }},
		{"high recent latency", func(c *Candidate) { c.RecordLatency(now, time.Second) }},
		{"a straggler", func(c *Candidate) {
			c.InFlight = 1
			c.OldestStart = now.Add(-time.Second)
		}},
		{"warm-up has just begun", func(c *Candidate) { c.WarmUpStart = now }},
		{"remote data centre", func(c *Candidate) { c.Remote = true }},
		{"closed", func(c *Candidate) { c.Closed = true }},
		{"at its limit", func(c *Candidate) { c.Limit = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newPicker(Adaptive{})
			list := candidates(12)
			k.UpdateTypicalLatency(list)
			tt.degrade(&list[4])
			assert.Equal(t, pickCounts(k, now, list, 1000)[4], 0)
		})
	}
}

func TestRequestsSpillOverGraduallyToRemoteDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPicker(Adaptive{})
	list := candidates(4)
	list[3].Remote = true
	k.UpdateTypicalLatency(list)
	spilled := 0
	for range 12 {
		i := k.Pick(now, list, nil)
		if i == 3 {
			spilled++
		}
		list[i].RecordSent(now)
	}
	assert.Assert(t, spilled > 0 && spilled < 3, "%d of 12 requests went to the remote endpoint", spilled)
}

func TestSlowEndpointGetsAnotherChance(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPicker(Adaptive{})
	list := candidates(3)
	k.UpdateTypicalLatency(list)
	list[0].RecordLatency(now, time.Second)
	assert.Equal(t, pickCounts(k, now, list, 100)[0], 0)
	list[1].InFlight = 4
	list[2].InFlight = 4
	assert.Assert(t, pickCounts(k, now.Add(5*time.Second), list, 100)[0] > 0)
}

func TestOutlierDoesNotShiftTypicalLatency(t *testing.T) {
	k := newPicker(Adaptive{})
	list := candidates(5)
	list[0].Latency = time.Minute
	k.UpdateTypicalLatency(list)
	assert.Equal(t, k.TypicalLatency(), 6*time.Millisecond)
}

func TestPoliciesPickOnlyEligibleCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, p := range []Policy{Adaptive{}, Random{}, RoundRobin{}, LeastInFlight{}} {
		k := newPicker(p)
		list := candidates(5)
		for i := range list {
			list[i].Closed = i != 2
		}
		assert.Equal(t, k.Pick(now, list, nil), 2, "%T", p)
		assert.Equal(t, k.Pick(now, list, func(i int) bool { return i == 2 }), None, "%T", p)
		assert.Equal(t, k.Pick(now, nil, nil), None, "%T", p)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPicker(Adaptive{})
	list := candidates(1400)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { k.Pick(now, list, nil) }), 0.0)
}

func BenchmarkPick(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, n := range []int{12, 120, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newPicker(Adaptive{})
			list := candidates(n)
			for i := range list {
				list[i].RecordLoad(now, i%9, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				k.Pick(now, list, nil)
			}
		})
	}
}

// TestOneResponseDoesNotSetTheUtilisation guards against one load header, of one endpoint, that keeps a whole service from being
// hedged: with the bound of hedges at 0.8, the next thousand responses didn't undo it.
func TestOneResponseDoesNotSetTheUtilisation(t *testing.T) {
	const usual, bound = 0.4, 0.8
	for _, load := range []int{100, 1_000_000, 10_000_000} {
		k := newPicker(Adaptive{})
		for range 1000 {
			k.RecordResponse(time.Millisecond, 4, 10)
		}
		k.RecordResponse(time.Millisecond, load, 1)
		assert.Check(t, k.Utilisation() > usual && k.Utilisation() < bound, "%d: %.2f", load, k.Utilisation())
	}
}
