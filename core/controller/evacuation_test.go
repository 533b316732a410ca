package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
)

// evacuateTimeout and evacuateEffectTimeout are the timeouts of orders on the platform.
const (
	evacuateTimeout       = 900 * time.Millisecond
	evacuateEffectTimeout = 400 * time.Millisecond
)

// evacuable is the data centre that the tests evacuate.
const evacuable = "dc-2"

// evacuate sends an order to a replica and returns its number.
func (s *simulation) evacuate(c *replica, active bool) uint64 {
	s.lastRequest++
	request := s.lastRequest
	if c.up {
		s.handle(c, controller.Evacuate{
			Request: request, DataCentre: evacuable, Active: active, Timeout: evacuateTimeout, EffectTimeout: evacuateEffectTimeout,
		})
	}
	return request
}

func (s *simulation) evacuationStatus(request uint64) controller.ApplyStatus {
	for _, r := range s.evacuateReplies {
		if r.Request == request {
			return r.Status
		}
	}
	return 0
}

// order sends an order and waits for its reply.
func (s *simulation) order(c *replica, active bool) controller.ApplyStatus {
	request := s.evacuate(c, active)
	for end := s.now.Add(evacuateTimeout + step); s.now.Before(end) && s.evacuationStatus(request) == 0; {
		s.step()
	}
	return s.evacuationStatus(request)
}

// markEvacuated sets whether the backends of the data centre must get no requests.
func (s *simulation) markEvacuated(evacuated bool) {
	for _, b := range s.backends {
		if b.dataCentre == evacuable {
			b.evacuated = evacuated
		}
	}
}

// placeBackends puts one backend in data centre "dc-1" and two in "dc-2". All are equally far from the entries.
func (s *simulation) placeBackends() {
	for i, b := range s.backends {
		b.dataCentre = []string{"dc-1", evacuable, evacuable}[i]
	}
}

func newEvacuationSimulation(t *testing.T, replicas, entries int) *simulation {
	s := newReadySimulation(t, replicas, entries)
	s.placeBackends()
	s.runFor(3 * time.Second)
	return s
}

// load sends calls to all entries for a while and returns how many reached each backend.
func (s *simulation) load(d time.Duration) map[string]int {
	counts := map[string]int{}
	for _, b := range s.backends {
		counts[b.name] = -len(b.arrivals)
	}
	for end := s.now.Add(d); s.now.Before(end); {
		for _, e := range s.entries {
			s.call(e, "", time.Second)
		}
		s.runFor(5 * step)
	}
	for _, b := range s.backends {
		counts[b.name] += len(b.arrivals)
	}
	return counts
}

// TestEvacuatedDataCentreGetsNoRequests evacuates a data centre and returns it, and repeats each order at every replica.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 6)
	before := s.load(time.Second)
	assert.Assert(t, before["b1"] > 0 && before["b2"] > 0)
	for _, c := range s.replicas {
		assert.Equal(t, s.order(c, true), controller.ApplyInEffect)
		assert.Equal(t, c.stateMachine.Status(s.now).Revision, uint64(2))
	}
	s.markEvacuated(true)
	during := s.load(time.Second)
	assert.Assert(t, during["b0"] > 0)
	assert.Equal(t, during["b1"]+during["b2"], 0)
	for _, e := range s.entries {
		assert.Equal(t, len(e.balancer.Leaving()), 0, "heartbeats list no endpoints of the data centre")
	}
	s.apply(s.leader(), document(1, "second"))
	s.runFor(time.Second)
	assert.Equal(t, s.load(time.Second)["b1"], 0, "a document does not end the evacuation")
	for _, c := range s.replicas {
		assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, []string{evacuable})
	}
	s.markEvacuated(false)
	for _, c := range s.replicas {
		assert.Equal(t, s.order(c, false), controller.ApplyInEffect)
		assert.Equal(t, c.stateMachine.Status(s.now).Revision, uint64(4))
	}
	after := s.load(10 * time.Second) // the endpoints return as cold ones
	assert.Assert(t, after["b1"] > 0 && after["b2"] > 0)
}

// TestOrderThatHoldsWaitsForEffect guards against a second Begin that is confirmed before the first one is in effect.
func TestOrderThatHoldsWaitsForEffect(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 3)
	s.isolate(s.entries[0].name, true)
	first := s.evacuate(s.replicas[0], true)
	s.runFor(100 * time.Millisecond)
	started := s.now
	assert.Equal(t, s.order(s.replicas[1], true), controller.ApplyNotInEffect)
	assert.Assert(t, s.now.Sub(started) >= evacuateEffectTimeout)
	assert.Equal(t, s.evacuationStatus(first), controller.ApplyNotInEffect)
	s.runFor(4 * time.Second)
	assert.Equal(t, s.order(s.replicas[2], true), controller.ApplyInEffect, "the configuration lease of the isolated entry has ended")
	s.markEvacuated(true)
	s.load(time.Second)
}

// TestOrdersAtTheSameTimeAreConfirmed sends opposite orders to two replicas at once: both are confirmed, and all
// replicas agree on the result.
func TestOrdersAtTheSameTimeAreConfirmed(t *testing.T) {
	for _, active := range []bool{false, true} {
		s := newEvacuationSimulation(t, 5, 2)
		if active {
			assert.Equal(t, s.order(s.replicas[0], true), controller.ApplyInEffect)
		}
		requests := []uint64{s.evacuate(s.replicas[1], true), s.evacuate(s.replicas[2], false), s.evacuate(s.replicas[3], true)}
		s.runFor(time.Second)
		for _, request := range requests {
			assert.Equal(t, s.evacuationStatus(request), controller.ApplyInEffect)
		}
		for _, c := range s.replicas {
			assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, s.replicas[0].stateMachine.Status(s.now).Evacuated)
		}
	}
}

// TestOrderSurvivesLeaderChange stops the leader between the order and its confirmation, at each step of the way.
func TestOrderSurvivesLeaderChange(t *testing.T) {
	for steps := range 8 {
		t.Run(fmt.Sprint("after ", steps), func(t *testing.T) {
			s := newEvacuationSimulation(t, 5, 4)
			old := s.leader()
			follower := s.replicas[0]
			if follower == old {
				follower = s.replicas[1]
			}
			request := s.evacuate(follower, true)
			s.runFor(time.Duration(steps) * step)
			s.crash(old)
			s.runFor(evacuateTimeout + step)
			for status := s.evacuationStatus(request); status != controller.ApplyInEffect && status != controller.ApplyNotInEffect; {
				status = s.order(follower, true)
			}
			s.start(old)
			s.runFor(5 * time.Second)
			for _, c := range s.replicas {
				assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, []string{evacuable})
				assert.Equal(t, c.stateMachine.Status(s.now).Revision, uint64(2))
			}
			s.markEvacuated(true)
			s.load(500 * time.Millisecond)
		})
	}
}

// TestMinorityConfirmsNoOrder guards against a replica that confirms an order by its own state while it is cut off.
func TestMinorityConfirmsNoOrder(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 2)
	isolated := s.replicas[0]
	s.isolate(isolated.name, true)
	for _, active := range []bool{true, false} {
		status := s.order(isolated, active)
		assert.Assert(t, status == controller.ApplyUnknown || status == controller.ApplyNotProposed, "%t: %d", active, status)
	}
	s.runFor(5 * time.Second) // until the others have a leader, and the leases of the entries have ended
	assert.Equal(t, s.order(s.replicas[1], true), controller.ApplyInEffect)
	s.isolate(isolated.name, false)
	s.runFor(3 * time.Second)
	assert.DeepEqual(t, isolated.stateMachine.Status(s.now).Evacuated, []string{evacuable})
}

// TestEvacuationSurvivesLossOfAllProcesses restarts all processes from their disks, from the log alone and from a
// snapshot, and once without two of the disks.
func TestEvacuationSurvivesLossOfAllProcesses(t *testing.T) {
	tests := []struct {
		name    string
		changes uint64
		wiped   int
	}{
		{"log", 0, 0},
		{"snapshot", 600, 0},
		{"log, two disks lost", 0, 2},
		{"snapshot, two disks lost", 600, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEvacuationSimulation(t, 5, 2)
			assert.Equal(t, s.order(s.replicas[0], true), controller.ApplyInEffect)
			for i := range tt.changes {
				s.apply(s.leader(), document(i+2, fmt.Sprint("change-", i)))
				s.runFor(10 * step)
			}
			for _, c := range s.replicas {
				s.crash(c)
			}
			for _, e := range s.entries {
				s.crashEntry(e)
			}
			s.runFor(time.Second)
			for _, c := range s.replicas[:tt.wiped] {
				s.wipeDisk(c)
			}
			s.heal()
			s.markEvacuated(true)
			s.load(8 * time.Second)
			for _, c := range s.replicas {
				assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, []string{evacuable})
			}
			assert.Equal(t, s.order(s.replicas[0], true), controller.ApplyInEffect)
			for _, e := range s.entries {
				assert.Assert(t, e.stateMachine.HoldsConfigLease(s.now))
			}
		})
	}
}

// TestColdStartKeepsEvacuation guards against entries that start with the stored state of a replica, without the
// evacuations in it.
func TestColdStartKeepsEvacuation(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 2)
	assert.Equal(t, s.order(s.replicas[0], true), controller.ApplyInEffect)
	s.runFor(2 * time.Second) // until the commit position is stored
	s.coldStart = true
	for _, c := range s.replicas {
		s.crash(c)
	}
	for _, e := range s.entries {
		s.crashEntry(e)
	}
	s.heal()
	s.markEvacuated(true)
	for _, b := range s.backends {
		b.arrivals = nil
	}
	s.load(5 * time.Second)
	assert.Assert(t, len(s.backends[0].arrivals) > 0)
	assert.Equal(t, len(s.backends[1].arrivals)+len(s.backends[2].arrivals), 0)
}

// TestUnknownDataCentreIsRefused guards against a typing error that evacuates nothing and is confirmed.
func TestUnknownDataCentreIsRefused(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 2)
	tests := []struct {
		name   string
		active bool
		status controller.ApplyStatus
	}{
		{evacuable, true, controller.ApplyInEffect},
		{"dc-3", true, controller.ApplyRefused},
		{"dc-3", false, controller.ApplyRefused},
		{"dc", false, controller.ApplyInEffect},
		{"", true, controller.ApplyRefused},
	}
	for i, tt := range tests {
		request := uint64(1000 + i)
		s.handle(s.replicas[0], controller.Evacuate{Request: request, DataCentre: tt.name, Active: tt.active, MustBeKnown: true})
		s.runFor(time.Second)
		assert.Equal(t, s.evacuationStatus(request), tt.status, tt.name)
	}
	s.backends = s.backends[:1]
	s.runFor(30 * time.Second)
	s.handle(s.replicas[0], controller.Evacuate{Request: 2000, DataCentre: evacuable, MustBeKnown: true})
	s.runFor(time.Second)
	assert.Equal(t, s.evacuationStatus(2000), controller.ApplyInEffect, "the evacuation can be finished when nothing is left in the data centre")
}

// TestRandomEvacuations lets an operator give one order after the other among random faults. It sends each order to
// random replicas until it is confirmed. An order that has been confirmed must hold until the next one.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, 3, 3, rapid.Uint64().Draw(rt, "seed"))
		s.placeBackends()
		s.runFor(5 * time.Second)
		s.apply(s.leader(), document(0, "first"))
		s.runFor(2 * time.Second)
		var evacuated []string
		for range rapid.IntRange(1, 6).Draw(rt, "orders") {
			evacuated = nil
			if rapid.Bool().Draw(rt, "active") {
				evacuated = []string{evacuable}
			}
			s.orderAmongFaults(rt, len(evacuated) > 0)
		}
		s.heal()
		s.runFor(8 * time.Second)
		for _, c := range s.replicas {
			if got := c.stateMachine.Status(s.now).Evacuated; !slices.Equal(got, evacuated) {
				rt.Fatalf("%s has %v evacuated, but the operator wants %v", c.name, got, evacuated)
			}
		}
	})
}

// orderAmongFaults sends an order until it is confirmed, with random faults before the first attempts.
func (s *simulation) orderAmongFaults(rt *rapid.T, active bool) {
	s.markEvacuated(false)
	for attempt := 0; attempt < 20; attempt++ {
		to := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "to")]
		if attempt < 3 {
			s.disturb(rt)
		}
		request := s.evacuate(to, active)
		s.runFor(time.Duration(rapid.IntRange(0, 30).Draw(rt, "steps")) * step)
		if attempt < 3 && rapid.Bool().Draw(rt, "crash") {
			s.crash(to)
		}
		s.load(evacuateTimeout)
		switch s.evacuationStatus(request) {
		case controller.ApplyInEffect:
			s.markEvacuated(active)
			return
		case controller.ApplyNotInEffect:
			return
		}
		s.heal()
		s.runFor(time.Duration(rapid.IntRange(0, 400).Draw(rt, "healed steps")) * step)
	}
	rt.Fatalf("an order was not confirmed in 20 attempts")
}

// disturb causes a random fault.
func (s *simulation) disturb(rt *rapid.T) {
	c := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "fault at")]
	switch rapid.SampledFrom([]string{"none", "none", "crash", "isolate", "loss", "all"}).Draw(rt, "fault") {
	case "crash":
		s.crash(c)
	case "isolate":
		s.isolate(c.name, true)
	case "loss":
		s.lossRate = 0.2
	case "all":
		for _, c := range s.replicas {
			s.crash(c)
		}
	}
}
