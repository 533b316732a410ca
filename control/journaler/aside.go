package journaler

import (
	"path/filepath"

	"github.com/pkg/errors"
)

const asideName = "damaged"

// Errors of SetAside.
var (
	// ErrSound is returned when the data folder can be read.
	ErrSound = errors.New("the data folder is not damaged")
	// ErrAsideExists is returned when a damaged state has been set aside before and not been removed.
	ErrAsideExists = errors.New("the data folder already holds a damaged state that was set aside")
)

// SetAside moves the state of a damaged data folder to a folder within it, whose path it returns. The next start finds
// an empty data folder. The identity goes first: without it, a start uses nothing of what is left if SetAside is cut.
func (d *Disk) SetAside(logs ...string) (string, error) {
	if err := d.check(logs); !errors.Is(err, ErrDamaged) {
		if err == nil {
			err = ErrSound
		}
		return "", err
	}
	aside := filepath.Join(d.folder, asideName)
	if d.files.exists(aside) {
		return "", errors.Wrap(ErrAsideExists, aside)
	}
	if err := makeFolder(d.files, aside); err != nil {
		return "", err
	}
	for _, name := range append([]string{identityName, committedName, endpointsName}, logs...) {
		if err := d.move(name, aside); err != nil {
			return "", err
		}
	}
	return aside, nil
}

// check returns the error with which a start would refuse the data folder.
func (d *Disk) check(logs []string) error {
	id, err := d.readIdentity()
	if err != nil || id == "" || !d.hasJournals(logs) {
		return err
	}
	for _, log := range logs {
		journal, _, err := d.Open(log)
		if err != nil {
			return err
		}
		if err := journal.Close(); err != nil {
			return err
		}
	}
	return nil
}

// move moves a file or folder of the data folder, if it exists, and makes that durable.
func (d *Disk) move(name, to string) error {
	from := filepath.Join(d.folder, name)
	if !d.files.exists(from) {
		return nil
	}
	if err := d.files.rename(from, filepath.Join(to, name)); err != nil {
		return errors.Wrap(err, "set aside "+name)
	}
	if err := d.files.syncFolder(to); err != nil {
		return err
	}
	return d.files.syncFolder(d.folder)
}
