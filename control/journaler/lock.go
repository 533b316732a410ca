package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse is returned when another process holds the lock of the data folder.
var ErrInUse = errors.New("the data folder is in use by another process")

// Lock is an exclusive lock of a data folder.
type Lock struct {
	file *os.File
}

// NewLock locks a data folder, and creates the folder if it does not exist.
func NewLock(folder string) (*Lock, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	file, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // another process holds the lock
		return nil, ErrInUse
	}
	return &Lock{file: file}, nil
}

// Release unlocks the data folder.
func (l *Lock) Release() { _ = l.file.Close() }
