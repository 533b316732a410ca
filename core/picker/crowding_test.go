package picker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContentionIsLearned records responses of endpoints with different latency curves and
// checks the resulting useful concurrency.
func TestContentionIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		curve func(running int) float64
		want  int
	}{
		{"constant latency", 6, func(int) float64 { return 1 }, 6},
		{"constant latency, few slots", 4, func(int) float64 { return 1 }, 4},
		{"slower from 5 of 6 slots", 6, slowerFrom(5, 1.7), 4},
		{"slower with all slots taken", 4, slowerFrom(4, 2), 3},
		// 30 is the upper end of the level below the one that contains 33.
		{"many slots", 40, slowerFrom(33, 1.7), 30},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		var c Contention
		for range 50 {
			for n := 1; n <= tt.slots; n++ {
				now = now.Add(time.Millisecond)
				c.RecordRatio(now, n, tt.slots, tt.curve(n)/c.Factor(now, n, tt.slots))
			}
		}
		assert.Equal(t, c.UsefulConcurrency(now, tt.slots), tt.want, tt.name)
	}
}

// slowerFrom returns a latency curve that rises to factor at the given number of requests.
func slowerFrom(threshold int, factor float64) func(int) float64 {
	return func(running int) float64 {
		if running >= threshold {
			return factor
		}
		return 1
	}
}

func TestContentionDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Contention
	initial := c.UsefulConcurrency(now, 6)
	for range 50 {
		for n := 5; n <= 6; n++ {
			c.RecordRatio(now, n, 6, 1.7/c.Factor(now, n, 6))
		}
	}
	assert.Equal(t, c.UsefulConcurrency(now, 6), 4)
	assert.Equal(t, c.UsefulConcurrency(now.Add(5*contentionDecayTime), 6), initial)
}

// TestManySlotsCostNoMoreThanFew guards against choices that take as long as an endpoint has slots, as each slot was weighed in each
// choice among sampled endpoints. The result is that of few slots, to a step.
func TestManySlotsCostNoMoreThanFew(t *testing.T) {
	const fewSlots = 64
	now := time.Unix(1000, 0)
	learned := func(slots int) *Contention {
		var c Contention
		for range 50 {
			for n := slots/2 + 1; n <= slots; n += slots / 32 {
				c.RecordRatio(now, n, slots, slowerFrom(slots*5/6, 1.7)(n)/c.Factor(now, n, slots))
			}
		}
		return &c
	}
	cost := func(c *Contention, slots int) int64 {
		return testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				c.UsefulConcurrency(now, slots)
			}
		}).NsPerOp()
	}
	few := learned(fewSlots)
	want, reference := few.UsefulConcurrency(now, fewSlots), cost(few, fewSlots)
	for _, times := range []int{10, 1000, 1500} {
		slots := times * fewSlots
		c := learned(slots)
		useful := c.UsefulConcurrency(now, slots)
		assert.Check(t, useful >= (want-1)*times && useful <= (want+1)*times, "%d of %d", useful, slots)
		took := cost(c, slots)
		assert.Check(t, took < 8*reference, "%d slots: %d ns, %d ns with %d", slots, took, reference, fewSlots)
	}
	for slots := range 200 {
		useful := few.UsefulConcurrency(now, slots+1)
		assert.Check(t, useful >= 1 && useful <= slots+1, "%d of %d", useful, slots+1)
	}
}
