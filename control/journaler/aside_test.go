package journaler

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/replicator"
)

// TestDamagedStateIsSetAside guards against a replica that votes from a damaged state: after the damaged state has
// been set aside, wherever that is cut, it starts under a new identity and remembers nothing.
func TestDamagedStateIsSetAside(t *testing.T) {
	damaged := newCrashDisk()
	r := writeSome(t, damaged)
	damaged.flipBit("/disk/data/config/journal", headerBytes+1)
	_, err := start(damaged)
	assert.ErrorIs(t, err, ErrDamaged)

	disk := damaged.clone()
	var cuts []*crashDisk
	disk.before = func(string) { cuts = append(cuts, disk.clone(), disk.losePower(keepNothing)) }
	aside, err := New(dataFolder, withFiles(disk)).SetAside(replicatedLogs...)
	assert.NilError(t, err)
	assert.Equal(t, aside, filepath.Join(dataFolder, asideName))
	assert.DeepEqual(t, disk.names["/disk/data/damaged/config/journal"], damaged.names["/disk/data/config/journal"], cmp.AllowUnexported(inode{}, contentChange{}))
	for _, cut := range append(cuts, disk) {
		after, err := start(cut)
		if err != nil {
			assert.ErrorIs(t, err, ErrDamaged) // nothing has been moved yet
			continue
		}
		assert.Assert(t, after.id != r.id)
		assert.DeepEqual(t, after.stored, make([]replicator.Stored, len(replicatedLogs)))
	}
	_, err = start(disk)
	assert.NilError(t, err)
}

func TestSetAsideRefuses(t *testing.T) {
	sound := newCrashDisk()
	writeSome(t, sound)
	_, err := New(dataFolder, withFiles(sound)).SetAside(replicatedLogs...)
	assert.ErrorIs(t, err, ErrSound)
	_, err = New(dataFolder, withFiles(newCrashDisk())).SetAside(replicatedLogs...)
	assert.ErrorIs(t, err, ErrSound)

	again := newCrashDisk()
	writeSome(t, again)
	again.flipBit("/disk/data/identity", 0)
	_, err = New(dataFolder, withFiles(again)).SetAside(replicatedLogs...)
	assert.NilError(t, err)
	writeSome(t, again)
	again.flipBit("/disk/data/identity", 0)
	_, err = New(dataFolder, withFiles(again)).SetAside(replicatedLogs...)
	assert.ErrorIs(t, err, ErrAsideExists)
}
