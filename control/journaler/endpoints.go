package journaler

import (
	"path/filepath"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/encoder"
)

const endpointsName = "endpoints"

// StoreEndpoints stores the endpoints that a replica knows, in place of those stored before.
func StoreEndpoints(folder string, endpoints []registrar.Announcement) error {
	payload, err := encoder.EncodeAnnouncements(endpoints)
	if err != nil {
		return err
	}
	return writeFrameFile(filepath.Join(folder, endpointsName), payload)
}

// LoadEndpoints returns the endpoints that were stored last, if any.
func LoadEndpoints(folder string) ([]registrar.Announcement, error) {
	payload, err := readFrameFile(filepath.Join(folder, endpointsName))
	if err != nil || payload == nil {
		return nil, err
	}
	return encoder.DecodeAnnouncements(payload)
}
