package journaler

import (
	"path/filepath"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/encoder"
)

const endpointsName = "endpoints"

// StoreEndpoints keeps the endpoints that a replica knows in place of the ones before.
func StoreEndpoints(folder string, list []registrar.Announcement) error {
	payload, err := encoder.EncodeAnnouncements(list)
	if err != nil {
		return err
	}
	return writeFrameFile(filepath.Join(folder, endpointsName), payload)
}

// LoadEndpoints returns the endpoints that were stored last, or none.
func LoadEndpoints(folder string) ([]registrar.Announcement, error) {
	payload, err := readFrameFile(filepath.Join(folder, endpointsName))
	if err != nil || payload == nil {
		return nil, err
	}
	return encoder.DecodeAnnouncements(payload)
}
