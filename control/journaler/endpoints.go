package journaler

import (
	"path/filepath"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/encoder"
)

const endpointsName = "endpoints"

// StoreEndpoints stores the endpoints that a replica knows, in place of those stored before.
func (d *Disk) StoreEndpoints(endpoints []registrar.Announcement) error {
	payload, err := encoder.EncodeAnnouncements(endpoints)
	if err != nil {
		return err
	}
	return writeFrameFile(d.files, filepath.Join(d.folder, endpointsName), payload)
}

// LoadEndpoints returns the endpoints that were stored last, if any.
func (d *Disk) LoadEndpoints() ([]registrar.Announcement, error) {
	payload, err := readFrameFile(d.files, filepath.Join(d.folder, endpointsName))
	if err != nil || payload == nil {
		return nil, err
	}
	return encoder.DecodeAnnouncements(payload)
}
