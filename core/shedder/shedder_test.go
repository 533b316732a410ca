package shedder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

// load is what callers offer to a service that serves a number of calls a second: calls that were admitted beyond it
// find no room, in proportion over all priorities.
type load struct {
	capacity float64
	// offered holds the calls a second by priority.
	offered []float64
}

// played is what became of the calls of a priority.
type played struct{ offered, served, shed, overloaded float64 }

const step = 100 * time.Millisecond

// play runs a load for a time, and returns what became of the calls after the first two seconds. Counts reach the leader
// 200 ms late, as shares reach entries.
func play(s *Shedder, from time.Time, d time.Duration, l load) []played {
	result := make([]played, len(l.offered))
	share := make([]float64, len(l.offered))
	for p := range share {
		share[p] = 1
	}
	var late [][]messenger.ServiceUsage
	var lateShares [][]float64
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		usage, outcome := l.step(share)
		late = append(late, usage)
		if len(late) > 2 {
			s.Record(now, late[0])
			late = late[1:]
		}
		list, _ := s.Shares(now)
		next := make([]float64, len(share))
		for p := range next {
			next[p] = shareOf(list, p)
		}
		lateShares = append(lateShares, next)
		if len(lateShares) > 2 {
			share, lateShares = lateShares[0], lateShares[1:]
		}
		if now.Sub(from) >= 2*time.Second {
			for p := range result {
				result[p].offered += outcome[p].offered
				result[p].served += outcome[p].served
				result[p].shed += outcome[p].shed
				result[p].overloaded += outcome[p].overloaded
			}
		}
	}
	return result
}

func shareOf(list []messenger.ServiceAdmission, priority int) float64 {
	for _, a := range list {
		if a.Priority == priority {
			return a.Share
		}
	}
	return 1
}

func (l load) step(share []float64) ([]messenger.ServiceUsage, []played) {
	total := 0.0
	for p, o := range l.offered {
		total += o * share[p]
	}
	room := 1.0
	if total > l.capacity {
		room = l.capacity / total
	}
	usage := make([]messenger.ServiceUsage, len(l.offered))
	outcome := make([]played, len(l.offered))
	for p, o := range l.offered {
		o *= step.Seconds()
		admitted := o * share[p]
		outcome[p] = played{offered: o, served: admitted * room, shed: o - admitted, overloaded: admitted * (1 - room)}
		usage[p] = messenger.ServiceUsage{
			Service: "s", Priority: p, Offered: int(o + 0.5), Shed: int(o - admitted + 0.5), Overloaded: int(admitted*(1-room) + 0.5),
		}
	}
	return usage, outcome
}

// TestUrgentCallsAreServedFirst plays services at twice their room. Guards against urgent calls that fare as all others,
// against others that starve, and against room that is left unused.
func TestUrgentCallsAreServedFirst(t *testing.T) {
	tests := []struct {
		name string
		load load
		// least is the least part of the calls of each priority that is served.
		least []float64
	}{
		{"few urgent calls", load{1000, []float64{400, 1600}}, []float64{0.85, 0.3}},
		{"many urgent calls", load{1000, []float64{1600, 400}}, []float64{0.5, 0.13}},
		{"three priorities", load{900, []float64{300, 600, 900}}, []float64{0.85, 0.6, 0.13}},
		{"one priority", load{500, []float64{1000}}, []float64{0.45}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(epoch, nil)
			result := play(s, epoch, 20*time.Second, tt.load)
			served := 0.0
			for p, r := range result {
				t.Logf("priority %d: served %.2f, shed %.2f, found no room %.2f", p, r.served/r.offered, r.shed/r.offered, r.overloaded/r.offered)
				assert.Check(t, r.served >= tt.least[p]*r.offered, "priority %d", p)
				served += r.served
			}
			assert.Check(t, served >= 0.9*tt.load.capacity*18, "room is left unused: %.0f of %.0f", served, tt.load.capacity*18)
		})
	}
}

// TestNothingIsShedWhileThereIsRoom guards against calls that are refused at admission though most calls find room.
func TestNothingIsShedWhileThereIsRoom(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"enough room", load{1000, []float64{300, 600}}},
		{"a tenth finds no room", load{900, []float64{300, 700}}},
		{"few calls", load{1, []float64{2, 2}}},
	}
	for _, tt := range tests {
		s := New(epoch, nil)
		for p, r := range play(s, epoch, 10*time.Second, tt.load) {
			assert.Check(t, r.shed == 0, "%s: priority %d: %.1f shed", tt.name, p, r.shed)
		}
	}
}

// TestSheddingEnds guards against shares that stay in force after a surge, also without any further call.
func TestSheddingEnds(t *testing.T) {
	s := New(epoch, nil)
	play(s, epoch, 5*time.Second, load{500, []float64{400, 800}})
	assert.Assert(t, s.Due())
	after := play(s, epoch.Add(5*time.Second), 10*time.Second, load{500, []float64{100, 200}})
	assert.Check(t, after[0].shed == 0)
	list, _ := s.Shares(epoch.Add(15 * time.Second))
	assert.Equal(t, len(list), 0)
	assert.Assert(t, !s.Due())

	idle := New(epoch, nil)
	play(idle, epoch, 5*time.Second, load{500, []float64{400, 800}})
	now := epoch.Add(5 * time.Second)
	for range 100 {
		now = now.Add(step)
		idle.Shares(now)
	}
	assert.Assert(t, !idle.Due())
}

// TestNewLeaderKeepsShares guards against a surge that is let in whole as the leader changes.
func TestNewLeaderKeepsShares(t *testing.T) {
	l := load{500, []float64{400, 800}}
	first := New(epoch, nil)
	play(first, epoch, 5*time.Second, l)
	inForce, _ := first.Shares(epoch.Add(5 * time.Second))
	assert.Equal(t, len(inForce), 2)
	second := New(epoch.Add(5*time.Second), inForce)
	list, changed := second.Shares(epoch.Add(5*time.Second + step))
	assert.Assert(t, !changed)
	assert.DeepEqual(t, list, inForce) // also before the first counts
	usage, _ := l.step([]float64{inForce[0].Share, inForce[1].Share})
	now := epoch.Add(5 * time.Second)
	for range 40 {
		now = now.Add(step)
		second.Record(now, usage)
		list, _ = second.Shares(now)
		assert.Assert(t, shareOf(list, 1) < 0.6, "%v", list)
	}
}
