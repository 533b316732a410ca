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

// newVoterSimulation returns a running system in which each voter has a seat that passes on.
func newVoterSimulation(t fatalReporter, voters, entries int, seed uint64) *simulation {
	s := newSeededSimulation(t, voters, voters, entries, seed)
	s.voters = voters
	for _, c := range s.replicas {
		s.start(c)
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
	s.runFor(6 * time.Second)
	if s.leader() == nil {
		t.Fatalf("no leader")
	}
	s.apply(s.leader(), document(0, "first"))
	s.runFor(time.Second)
	return s
}

// startSuccessor starts a replica with an empty disk at another address, which is told of three that run.
func (s *simulation) startSuccessor() *replica {
	c := &replica{name: fmt.Sprint("c", len(s.replicas)), joinOnly: true}
	for _, other := range s.replicas {
		if other.up && len(c.peers) < 3 {
			c.peers = append(c.peers, replicator.Member{Name: other.name, Address: other.name})
		}
	}
	s.replicas = append(s.replicas, c)
	s.wipeDisk(c)
	s.start(c)
	return c
}

// removeForGood ends a replica for good.
func (s *simulation) removeForGood(c *replica) {
	s.crash(c)
	c.removed = true
}

// allVotersRunning reports whether all seats are held by replicas that run.
func (s *simulation) allVotersRunning() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	status := leader.controller.Status(s.now)
	for _, members := range []replicator.Membership{status.Members, status.ClaimsMembers} {
		if len(members) != s.voters || members.Voters() != s.voters {
			return false
		}
		for _, m := range members {
			if !s.replica(m.Name).up {
				return false
			}
		}
	}
	return true
}

// TestVoterIsReplacedTwice replaces a replica, and then its successor, by empty ones at other
// addresses, while documents change.
func TestVoterIsReplacedTwice(t *testing.T) {
	tests := []struct {
		name string
		// planned starts the new one before the old one ends.
		planned bool
		// replacesLeader replaces the replica that leads.
		replacesLeader bool
		voters         int
	}{
		{"planned", true, false, 5},
		{"planned, the leader", true, true, 5},
		{"unplanned", false, false, 5},
		{"unplanned, the leader", false, true, 5},
		{"unplanned, of three", false, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newVoterSimulation(t, tt.voters, 4, 11)
			old := s.replicas[0]
			if (s.leader() == old) != tt.replacesLeader {
				old = s.replicas[1]
			}
			if tt.replacesLeader {
				old = s.leader()
			}
			var revision uint64 = 1
			for round := range 2 {
				var next *replica
				if tt.planned {
					next = s.startSuccessor()
					s.runFor(time.Second)
				}
				s.removeForGood(old)
				if !tt.planned {
					s.runFor(time.Second)
					next = s.startSuccessor()
				}
				s.runFor(2 * time.Second)
				s.apply(next, document(revision, fmt.Sprint("round-", round)))
				s.runFor(8 * time.Second)
				assert.Equal(t, s.applyStatus(s.lastRequest), controller.ApplyInEffect, "round %d", round)
				revision++
				assert.Assert(t, s.allVotersRunning(), "round %d: %v", round, s.leader().controller.Status(s.now).Members)
				old = next
			}
			for _, e := range s.entries {
				assert.Equal(t, e.revision, revision)
				assert.Assert(t, e.subscriber.Standing(s.now))
			}
		})
	}
}

// TestLostSuccessorIsRemoved loses a successor before it has a vote: it does not stay a
// member, and the next one gets the seat.
func TestLostSuccessorIsRemoved(t *testing.T) {
	s := newVoterSimulation(t, 5, 2, 3)
	old := s.replicas[0]
	if s.leader() == old {
		old = s.replicas[1]
	}
	s.removeForGood(old)
	lost := s.startSuccessor()
	for len(s.leader().controller.Status(s.now).Members) == 5 {
		s.runFor(step)
	}
	s.removeForGood(lost)
	s.startSuccessor()
	s.runFor(10 * time.Second)
	assert.Assert(t, s.allVotersRunning(), "%v", s.leader().controller.Status(s.now))
}

// TestRandomReplacements replaces replicas at random, as many at once as may be lost, while
// documents change: what was acknowledged stays, and all seats are held again in the end.
func TestRandomReplacements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newVoterSimulation(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "seats"), 3, rapid.Uint64().Draw(rt, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "loss")
		for i := range rapid.IntRange(1, 5).Draw(rt, "rounds") {
			replaced := rapid.IntRange(1, (s.voters-1)/2).Draw(rt, "at once")
			for range replaced {
				s.replaceVoter(rt)
			}
			s.runFor(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * step)
			if leader := s.leader(); leader != nil {
				revision, _ := leader.controller.Document()
				s.apply(leader, document(revision, fmt.Sprint("change-", i)))
			}
			for wait := 0; !s.allVotersRunning(); wait++ {
				if wait > 30 {
					rt.Fatalf("the seats are not held again after 30 s")
				}
				s.runFor(time.Second)
			}
		}
		revision, _ := s.leader().controller.Document()
		s.apply(s.leader(), document(revision, "last"))
		s.runFor(8 * time.Second)
		if got := s.applyStatus(s.lastRequest); got != controller.ApplyInEffect {
			rt.Fatalf("the last change is %v", got)
		}
	})
}

// replaceVoter replaces a voter, planned or not.
func (s *simulation) replaceVoter(rt *rapid.T) {
	leader := s.leader()
	if leader == nil {
		return
	}
	var voters []*replica
	for _, m := range leader.controller.Status(s.now).Members {
		if c := s.replica(m.Name); c.up && m.Voter {
			voters = append(voters, c)
		}
	}
	old := voters[rapid.IntRange(0, len(voters)-1).Draw(rt, "old")]
	if rapid.Bool().Draw(rt, "planned") {
		s.startSuccessor()
		s.runFor(time.Duration(rapid.IntRange(0, 100).Draw(rt, "overlap")) * step)
		s.removeForGood(old)
		return
	}
	s.removeForGood(old)
	s.runFor(time.Duration(rapid.IntRange(0, 100).Draw(rt, "gap")) * step)
	s.startSuccessor()
}
