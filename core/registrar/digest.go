package registrar

import "github.com/cespare/xxhash/v2"

// Digest tells whether two registries know the same endpoints in the same states. It does
// not depend on the order in which they were announced.
func (r *Registry) Digest() uint64 { return r.digest }

// hash is what an endpoint adds to the digest; nothing once it is gone.
func (a Announcement) hash() uint64 {
	if a.Deregistered {
		return 0
	}
	return xxhash.Sum64String(a.Service + "\x00" + a.Endpoint + "\x00" + string(a.State) + "\x00" + a.Address)
}

// replace changes what is held of an endpoint. Nil stands for nothing.
func (r *Registry) replace(old, next *record) {
	if old != nil {
		r.digest -= old.announcement.hash()
	}
	if next != nil {
		r.digest += next.announcement.hash()
	}
}
