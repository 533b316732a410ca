package journaler

import (
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/replicator"
)

const dataFolder = "/disk/data"

var replicatedLogs = []string{"config", "claims"}

// replica is the part of a control replica that uses the disk.
type replica struct {
	id       replicator.ID
	journals []*Journal
	stored   []replicator.Stored
}

// start starts a replica, as the driver does.
func start(files fileSystem) (replica, error) {
	d := New(dataFolder, withFiles(files))
	id, err := d.Identity(replicatedLogs...)
	if err != nil {
		return replica{}, err
	}
	r := replica{id: id}
	for _, log := range replicatedLogs {
		journal, stored, err := d.Open(log)
		if err != nil {
			return replica{}, err
		}
		r.journals = append(r.journals, journal)
		r.stored = append(r.stored, stored)
	}
	return r, nil
}

// TestKilledStartsLoseNothingLater guards against a replica that trusts what it finds although nothing has synced it:
// it told others what it had stored, and a later loss of power took it away.
func TestKilledStartsLoseNothingLater(t *testing.T) {
	tests := []struct {
		name string
		// killedBefore is the operation before which the first process is killed.
		killedBefore string
	}{
		{"name of the data folder", "sync /disk"},
		{"name of the identity", "sync /disk/data"},
		{"name of a journal", "sync /disk/data/config"},
		{"name of the last journal", "sync /disk/data/claims"},
		{"last write to a journal", "sync /disk/data/config/journal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var killed *crashDisk
			disk := newCrashDisk()
			disk.before = func(operation string) {
				if operation == tt.killedBefore && killed == nil {
					killed = disk.clone()
				}
			}
			writeSome(t, disk)
			assert.Assert(t, killed != nil)
			second, err := start(killed)
			assert.NilError(t, err)
			assertSurvivesPowerLoss(t, killed, second)
			assertSurvivesPowerLoss(t, killed, writeSome(t, killed))
		})
	}
}

// assertSurvivesPowerLoss checks that a replica starts with the same identity and state after a loss of power.
func assertSurvivesPowerLoss(t *testing.T, disk *crashDisk, r replica) {
	t.Helper()
	again, err := start(disk.losePower(keepNothing))
	assert.NilError(t, err)
	assert.Equal(t, again.id, r.id)
	assert.DeepEqual(t, again.stored, r.stored, cmpopts.EquateEmpty())
}

// writeSome starts a replica that adds an entry to each log, and returns what it has stored.
func writeSome(t *testing.T, disk *crashDisk) replica {
	t.Helper()
	r, err := start(disk)
	assert.NilError(t, err)
	for i, journal := range r.journals {
		stored := &r.stored[i]
		stored.State = replicator.HardState{Term: stored.State.Term + 1}
		next := uint64(len(stored.Entries)) + 1
		added := entries(next, next, stored.State.Term)
		assert.NilError(t, journal.Persist(replicator.Output{State: &stored.State, Entries: added}))
		stored.Entries = append(stored.Entries, added...)
	}
	return r
}

// TestSnapshotIsDurableBeforeItsJournal guards against a journal that outlives the snapshot it follows: a replica that
// was killed before it synced the name of a snapshot replaced the journal in its next start, and lost power then.
func TestSnapshotIsDurableBeforeItsJournal(t *testing.T) {
	disk := newCrashDisk()
	r := writeSome(t, disk)
	var killed, unpowered *crashDisk
	disk.before = func(operation string) {
		if operation == "sync /disk/data/config" && killed == nil {
			killed = disk.clone()
		}
	}
	assert.NilError(t, r.journals[0].StoreSnapshot(replicator.Snapshot{Index: 1, Term: 1, Data: []byte("state")}, nil))
	killed.before = func(operation string) {
		if operation == "sync /disk/data/config" {
			unpowered = killed.losePower(keepJournals)
		}
	}
	_, err := start(killed)
	assert.NilError(t, err)
	again, err := start(unpowered)
	assert.NilError(t, err)
	assert.Equal(t, again.id, r.id)
}

// TestFailedSyncIsNotReadBack guards against an entry that is taken for stored although its sync has failed: the
// content can still be read, but no later sync writes it.
func TestFailedSyncIsNotReadBack(t *testing.T) {
	disk := newCrashDisk()
	r := writeSome(t, disk)
	disk.before = func(operation string) {
		if operation == "sync /disk/data/config/journal" && disk.failing == 0 {
			disk.failing = disk.operations + 1
		}
	}
	assert.ErrorIs(t, r.journals[0].Persist(replicator.Output{Entries: entries(2, 2, 1)}), ErrSync)
	second, err := start(disk)
	assert.NilError(t, err)
	assertSurvivesPowerLoss(t, disk, second)
}
