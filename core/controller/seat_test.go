package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/replicator"
)

// seated returns a running system in which each voter has a seat that passes on.
func seated(t failer, seats, entries int, seed uint64) *system {
	s := newSeededSystem(t, seats, seats, entries, seed)
	s.seats = seats
	for _, c := range s.controls {
		s.start(c)
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
	s.run(6 * time.Second)
	if s.leader() == nil {
		t.Fatalf("no leader")
	}
	s.apply(s.leader(), document(0, "first"))
	s.run(time.Second)
	return s
}

// join starts a replica with an empty disk at another address, which is told of three that run.
func (s *system) join() *control {
	c := &control{name: fmt.Sprint("c", len(s.controls)), joins: true}
	for _, other := range s.controls {
		if other.up && len(c.peers) < 3 {
			c.peers = append(c.peers, replicator.Member{Name: other.name, Address: other.name})
		}
	}
	s.controls = append(s.controls, c)
	s.wipe(c)
	s.start(c)
	return c
}

// lose ends a replica for good.
func (s *system) lose(c *control) {
	s.crash(c)
	c.lost = true
}

// settled reports whether all seats are held by replicas that run.
func (s *system) settled() bool {
	lead := s.leader()
	if lead == nil {
		return false
	}
	status := lead.machine.Status(s.now)
	for _, members := range []replicator.Membership{status.Members, status.ClaimsMembers} {
		if len(members) != s.seats || members.Voters() != s.seats {
			return false
		}
		for _, m := range members {
			if !s.control(m.Name).up {
				return false
			}
		}
	}
	return true
}

// TestSeatPassesOnTwice replaces a replica, and then its successor, by empty ones at other
// addresses, while documents change.
func TestSeatPassesOnTwice(t *testing.T) {
	tests := []struct {
		name string
		// planned starts the new one before the old one ends.
		planned bool
		// leader replaces the replica that leads.
		leader bool
		seats  int
	}{
		{"planned", true, false, 5},
		{"planned, the leader", true, true, 5},
		{"unplanned", false, false, 5},
		{"unplanned, the leader", false, true, 5},
		{"unplanned, of three", false, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := seated(t, tt.seats, 4, 11)
			old := s.controls[0]
			if (s.leader() == old) != tt.leader {
				old = s.controls[1]
			}
			if tt.leader {
				old = s.leader()
			}
			var revision uint64 = 1
			for round := range 2 {
				var next *control
				if tt.planned {
					next = s.join()
					s.run(time.Second)
				}
				s.lose(old)
				if !tt.planned {
					s.run(time.Second)
					next = s.join()
				}
				s.run(2 * time.Second)
				s.apply(next, document(revision, fmt.Sprint("round-", round)))
				s.run(8 * time.Second)
				assert.Equal(t, s.status(s.lastRequest), controller.ApplyInEffect, "round %d", round)
				revision++
				assert.Assert(t, s.settled(), "round %d: %v", round, s.leader().machine.Status(s.now).Members)
				old = next
			}
			for _, e := range s.entries {
				assert.Equal(t, e.revision, revision)
				assert.Assert(t, e.machine.HoldsConfigLease(s.now))
			}
		})
	}
}

// TestSuccessorThatIsLostIsForgotten loses a successor before it has a vote: it does not stay a
// member, and the next one gets the seat.
func TestSuccessorThatIsLostIsForgotten(t *testing.T) {
	s := seated(t, 5, 2, 3)
	old := s.controls[0]
	if s.leader() == old {
		old = s.controls[1]
	}
	s.lose(old)
	lost := s.join()
	for len(s.leader().machine.Status(s.now).Members) == 5 {
		s.run(step)
	}
	s.lose(lost)
	s.join()
	s.run(10 * time.Second)
	assert.Assert(t, s.settled(), "%v", s.leader().machine.Status(s.now))
}

// TestRandomReplacements replaces replicas at random, as many at once as may be lost, while
// documents change: what was acknowledged stays, and all seats are held again in the end.
func TestRandomReplacements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := seated(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "seats"), 3, rapid.Uint64().Draw(rt, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "loss")
		for i := range rapid.IntRange(1, 5).Draw(rt, "rounds") {
			leaving := rapid.IntRange(1, (s.seats-1)/2).Draw(rt, "at once")
			for range leaving {
				s.replaceOne(rt)
			}
			s.run(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * step)
			if lead := s.leader(); lead != nil {
				revision, _ := lead.machine.Document()
				s.apply(lead, document(revision, fmt.Sprint("change-", i)))
			}
			for wait := 0; !s.settled(); wait++ {
				if wait > 30 {
					rt.Fatalf("the seats are not held again after 30 s")
				}
				s.run(time.Second)
			}
		}
		revision, _ := s.leader().machine.Document()
		s.apply(s.leader(), document(revision, "last"))
		s.run(8 * time.Second)
		if got := s.status(s.lastRequest); got != controller.ApplyInEffect {
			rt.Fatalf("the last change is %v", got)
		}
	})
}

// replaceOne replaces a voter, planned or not.
func (s *system) replaceOne(rt *rapid.T) {
	lead := s.leader()
	if lead == nil {
		return
	}
	var voters []*control
	for _, m := range lead.machine.Status(s.now).Members {
		if c := s.control(m.Name); c.up && m.Voter {
			voters = append(voters, c)
		}
	}
	old := voters[rapid.IntRange(0, len(voters)-1).Draw(rt, "old")]
	if rapid.Bool().Draw(rt, "planned") {
		s.join()
		s.run(time.Duration(rapid.IntRange(0, 100).Draw(rt, "overlap")) * step)
		s.lose(old)
		return
	}
	s.lose(old)
	s.run(time.Duration(rapid.IntRange(0, 100).Draw(rt, "gap")) * step)
	s.join()
}
