package controller

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

const microsPerMilli = 1000

// heldShare is the share of a service's probe budget that this replica holds.
type heldShare struct {
	share     allotter.Share
	expiresAt time.Time
}

func budgetOf(s validator.Service) allotter.Share {
	return allotter.Share{
		ProbeMicros: int64(s.ProbeMsPerSecond) * microsPerMilli,
		ProbeBytes:  int64(s.ProbeBytesPerSecond),
	}
}

// mayAllocateShares reports whether this replica may divide the budgets: it is a leader in
// contact with a quorum, and all shares that earlier leaders granted have expired.
func (c *Controller) mayAllocateShares(now time.Time) bool {
	if !c.isLeader() || !c.inContactWithQuorum(now) {
		return false
	}
	return now.Sub(c.config.replica.ElectedAt()) > allotter.ShareLifetime+QuorumTimeout
}

// requestShares requests this replica's shares from the leader, on behalf of all its entries.
func (c *Controller) requestShares(now time.Time) {
	if now.Before(c.nextShareRequest) {
		return
	}
	c.nextShareRequest = now.Add(shareRequestInterval)
	request := messenger.ShareRequest{Sent: now.Sub(c.startedAt), From: c.self.Name, Run: c.incarnation, Entries: len(c.connections())}
	if request.Entries == 0 {
		return
	}
	if c.isLeader() {
		c.storeShares(now, c.allocateShares(now, c.self.Name, request.Entries))
		return
	}
	if m, ok := c.config.replica.Members().Find(c.config.replica.Leader()); ok {
		c.emit(SendPeer{Address: m.Address, Message: request})
	}
}

// allocateShares grants a replica its shares of all budgets.
func (c *Controller) allocateShares(now time.Time, name string, entries int) []messenger.ServiceShare {
	if !c.mayAllocateShares(now) {
		return nil
	}
	var shares []messenger.ServiceShare
	for _, s := range c.committer.Document().Services {
		a, ok := c.replicaAllotters[s.Name]
		if !ok {
			a = allotter.New()
			c.replicaAllotters[s.Name] = a
		}
		share := a.Grant(now, name, entries, budgetOf(s), now.Add(allotter.ShareLifetime))
		shares = append(shares, messenger.ServiceShare{Service: s.Name, Share: share, Life: allotter.ShareLifetime})
	}
	return shares
}

func (c *Controller) onShareRequest(now time.Time, v messenger.ShareRequest) {
	p, ok := c.peerStates[v.From]
	if !ok {
		return
	}
	p.entries = v.Entries
	if !c.isLeader() || !c.inContactWithQuorum(now) {
		return
	}
	shares := c.allocateShares(now, v.From, v.Entries)
	c.emit(SendPeer{Address: p.member.Address, Message: messenger.ShareReply{Sent: v.Sent, Run: v.Run, Entries: c.knownEntries(now), Shares: shares}})
}

func (c *Controller) onShareReply(v messenger.ShareReply) {
	sent := c.startedAt.Add(v.Sent)
	if v.Run == c.incarnation && !sent.Before(c.stoodStillAt) {
		c.reportedEntries = v.Entries
		c.storeShares(sent, v.Shares)
	}
}

func (c *Controller) storeShares(sent time.Time, shares []messenger.ServiceShare) {
	for _, s := range shares {
		c.shares[s.Service] = heldShare{share: s.Share, expiresAt: sent.Add(s.Life)}
	}
}

// entryShares grants an entry its part of this replica's shares, once all that an earlier process
// of this replica granted has expired.
func (c *Controller) entryShares(now time.Time, name string) []messenger.ServiceShare {
	if now.Sub(c.startedAt) < allotter.ShareLifetime {
		return nil
	}
	var shares []messenger.ServiceShare
	for _, s := range c.committer.Document().Services {
		held, ok := c.shares[s.Name]
		if !ok || !now.Before(held.expiresAt) {
			continue
		}
		a, ok := c.entryAllotters[s.Name]
		if !ok {
			a = allotter.New()
			c.entryAllotters[s.Name] = a
		}
		share := a.Grant(now, name, 1, held.share, held.expiresAt)
		shares = append(shares, messenger.ServiceShare{Service: s.Name, Share: share, Life: held.expiresAt.Sub(now)})
	}
	return shares
}
