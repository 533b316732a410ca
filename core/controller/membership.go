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

// peerState is what another replica last said of itself.
type peerState struct {
	member       replicator.Member
	incarnation  uint64
	bootstrapped bool
	lastContact  time.Time
	// digestMismatches counts the presences in a row whose registry is not like ours.
	digestMismatches int
}

// isSilent reports whether the replica may not be there any more.
func (p *peerState) isSilent(now time.Time) bool {
	return now.Sub(p.lastContact) > replicator.DefaultElectionMax+presenceInterval
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

// bootstrapped reports whether this replica belongs to a group already.
func (c *Controller) bootstrapped() bool { return len(c.config.replica.Members()) > 0 }

// bootstrap creates the groups where there is no doubt that none exists: alone, or as
// the first by name when every other replica says that its disk is empty too.
func (c *Controller) bootstrap(now time.Time) {
	if c.bootstrapped() || !c.mayBootstrap() {
		return
	}
	for _, id := range messenger.Groups {
		stored := replicator.Bootstrap(c.self)
		if err := c.startGroup(now, id, stored); err != nil {
			panic(err) // an empty snapshot always restores
		}
		c.emit(Bootstrap{Group: id, Stored: stored})
	}
	c.record(recorder.Event{Kind: recorder.KindMembership, Detail: "founded by " + c.self.Name})
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
	message := messenger.Presence{Member: c.self, Run: c.incarnation, Founded: c.bootstrapped(), Registry: c.registry.Digest()}
	if c.isLeader() {
		message.InForce = c.revisionInEffect
	}
	addresses := c.peerAddresses()
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: message})
	}
	if len(c.peerUpdate.Renewals) > 0 {
		c.sendPeerUpdate(addresses, messenger.EndpointNews{Renewals: c.peerUpdate.Renewals})
		c.peerUpdate.Renewals = nil
	}
}

// peerAddresses lists where other replicas may be, each once.
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
	case messenger.Replicated:
		c.group(v.Group).replica.Receive(now, v.Envelope)
		c.updateRevisionInEffect(now)
	case messenger.Presence:
		c.onPresence(now, v)
	case messenger.EndpointNews:
		c.onPeerUpdate(now, v)
	case messenger.ShareRequest:
		c.onShareRequest(now, v)
	case messenger.ShareReply:
		c.onShareReply(v)
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
	p.bootstrapped = v.Founded
	p.lastContact = now
	c.revisionInEffect = max(c.revisionInEffect, min(v.InForce, c.committer.Revision()))
	c.replyToApplies(now)
	if v.Relayed {
		return // it speaks to others, and is compared with them
	}
	c.relayPresence(v)
	c.compareRegistry(p, v.Registry, restarted)
}

// relayPresence tells the leaders of a replica that is no member and may not know
// them: it knows only the replicas of its settings.
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

// updateMembership takes in the replicas that are there, as fast as one change of
// membership at a time allows.
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

// voterReplacementDelay is how long a voter must have been silent before another place takes
// over from it: longer than a restart, a freeze or a cut lasts as a rule.
const voterReplacementDelay = 3 * time.Second

// removeSilentMember lets the member go that has been silent for longest: a voter where there are more
// than there should be, and one without a vote where there are enough voters.
func (c *Controller) removeSilentMember(now time.Time, g *group) {
	members := g.replica.Members()
	if c.voters == 0 || g.replica.Role() != replicator.RoleLeader || members.Voters() < c.voters {
		return
	}
	surplus := members.Voters() > c.voters
	var silent replicator.Member
	lastContact := now.Add(-voterReplacementDelay)
	for _, m := range members {
		if _, heard := g.replica.Report(m.ID); m.ID != c.self.ID && m.Voter == surplus && heard.Before(lastContact) {
			silent = m
			lastContact = heard
		}
	}
	if silent.ID != "" {
		c.changeMembers(now, g, members.Without(silent.ID))
	}
}

// admitPeer takes a replica into a group, one step at a time: the former disk of the
// same name leaves, the new one joins without a vote, and votes once it has all.
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
		c.changeMembers(now, g, members.With(p.member.WithoutVote()))
		return
	}
	if _, heard := g.replica.Report(previous.ID); now.Sub(heard) > replicator.DefaultElectionMax {
		c.changeMembers(now, g, members.Without(previous.ID))
	}
}

// updateMember gives a member that has caught up its vote, or its new address.
func (c *Controller) updateMember(now time.Time, g *group, m replicator.Member, address string) {
	next := m
	next.Address = address
	next.Voter = m.Voter || g.replica.Match(m.ID) >= g.replica.Commit()
	if next != m {
		c.changeMembers(now, g, g.replica.Members().With(next))
	}
}

func (c *Controller) changeMembers(now time.Time, g *group, next replicator.Membership) {
	if err := g.replica.ChangeMembers(now, next); err == nil {
		c.record(recorder.Event{Kind: recorder.KindMembership, Detail: g.id.String() + " to " + describeMembers(next)})
	}
}
