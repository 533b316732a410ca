package controller

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/scheduler"
)

// unsettledInterval is how often time passes while the replica waits for what others do:
// replicas that join or leave, and changes that are not in force yet.
const unsettledInterval = 50 * time.Millisecond

// Due returns when the controller wants a Tick next. It changes only with Handle.
func (c *Controller) Due() time.Time {
	due := scheduler.Earliest(
		c.config.replica.Due(), c.claims.replica.Due(),
		c.nextBeat, c.nextShare, c.nextStore, c.lostUntil, c.claimDue(), c.tellAt,
	)
	if c.pushDue {
		due = scheduler.Earliest(due, c.nextPush)
	}
	if c.claims.replica.Role() == replicator.RoleLeader {
		due = scheduler.Earliest(due, c.nextAdvance)
	}
	if at := c.config.replica.LastQuorumContact(); !c.lagging && !at.IsZero() {
		due = scheduler.Earliest(due, at.Add(QuorumWindow+1))
	}
	for _, r := range c.reads {
		due = scheduler.Earliest(due, r.until)
	}
	if c.unsettled() {
		due = scheduler.Earliest(due, c.tickedAt.Add(unsettledInterval))
	}
	return due
}

// unsettled reports whether the replica waits for others.
func (c *Controller) unsettled() bool {
	if len(c.applies) > 0 || len(c.departures) > 0 || !c.founded() || c.lagging != c.config.replica.LastQuorumContact().IsZero() {
		return true
	}
	if c.inForce < c.committer.Revision() {
		return true
	}
	for _, id := range messenger.Groups {
		if c.changesMembers(c.group(id)) {
			return true
		}
	}
	return false
}

// changesMembers reports whether, as leader of a group, this replica is to take others in or
// let them go.
func (c *Controller) changesMembers(g *group) bool {
	if g.replica.Role() != replicator.RoleLeader {
		return false
	}
	members := g.replica.Members()
	if c.size > 0 && members.Voters() > c.size {
		return true
	}
	for _, m := range members {
		if !m.Voter {
			return true
		}
	}
	for _, p := range c.presence {
		if m, ok := members.Find(p.member.ID); !p.isSilent(c.tickedAt) && (!ok || m.Address != p.member.Address) {
			return true
		}
	}
	return false
}
