package replicator

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is a replica that belongs to the group.
type Member struct {
	ID ID `json:"id"`
	// Name is the configured name of the replica. It stays when a new disk changes the ID.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Voter is false while the replica is catching up with the log.
	Voter bool `json:"voter"`
}

// AsNonVoter returns a copy of the member that does not vote.
func (m Member) AsNonVoter() Member {
	m.Voter = false
	return m
}

// Membership is the set of members, ordered by ID. It is immutable.
type Membership []Member

// With returns a copy of the membership to which member is added. It replaces a member with
// the same ID.
func (m Membership) With(member Member) Membership {
	next := append(m.Without(member.ID), member)
	slices.SortFunc(next, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next
}

// Without returns a copy of the membership without the member with the given ID.
func (m Membership) Without(id ID) Membership {
	next := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID != id {
			next = append(next, member)
		}
	}
	return next
}

// Find returns the member with the given ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Named returns the member with the given name.
func (m Membership) Named(name string) (Member, bool) {
	for _, member := range m {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the size of a majority of the voters.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// votes reports whether id is the ID of a voting member.
func (m Membership) votes(id ID) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// differsByOneVoter reports whether next adds or removes at most one voter.
func (m Membership) differsByOneVoter(next Membership) bool {
	changed := 0
	for _, member := range m {
		if member.Voter && !next.votes(member.ID) {
			changed++
		}
	}
	for _, member := range next {
		if member.Voter && !m.votes(member.ID) {
			changed++
		}
	}
	return changed <= 1
}

// encode returns the encoded membership for a log entry.
func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and booleans can always be encoded
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, err
}
