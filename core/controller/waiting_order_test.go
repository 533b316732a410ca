package controller_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
)

const (
	// currentFor is how long an order of these tests may begin to take effect, and patience how long its sender waits.
	currentFor = 400 * time.Millisecond
	patience   = time.Second
	freezeTime = 3500 * time.Millisecond
)

// orderSince gives an order that can have been sent from since on, as its connection shows.
func (s *simulation) orderSince(c *replica, active bool, since time.Time) uint64 {
	s.lastRequest++
	s.handle(c, controller.Evacuate{
		Request: s.lastRequest, DataCentre: evacuable, Active: active, Timeout: evacuateTimeout, EffectTimeout: evacuateEffectTimeout,
		Since: since, CurrentFor: currentFor,
	})
	return s.lastRequest
}

// insist sends an order to the replicas in turn, as an operator does, until one confirms it.
func (s *simulation) insist(active bool, to ...*replica) bool {
	for attempt := range 20 {
		c := to[attempt%len(to)]
		if c.frozen || !c.up {
			s.runFor(patience)
			continue
		}
		request := s.orderSince(c, active, s.clock(c.suspended))
		for end := s.now.Add(patience); s.now.Before(end) && s.evacuationStatus(request) == 0; {
			s.step()
		}
		if status := s.evacuationStatus(request); status == controller.ApplyInEffect || status == controller.ApplyNotInEffect {
			return true
		}
		s.runFor(time.Duration(attempt+1) * 50 * time.Millisecond)
	}
	return false
}

func (s *simulation) without(c *replica) []*replica {
	return slices.DeleteFunc(slices.Clone(s.replicas), func(other *replica) bool { return other == c })
}

func (s *simulation) follower() *replica { return s.without(s.leader())[0] }

// TestOrderThatWaitedDoesNotRevokeANewerOne guards against an order whose sender has left, that is read after newer orders
// were confirmed by other replicas. It plays the orders of events as a frozen machine wakes.
func TestOrderThatWaitedDoesNotRevokeANewerOne(t *testing.T) {
	wakeUps := []struct {
		name string
		// wait is how long after the wake-up the order is read. since is when its connection was accepted, before the freeze if
		// it is negative, and otherwise so long after the wake-up.
		wait, since time.Duration
		first       bool
	}{
		{"before anything else", 0, -time.Second, true},
		{"before anything else, from the accept queue", 0, 0, true},
		{"after what had arrived", 0, -time.Second, false},
		{"after what had arrived, from the accept queue", 0, 0, false},
		{"with the leader's first heartbeats", 100 * time.Millisecond, 0, false},
		{"half a second later, from the accept queue", 500 * time.Millisecond, 500 * time.Millisecond, false},
		{"two seconds later, on an old connection", 2 * time.Second, -time.Second, false},
		{"two seconds later, on a connection of then", 2 * time.Second, 200 * time.Millisecond, false},
	}
	for _, tt := range wakeUps {
		for _, atLeader := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				s := newEvacuationSimulation(t, 3, 3)
				frozen := s.leader()
				if !atLeader {
					frozen = s.follower()
				}
				assert.Assert(t, s.insist(true, s.replicas...))
				frozen.frozen = true
				start := s.now
				s.runFor(patience) // the order is in the socket of the frozen machine
				assert.Assert(t, s.insist(false, s.without(frozen)...))
				assert.Assert(t, s.insist(true, s.without(frozen)...))
				s.runFor(max(0, freezeTime-s.now.Sub(start)))
				frozen.frozen = false
				if !tt.first {
					s.step()
				}
				woken := s.now
				s.runFor(tt.wait)
				since := woken.Add(tt.since)
				if tt.since < 0 {
					since = start.Add(tt.since)
				}
				s.orderSince(frozen, false, since)
				s.runFor(5 * time.Second)
				for _, c := range s.replicas {
					assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, []string{evacuable})
				}
			})
		}
	}
}

// TestOrderReadBeforeAFreezeDoesNotRevokeANewerOne guards against an order that was read, but not yet proposed, as its machine
// froze, or whose read was being confirmed by a leader that froze.
func TestOrderReadBeforeAFreezeDoesNotRevokeANewerOne(t *testing.T) {
	for _, freezesLeader := range []bool{true, false} {
		for steps := range 30 {
			s := newEvacuationSimulation(t, 3, 3)
			frozen, asked := s.leader(), s.follower()
			if !freezesLeader {
				frozen = asked
			}
			assert.Assert(t, s.insist(true, s.replicas...))
			s.orderSince(asked, false, s.now)
			s.runFor(time.Duration(steps) * step)
			frozen.frozen = true
			s.runFor(patience)
			others := slices.DeleteFunc(s.without(frozen), func(c *replica) bool { return c == asked && !freezesLeader })
			assert.Assert(t, s.insist(false, others...))
			assert.Assert(t, s.insist(true, others...))
			s.runFor(freezeTime)
			frozen.frozen = false
			s.runFor(5 * time.Second)
			for _, c := range s.replicas {
				assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, []string{evacuable})
			}
		}
	}
}

// TestOrdersThatMayHaveWaitedAreRefused guards against an order that a cut of the network has held up, or whose sender has
// left, and against the refusal of orders in calm.
func TestOrdersThatMayHaveWaitedAreRefused(t *testing.T) {
	s := newEvacuationSimulation(t, 3, 3)
	tests := []struct {
		name   string
		age    time.Duration
		status controller.ApplyStatus
	}{
		{"new connection", 0, controller.ApplyInEffect},
		{"far away", 200 * time.Millisecond, controller.ApplyInEffect},
		{"sent as long ago as orders are current", currentFor, controller.ApplyNotProposed},
		{"an hour old", time.Hour, controller.ApplyNotProposed},
	}
	active := true
	for _, tt := range tests {
		for _, c := range s.replicas {
			s.runFor(3 * time.Second)
			request := s.orderSince(c, active, s.now.Add(-tt.age))
			s.runFor(evacuateTimeout)
			assert.Equal(t, s.evacuationStatus(request), tt.status, tt.name)
			if tt.status == controller.ApplyInEffect {
				active = !active
			}
		}
	}
	t.Run("the sender has left", func(t *testing.T) {
		c := s.follower()
		before := c.stateMachine.Status(s.now).Evacuated
		request := s.orderSince(c, active, s.now)
		s.handle(c, controller.Withdraw{Request: request})
		s.runFor(3 * time.Second)
		assert.Equal(t, s.evacuationStatus(request), controller.ApplyUnknown)
		assert.DeepEqual(t, c.stateMachine.Status(s.now).Evacuated, before)
	})
}

// TestRandomOrdersThatWait guards against waiting orders in any order of freezes, crashes, cuts and wake-ups: what an operator
// was confirmed last holds.
func TestRandomOrdersThatWait(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, 3, 2, rapid.Uint64().Draw(rt, "seed"))
		s.placeBackends()
		s.runFor(5 * time.Second)
		s.apply(s.leader(), document(0, "first"))
		s.runFor(2 * time.Second)
		active := false
		for range rapid.IntRange(2, 6).Draw(rt, "orders") {
			c := s.replicas[rapid.IntRange(0, 2).Draw(rt, "frozen")]
			next := !active
			if rapid.Bool().Draw(rt, "read before") {
				s.orderSince(c, next, s.clock(c.suspended))
				s.runFor(time.Duration(rapid.IntRange(0, 20).Draw(rt, "steps")) * step)
			}
			c.frozen = true
			frozenAt, since := s.now, s.clock(c.suspended)
			s.runFor(patience)
			// The order that waits at c is confirmed by another, and often another one after it.
			if !s.insist(next, s.without(c)...) {
				rt.Fatalf("an order was not confirmed with one machine frozen")
			}
			active = next
			if rapid.Bool().Draw(rt, "again") {
				if !s.insist(!next, s.without(c)...) {
					rt.Fatalf("the next order was not confirmed with one machine frozen")
				}
				active = !next
			}
			s.runFor(time.Duration(rapid.IntRange(0, 400).Draw(rt, "frozen steps")) * step)
			c.frozen = false
			if rapid.Bool().Draw(rt, "suspended") { // its monotonic clock stood still
				c.suspended += s.now.Sub(frozenAt)
				s.handle(c, controller.Resumed{})
			}
			s.runFor(time.Duration(rapid.IntRange(0, 80).Draw(rt, "steps until read")) * step)
			if rapid.Bool().Draw(rt, "accepted late") {
				since = s.clock(c.suspended)
			}
			s.orderSince(c, next, since)
			s.runFor(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * step)
		}
		s.runFor(5 * time.Second)
		var want []string
		if active {
			want = []string{evacuable}
		}
		for _, c := range s.replicas {
			if got := c.stateMachine.Status(s.clock(c.suspended)).Evacuated; !slices.Equal(got, want) {
				rt.Fatalf("%s has %v evacuated, but %v was confirmed last", c.name, got, want)
			}
		}
	})
}
