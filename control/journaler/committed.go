package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder"
)

const committedName = "committed"

// StoreCommitted keeps how far the configuration log is committed in place of what was
// kept before.
func StoreCommitted(folder string, p replicator.Position) error {
	payload, err := encoder.EncodeFrame(encoder.Frame{Base: &encoder.Base{Index: p.Index, Term: p.Term}})
	if err != nil {
		return err
	}
	framed, err := frame(payload)
	if err != nil {
		return err
	}
	return replace(filepath.Join(folder, committedName), framed)
}

// LoadCommitted returns the position that was stored last, or zero.
func LoadCommitted(folder string) (replicator.Position, error) {
	data, err := os.ReadFile(filepath.Join(folder, committedName))
	if os.IsNotExist(err) {
		return replicator.Position{}, nil
	}
	if err != nil {
		return replicator.Position{}, errors.Wrap(err, "read committed")
	}
	payload, _, ok := parse(data)
	if !ok {
		return replicator.Position{}, errors.Wrap(ErrDamaged, committedName)
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
