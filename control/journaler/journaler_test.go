package journaler

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
)

func entries(from, to, term uint64) []replicator.Entry {
	var result []replicator.Entry
	for i := from; i <= to; i++ {
		result = append(result, replicator.Entry{Index: i, Term: term, Kind: replicator.EntryCommand, Data: []byte("command")})
	}
	return result
}

func open(t *testing.T, folder string) (*Journal, replicator.Stored) {
	t.Helper()
	j, stored, err := New(folder).Open("")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = j.Close() })
	return j, stored
}

func persist(t *testing.T, j *Journal, outputs ...replicator.Output) {
	t.Helper()
	for _, out := range outputs {
		assert.NilError(t, j.Persist(out))
	}
}

func TestJournalRestoresSyncedState(t *testing.T) {
	folder := t.TempDir()
	j, stored := open(t, folder)
	assert.DeepEqual(t, stored, replicator.Stored{})
	state := replicator.HardState{Term: 3, Vote: "a"}
	persist(t, j,
		replicator.Output{State: &replicator.HardState{Term: 2}, Entries: entries(1, 5, 2)},
		replicator.Output{State: &state},
		replicator.Output{Entries: entries(4, 6, 3)}, // replaces 4 and 5
	)
	_, stored = open(t, folder)
	assert.DeepEqual(t, stored.State, state)
	assert.DeepEqual(t, stored.Entries, append(entries(1, 3, 2), entries(4, 6, 3)...))
}

func TestSnapshotReplacesLogUpToItsIndex(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	persist(t, j, replicator.Output{State: &replicator.HardState{Term: 2}, Entries: entries(1, 9, 2)})
	snapshot := replicator.Snapshot{Index: 7, Term: 2, Members: replicator.Membership{{ID: "a", Name: "a", Voter: true}}, Data: []byte("state")}
	assert.NilError(t, j.StoreSnapshot(snapshot, entries(8, 9, 2)))
	persist(t, j, replicator.Output{Entries: entries(10, 10, 2)})
	_, stored := open(t, folder)
	assert.DeepEqual(t, stored.Snapshot, snapshot)
	assert.DeepEqual(t, stored.Entries, entries(8, 10, 2))
	assert.Equal(t, stored.State.Term, uint64(2))
}

func TestCrashBetweenSnapshotAndJournal(t *testing.T) {
	tests := []struct {
		name     string
		snapshot replicator.Snapshot
		want     []replicator.Entry
	}{
		{"snapshot of the same log", replicator.Snapshot{Index: 7, Term: 2}, entries(8, 9, 2)},
		{"snapshot of a diverged log", replicator.Snapshot{Index: 7, Term: 3}, nil},
		{"snapshot beyond the log", replicator.Snapshot{Index: 20, Term: 2}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			folder := t.TempDir()
			j, _ := open(t, folder)
			persist(t, j, replicator.Output{Entries: entries(1, 9, 2)})
			old, err := os.ReadFile(j.path(journalName))
			assert.NilError(t, err)
			assert.NilError(t, j.StoreSnapshot(tt.snapshot, nil))
			assert.NilError(t, os.WriteFile(j.path(journalName), old, fileMode))
			_, stored := open(t, folder)
			assert.Equal(t, stored.Snapshot.Index, tt.snapshot.Index)
			assert.DeepEqual(t, stored.Entries, tt.want)
		})
	}
}

// TestCrashBetweenSnapshotAndJournalKeepsLaterEntries guards against a replica that never starts again: after a
// crash between the two, it went on with the journal of before the snapshot, and the next start found its entries
// out of sequence.
func TestCrashBetweenSnapshotAndJournalKeepsLaterEntries(t *testing.T) {
	snapshot := replicator.Snapshot{Index: 7, Term: 2, Members: replicator.Membership{{ID: "a", Name: "a", Voter: true}}, Data: []byte("state")}
	tests := []struct {
		name string
		// journaled is the last entry in the journal of before the snapshot.
		journaled uint64
		// kept are the entries after the snapshot that were journaled.
		kept []replicator.Entry
	}{
		{"snapshot of the leader, empty journal", 0, nil},
		{"snapshot of the leader", 3, nil},
		{"own snapshot", 7, nil},
		{"own snapshot with entries after it", 9, entries(8, 9, 2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			folder := t.TempDir()
			j, _ := open(t, folder)
			state := replicator.HardState{Term: 2, Vote: "a"}
			persist(t, j, replicator.Output{State: &state, Entries: entries(1, tt.journaled, 2)})
			before, err := os.ReadFile(filepath.Join(folder, journalName))
			assert.NilError(t, err)
			assert.NilError(t, j.StoreSnapshot(snapshot, tt.kept))
			assert.NilError(t, os.WriteFile(filepath.Join(folder, journalName), before, fileMode)) // the crash came first
			next := uint64(len(tt.kept)) + 8
			for range 3 { // each start must accept what the one before has written
				again, stored := open(t, folder)
				assert.DeepEqual(t, stored.State, state)
				assert.DeepEqual(t, stored.Snapshot, snapshot)
				assert.DeepEqual(t, append([]replicator.Entry(nil), stored.Entries...), entries(8, next-1, 2))
				persist(t, again, replicator.Output{Entries: entries(next, next, 2)})
				next++
			}
		})
	}
}

// TestJournalAfterItsSnapshotIsAnError guards against entries that are lost silently: a journal whose base is later
// than the snapshot belongs to a snapshot that is gone.
func TestJournalAfterItsSnapshotIsAnError(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	assert.NilError(t, j.StoreSnapshot(replicator.Snapshot{Index: 3, Term: 1, Data: []byte("old")}, nil))
	before, err := os.ReadFile(filepath.Join(folder, snapshotName))
	assert.NilError(t, err)
	assert.NilError(t, j.StoreSnapshot(replicator.Snapshot{Index: 7, Term: 2, Data: []byte("new")}, entries(8, 9, 2)))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, snapshotName), before, fileMode))
	_, _, err = New(folder).Open("")
	assert.ErrorIs(t, err, ErrDamaged)
}

// TestTornWriteIsTruncated cuts the file at every byte of its last frame, as a crash during a
// write may do. The frames before it must be kept, and new ones appended.
func TestTornWriteIsTruncated(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	persist(t, j, replicator.Output{Entries: entries(1, 3, 1)})
	valid := j.size
	persist(t, j, replicator.Output{Entries: entries(4, 4, 1)})
	data, err := os.ReadFile(j.path(journalName))
	assert.NilError(t, err)
	for cut := valid; cut < int64(len(data)); cut++ {
		torn := filepath.Join(t.TempDir(), "torn")
		assert.NilError(t, os.MkdirAll(torn, folderMode))
		assert.NilError(t, os.WriteFile(filepath.Join(torn, journalName), data[:cut], fileMode))
		reopened, stored := open(t, torn)
		assert.DeepEqual(t, stored.Entries, entries(1, 3, 1))
		persist(t, reopened, replicator.Output{Entries: entries(4, 5, 2)})
		_, stored = open(t, torn)
		assert.Equal(t, len(stored.Entries), 5)
	}
}

// TestFlippedBitIsDamage guards against a replica that forgets an entry or a vote because a bit of its disk has
// changed, as if it had never been written. It flips each bit of a journal.
func TestFlippedBitIsDamage(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	persist(t, j,
		replicator.Output{Entries: entries(1, 2, 1)},
		replicator.Output{Entries: entries(3, 3, 1)},
		replicator.Output{State: &replicator.HardState{Term: 2, Vote: "a"}},
	)
	data, err := os.ReadFile(j.path(journalName))
	assert.NilError(t, err)
	for bit := range len(data) * 8 {
		damaged := append([]byte(nil), data...)
		damaged[bit/8] ^= 1 << (bit % 8)
		_, _, err := parseFrames(damaged)
		assert.ErrorIs(t, err, ErrDamaged, "bit %d", bit)
	}
}

// TestZerosAtTheEndAreATornWrite guards against a disk that no start accepts: a write of which the end was lost may
// read as zeros there, also where they stand for a single bit.
func TestZerosAtTheEndAreATornWrite(t *testing.T) {
	last, err := frame([]byte("payload\x01\x00"))
	assert.NilError(t, err)
	for cut := range len(last) - 1 {
		torn := append(slices.Clone(last[:cut]), make([]byte, len(last)-cut)...)
		if bytes.Equal(torn, last) {
			continue
		}
		_, valid, err := parseFrames(torn)
		assert.NilError(t, err, "cut at byte %d", cut)
		assert.Equal(t, valid, 0)
	}
}

func TestSnapshotWithoutJournalIsAnError(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	assert.NilError(t, j.StoreSnapshot(replicator.Snapshot{Index: 7, Term: 2}, nil))
	assert.NilError(t, os.Remove(j.path(journalName)))
	_, _, err := New(folder).Open("")
	assert.ErrorIs(t, err, ErrDamaged)
}

func TestFailedWriteLeavesNoTrace(t *testing.T) {
	folder := t.TempDir()
	j, _ := open(t, folder)
	persist(t, j, replicator.Output{Entries: entries(1, 2, 1)})
	readOnly, err := os.Open(j.path(journalName))
	assert.NilError(t, err)
	writable := j.file
	j.file = readOnly // makes writes fail, as on a full disk
	assert.Assert(t, j.Persist(replicator.Output{Entries: entries(3, 3, 1)}) != nil)
	j.file = writable
	persist(t, j, replicator.Output{Entries: entries(3, 4, 1)})
	_, stored := open(t, folder)
	assert.DeepEqual(t, stored.Entries, entries(1, 4, 1))
}

func TestIdentityIsPerDataFolder(t *testing.T) {
	folder := t.TempDir()
	first, err := New(folder).Identity()
	assert.NilError(t, err)
	again, err := New(folder).Identity()
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	other, err := New(t.TempDir()).Identity()
	assert.NilError(t, err)
	assert.Assert(t, first != other)
}

// TestLostJournalCreatesNewIdentity removes the folder of one log, as a power failure may do. The
// replica must not vote again under its former identity, which may have voted before.
func TestLostJournalCreatesNewIdentity(t *testing.T) {
	folder := t.TempDir()
	logs := []string{"config", "claims"}
	first, err := New(folder).Identity(logs...)
	assert.NilError(t, err)
	for _, log := range logs {
		j, _ := open(t, filepath.Join(folder, log))
		persist(t, j, replicator.Output{State: &replicator.HardState{Term: 3, Vote: first}})
		assert.NilError(t, j.Close())
	}
	again, err := New(folder).Identity(logs...)
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	assert.NilError(t, os.RemoveAll(filepath.Join(folder, "config")))
	next, err := New(folder).Identity(logs...)
	assert.NilError(t, err)
	assert.Assert(t, next != first)
	_, stored := open(t, filepath.Join(folder, "claims"))
	assert.Equal(t, stored.State, replicator.HardState{})
}

func TestLockIsExclusive(t *testing.T) {
	folder := t.TempDir()
	lock, err := NewLock(folder)
	assert.NilError(t, err)
	_, err = NewLock(folder)
	assert.ErrorIs(t, err, ErrInUse)
	lock.Release()
	lock, err = NewLock(folder)
	assert.NilError(t, err)
	lock.Release()
}

// FuzzParseFrames checks that for any data the parsed frames are a prefix of it, and that no
// valid frame after them is skipped.
func FuzzParseFrames(f *testing.F) {
	one, _ := frame([]byte("one"))
	two, _ := frame([]byte("two"))
	f.Add(append(append([]byte(nil), one...), two...))
	f.Add(append(append([]byte(nil), one...), two[:7]...))
	f.Add(append(one[:9:9], two...))
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, valid, err := parseFrames(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrDamaged)
			return
		}
		var encoded []byte
		for _, p := range payloads {
			frameBytes, err := frame(p)
			assert.NilError(t, err)
			encoded = append(encoded, frameBytes...)
		}
		assert.DeepEqual(t, encoded, append([]byte(nil), data[:valid]...))
		assert.Equal(t, findFrame(t, data[valid:]), -1)
	})
}

func TestNewIdentityRemovesEndpoints(t *testing.T) {
	folder := t.TempDir()
	_, err := New(folder).Identity()
	assert.NilError(t, err)
	none, err := New(folder).LoadEndpoints()
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
	want := []registrar.Announcement{{Name: registrar.Name{Service: "s", Endpoint: "e"}, Address: "127.0.0.1:1", State: registrar.StateServing, Incarnation: 3}}
	assert.NilError(t, New(folder).StoreEndpoints(want))
	got, err := New(folder).LoadEndpoints()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, os.WriteFile(filepath.Join(folder, endpointsName), []byte("torn"), fileMode))
	_, err = New(folder).LoadEndpoints()
	assert.ErrorIs(t, err, ErrDamaged)
	_, err = New(folder).Identity("lost")
	assert.NilError(t, err)
	none, err = New(folder).LoadEndpoints()
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
}

func TestNewIdentityRemovesCommittedPosition(t *testing.T) {
	folder := t.TempDir()
	_, err := New(folder).Identity()
	assert.NilError(t, err)
	none, err := New(folder).LoadCommitted()
	assert.NilError(t, err)
	assert.Equal(t, none, replicator.Position{})
	position := replicator.Position{Index: 7, Term: 3}
	assert.NilError(t, New(folder).StoreCommitted(position))
	got, err := New(folder).LoadCommitted()
	assert.NilError(t, err)
	assert.Equal(t, got, position)
	assert.NilError(t, os.WriteFile(filepath.Join(folder, committedName), []byte("torn"), fileMode))
	_, err = New(folder).LoadCommitted()
	assert.ErrorIs(t, err, ErrDamaged)
	_, err = New(folder).Identity("lost")
	assert.NilError(t, err)
	none, err = New(folder).LoadCommitted()
	assert.NilError(t, err)
	assert.Equal(t, none, replicator.Position{})
}
