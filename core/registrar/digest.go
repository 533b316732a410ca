package registrar

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a value that is equal for registries with the same endpoints in the same
// states. It doesn't depend on the order of the announcements.
func (r *Registry) Digest() uint64 { return r.digest }

// Content returns a hash of the announcement without its progress: it is equal for announcements of which one renews
// the other.
func (a Announcement) Content() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		a.Service, a.Endpoint, a.Address, a.DataCentre, string(a.State), strconv.FormatUint(a.Incarnation, 10),
		strconv.Itoa(a.Slots), strconv.Itoa(a.Connections), strconv.FormatBool(a.Deregistered),
	}, "\x00"))
}

// hash returns the endpoint's contribution to the digest; zero if it is deregistered.
func (a Announcement) hash() uint64 {
	if a.Deregistered {
		return 0
	}
	return a.Content()
}

// updateDigest replaces the contribution of one record by that of another. Either may be nil.
func (r *Registry) updateDigest(old, next *record) {
	if old != nil {
		r.digest -= old.announcement.hash()
	}
	if next != nil {
		r.digest += next.announcement.hash()
	}
}
