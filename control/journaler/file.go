package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// readFrameFile returns the payload of a file that holds one frame, or nil where there is no
// such file.
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

// writeFrameFile replaces a file by one that holds the payload in a frame.
func writeFrameFile(path string, payload []byte) error {
	data, err := frame(payload)
	if err != nil {
		return err
	}
	return replaceFile(path, data)
}
