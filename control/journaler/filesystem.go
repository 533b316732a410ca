package journaler

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// fileSystem holds the operations of a file system on which a data folder depends. What they change survives a loss of
// power only once it has been synced: the content of a file by the file's Sync, its name by syncFolder.
type fileSystem interface {
	readFile(path string) ([]byte, error)
	size(path string) (int64, error)
	exists(path string) bool
	openFile(path string, flag int) (file, error)
	rename(from, to string) error
	removeAll(path string) error
	makeFolders(path string) error
	syncFolder(path string) error
}

// file is an open file.
type file interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// systemFiles is the file system of the operating system.
type systemFiles struct{}

func (systemFiles) readFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (systemFiles) size(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (systemFiles) exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func (systemFiles) openFile(path string, flag int) (file, error) {
	return os.OpenFile(path, flag, fileMode)
}

func (systemFiles) rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) removeAll(path string) error { return os.RemoveAll(path) }

func (systemFiles) makeFolders(path string) error { return os.MkdirAll(path, folderMode) }

func (systemFiles) syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync folder")
}
