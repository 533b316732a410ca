package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newTransferNetwork returns a group of three with a follower that is down and needs a snapshot of the given size.
func newTransferNetwork(t testing.TB, bytes int) (w *network, leader, behind *node) {
	w = newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	behind = w.followers()[0]
	w.crash(behind.ID())
	for i := range 20 {
		w.propose(w.leader().ID(), fmt.Sprint("c", i))
	}
	w.run(time.Second)
	leader = w.leader()
	w.compactTo(leader, make([]byte, bytes))
	return w, leader, behind
}

// awaitPieces runs until so many pieces with data have arrived at a node.
func (w *network) awaitPieces(id ID, pieces int) {
	arrived := 0
	w.onDeliver = func(e Envelope) Envelope {
		if m, ok := e.Message.(SnapshotChunk); ok && e.To == id && len(m.Data) > 0 {
			arrived++
		}
		return e
	}
	for end := w.now.Add(5 * time.Second); arrived < pieces && w.now.Before(end); {
		w.step()
	}
	w.onDeliver = nil
}

// TestKillDuringSnapshotTransferDelaysItOnly guards against a leader that goes on with the piece of a snapshot that an
// earlier process of the member had reached.
func TestKillDuringSnapshotTransferDelaysItOnly(t *testing.T) {
	const pieces = 5
	for kill := range pieces + 1 {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprintf("after_piece_%d_twice_%t", kill, again), func(t *testing.T) {
				w, leader, behind := newTransferNetwork(t, pieces*snapshotChunkBytes)
				w.start(behind.ID())
				w.awaitPieces(behind.ID(), kill)
				w.start(behind.ID()) // as after a kill
				if again {
					w.awaitPieces(behind.ID(), pieces-kill)
					w.start(behind.ID())
				}
				w.run(3 * time.Second)
				assert.Equal(t, behind.Commit(), leader.Commit())
			})
		}
	}
}

// TestRestartedMemberKeepsNoProgress shows that the test of kills depends on the leader's knowledge of processes: a leader
// that can't tell a restarted member from the former process keeps the old progress.
func TestRestartedMemberKeepsNoProgress(t *testing.T) {
	w, leader, behind := newTransferNetwork(t, 5*snapshotChunkBytes)
	w.start(behind.ID())
	w.run(stepTime)
	w.awaitPieces(behind.ID(), 3)
	w.start(behind.ID())
	w.onDeliver = func(e Envelope) Envelope {
		if m, ok := e.Message.(SnapshotReply); ok {
			m.Run = leader.progress[behind.ID()].run
			m.Sent = 0 // before all that the former process has sent
			e.Message = m
		}
		return e
	}
	w.run(20 * time.Second)
	assert.Assert(t, behind.Commit() < leader.Commit())
}

// TestRepliesOfAnEarlierProcessDoNotCount guards against a reply that was held up until the member has another process.
func TestRepliesOfAnEarlierProcessDoNotCount(t *testing.T) {
	tests := []struct {
		name    string
		message func(e Envelope) bool
	}{
		{"snapshot reply", func(e Envelope) bool { _, ok := e.Message.(SnapshotReply); return ok }},
		{"any reply", func(Envelope) bool { return true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, leader, behind := newTransferNetwork(t, 5*snapshotChunkBytes)
			w.start(behind.ID())
			w.awaitPieces(behind.ID(), 3)
			var late []Envelope
			for _, e := range w.inFlight {
				if e.From == behind.ID() && tt.message(e) {
					late = append(late, e)
				}
			}
			assert.Assert(t, len(late) > 0)
			w.start(behind.ID())
			for range 300 {
				w.inFlight = append(w.inFlight, late...) // with each step once more
				w.step()
			}
			assert.Equal(t, behind.Commit(), leader.Commit())
			assert.Assert(t, leader.progress[behind.ID()].run == behind.incarnation)
		})
	}
}

// TestDroppedSnapshotIsSentAgain guards against a member that drops a snapshot which fails its check and never gets another.
func TestDroppedSnapshotIsSentAgain(t *testing.T) {
	w, leader, behind := newTransferNetwork(t, 3*snapshotChunkBytes)
	w.start(behind.ID())
	failures := 2
	behind.checkSnapshot = func([]byte) error {
		if failures > 0 {
			failures--
			return ErrInvalidMessage
		}
		return nil
	}
	w.run(5 * time.Second)
	assert.Equal(t, failures, 0)
	assert.Equal(t, behind.Commit(), leader.Commit())
}

// TestSnapshotThatNeverPassesIsSentSeldom guards against a leader that sends the same snapshot as fast as it can.
func TestSnapshotThatNeverPassesIsSentSeldom(t *testing.T) {
	w, _, behind := newTransferNetwork(t, 2*snapshotChunkBytes)
	w.start(behind.ID())
	checks := 0
	behind.checkSnapshot = func([]byte) error { checks++; return ErrInvalidMessage }
	w.run(60 * time.Second)
	assert.Assert(t, checks >= 3 && checks <= 15, "%d", checks)
}

// newNetworkWithCommands returns a network of three replicas that have committed a number of commands.
func newNetworkWithCommands(t *testing.T, commands int) *network {
	w := newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	for i := range commands {
		w.propose(w.leader().ID(), fmt.Sprint("c", i))
	}
	w.run(time.Second)
	return w
}

// TestMemberThatHasTheEntryKeepsItsLog guards against a snapshot that drops entries which the member has acknowledged.
func TestMemberThatHasTheEntryKeepsItsLog(t *testing.T) {
	w := newNetworkWithCommands(t, 5)
	leader, follower := w.leader(), w.followers()[0]
	last := follower.LastIndex()
	follower.commitIndex -= 3 // as after a restart
	term, _ := follower.log.term(last - 2)
	follower.Receive(w.now, Envelope{From: leader.ID(), To: follower.ID(), Term: leader.Term(), Message: SnapshotChunk{
		Index: last - 2, LogTerm: term, Members: leader.Members(), Data: []byte("state"), Done: true,
	}})
	assert.Equal(t, follower.LastIndex(), last)
	assert.Assert(t, follower.Commit() >= last-2)
	assert.Assert(t, follower.TakeOutput().Snapshot == nil)
}

// TestMemberThatHasLostItsTailIsBelieved guards against a leader that insists on what a member had on its disk.
func TestMemberThatHasLostItsTailIsBelieved(t *testing.T) {
	w := newNetworkWithCommands(t, 10)
	leader, follower := w.leader(), w.followers()[0]
	w.crash(follower.ID())
	follower.disk.Entries = follower.disk.Entries[:len(follower.disk.Entries)-4]
	follower.disk.Committed = Position{}
	w.start(follower.ID())
	w.run(2 * time.Second)
	assert.Equal(t, w.leader().ID(), leader.ID())
	assert.Equal(t, follower.LastIndex(), leader.LastIndex())
	assert.Equal(t, leader.MatchIndex(follower.ID()), leader.LastIndex())
}

// TestSnapshotsPassSlowLinks guards against a transfer that repeats each piece while it is on its way, or starts again
// without end, and against commits that wait for it.
func TestSnapshotsPassSlowLinks(t *testing.T) {
	tests := []struct {
		name   string
		link   link
		bytes  int
		within time.Duration
	}{
		{"delay of 50 ms", link{delay: 50 * time.Millisecond}, 6 * megabyte, 4 * time.Second},
		{"delay of 200 ms", link{delay: 200 * time.Millisecond}, 2 * megabyte, 5 * time.Second},
		{"2 Mbit/s", link{rate: 250_000}, 2 * megabyte, 20 * time.Second},
		{"2 Mbit/s and 50 ms", link{delay: 50 * time.Millisecond, rate: 250_000}, 2 * megabyte, 22 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, leader, behind := newTransferNetwork(t, tt.bytes)
			w.links[behind.ID()] = &tt.link
			target := leader.Commit()
			w.start(behind.ID())
			sent := 0
			w.onDeliver = func(e Envelope) Envelope {
				if m, ok := e.Message.(SnapshotChunk); ok {
					sent += len(m.Data)
				}
				return e
			}
			for start := w.now; behind.Commit() < target; {
				assert.Assert(t, w.now.Sub(start) < tt.within, "%d of %d bytes have arrived", sent, tt.bytes)
				data := fmt.Sprint("beside", w.now)
				w.propose(leader.ID(), data)
				w.run(50 * time.Millisecond)
				assert.Assert(t, w.hasCommitted(data))
			}
			assert.Assert(t, sent <= tt.bytes*3/2, "%d of %d bytes", sent, tt.bytes)
		})
	}
}

// TestRandomSnapshotTransfers guards against a replica that never catches up, or agrees with nobody, after kills, lost disks,
// cuts and pauses at any piece of a snapshot.
func TestRandomSnapshotTransfers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "size"), rapid.Uint64().Draw(rt, "seed"))
		w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		w.run(3 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			w.injectTransferFault(rt, i)
			w.run(time.Duration(rapid.IntRange(0, 30).Draw(rt, "pause")) * 10 * time.Millisecond)
		}
		w.heal()
		clear(w.links)
		w.run(15 * time.Second)
		w.requireCaughtUp(rt)
	})
}

func (w *network) injectTransferFault(rt *rapid.T, i int) {
	id := rapid.SampledFrom(w.order).Draw(rt, "id")
	n := w.nodes[id]
	if w.lost[id] {
		return
	}
	switch rapid.IntRange(0, 12).Draw(rt, "fault") {
	case 0, 1:
		w.propose(id, fmt.Sprint("v", i))
	case 2, 3:
		if n.up && w.paused[id] == nil {
			w.compactTo(n, make([]byte, rapid.IntRange(1, 6).Draw(rt, "pieces")*snapshotChunkBytes+i))
		}
	case 4, 5:
		if n.up {
			w.crash(id)
		} else {
			w.start(id)
		}
	case 6:
		w.isolate(id, rapid.Bool().Draw(rt, "isolated"))
	case 7:
		w.pause(id)
	case 8:
		w.wake(id)
	case 9:
		w.links[id] = &link{delay: time.Duration(rapid.IntRange(0, 200).Draw(rt, "delay")) * time.Millisecond}
	case 10:
		w.loseDisk(id)
	case 11, 12:
		w.toggleVoter(id)
	}
}

// loseDisk replaces a node by one with an empty disk, and so another ID, as long as no other node has lost its disk. The
// leader takes it in without a vote.
func (w *network) loseDisk(id ID) {
	leader := w.leader()
	if len(w.lost) > 0 || leader == nil || leader.ID() == id {
		return
	}
	next := leader.Members().Without(id)
	if leader.ChangeMembers(w.now, next) != nil {
		return
	}
	w.flush(leader)
	w.crash(id)
	w.lost[id] = true
	fresh := id + "-fresh"
	w.add(fresh, Stored{})
	w.run(200 * time.Millisecond)
	_ = leader.ChangeMembers(w.now, leader.Members().With(Member{ID: fresh, Name: string(id)})) // it is tried once only
	w.flush(leader)
}

// requireCaughtUp fails unless all nodes have committed the whole log.
func (w *network) requireCaughtUp(t interface{ Fatalf(string, ...any) }) {
	leader := w.leader()
	if leader == nil {
		t.Fatalf("no leader after the faults ended")
		return
	}
	w.propose(leader.ID(), "last")
	w.run(2 * time.Second)
	behind := slices.DeleteFunc(slices.Clone(w.order), func(id ID) bool {
		_, isMember := leader.Members().Find(id)
		return !isMember || w.lost[id] || w.nodes[id].Commit() == leader.Commit()
	})
	if len(behind) > 0 || !w.hasCommitted("last") {
		t.Fatalf("%v did not catch up with %s", behind, leader.ID())
	}
}
