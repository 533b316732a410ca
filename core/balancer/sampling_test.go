package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// asker is a balancer that asks two of some endpoints before each call.
type asker struct {
	t *testing.T
	*Balancer
	now time.Time
}

func newAsker(t *testing.T, endpoints int) *asker {
	a := &asker{t: t, now: epoch}
	a.Balancer = New("e", validator.Service{Name: "s", QueueLimit: 9}, WithOptionalConfigLease(), WithRand(rand.New(rand.NewPCG(1, 2))),
		WithSampling(Sampling{Endpoints: 2, Timeout: 20 * time.Millisecond, ProbesPerSecond: 100}))
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{Announcement: registrar.Announcement{
			Name: registrar.Name{Service: "s", Endpoint: fmt.Sprint("m", i)}, Address: fmt.Sprint("m", i), Slots: 4, Connections: 99,
			State: registrar.StateServing, Incarnation: 1,
		}})
	}
	a.Handle(a.now, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 9}, Endpoints: list, Entries: 1})
	return a
}

func (a *asker) arrive(id CallID, target time.Duration) []Probe {
	return probes(a.Handle(a.now, CallArrived{Call: Call{
		ID: id, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: a.now.Add(time.Second), LatencyTarget: target,
	}}))
}

func probes(actions []Action) []Probe {
	var list []Probe
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			list = append(list, p)
		}
	}
	return list
}

// outcome names what a call came to, if anything.
func outcome(actions []Action) string {
	for _, a := range actions {
		switch v := a.(type) {
		case Dispatch:
			return v.Endpoint
		case Refuse:
			return string(v.Reason)
		case Probe:
			return "asks"
		}
	}
	return ""
}

func told(p Probe, load int, pace float64) ProbeEnded {
	return ProbeEnded{Call: p.Call, Endpoint: p.Endpoint, OK: true, Report: Report{Load: load, Slowdown: pace}}
}

func TestCallGoesWhereItIsAnsweredFirst(t *testing.T) {
	tests := []struct {
		name          string
		first, second Report
		want          int
	}{
		{"the one that is not slow", Report{Load: 1, Slowdown: 5}, Report{Load: 3, Slowdown: 1}, 1},
		{"the one with room", Report{Load: 4, Slowdown: 1}, Report{Load: 2, Slowdown: 1}, 1},
		{"the less crowded one", Report{Load: 3, Slowdown: 1}, Report{Load: 2, Slowdown: 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAsker(t, 2)
			asked := a.arrive(1, 0)
			assert.Equal(t, len(asked), 2)
			assert.Equal(t, outcome(a.Handle(a.now, told(asked[0], tt.first.Load, tt.first.Slowdown))), "")
			assert.Equal(t, outcome(a.Handle(a.now, told(asked[1], tt.second.Load, tt.second.Slowdown))), asked[tt.want].Endpoint)
		})
	}
}

func TestGoodAnswerIsTakenAtOnce(t *testing.T) {
	a := newAsker(t, 2)
	asked := a.arrive(1, 0)
	assert.Equal(t, outcome(a.Handle(a.now, told(asked[0], 0, 1))), asked[0].Endpoint)
	assert.Equal(t, outcome(a.Handle(a.now, told(asked[1], 0, 1))), "")
}

func TestSilentEndpointsArePassedOver(t *testing.T) {
	a := newAsker(t, 6)
	first := a.arrive(1, 0)
	a.now = a.now.Add(20 * time.Millisecond)
	second := probes(a.Handle(a.now, Tick{}))
	assert.Equal(t, len(second), 2)
	for _, p := range second {
		assert.Assert(t, p.Endpoint != first[0].Endpoint && p.Endpoint != first[1].Endpoint)
	}
	assert.Equal(t, outcome(a.Handle(a.now, told(second[0], 1, 1))), second[0].Endpoint)
}

func TestEndpointWhoseAddressHasAnotherGetsNothing(t *testing.T) {
	a := newAsker(t, 3)
	asked := a.arrive(1, 0)
	a.Handle(a.now, ProbeEnded{Call: 1, Endpoint: asked[0].Endpoint, Misdirected: true})
	a.Handle(a.now, told(asked[1], 0, 1))
	for id := CallID(2); id < 20; id++ {
		for _, p := range a.arrive(id, 0) {
			assert.Assert(t, p.Endpoint != asked[0].Endpoint)
			a.Handle(a.now, told(p, 0, 1))
		}
	}
}

// TestFullEndpointsRefuseSoon asserts that a call waits an eighth of its target for a
// slot, is refused then, and may come back within a third of its time.
func TestFullEndpointsRefuseSoon(t *testing.T) {
	a := newAsker(t, 2)
	target := 400 * time.Millisecond
	a.work.observe(target, 100*time.Millisecond)
	start := a.now
	asked := a.arrive(1, target)
	for {
		assert.Assert(t, a.now.Sub(start) <= target/holdShare+resampleAfter)
		var actions []Action
		for _, p := range asked {
			actions = append(actions, a.Handle(a.now, told(p, 4, 1))...)
		}
		if got := outcome(actions); got != "" {
			assert.Equal(t, got, string(ReasonOverload))
			for _, action := range actions {
				if v, ok := action.(Refuse); ok {
					assert.Equal(t, v.Outcome, OutcomeNotRun)
					left := time.Second - a.now.Sub(start)
					assert.Assert(t, v.RetryAfter > 0 && v.RetryAfter <= left/comebackShare)
				}
			}
			return
		}
		a.now = a.now.Add(resampleAfter)
		asked = probes(a.Handle(a.now, Tick{}))
	}
}

// TestEndpointThatGoesWhileItIsAsked removes the endpoints that a call has asked before
// their answers come.
func TestEndpointThatGoesWhileItIsAsked(t *testing.T) {
	a := newAsker(t, 3)
	asked := a.arrive(1, 0)
	a.Handle(a.now, told(asked[0], 3, 5))
	a.Handle(a.now, Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 9}, Entries: 1})
	assert.Equal(t, outcome(a.Handle(a.now, told(asked[1], 0, 1))), string(ReasonNoEndpoint))
	assert.Equal(t, a.InFlight(), 0)
}

func TestRememberedAnswersStandInForQuestions(t *testing.T) {
	a := newAsker(t, 3)
	a.sampling.ProbesPerSecond = 2
	asked := a.arrive(1, 0)
	a.samplingBudget.left = 1 // the rest of what was saved up is spent
	a.Handle(a.now, told(asked[0], 4, 1))
	a.Handle(a.now, told(asked[1], 1, 1))
	got := a.Handle(a.now, CallArrived{Call: Call{ID: 2, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: a.now.Add(time.Second)}})
	assert.Equal(t, outcome(got), asked[1].Endpoint)
}

// TestQuestionsAreSavedUpAndComeBackEvenly asks as often as it may: a surge gets what was
// saved, and after that questions come at their rate instead of all at the start of each
// second.
func TestQuestionsAreSavedUpAndComeBackEvenly(t *testing.T) {
	var budget samplingBudget
	const perSecond = 30
	asked := make([]int, savedSeconds*2*10)
	for i := range asked {
		for budget.spend(epoch.Add(time.Duration(i)*time.Second/10), 3, perSecond) {
			asked[i] += 3
		}
	}
	assert.Equal(t, asked[0], savedSeconds*perSecond)
	for _, n := range asked[1:] {
		assert.Equal(t, n, perSecond/10)
	}
}
