package journaler

import (
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"comfreyplank.org/core/replicator"
)

// Disk is the data folder of a replica.
type Disk struct {
	folder string
	files  fileSystem
}

// Option configures a Disk.
type Option func(*Disk)

// withFiles replaces the file system.
func withFiles(files fileSystem) Option { return func(d *Disk) { d.files = files } }

// New returns the disk with the given data folder.
func New(folder string, opts ...Option) *Disk {
	d := &Disk{folder: folder, files: systemFiles{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Open reads a log of the replica. A log that does not exist is created empty. Open truncates and logs a torn last
// write, and returns an error for any other damage.
func (d *Disk) Open(log string) (*Journal, replicator.Stored, error) {
	return openJournal(d.files, filepath.Join(d.folder, log))
}

// readFrameFile returns the payload of a file that holds one frame, or nil if the file does not
// exist.
func readFrameFile(files fileSystem, path string) ([]byte, error) {
	data, err := files.readFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read "+filepath.Base(path))
	}
	payload, rest, ok := parseFrame(data)
	if !ok || len(rest) > 0 {
		return nil, errors.Wrap(ErrDamaged, filepath.Base(path))
	}
	return payload, nil
}

// writeFrameFile replaces a file by one with a single frame that holds the payload.
func writeFrameFile(files fileSystem, path string, payload []byte) error {
	return replaceFile(files, path, func(w *frameWriter) error { return w.write(payload) })
}

// replaceFile replaces the content of a file by the frames that write writes. After a crash, the file has either the old or
// the new content.
func replaceFile(files fileSystem, path string, write func(w *frameWriter) error) error {
	temporary := path + temporarySuffix
	if err := writeFile(files, temporary, write); err != nil {
		return errors.Wrapf(err, "replace %s", filepath.Base(path))
	}
	if err := files.rename(temporary, path); err != nil {
		return errors.Wrapf(err, "replace %s", filepath.Base(path))
	}
	return files.syncFolder(filepath.Dir(path))
}

// writeFile writes and syncs a file. One that could not be written whole takes no more room on the disk.
func writeFile(files fileSystem, path string, write func(w *frameWriter) error) error {
	f, err := files.openFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	err = write(&frameWriter{file: f})
	if err == nil {
		err = f.Sync()
	} else if truncateErr := f.Truncate(0); truncateErr != nil {
		slog.Warn("what was written of a file can't be removed", "path", path, "error", truncateErr)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// frameWriter writes frames one after the other to a file.
type frameWriter struct {
	file   file
	offset int64
}

func (w *frameWriter) write(payload []byte) error {
	header, err := frameHeader(payload)
	if err != nil {
		return err
	}
	if _, err := w.file.WriteAt(header, w.offset); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if _, err := w.file.WriteAt(payload, w.offset+headerBytes); err != nil {
		return errors.Wrap(err, "write frame")
	}
	w.offset += int64(headerBytes + len(payload))
	return nil
}

// keepDataFolder makes the name of a data folder that holds no identity yet persist. An earlier start may have created
// the folder and ended before it did so.
func keepDataFolder(files fileSystem, path string) error {
	err := makeFolder(files, path)
	if errors.Is(err, fs.ErrPermission) || errors.Is(err, unix.EROFS) {
		slog.Warn("the folder around the data folder can't be synced; whoever made the data folder must have done so", "folder", path, "error", err)
		return nil
	}
	return err
}

// makeFolder creates a folder that persists after a power failure.
func makeFolder(files fileSystem, path string) error {
	if err := files.makeFolders(path); err != nil {
		return errors.Wrap(err, "make folder")
	}
	return files.syncFolder(filepath.Dir(path))
}
