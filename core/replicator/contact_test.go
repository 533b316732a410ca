package replicator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturningReplicaClaimsNoContactBeforeItHasCaughtUp guards against configuration leases that a follower grants at
// an old revision, because it takes the leader's contact with a quorum for its own while it lacks committed entries.
func TestReturningReplicaClaimsNoContactBeforeItHasCaughtUp(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		compact bool
	}{
		{"one entry", 1, false},
		{"more than an append holds", 3 * maxEntriesPerAppend, false},
		{"a snapshot", 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork(t, 3, 7)
			w.run(2 * time.Second)
			follower := w.followers()[0]
			w.isolate(follower.ID(), true)
			for i := range tt.entries {
				w.propose(w.leader().ID(), fmt.Sprint("x", i))
			}
			w.run(2 * time.Second)
			if tt.compact {
				// Several chunks, so that the snapshot takes more than one round trip.
				leader := w.leader()
				_, ok := leader.Compact(leader.Commit(), make([]byte, 3*snapshotChunkBytes))
				assert.Assert(t, ok)
			}
			w.isolate(follower.ID(), false)
			w.run(3 * time.Second) // checkContact fails the test meanwhile
			assert.Equal(t, follower.Commit(), w.leader().Commit())
			assert.Assert(t, w.now.Sub(follower.LastQuorumContact()) < time.Second)
		})
	}
}

// TestNewLeaderClaimsNoContactBeforeItsFirstCommit guards against leases that a new leader and its followers grant
// while they don't know yet which entries of earlier terms are committed.
func TestNewLeaderClaimsNoContactBeforeItsFirstCommit(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(t, 5, seed)
		w.run(2 * time.Second)
		former := w.leader()
		// The followers sync the entry, but don't learn that it is committed before the leader is gone.
		w.propose(former.ID(), "x")
		for !w.hasCommitted("x") {
			w.step()
		}
		w.crash(former.ID())
		w.inFlight = nil
		w.run(3 * time.Second) // checkContact fails the test meanwhile
		assert.Assert(t, w.leader() != nil)
		assert.Assert(t, w.now.Sub(w.leader().LastQuorumContact()) < time.Second)
	}
}

// followers returns the replicas that are up and don't lead.
func (w *network) followers() []*node {
	var list []*node
	for _, id := range w.order {
		if n := w.nodes[id]; n.up && n.Role() == RoleFollower {
			list = append(list, n)
		}
	}
	return list
}
