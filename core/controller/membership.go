package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// peerState is the latest reported state of another replica.
type peerState struct {
	member       replicator.Member
	incarnation  uint64
	bootstrapped bool
	lastContact  time.Time
	// digestMismatches counts the presence messages in a row whose registry digest differed from
	// that of this replica.
	digestMismatches int
	// entries is the number of entries that are connected to the replica.
	entries int
}

// isSilent reports whether the replica may have stopped.
func (p *peerState) isSilent(now time.Time) bool {
	return now.Sub(p.lastContact) > replicator.DefaultMaxElectionTimeout+presenceInterval
}

func describeMembers(members replicator.Membership) string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		name := m.Name
		if !m.Voter {
			name += " (no vote yet)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// bootstrapped reports whether this replica has members and so belongs to a system.
func (c *Controller) bootstrapped() bool { return len(c.config.replica.Members()) > 0 }

// bootstrap creates the groups where none can exist yet: on a replica that is alone, or on the
// first one by name once every other one has reported that it has no stored state either.
func (c *Controller) bootstrap(now time.Time) {
	if c.bootstrapped() || !c.mayBootstrap() {
		return
	}
	for _, id := range messenger.Groups {
		stored := replicator.Bootstrap(c.self)
		if err := c.startGroup(now, id, stored); err != nil {
			panic(err) // can't happen: an empty snapshot can always be restored
		}
		c.emit(BootstrapGroup{Group: id, Stored: stored})
	}
	c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: "founded by " + c.self.Name})
}

func (c *Controller) mayBootstrap() bool {
	self := len(c.peers) == 0
	for _, p := range c.peers {
		if p.Name == c.self.Name {
			self = true
			continue
		}
		if p.Name < c.self.Name {
			return false
		}
		known, ok := c.peerStates[p.Name]
		if !ok || known.bootstrapped {
			return false
		}
	}
	return self && !c.joinOnly
}

func (c *Controller) sendPresence(now time.Time) {
	if now.Before(c.nextPresence) {
		return
	}
	c.nextPresence = now.Add(presenceInterval)
	c.expireEndpoints(now)
	message := messenger.Presence{Member: c.self, Run: c.incarnation, Bootstrapped: c.bootstrapped(), RegistryDigest: c.registry.Digest()}
	if c.isLeader() {
		message.RevisionInEffect = c.revisionInEffect
	}
	addresses := c.peerAddresses()
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: message})
	}
	if len(c.peerUpdate.Renewals) > 0 {
		c.sendPeerUpdate(addresses, messenger.RegistryUpdate{Renewals: c.peerUpdate.Renewals})
		c.peerUpdate.Renewals = nil
	}
}

// peerAddresses returns the distinct addresses of the other replicas.
func (c *Controller) peerAddresses() []string {
	seen := map[string]bool{c.self.Address: true, "": true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, p := range c.peers {
		add(p.Address)
	}
	for _, m := range c.config.replica.Members() {
		add(m.Address)
	}
	return addresses
}

func (c *Controller) onPeer(now time.Time, m messenger.ToPeer) {
	switch v := m.(type) {
	case messenger.ReplicationMessage:
		if err := v.Envelope.Check(); err != nil {
			c.record(recorder.Event{Kind: recorder.KindMessageInvalid, Detail: err.Error()})
			return
		}
		c.group(v.Group).replica.Receive(now, v.Envelope)
		c.updateRevisionInEffect(now)
	case messenger.Presence:
		c.onPresence(now, v)
	case messenger.RegistryUpdate:
		c.onPeerUpdate(now, v)
	case messenger.ShareRequest:
		c.onShareRequest(now, v)
	case messenger.ShareReply:
		c.onShareReply(v)
	case messenger.RelayedPermitRequest:
		c.onRelayedPermitRequest(now, v)
	case messenger.RelayedPermitReply:
		c.onRelayedPermitReply(v)
	case messenger.LimitUpdate:
		c.onLimitUpdate(now, v)
	case messenger.RelayedUsage:
		c.onRelayedUsage(now, v)
	case messenger.AdmissionUpdate:
		c.onAdmissionUpdate(now, v)
	}
}

func (c *Controller) onPresence(now time.Time, v messenger.Presence) {
	p, ok := c.peerStates[v.Member.Name]
	if !ok {
		p = &peerState{}
		c.peerStates[v.Member.Name] = p
	}
	restarted := p.incarnation != v.Run
	p.member = v.Member
	p.incarnation = v.Run
	p.bootstrapped = v.Bootstrapped
	p.lastContact = now
	c.revisionInEffect = max(c.revisionInEffect, min(v.RevisionInEffect, c.committer.Revision()))
	c.replyToApplies(now)
	if v.Relayed {
		return // it was meant for the leaders; its digest is compared by the replicas that got it directly
	}
	c.relayPresence(v)
	c.compareRegistry(now, p, v.RegistryDigest, restarted)
}

// relayPresence forwards a presence message to the leaders if its sender is not a member: the
// sender knows only the replicas in its settings, and the leaders may not be among them.
func (c *Controller) relayPresence(v messenger.Presence) {
	v.Relayed = true
	for _, id := range messenger.Groups {
		g := c.group(id)
		members := g.replica.Members()
		if _, ok := members.Find(v.Member.ID); ok {
			continue
		}
		if leader, ok := members.Find(g.replica.Leader()); ok && leader.ID != c.self.ID {
			c.emit(SendPeer{Address: leader.Address, Message: v})
		}
	}
}

// updateMembership admits the replicas that are present and removes silent ones. Each group
// allows one membership change at a time.
func (c *Controller) updateMembership(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.peerStates)) {
		p := c.peerStates[name]
		if p.isSilent(now) {
			continue
		}
		for _, id := range messenger.Groups {
			c.admitPeer(now, c.group(id), p)
		}
	}
	for _, id := range messenger.Groups {
		c.removeSilentMember(now, c.group(id))
	}
}

// voterReplacementDelay is how long a voter must have been silent before a replica at another
// address replaces it. It is longer than most restarts, process pauses and network partitions.
const voterReplacementDelay = 3 * time.Second

// removeSilentMember removes the member that has been silent for longest, if that is longer than
// voterReplacementDelay: a voter if there are too many voters, and a member without a vote if
// there are exactly enough.
func (c *Controller) removeSilentMember(now time.Time, g *group) {
	members := g.replica.Members()
	if c.targetVoters == 0 || g.replica.Role() != replicator.RoleLeader || members.Voters() < c.targetVoters {
		return
	}
	surplus := members.Voters() > c.targetVoters
	var longestSilent replicator.Member
	lastContact := now.Add(-voterReplacementDelay)
	for _, m := range members {
		if _, contact := g.replica.Report(m.ID); m.ID != c.self.ID && m.Voter == surplus && contact.Before(lastContact) {
			longestSilent = m
			lastContact = contact
		}
	}
	if longestSilent.ID != "" {
		c.changeMembers(now, g, members.Without(longestSilent.ID))
	}
}

// admitPeer adds a replica to a group in steps: it first removes a silent member that has the
// same name but an earlier disk, then adds the replica without a vote, and gives it a vote once
// it has caught up.
func (c *Controller) admitPeer(now time.Time, g *group, p *peerState) {
	if g.replica.Role() != replicator.RoleLeader {
		return
	}
	members := g.replica.Members()
	if m, ok := members.Find(p.member.ID); ok {
		c.updateMember(now, g, m, p.member.Address)
		return
	}
	previous, ok := members.Named(p.member.Name)
	if !ok {
		c.changeMembers(now, g, members.With(p.member.AsNonVoter()))
		return
	}
	if _, contact := g.replica.Report(previous.ID); now.Sub(contact) > replicator.DefaultMaxElectionTimeout {
		c.changeMembers(now, g, members.Without(previous.ID))
	}
}

// updateMember gives a vote to a member that has caught up, and updates its address.
func (c *Controller) updateMember(now time.Time, g *group, m replicator.Member, address string) {
	next := m
	next.Address = address
	next.Voter = m.Voter || g.replica.MatchIndex(m.ID) >= g.replica.Commit()
	if next != m {
		c.changeMembers(now, g, g.replica.Members().With(next))
	}
}

func (c *Controller) changeMembers(now time.Time, g *group, next replicator.Membership) {
	if err := g.replica.ChangeMembers(now, next); err == nil {
		c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: g.id.String() + " to " + describeMembers(next)})
	}
}
