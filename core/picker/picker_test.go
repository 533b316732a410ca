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

func counts(k *Picker, now time.Time, list []Candidate, n int) []int {
	chosen := make([]int, len(list))
	for range n {
		chosen[k.Pick(now, list, nil)]++
	}
	return chosen
}

func TestChoiceAvoids(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		spoil func(*Candidate)
	}{
		{"an endpoint with more of our work", func(c *Candidate) { c.InFlight = 3 }},
		{"an endpoint that reports more work of others", func(c *Candidate) { c.RecordLoad(now, 20, 0) }},
		{"an endpoint that was slow just now", func(c *Candidate) { c.RecordLatency(now, time.Second) }},
		{"a straggler", func(c *Candidate) {
			c.InFlight = 1
			c.OldestStart = now.Add(-time.Second)
		}},
		{"a cold endpoint", func(c *Candidate) { c.WarmUpStart = now }},
		{"another data centre", func(c *Candidate) { c.Remote = true }},
		{"a closed endpoint", func(c *Candidate) { c.Closed = true }},
		{"an endpoint at its limit", func(c *Candidate) { c.Limit = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newPicker(Adaptive{})
			list := candidates(12)
			k.UpdateTypicalLatency(list)
			tt.spoil(&list[4])
			assert.Equal(t, counts(k, now, list, 1000)[4], 0)
		})
	}
}

func TestWorkSpillsToAnotherDataCentreByDegrees(t *testing.T) {
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
	assert.Assert(t, spilled > 0 && spilled < 3, "%d", spilled)
}

func TestSlowEndpointGetsAnotherChance(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newPicker(Adaptive{})
	list := candidates(3)
	k.UpdateTypicalLatency(list)
	list[0].RecordLatency(now, time.Second)
	assert.Equal(t, counts(k, now, list, 100)[0], 0)
	list[1].InFlight = 4
	list[2].InFlight = 4
	assert.Assert(t, counts(k, now.Add(5*time.Second), list, 100)[0] > 0)
}

func TestOneLiarDoesNotShiftTheTypicalLatency(t *testing.T) {
	k := newPicker(Adaptive{})
	list := candidates(5)
	list[0].Latency = time.Minute
	k.UpdateTypicalLatency(list)
	assert.Equal(t, k.TypicalLatency(), 6*time.Millisecond)
}

func TestPoliciesTakeOnlyWhatIsOpen(t *testing.T) {
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

func TestChoiceAllocatesNothing(t *testing.T) {
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
