package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// readFrameFile returns the payload of a file that holds one frame, or nil if the file does not
// exist.
func readFrameFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read "+filepath.Base(path))
	}
	payload, _, ok := parseFrame(data)
	if !ok {
		return nil, errors.Wrap(ErrDamaged, filepath.Base(path))
	}
	return payload, nil
}

// writeFrameFile replaces a file by one with a single frame that holds the payload.
func writeFrameFile(path string, payload []byte) error {
	data, err := frame(payload)
	if err != nil {
		return err
	}
	return replaceFile(path, data)
}
