package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// How many endpoints of its own data centre, and of others, an entry asks first: enough to
// find room among them, and few enough to use connections to them again before endpoints
// close those that are idle.
const (
	nearSubset = 10
	farSubset  = 4
)

// rankOf orders the endpoints of an entry. Each entry has an order of its own, so that all
// entries together cover endpoints evenly, and one that comes or goes moves only its own
// place.
func rankOf(entry, endpoint string) uint64 { return xxhash.Sum64String(entry + "\x00" + endpoint) }

// order sorts the endpoints by their ranks.
func (b *Balancer) order() {
	b.ranksStale = false
	b.ranked = append(b.ranked[:0], b.endpoints...)
	slices.SortFunc(b.ranked, func(x, y *endpoint) int { return cmp.Compare(x.rank, y.rank) })
}

// chooseSubset marks the endpoints that are asked first: the first by rank that take work.
func (b *Balancer) chooseSubset() {
	b.subsetChanged = false
	near, far := nearSubset, farSubset
	for _, e := range b.ranked {
		c := &b.candidates[e.at]
		left := &near
		if c.Remote {
			left = &far
		}
		c.Preferred = !c.Closed && *left > 0
		if c.Preferred {
			*left--
		}
	}
}
