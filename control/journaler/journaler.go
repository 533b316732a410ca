// Package journaler stores the state of a control replica in its data folder: the identity of the
// replica, a snapshot and a journal for each replicated log, the endpoints and the commit
// position. A write has succeeded only when the file, and for a new file its folder, have been
// synced.
package journaler

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

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

// Journal stores one replicated log: its snapshot, and the journal of the entries after it. It is
// not safe for concurrent use.
type Journal struct {
	files  fileSystem
	folder string
	file   file
	// size is the length of the synced frames in the file.
	size int64
	// state is the latest hard state, with which a new file starts.
	state replicator.HardState
}

// openJournal reads the log in a folder, as Disk.Open says.
func openJournal(files fileSystem, folder string) (*Journal, replicator.Stored, error) {
	if err := makeFolder(files, folder); err != nil {
		return nil, replicator.Stored{}, err
	}
	// An earlier process may have ended after it replaced a file and before it synced the name.
	if err := files.syncFolder(folder); err != nil {
		return nil, replicator.Stored{}, err
	}
	j := &Journal{files: files, folder: folder}
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
	size, err := j.files.size(j.path(journalName))
	if os.IsNotExist(err) {
		if snapshot.Index != 0 {
			return stored, errors.Wrap(ErrDamaged, "there is a snapshot but no journal")
		}
		return stored, j.createFile(stored.State, encoder.Base{}, nil)
	}
	if err != nil {
		return stored, errors.Wrap(err, "read journal")
	}
	if err := j.openFile(); err != nil {
		return stored, err
	}
	frames := newScanner(j.file, size)
	base, err := replay(frames, &stored)
	if err == nil {
		err = frames.checkRest()
	}
	if err != nil {
		_ = j.file.Close() // it was only read
		return stored, err
	}
	if replaced, err := j.replaceOutdated(snapshot, base, stored); replaced || err != nil {
		return stored, err
	}
	return stored, j.continueFile(frames)
}

// replaceOutdated replaces a journal that was written before the snapshot, as after a crash between the two: further
// entries would not follow its own.
func (j *Journal) replaceOutdated(s replicator.Snapshot, base encoder.Base, stored replicator.Stored) (bool, error) {
	switch {
	case base.Index > s.Index:
		return false, errors.Wrap(ErrDamaged, "the snapshot is older than the journal")
	case base.Index < s.Index || base.Term != s.Term:
		return true, j.createFile(stored.State, encoder.Base{Index: s.Index, Term: s.Term}, stored.Entries)
	}
	return false, nil
}

// continueFile prepares a journal that was read for further frames.
func (j *Journal) continueFile(frames *scanner) error {
	j.size = frames.offset
	if err := j.truncate(frames.size); err != nil {
		return err
	}
	if err := j.rewriteLast(frames); err != nil {
		return err
	}
	return errors.Wrap(j.file.Sync(), "sync journal")
}

// rewriteLast writes the last frame once more, so that the next sync covers it: an earlier process may have ended
// before its sync, or because the sync failed. After a failed sync a file may show what no later sync writes. The
// frames before the last one have been synced, as has a whole new file.
func (j *Journal) rewriteLast(frames *scanner) error {
	if frames.last <= 0 {
		return nil
	}
	data := make([]byte, frames.offset-frames.last)
	if err := frames.read(data, frames.last); err != nil {
		return err
	}
	_, err := j.file.WriteAt(data, frames.last)
	if errors.Is(err, unix.ENOSPC) {
		slog.Warn("the disk is full; the last write to the journal is synced as it is", "folder", j.folder)
		return nil
	}
	return errors.Wrap(err, "rewrite journal")
}

func (j *Journal) loadSnapshot() (replicator.Snapshot, error) {
	payload, err := readFrameFile(j.files, j.path(snapshotName))
	if err != nil || payload == nil {
		return replicator.Snapshot{}, err
	}
	return encoder.DecodeSnapshot(payload)
}

// replay reads the frames of a journal in order into stored.
// It returns the base of the journal.
func replay(frames *scanner, stored *replicator.Stored) (encoder.Base, error) {
	var base encoder.Base
	var list replicator.EntryList
	for i := 0; ; i++ {
		payload, err := frames.next()
		if err != nil {
			return base, err
		}
		if payload == nil && i == 0 {
			return base, errors.Wrap(ErrDamaged, "the journal has no frames")
		}
		if payload == nil {
			break
		}
		f, err := encoder.DecodeFrame(payload)
		if err != nil {
			return base, errors.Wrapf(ErrDamaged, "frame %d: %v", i, err)
		}
		if i == 0 {
			if f.Base == nil {
				return base, errors.Wrap(ErrDamaged, "the first frame of the journal has no base")
			}
			base = *f.Base
		}
		if f.State != nil {
			stored.State = *f.State
		}
		if err := appendEntries(base, &list, f.Entries); err != nil {
			return base, err
		}
	}
	stored.Entries = entriesAfter(stored.Snapshot, base, list.Kept())
	return base, nil
}

// appendEntries appends the added entries to a list that starts after base. An entry whose index is already present replaces
// that entry and all after it.
func appendEntries(base encoder.Base, list *replicator.EntryList, added []replicator.Entry) error {
	for _, e := range added {
		position := int64(e.Index) - int64(base.Index) - 1
		if position < 0 || position > int64(list.Len()) {
			return errors.Wrapf(ErrDamaged, "entry %d is out of sequence", e.Index)
		}
		if position < int64(list.Len()) {
			list.Truncate(int(position))
		}
		list.Append(e)
	}
	return nil
}

// entriesAfter returns the entries after the snapshot. After a crash between the write of a new
// snapshot and that of its journal, the old journal is used only if it includes the snapshot's
// last entry.
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

// openFile opens the journal.
func (j *Journal) openFile() error {
	file, err := j.files.openFile(j.path(journalName), os.O_RDWR)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	j.file = file
	return nil
}

// truncate removes a torn frame after the valid ones.
func (j *Journal) truncate(size int64) error {
	if size == j.size {
		return nil
	}
	slog.Warn("the last write to the journal was torn and is truncated", "folder", j.folder, "bytes", size-j.size)
	return errors.Wrap(j.file.Truncate(j.size), "cut journal")
}

// Persist writes and syncs the State, Snapshot and Entries of out. After an error, nothing of out
// counts as stored. Unless the error is ErrSync, Persist may be called again with the same
// output.
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
		if truncateErr := j.file.Truncate(j.size); truncateErr != nil {
			return errors.Wrap(truncateErr, "cut journal after a failed write")
		}
		return errors.Wrap(err, "write journal")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(ErrSync, err.Error())
	}
	j.size += int64(len(data))
	return nil
}

// ErrSync is returned when a sync has failed. The content of the disk is then unknown, and the
// process must be restarted.
var ErrSync = errors.New("sync failed")

// StoreSnapshot replaces the stored log by a snapshot and a journal of the entries after it.
func (j *Journal) StoreSnapshot(s replicator.Snapshot, tail []replicator.Entry) error {
	payload, err := encoder.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := writeFrameFile(j.files, j.path(snapshotName), payload); err != nil {
		return err
	}
	return j.createFile(j.state, encoder.Base{Index: s.Index, Term: s.Term}, tail)
}

// BootstrapGroup writes the initial stored state of a new group.
func (j *Journal) BootstrapGroup(stored replicator.Stored) error {
	j.state = stored.State
	return j.StoreSnapshot(stored.Snapshot, stored.Entries)
}

// maxFrameEntryBytes limits the entries in one frame of a new file, unless a single one is larger.
const maxFrameEntryBytes = 1 << 20

// createFile replaces the journal file by a new one.
func (j *Journal) createFile(state replicator.HardState, base encoder.Base, entries []replicator.Entry) error {
	var size int64
	err := replaceFile(j.files, j.path(journalName), func(w *frameWriter) error {
		for first := true; first || len(entries) > 0; first = false {
			f := encoder.Frame{}
			if first {
				f.Base, f.State = &base, &state
			}
			f.Entries = replicator.FirstBytes(entries, maxFrameEntryBytes)
			entries = entries[len(f.Entries):]
			payload, err := encoder.EncodeFrame(f)
			if err != nil {
				return err
			}
			if err := w.write(payload); err != nil {
				return err
			}
		}
		size = w.offset
		return nil
	})
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // the file has been replaced
	}
	j.size = size
	return j.openFile()
}

// Close closes the journal.
func (j *Journal) Close() error { return errors.Wrap(j.file.Close(), "close journal") }
