package replicator

import "time"

// readConfirmInterval is the minimum time between two rounds of heartbeats that confirm reads.
// Reads that start in between are confirmed together.
const readConfirmInterval = 25 * time.Millisecond

// earlyBroadcastDivisor lets a Tick that was called for another reason send heartbeats early,
// once heartbeatInterval/earlyBroadcastDivisor has passed since the last ones. The heartbeats
// of several groups then coincide and share one message.
const earlyBroadcastDivisor = 2

// Due returns when Tick must be called next, or zero if only an input can create work.
func (r *Replica) Due() time.Time {
	if r.role == RoleLeader {
		return r.leaderDue()
	}
	if !r.members.votes(r.id) {
		return time.Time{}
	}
	return r.nextElection
}

func (r *Replica) leaderDue() time.Time {
	due := r.electedAt
	if r.lastQuorumContact.After(due) {
		due = r.lastQuorumContact
	}
	due = due.Add(r.minElectionTimeout + 1)
	if r.transferTo != "" && r.transferDeadline.Before(due) {
		due = r.transferDeadline.Add(1)
	}
	if r.nextHeartbeat.Before(due) {
		due = r.nextHeartbeat
	}
	return due
}

// scheduleReadConfirmation brings the next heartbeats forward to the earliest time that
// readConfirmInterval allows.
func (r *Replica) scheduleReadConfirmation() {
	if earliest := r.lastBroadcast.Add(readConfirmInterval); earliest.Before(r.nextHeartbeat) {
		r.nextHeartbeat = earliest
	}
}
