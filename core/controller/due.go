package controller

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/scheduler"
)

// unsettledInterval is the tick interval while the replica waits for others: for replicas that
// join or leave, and for changes that are not in effect yet.
const unsettledInterval = 50 * time.Millisecond

// Due returns when the controller needs its next Tick. The result changes only through Handle.
func (c *Controller) Due() time.Time {
	due := scheduler.Earliest(
		c.config.replica.Due(), c.claims.replica.Due(),
		c.nextPresence, c.nextShareRequest, c.nextStore, c.nextEntryExpiry, c.nextClaimDeadline(), c.entryUpdateAt, c.limitsDue(), c.admissionDue(),
	)
	if !c.lastInput.IsZero() {
		due = scheduler.Earliest(due, c.lastInput.Add(aliveInterval))
	}
	if c.pushPending {
		due = scheduler.Earliest(due, c.nextPush)
	}
	if c.claims.replica.Role() == replicator.RoleLeader {
		due = scheduler.Earliest(due, c.nextClockAdvance)
	}
	if at := c.config.replica.LastQuorumContact(); !c.lagging && !at.IsZero() {
		due = scheduler.Earliest(due, at.Add(QuorumTimeout+1))
	}
	for _, r := range c.pendingReads {
		due = scheduler.Earliest(due, r.deadline)
	}
	if c.hasUnsettledWork() {
		due = scheduler.Earliest(due, c.lastTick.Add(unsettledInterval))
	}
	return due
}

// hasUnsettledWork reports whether the replica waits for entries or other replicas.
func (c *Controller) hasUnsettledWork() bool {
	if len(c.pendingApplies) > 0 || len(c.pendingEvacuations) > 0 || len(c.pendingDepartures) > 0 || !c.bootstrapped() || c.lagging != c.config.replica.LastQuorumContact().IsZero() {
		return true
	}
	if c.revisionInEffect < c.committer.Revision() {
		return true
	}
	for _, id := range messenger.Groups {
		if c.needsMemberChange(c.group(id)) {
			return true
		}
	}
	return false
}

// needsMemberChange reports whether this replica leads the group and has members to add, update
// or remove.
func (c *Controller) needsMemberChange(g *group) bool {
	if g.replica.Role() != replicator.RoleLeader {
		return false
	}
	members := g.replica.Members()
	if c.targetVoters > 0 && members.Voters() > c.targetVoters {
		return true
	}
	for _, m := range members {
		if !m.Voter {
			return true
		}
	}
	for _, p := range c.peerStates {
		if m, ok := members.Find(p.member.ID); !p.isSilent(c.lastTick) && (!ok || m.Address != p.member.Address) {
			return true
		}
	}
	return false
}
