package journaler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/replicator"
)

// fillDisk makes a disk refuse every operation that needs room, from an operation on and for as many as given. With it,
// syncs fail too if failsSync is set, as where room is only reserved then. It returns a function that tells how many are left.
func fillDisk(d *crashDisk, from, count int, failsSync bool) (left func() int) {
	refused := 0
	d.refuse = func(operation string) error {
		needsRoom := !strings.HasPrefix(operation, "truncate") && !strings.HasPrefix(operation, "remove")
		if strings.HasPrefix(operation, "sync") {
			needsRoom = failsSync && !strings.HasSuffix(operation, dataFolder)
		}
		if d.operations < from || refused >= count || !needsRoom {
			return nil
		}
		refused++
		return errors.Wrap(unix.ENOSPC, operation)
	}
	return func() int { return count - refused }
}

// TestFullDiskLeavesNothingBehind guards against a replica that takes no writes after its disk has room again, or has lost
// what it confirmed. The disk runs full at each operation of a history, and each write is tried again as the driver does it.
func TestFullDiskLeavesNothingBehind(t *testing.T) {
	history := []func(j *Journal) error{
		func(j *Journal) error { return j.Persist(replicator.Output{Entries: entries(1, 2, 1)}) },
		func(j *Journal) error {
			return j.Persist(replicator.Output{State: &replicator.HardState{Term: 2, Vote: "a"}})
		},
		func(j *Journal) error {
			return j.StoreSnapshot(replicator.Snapshot{Index: 1, Term: 1, Members: replicator.Membership{{ID: "a"}}}, entries(2, 2, 1))
		},
		func(j *Journal) error { return j.Persist(replicator.Output{Entries: entries(3, 5, 2)}) },
		func(j *Journal) error {
			return j.Persist(replicator.Output{Snapshot: &replicator.Snapshot{Index: 9, Term: 2, Members: replicator.Membership{{ID: "a"}}}})
		},
		func(j *Journal) error { return j.Persist(replicator.Output{Entries: entries(10, 12, 2)}) },
	}
	for _, failsSync := range []bool{false, true} {
		for _, count := range []int{1, 2, 5} {
			for from := range 40 {
				t.Run(fmt.Sprintf("from_%d_%d_times_syncs_%t", from, count, failsSync), func(t *testing.T) {
					playFullDisk(t, history, from, count, failsSync)
				})
			}
		}
	}
}

func playFullDisk(t *testing.T, history []func(j *Journal) error, from, count int, failsSync bool) {
	disk := newCrashDisk()
	folder := New(dataFolder, withFiles(disk))
	left := fillDisk(disk, from, count, failsSync)
	start := func() *Journal {
		for {
			if _, err := folder.Identity("log"); err == nil {
				j, _, err := folder.Open("log")
				if err == nil {
					return j
				}
				assert.Assert(t, left() >= 0 && errors.Is(err, unix.ENOSPC), "%v", err)
			}
		}
	}
	j := start()
	for i, write := range history {
		for err := write(j); err != nil; err = write(j) {
			if errors.Is(err, ErrSync) {
				j = start() // the process ends and is started again
				continue
			}
			assert.ErrorIs(t, err, unix.ENOSPC, "write %d", i)
		}
	}
	disk.refuse = nil
	_, stored, err := New(dataFolder, withFiles(disk)).Open("log")
	assert.NilError(t, err)
	assert.Equal(t, stored.State, replicator.HardState{Term: 2, Vote: "a"})
	assert.Equal(t, stored.Snapshot.Index, uint64(9))
	assert.DeepEqual(t, stored.Entries, entries(10, 12, 2))
	assert.Equal(t, disk.names[dataFolder+"/log/"+journalName+temporarySuffix] == nil, true)
}
