package replicator

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is a replica of the group.
type Member struct {
	ID ID `json:"id"`
	// Name is the place of the replica: a new disk gives a new ID, the name stays.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Voter is false for a replica that is still catching up.
	Voter bool `json:"voter"`
}

// AsNonVoter returns the member as one that is catching up.
func (m Member) AsNonVoter() Member {
	m.Voter = false
	return m
}

// Membership is the set of members, ordered by ID. It is immutable.
type Membership []Member

// With returns the membership with a member added or replaced by ID.
func (m Membership) With(member Member) Membership {
	next := append(m.Without(member.ID), member)
	slices.SortFunc(next, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next
}

// Without returns the membership without a member.
func (m Membership) Without(id ID) Membership {
	next := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID != id {
			next = append(next, member)
		}
	}
	return next
}

// Find returns the member of an ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Named returns the member of a name.
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

// votes reports whether the member of an ID votes.
func (m Membership) votes(id ID) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// differsByOne reports whether at most one voter is added or removed by next.
func (m Membership) differsByOne(next Membership) bool {
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

// encode returns the form that a log entry holds.
func (m Membership) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and booleans always encode
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, err
}
