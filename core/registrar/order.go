package registrar

// What is heard of an endpoint is ordered by three things, the first of which decides:
//
//  1. The incarnation: nothing said of an earlier one counts once a later one is known, and nothing takes a later one
//     away.
//  2. The stored departure of the incarnation: it wins over all that is said of the incarnation, whatever the sequence,
//     as the replica that took it may not have heard the latest announcement. A deregistration wins over draining.
//  3. The sequence.
//
// Newer and Outdates are 1 and 3, for announcements. WithDeparture, Covers and After are 1 and 2, for a stored departure.

// Newer reports whether the endpoint made a after b.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Outdates reports whether what is known of an endpoint is to be kept rather than what a replica says that may be
// behind: it is of a later incarnation, or the endpoint has said it later and the replica doesn't say that it leaves.
// A replica makes up the sequence of a departure that has none.
func (a Announcement) Outdates(b Announcement) bool {
	return a.Incarnation > b.Incarnation || (a.Newer(b) && !b.Leaving())
}

// WithDeparture returns the announcement with the endpoint's stored departure applied. A departure
// can't be revoked within an incarnation, so the state becomes draining. WithDeparture reports
// false if the departure supersedes the announcement.
func (a Announcement) WithDeparture(departure Announcement) (Announcement, bool) {
	switch {
	case a.Name != departure.Name || a.Incarnation > departure.Incarnation:
		return a, true
	case a.Incarnation < departure.Incarnation || (departure.Deregistered && !a.Deregistered):
		return a, false
	}
	a.State = StateDraining
	return a, true
}

// Covers reports whether a stored departure says all that another departure of the same endpoint says: it is of a
// later incarnation, or of the same and not only of draining where the other is a deregistration.
func (a Announcement) Covers(departure Announcement) bool {
	if a.Incarnation != departure.Incarnation {
		return a.Incarnation > departure.Incarnation
	}
	return a.Deregistered || !departure.Deregistered
}

// After returns a stored departure so that it is newer than an announcement of the same incarnation, which it wins
// over. It isn't changed for one of another incarnation, or for a deregistration.
func (a Announcement) After(known Announcement) Announcement {
	if known.Incarnation == a.Incarnation && !known.Deregistered {
		a.Sequence = max(a.Sequence, known.Sequence+1)
	}
	return a
}
