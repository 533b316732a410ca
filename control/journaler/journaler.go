// Package journaler keeps a replica's state in its data folder: the identity of
// the replica, and for each replicated log a snapshot and a journal. Nothing
// counts as stored until file and folder are synced.
package journaler

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder"
)

const (
	journalName     = "journal"
	snapshotName    = "snapshot"
	identityName    = "identity"
	lockName        = "lock"
	temporarySuffix = ".new"
	folderMode      = 0o750
	fileMode        = 0o640
)

// Journal is the disk of one replicated log. It is not safe for concurrent use.
type Journal struct {
	folder string
	file   *os.File
	// size is the length of the synced frames in the file.
	size  int64
	state replicator.HardState
}

// Open reads the disk of a log. An empty folder gives an empty log. A torn last
// write is cut off and reported; any other damage is an error.
func Open(folder string) (*Journal, replicator.Stored, error) {
	if err := makeFolder(folder); err != nil {
		return nil, replicator.Stored{}, err
	}
	j := &Journal{folder: folder}
	stored, err := j.load()
	if err != nil {
		return nil, replicator.Stored{}, errors.Wrapf(err, "open %s", folder)
	}
	j.state = stored.State
	return j, stored, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.folder, name) }

func (j *Journal) load() (replicator.Stored, error) {
	var stored replicator.Stored
	snapshot, err := j.loadSnapshot()
	if err != nil {
		return stored, err
	}
	stored.Snapshot = snapshot
	data, err := os.ReadFile(j.path(journalName))
	if os.IsNotExist(err) {
		if snapshot.Index != 0 {
			return stored, errors.Wrap(ErrDamaged, "there is a snapshot but no journal")
		}
		return stored, j.createFile(stored.State, encoder.Base{}, nil)
	}
	if err != nil {
		return stored, errors.Wrap(err, "read journal")
	}
	payloads, whole, err := parseFrames(data)
	if err != nil {
		return stored, err
	}
	if err := j.replay(payloads, &stored); err != nil {
		return stored, err
	}
	return stored, j.openFile(int64(whole), int64(len(data)))
}

func (j *Journal) loadSnapshot() (replicator.Snapshot, error) {
	data, err := os.ReadFile(j.path(snapshotName))
	if os.IsNotExist(err) {
		return replicator.Snapshot{}, nil
	}
	if err != nil {
		return replicator.Snapshot{}, errors.Wrap(err, "read snapshot")
	}
	payload, rest, ok := parseFrame(data)
	if !ok || len(rest) > 0 {
		return replicator.Snapshot{}, errors.Wrap(ErrDamaged, snapshotName)
	}
	return encoder.DecodeSnapshot(payload)
}

// replay applies the frames of a journal in order.
func (j *Journal) replay(payloads [][]byte, stored *replicator.Stored) error {
	var base encoder.Base
	var entries []replicator.Entry
	for i, payload := range payloads {
		f, err := encoder.DecodeFrame(payload)
		if err != nil {
			return errors.Wrapf(ErrDamaged, "frame %d: %v", i, err)
		}
		if i == 0 {
			if f.Base == nil {
				return errors.Wrap(ErrDamaged, "the journal has no beginning")
			}
			base = *f.Base
		}
		if f.State != nil {
			stored.State = *f.State
		}
		if entries, err = appendEntries(base, entries, f.Entries); err != nil {
			return err
		}
	}
	if len(payloads) == 0 {
		return errors.Wrap(ErrDamaged, "the journal has no beginning")
	}
	stored.Entries = entriesAfter(stored.Snapshot, base, entries)
	return nil
}

// appendEntries lets an entry replace those from its index on.
func appendEntries(base encoder.Base, entries, more []replicator.Entry) ([]replicator.Entry, error) {
	for _, e := range more {
		position := int64(e.Index) - int64(base.Index) - 1
		if position < 0 || position > int64(len(entries)) {
			return nil, errors.Wrapf(ErrDamaged, "entry %d does not follow", e.Index)
		}
		entries = append(entries[:position], e)
	}
	return entries, nil
}

// entriesAfter returns the entries after the snapshot. When a crash came between a
// new snapshot and its journal, the old journal counts only if it leads up to the
// snapshot.
func entriesAfter(s replicator.Snapshot, base encoder.Base, entries []replicator.Entry) []replicator.Entry {
	if base.Index == s.Index && base.Term == s.Term {
		return entries
	}
	for i, e := range entries {
		if e.Index == s.Index && e.Term == s.Term {
			return entries[i+1:]
		}
	}
	return nil
}

// openFile opens the journal for more frames, and cuts a torn one off.
func (j *Journal) openFile(whole, size int64) error {
	file, err := os.OpenFile(j.path(journalName), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	j.file = file
	j.size = whole
	if whole == size {
		return nil
	}
	slog.Warn("the last write to the journal was torn and has been cut off", "folder", j.folder, "bytes", size-whole)
	return j.truncate()
}

// truncate removes what follows the synced frames.
func (j *Journal) truncate() error {
	if err := j.file.Truncate(j.size); err != nil {
		return errors.Wrap(err, "cut journal")
	}
	return errors.Wrap(j.file.Sync(), "sync journal")
}

// Persist syncs what an Output says must be synced. After an error nothing of it
// counts; it may be tried again.
func (j *Journal) Persist(out replicator.Output) error {
	if out.State != nil {
		j.state = *out.State
	}
	if out.Snapshot != nil {
		return j.StoreSnapshot(*out.Snapshot, out.Entries)
	}
	payload, err := encoder.EncodeFrame(encoder.Frame{State: out.State, Entries: out.Entries})
	if err != nil {
		return err
	}
	return j.write(payload)
}

func (j *Journal) write(payload []byte) error {
	data, err := frame(payload)
	if err != nil {
		return err
	}
	if _, err := j.file.WriteAt(data, j.size); err != nil {
		if cut := j.file.Truncate(j.size); cut != nil {
			return errors.Wrap(cut, "cut journal after a failed write")
		}
		return errors.Wrap(err, "write journal")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(ErrSync, err.Error())
	}
	j.size += int64(len(data))
	return nil
}

// ErrSync is returned when a sync has failed: what is on the disk is not known,
// and the process must start anew.
var ErrSync = errors.New("sync failed")

// StoreSnapshot keeps a snapshot, and a journal of what follows it, in place of the ones
// before.
func (j *Journal) StoreSnapshot(s replicator.Snapshot, rest []replicator.Entry) error {
	payload, err := encoder.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := writeFrameFile(j.path(snapshotName), payload); err != nil {
		return err
	}
	return j.createFile(j.state, encoder.Base{Index: s.Index, Term: s.Term}, rest)
}

// BootstrapGroup makes the disk of a new group.
func (j *Journal) BootstrapGroup(stored replicator.Stored) error {
	j.state = stored.State
	return j.StoreSnapshot(stored.Snapshot, stored.Entries)
}

// createFile replaces the journal by a new one.
func (j *Journal) createFile(state replicator.HardState, base encoder.Base, entries []replicator.Entry) error {
	payload, err := encoder.EncodeFrame(encoder.Frame{Base: &base, State: &state, Entries: entries})
	if err != nil {
		return err
	}
	data, err := frame(payload)
	if err != nil {
		return err
	}
	if err := replaceFile(j.path(journalName), data); err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // the file has been replaced
	}
	return j.openFile(int64(len(data)), int64(len(data)))
}

// Close closes the journal.
func (j *Journal) Close() error { return errors.Wrap(j.file.Close(), "close journal") }

// replaceFile writes a file so that either the old or the new content is there.
func replaceFile(path string, data []byte) error {
	file, err := os.OpenFile(path+temporarySuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(path+temporarySuffix, path)
	}
	if err != nil {
		return errors.Wrapf(err, "replace %s", filepath.Base(path))
	}
	return syncFolder(filepath.Dir(path))
}

// makeDataFolder makes the data folder, unless it is there.
func makeDataFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil // given, and not ours to sync
	}
	return makeFolder(path)
}

// makeFolder makes a folder that is there after a loss of power too.
func makeFolder(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return errors.Wrap(err, "make folder")
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	err = folder.Sync()
	if closed := folder.Close(); err == nil {
		err = closed
	}
	return errors.Wrap(err, "sync folder")
}
