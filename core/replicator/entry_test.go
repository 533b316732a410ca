package replicator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

// largeEntry returns an entry with data of a size that compresses well, as documents do.
func largeEntry(index uint64, bytes int) Entry {
	unit := fmt.Sprintf("route-%06d;", index)
	return Entry{Index: index, Term: 1, Kind: EntryCommand, Data: []byte(strings.Repeat(unit, bytes/len(unit)+1)[:bytes])}
}

// keptBytes returns what the entries of a list take in memory.
func keptBytes(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data)
	}
	return n
}

// TestListOfLargeEntriesIsSmall guards against a start that needs as much memory as all documents of an old journal.
func TestListOfLargeEntriesIsSmall(t *testing.T) {
	var l EntryList
	for i := range uint64(100) {
		l.Append(largeEntry(i+1, megabyte))
		assert.Assert(t, keptBytes(l.Kept()) <= maxPlainBytes+2*megabyte)
	}
	assert.Equal(t, l.Bytes(), 100*megabyte)
	for i, e := range l.Kept() {
		assert.Assert(t, sameEntry(e.Unpacked(), largeEntry(uint64(i+1), megabyte)))
	}
	assert.Equal(t, len(l.unpacked(10, 90, 5*megabyte)), 5)
	assert.Equal(t, len(l.unpacked(10, 90, 1)), 1)
}

// TestRandomEntryLists guards against entries that change, are lost or move as a list packs, cuts and drops them.
func TestRandomEntryLists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var l EntryList
		var want []Entry
		var held, heldWant []Entry
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1, 2:
				e := largeEntry(uint64(len(want)), rapid.SampledFrom([]int{0, 10, packThreshold, 700 << 10}).Draw(rt, "bytes"))
				l.Append(e)
				want = append(want, e)
			case 3:
				n := rapid.IntRange(0, len(want)).Draw(rt, "kept")
				l.Truncate(n)
				want = slices.Clone(want[:n])
			case 4:
				n := rapid.IntRange(0, len(want)).Draw(rt, "dropped")
				l.DropFirst(n)
				want = slices.Clone(want[n:])
			}
			requireEntries(rt, held, heldWant)
			from := max(0, l.Len()-8)
			held, heldWant = l.unpacked(from, l.Len(), 100*megabyte), slices.Clone(want[from:])
		}
		requireEntries(rt, l.unpacked(0, l.Len(), 100*megabyte), want)
		if keptBytes(l.Kept()) > maxPlainBytes+2*megabyte {
			rt.Fatalf("%d bytes are kept", keptBytes(l.Kept()))
		}
	})
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && a.PackedFrom == b.PackedFrom && bytes.Equal(a.Data, b.Data)
}

func requireEntries(t *rapid.T, got, want []Entry) {
	if !slices.EqualFunc(got, want, sameEntry) {
		t.Fatalf("%d entries differ from the %d expected", len(got), len(want))
	}
}

// TestUncommittedEntriesAreBounded guards against a leader without a quorum whose memory grows with each change and each
// time that it is proposed again.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	w := newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	leader, follower := w.leader(), w.followers()[0]
	for _, f := range w.followers() {
		w.blocked[[2]ID{f.ID(), leader.ID()}] = f != follower
		w.blocked[[2]ID{leader.ID(), f.ID()}] = true
	}
	refused := 0
	for range 40 {
		if leader.Propose(make([]byte, megabyte)) != nil {
			refused++
		}
		leader.Receive(w.now, Envelope{From: follower.ID(), To: leader.ID(), Term: leader.Term(), Message: Forward{Data: make([]byte, megabyte)}})
	}
	assert.Assert(t, leader.LogBytes() <= maxUncommittedBytes+megabyte, "%d bytes", leader.LogBytes())
	assert.Assert(t, refused > 0)
	clear(w.blocked)
	w.flush(leader)
	w.run(2 * time.Second)
	assert.NilError(t, w.leader().Propose(make([]byte, 2*maxUncommittedBytes)), "a single larger entry is let pass")
}

// TestEntriesThatWaitForTheDiskAreBounded guards against a follower with a full disk that keeps all changes in memory, and
// against one that never gets what it had no room for.
func TestEntriesThatWaitForTheDiskAreBounded(t *testing.T) {
	w := newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	leader, follower := w.leader(), w.followers()[0]
	w.pauseDisk = follower.ID()
	for range 30 {
		w.propose(leader.ID(), strings.Repeat("x", megabyte))
		w.run(100 * time.Millisecond)
		assert.Assert(t, keptBytes(follower.out.Entries) <= maxOutputBytes+2*megabyte, "%d bytes", keptBytes(follower.out.Entries))
	}
	w.pauseDisk = ""
	w.run(3 * time.Second)
	assert.Equal(t, follower.LastIndex(), w.leader().LastIndex())
}

// TestCommittedEntriesAreDeliveredInParts guards against a start that decodes a whole journal at once.
func TestCommittedEntriesAreDeliveredInParts(t *testing.T) {
	members := Membership{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	stored := Stored{Snapshot: Snapshot{Index: 1, Term: 1, Members: members}, Committed: Position{Index: 31, Term: 1}}
	for i := range uint64(30) {
		stored.Entries = append(stored.Entries, largeEntry(i+2, megabyte).packed())
	}
	r, err := New(time.Unix(1000, 0), "a", stored)
	assert.NilError(t, err)
	var committed []Entry
	for out := r.TakeOutput(); !out.Empty(); out = r.TakeOutput() {
		assert.Assert(t, keptBytes(out.Committed) <= maxOutputBytes)
		committed = append(committed, out.Committed...)
	}
	assert.Equal(t, len(committed), 30)
	for i, e := range committed {
		assert.Assert(t, sameEntry(e, largeEntry(uint64(i+2), megabyte)))
	}
}
