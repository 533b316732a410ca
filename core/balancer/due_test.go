package balancer

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
)

// twins are two balancers that get the same inputs. One is called when it is due, the other
// all the time.
type twins struct {
	*bench
	polled *Balancer
}

func newTwins(endpoints, percent int, sampling Sampling) *twins {
	w := &twins{bench: newBench(endpoints, percent)}
	w.Balancer = New("entry", w.service, WithRand(rand.New(rand.NewPCG(1, 1))), WithSampling(sampling))
	w.polled = New("entry", w.service, WithRand(rand.New(rand.NewPCG(1, 1))), WithSampling(sampling))
	return w
}

// both hands an input to both, and asserts that they do the same.
func (w *twins) both(rt *rapid.T, in Input) {
	want := append([]Action(nil), w.polled.Handle(w.now, in)...)
	got := append([]Action(nil), w.Handle(w.now, in)...)
	if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		rt.Fatalf("%T at %s: %v when due, %v when always called", in, w.now.Format(time.StampMicro), got, want)
	}
	for _, a := range got {
		if d, ok := a.(Dispatch); ok {
			w.dispatched = append(w.dispatched, d)
		}
		if p, ok := a.(Probe); ok {
			w.probes = append(w.probes, p)
		}
	}
}

// pass lets time go by. The polled balancer must do nothing before the other is due.
func (w *twins) pass(rt *rapid.T, d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		due := w.Due()
		if next := w.now.Add(time.Millisecond); due.IsZero() || due.After(next) {
			w.now = next
			if idle := w.polled.Handle(w.now, Tick{}); len(idle) > 0 {
				rt.Fatalf("%v at %s, due at %s", idle, w.now.Format(time.StampMicro), due.Format(time.StampMicro))
			}
			continue
		}
		w.now = latest(w.now, due)
		w.both(rt, Tick{})
		if again := w.Due(); !again.IsZero() && !again.After(w.now) {
			rt.Fatalf("due at %s again after a Tick at that time", again.Format(time.StampMicro))
		}
	}
}

func (w *twins) randomInput(rt *rapid.T) Input {
	switch rapid.IntRange(0, 6).Draw(rt, "input") {
	case 0:
		until := w.now.Add(time.Duration(rapid.IntRange(-1, 2000).Draw(rt, "standing")) * time.Millisecond)
		return ConfigLeaseChanged{Until: until}
	case 1:
		i := rapid.IntRange(0, len(w.endpoints)-1).Draw(rt, "endpoint")
		w.endpoints[i].State = rapid.SampledFrom([]registrar.State{registrar.StateServing, registrar.StateServing, registrar.StateDraining}).Draw(rt, "state")
		return Reconfigured{Service: w.service, Endpoints: append([]Endpoint(nil), w.endpoints...), Entries: 24}
	case 2:
		return ShareGranted{Share: allotter.Share{ProbeMicros: 100_000, ProbeBytes: 20_000}, Until: w.now.Add(time.Second)}
	case 3:
		if len(w.dispatched) == 0 {
			break
		}
		d := w.dispatched[0]
		w.dispatched = w.dispatched[1:]
		report := Report{Load: rapid.IntRange(-1, 3).Draw(rt, "load"), State: rapid.SampledFrom([]registrar.State{"", registrar.StateServing}).Draw(rt, "said")}
		return AttemptEnded{Attempt: d.Attempt, Ending: rapid.SampledFrom([]Ending{EndingNotSent, EndingRefused, EndingLost, EndingTimeout}).Draw(rt, "ending"), Report: report}
	case 4:
		if len(w.probes) == 0 {
			break
		}
		p := w.probes[0]
		w.probes = w.probes[1:]
		return ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: rapid.Bool().Draw(rt, "ok"), Report: Report{Load: rapid.IntRange(0, 3).Draw(rt, "load"), State: registrar.StateServing}}
	}
	w.last++
	execution := rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt}).Draw(rt, "execution")
	patience := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "patience")) * time.Millisecond
	return CallArrived{Call: Call{ID: w.last, Execution: execution, Deadline: w.now.Add(patience), LatencyTarget: patience / 4}}
}

// TestRandomTicksAreNeededOnlyWhenDue compares a balancer that is called when it says so
// with one that is called each millisecond: both do the same at the same times.
func TestRandomTicksAreNeededOnlyWhenDue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var sampling Sampling
		if rapid.Bool().Draw(rt, "sampling") {
			sampling = Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 20}
		}
		w := newTwins(rapid.IntRange(1, 5).Draw(rt, "endpoints"), 100, sampling)
		w.both(rt, Reconfigured{Service: w.service, Endpoints: w.endpoints, Entries: 24})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			w.both(rt, w.randomInput(rt))
			w.pass(rt, time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms"))*time.Millisecond)
		}
	})
}

// TestIdleBalancerIsNotCalled asserts that an answered call leaves nothing due.
func TestIdleBalancerIsNotCalled(t *testing.T) {
	w := newBench(3, 10)
	for range 20 {
		w.call(router.Repeatable)
		w.answer(w.dispatched[len(w.dispatched)-1], 200)
	}
	assert.Assert(t, w.Due().IsZero(), "%s", w.Due())
}

// TestQueuedCallGoesToAnEndpointThatReturns: a call that waits while the only endpoint is
// ejected is sent as soon as a trial may be made.
func TestQueuedCallGoesToAnEndpointThatReturns(t *testing.T) {
	w := newBench(1, 0)
	e := w.endpoints0("e0")
	w.eject(w.now, e)
	w.reviewOne(w.now, e.at, e)
	w.last++
	w.do(CallArrived{Call: Call{ID: w.last, Execution: router.Repeatable, Deadline: w.now.Add(time.Minute)}})
	assert.Equal(t, len(w.dispatched), 0)
	w.pass(ejectionBase - time.Millisecond)
	assert.Equal(t, len(w.dispatched), 0)
	w.pass(time.Millisecond)
	assert.Equal(t, len(w.dispatched), 1)
}
