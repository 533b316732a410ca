package journaler

import (
	"path/filepath"

	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder"
)

const committedName = "committed"

// StoreCommitted stores the commit position of the configuration log, in place of the one stored
// before.
func (d *Disk) StoreCommitted(p replicator.Position) error {
	payload, err := encoder.EncodeFrame(encoder.Frame{Base: &encoder.Base{Index: p.Index, Term: p.Term}})
	if err != nil {
		return err
	}
	return writeFrameFile(d.files, filepath.Join(d.folder, committedName), payload)
}

// LoadCommitted returns the commit position that was stored last, or the zero position if there
// is none.
func (d *Disk) LoadCommitted() (replicator.Position, error) {
	payload, err := readFrameFile(d.files, filepath.Join(d.folder, committedName))
	if err != nil || payload == nil {
		return replicator.Position{}, err
	}
	f, err := encoder.DecodeFrame(payload)
	if err != nil {
		return replicator.Position{}, err
	}
	if f.Base == nil {
		return replicator.Position{}, errors.Wrap(ErrDamaged, committedName)
	}
	return replicator.Position{Index: f.Base.Index, Term: f.Base.Term}, nil
}
