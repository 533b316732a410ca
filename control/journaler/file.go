package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// readFramed returns the payload of a file that holds one frame, or nil where there is no
// such file.
func readFramed(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read "+filepath.Base(path))
	}
	payload, _, ok := parse(data)
	if !ok {
		return nil, errors.Wrap(ErrDamaged, filepath.Base(path))
	}
	return payload, nil
}

// replaceFramed replaces a file by one that holds the payload in a frame.
func replaceFramed(path string, payload []byte) error {
	data, err := frame(payload)
	if err != nil {
		return err
	}
	return replace(path, data)
}
