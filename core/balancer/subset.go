package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the subset of endpoints that an entry prefers, in its own data centre and in others:
// enough to find room among them, and few enough to reuse the connections to them before the
// endpoints close them as idle.
const (
	localSubset  = 10
	remoteSubset = 4
)

// rankOf returns the sort key of an endpoint in the order of an entry. Each entry has its own
// order, so that all entries together cover the endpoints evenly, and an endpoint that is added
// or removed moves no other.
func rankOf(entry, endpoint string) uint64 { return xxhash.Sum64String(entry + "\x00" + endpoint) }

// rankEndpoints sorts the endpoints by rank.
func (b *Balancer) rankEndpoints() {
	b.ranksStale = false
	b.ranked = append(b.ranked[:0], b.endpoints...)
	slices.SortFunc(b.ranked, func(x, y *endpoint) int { return cmp.Compare(x.rank, y.rank) })
}

// chooseSubset marks the preferred endpoints: the first ones by rank that accept requests.
func (b *Balancer) chooseSubset() {
	b.subsetChanged = false
	local, remote := localSubset, remoteSubset
	for _, e := range b.ranked {
		c := &b.candidates[e.index]
		remaining := &local
		if c.Remote {
			remaining = &remote
		}
		c.Preferred = !c.Closed && *remaining > 0
		if c.Preferred {
			*remaining--
		}
	}
}
