package registrar

import "github.com/cespare/xxhash/v2"

// Digest returns a value that is equal for registries with the same endpoints in the same
// states. It doesn't depend on the order of the announcements.
func (r *Registry) Digest() uint64 { return r.digest }

// hash returns the endpoint's contribution to the digest; zero if it is deregistered.
func (a Announcement) hash() uint64 {
	if a.Deregistered {
		return 0
	}
	return xxhash.Sum64String(a.Service + "\x00" + a.Endpoint + "\x00" + string(a.State) + "\x00" + a.Address)
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
