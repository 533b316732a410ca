package journaler

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

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
	framed, err := frame(payload)
	if err != nil {
		return err
	}
	return replace(filepath.Join(folder, endpointsName), framed)
}

// LoadEndpoints returns the endpoints that were stored last, or none.
func LoadEndpoints(folder string) ([]registrar.Announcement, error) {
	data, err := os.ReadFile(filepath.Join(folder, endpointsName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read endpoints")
	}
	payload, _, ok := parse(data)
	if !ok {
		return nil, errors.Wrap(ErrDamaged, endpointsName)
	}
	return encoder.DecodeAnnouncements(payload)
}
