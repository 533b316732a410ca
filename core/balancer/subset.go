package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreyplank.org/core/picker"
)

// Sizes of the subset of endpoints that an entry prefers, in its own data centre and in others:
// enough to find room among them, and few enough to reuse the connections to them before the
// endpoints close them as idle.
const (
	localSubset  = 10
	remoteSubset = 4
)

// Sizes of the reserve, in which a call that found no room in the subset looks for some. It is far smaller than a
// large service, so that its connections are used again too.
const (
	localReserve  = 10
	remoteReserve = 20
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

// chooseSubset sets the tiers of the endpoints: the first ones by rank that accept requests are preferred, and the
// next ones are the reserve.
func (b *Balancer) chooseSubset() {
	b.subsetChanged = false
	local, remote := 0, 0
	for _, e := range b.ranked {
		c := &b.candidates[e.index]
		switch {
		case c.Closed:
			c.Tier = picker.TierRest
		case c.Remote:
			c.Tier = tierOf(remote, remoteSubset, remoteReserve)
			remote++
		default:
			c.Tier = tierOf(local, localSubset, localReserve)
			local++
		}
	}
}

// tierOf returns the tier of the endpoint at a position in the order of the entry.
func tierOf(position, subset, reserve int) picker.Tier {
	switch {
	case position < subset:
		return picker.TierPreferred
	case position < subset+reserve:
		return picker.TierReserve
	}
	return picker.TierRest
}
