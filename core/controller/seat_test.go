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

// newVoterSimulation returns a running system with a fixed number of voters, in which new
// replicas replace lost ones.
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
		t.Fatalf("no leader was elected")
	}
	s.apply(s.leader(), document(0, "first"))
	s.runFor(time.Second)
	return s
}

// startSuccessor starts a replica with an empty disk at a new address. Its settings list three
// running replicas.
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

// removeForGood crashes a replica that never starts again.
func (s *simulation) removeForGood(c *replica) {
	s.crash(c)
	c.removed = true
}

// allVotersRunning reports whether both groups consist of the intended number of voters and all
// of them are running.
func (s *simulation) allVotersRunning() bool {
	currentLeader := s.leader()
	if currentLeader == nil {
		return false
	}
	status := currentLeader.stateMachine.Status(s.now)
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

// TestVoterIsReplacedTwice replaces a replica, and then its successor, by new ones with empty
// disks at other addresses, while documents change.
func TestVoterIsReplacedTwice(t *testing.T) {
	tests := []struct {
		name string
		// planned starts the new replica before the old one stops.
		planned bool
		// leader makes the leader the first replica to be replaced.
		leader bool
		voters int
	}{
		{"planned", true, false, 5},
		{"planned, of the leader", true, true, 5},
		{"unplanned", false, false, 5},
		{"unplanned, of the leader", false, true, 5},
		{"unplanned, with three voters", false, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newVoterSimulation(t, tt.voters, 4, 11)
			old := s.replicas[0]
			if (s.leader() == old) != tt.leader {
				old = s.replicas[1]
			}
			if tt.leader {
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
				assert.Equal(t, s.status(s.lastRequest), controller.ApplyInEffect, "round %d", round)
				revision++
				assert.Assert(t, s.allVotersRunning(), "round %d: %v", round, s.leader().stateMachine.Status(s.now).Members)
				old = next
			}
			for _, e := range s.entries {
				assert.Equal(t, e.revision, revision)
				assert.Assert(t, e.stateMachine.HoldsConfigLease(s.now))
			}
		})
	}
}

// TestLostSuccessorIsRemoved loses a successor before it has a vote: it must not stay a member,
// and the next successor must become a voter.
func TestLostSuccessorIsRemoved(t *testing.T) {
	s := newVoterSimulation(t, 5, 2, 3)
	old := s.replicas[0]
	if s.leader() == old {
		old = s.replicas[1]
	}
	s.removeForGood(old)
	lostSuccessor := s.startSuccessor()
	for len(s.leader().stateMachine.Status(s.now).Members) == 5 {
		s.runFor(step)
	}
	s.removeForGood(lostSuccessor)
	s.startSuccessor()
	s.runFor(10 * time.Second)
	assert.Assert(t, s.allVotersRunning(), "%v", s.leader().stateMachine.Status(s.now))
}

// TestRandomReplacements replaces random replicas, at most as many at once as the group can lose,
// while documents change. Each time, running replicas must soon hold all votes again, and no
// acknowledged change may be lost.
func TestRandomReplacements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newVoterSimulation(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"), 3, rapid.Uint64().Draw(rt, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "loss rate")
		for i := range rapid.IntRange(1, 5).Draw(rt, "rounds") {
			replaced := rapid.IntRange(1, (s.voters-1)/2).Draw(rt, "at once")
			for range replaced {
				s.replaceVoter(rt)
			}
			s.runFor(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * step)
			if currentLeader := s.leader(); currentLeader != nil {
				revision, _ := currentLeader.stateMachine.Document()
				s.apply(currentLeader, document(revision, fmt.Sprint("change-", i)))
			}
			for wait := 0; !s.allVotersRunning(); wait++ {
				if wait > 30 {
					rt.Fatalf("after 30 s, running replicas don't hold all votes again")
				}
				s.runFor(time.Second)
			}
		}
		revision, _ := s.leader().stateMachine.Document()
		s.apply(s.leader(), document(revision, "last"))
		s.runFor(8 * time.Second)
		if got := s.status(s.lastRequest); got != controller.ApplyInEffect {
			rt.Fatalf("the last change has status %v, want ApplyInEffect", got)
		}
	})
}

// replaceVoter replaces a random voter, either before or after it stops.
func (s *simulation) replaceVoter(rt *rapid.T) {
	currentLeader := s.leader()
	if currentLeader == nil {
		return
	}
	var voters []*replica
	for _, m := range currentLeader.stateMachine.Status(s.now).Members {
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
