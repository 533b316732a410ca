package replicator

import "time"

// confirmInterval is the least time between two rounds that confirm reads: reads that begin
// meanwhile are confirmed together.
const confirmInterval = 25 * time.Millisecond

// roundsTogether is the part of the time between two rounds after which a leader that is called
// for something else takes its next round: rounds of several groups come together so, and
// travel in one message.
const roundsTogether = 2

// Due returns when the replica wants a Tick next; zero while only an input can bring it work.
func (r *Replica) Due() time.Time {
	if r.role == RoleLeader {
		return r.leaderDue()
	}
	if !r.members.votes(r.id) {
		return time.Time{}
	}
	return r.electAt
}

func (r *Replica) leaderDue() time.Time {
	due := r.electedAt
	if r.quorumAt.After(due) {
		due = r.quorumAt
	}
	due = due.Add(r.electionMin + 1)
	if r.takeOverTo != "" && r.takeOverEnd.Before(due) {
		due = r.takeOverEnd.Add(1)
	}
	if r.beatAt.Before(due) {
		due = r.beatAt
	}
	return due
}

// confirmSoon lets the next round come as soon as rounds may follow each other.
func (r *Replica) confirmSoon() {
	if soon := r.broadcastAt.Add(confirmInterval); soon.Before(r.beatAt) {
		r.beatAt = soon
	}
}
