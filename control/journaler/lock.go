package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse is returned when another process works on the data folder.
var ErrInUse = errors.New("the data folder is in use by another process")

// Lock keeps other processes off a data folder until it is released.
type Lock struct {
	file *os.File
}

// NewLock takes the lock of a data folder.
func NewLock(folder string) (*Lock, error) {
	if err := makeDataFolder(folder); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // the lock is someone else's
		return nil, ErrInUse
	}
	return &Lock{file: file}, nil
}

// Release gives the lock back.
func (l *Lock) Release() { _ = l.file.Close() }
