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

// peer is what another replica last said of itself.
type peer struct {
	member  replicator.Member
	run     uint64
	founded bool
	heard   time.Time
	// differs counts the presences in a row whose registry is not like ours.
	differs int
}

// isSilent reports whether the replica may not be there any more.
func (p *peer) isSilent(now time.Time) bool {
	return now.Sub(p.heard) > replicator.DefaultMaxElectionTimeout+presenceInterval
}

func describe(members replicator.Membership) string {
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

// founded reports whether this replica belongs to a group already.
func (c *Controller) founded() bool { return len(c.config.replica.Members()) > 0 }

// found creates the groups where there is no doubt that none exists: alone, or as
// the first by name when every other replica says that its disk is empty too.
func (c *Controller) found(now time.Time) {
	if c.founded() || !c.mayFound() {
		return
	}
	for _, id := range messenger.Groups {
		stored := replicator.Bootstrap(c.self)
		if err := c.startGroup(now, id, stored); err != nil {
			panic(err) // an empty snapshot always restores
		}
		c.do(BootstrapGroup{Group: id, Stored: stored})
	}
	c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: "founded by " + c.self.Name})
}

func (c *Controller) mayFound() bool {
	self := len(c.peers) == 0
	for _, p := range c.peers {
		if p.Name == c.self.Name {
			self = true
			continue
		}
		if p.Name < c.self.Name {
			return false
		}
		known, ok := c.presence[p.Name]
		if !ok || known.founded {
			return false
		}
	}
	return self && !c.joins
}

func (c *Controller) sayPresence(now time.Time) {
	if now.Before(c.nextBeat) {
		return
	}
	c.nextBeat = now.Add(presenceInterval)
	c.expireEndpoints(now)
	message := messenger.Presence{Member: c.self, Run: c.run, Bootstrapped: c.founded(), RegistryDigest: c.registry.Digest()}
	if c.leads() {
		message.RevisionInEffect = c.inForce
	}
	addresses := c.peerAddresses()
	for _, address := range addresses {
		c.do(SendPeer{Address: address, Message: message})
	}
	if len(c.news.Renewals) > 0 {
		c.sayNews(addresses, messenger.RegistryUpdate{Renewals: c.news.Renewals})
		c.news.Renewals = nil
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
	case messenger.ReplicationMessage:
		c.group(v.Group).replica.Receive(now, v.Envelope)
		c.updateInForce(now)
	case messenger.Presence:
		c.onPresence(now, v)
	case messenger.RegistryUpdate:
		c.onNews(now, v)
	case messenger.ShareRequest:
		c.onShareRequest(now, v)
	case messenger.ShareReply:
		c.onShareReply(v)
	}
}

func (c *Controller) onPresence(now time.Time, v messenger.Presence) {
	p, ok := c.presence[v.Member.Name]
	if !ok {
		p = &peer{}
		c.presence[v.Member.Name] = p
	}
	fresh := p.run != v.Run
	p.member = v.Member
	p.run = v.Run
	p.founded = v.Bootstrapped
	p.heard = now
	c.inForce = max(c.inForce, min(v.RevisionInEffect, c.committer.Revision()))
	c.answerApplies(now)
	if v.Relayed {
		return // it speaks to others, and is compared with them
	}
	c.relayPresence(v)
	c.compareRegistry(p, v.RegistryDigest, fresh)
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
			c.do(SendPeer{Address: leader.Address, Message: v})
		}
	}
}

// admitPeers takes in the replicas that are there, as fast as one change of
// membership at a time allows.
func (c *Controller) admitPeers(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.presence)) {
		p := c.presence[name]
		if p.isSilent(now) {
			continue
		}
		for _, id := range messenger.Groups {
			c.admit(now, c.group(id), p)
		}
	}
	for _, id := range messenger.Groups {
		c.dismiss(now, c.group(id))
	}
}

// departedAfter is how long a voter must have been silent before another place takes
// over from it: longer than a restart, a freeze or a cut lasts as a rule.
const departedAfter = 3 * time.Second

// dismiss lets the member go that has been silent for longest: a voter where there are more
// than there should be, and one without a vote where there are enough voters.
func (c *Controller) dismiss(now time.Time, g *group) {
	members := g.replica.Members()
	if c.size == 0 || g.replica.Role() != replicator.RoleLeader || members.Voters() < c.size {
		return
	}
	spare := members.Voters() > c.size
	var silent replicator.Member
	oldest := now.Add(-departedAfter)
	for _, m := range members {
		if _, heard := g.replica.Report(m.ID); m.ID != c.self.ID && m.Voter == spare && heard.Before(oldest) {
			silent = m
			oldest = heard
		}
	}
	if silent.ID != "" {
		c.change(now, g, members.Without(silent.ID))
	}
}

// admit takes a replica into a group, one step at a time: the former disk of the
// same name leaves, the new one joins without a vote, and votes once it has all.
func (c *Controller) admit(now time.Time, g *group, p *peer) {
	if g.replica.Role() != replicator.RoleLeader {
		return
	}
	members := g.replica.Members()
	if m, ok := members.Find(p.member.ID); ok {
		c.promote(now, g, m, p.member.Address)
		return
	}
	former, ok := members.Named(p.member.Name)
	if !ok {
		c.change(now, g, members.With(p.member.AsNonVoter()))
		return
	}
	if _, heard := g.replica.Report(former.ID); now.Sub(heard) > replicator.DefaultMaxElectionTimeout {
		c.change(now, g, members.Without(former.ID))
	}
}

// promote gives a member that has caught up its vote, or its new address.
func (c *Controller) promote(now time.Time, g *group, m replicator.Member, address string) {
	next := m
	next.Address = address
	next.Voter = m.Voter || g.replica.MatchIndex(m.ID) >= g.replica.Commit()
	if next != m {
		c.change(now, g, g.replica.Members().With(next))
	}
}

func (c *Controller) change(now time.Time, g *group, next replicator.Membership) {
	if err := g.replica.ChangeMembers(now, next); err == nil {
		c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: g.id.String() + " to " + describe(next)})
	}
}
