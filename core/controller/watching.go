package controller

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

const microsPerMilli = 1000

// heldShare is this replica's own share of a service's budget.
type heldShare struct {
	share allotter.Share
	until time.Time
}

func budgetOf(s validator.Service) allotter.Share {
	return allotter.Share{
		ProbeMicros: int64(s.ProbeMsPerSecond) * microsPerMilli,
		ProbeBytes:  int64(s.ProbeBytesPerSecond),
	}
}

// mayAllot reports whether this replica divides the budgets: as a leader that
// hears a majority, and after every share of leaders before it has expired.
func (c *Controller) mayAllot(now time.Time) bool {
	if !c.leads() || !c.hearsMajority(now) {
		return false
	}
	return now.Sub(c.config.replica.ElectedAt()) > allotter.ShareLifetime+QuorumWindow
}

// askShares asks the leader for this replica's shares, for all its entries.
func (c *Controller) askShares(now time.Time) {
	if now.Before(c.nextShare) {
		return
	}
	c.nextShare = now.Add(shareInterval)
	request := messenger.ShareRequest{Sent: now.Sub(c.started), From: c.self.Name, Run: c.run, Entries: len(c.connections())}
	if request.Entries == 0 {
		return
	}
	if c.leads() {
		c.keepShares(now, c.allot(now, c.self.Name, request.Entries))
		return
	}
	if m, ok := c.config.replica.Members().Find(c.config.replica.Leader()); ok {
		c.do(SendPeer{Address: m.Address, Message: request})
	}
}

// allot gives a replica its shares of all budgets.
func (c *Controller) allot(now time.Time, name string, entries int) []messenger.ServiceShare {
	if !c.mayAllot(now) {
		return nil
	}
	var shares []messenger.ServiceShare
	for _, s := range c.committer.Document().Services {
		a, ok := c.budgets[s.Name]
		if !ok {
			a = allotter.New()
			c.budgets[s.Name] = a
		}
		share := a.Grant(now, name, entries, budgetOf(s), now.Add(allotter.ShareLifetime))
		shares = append(shares, messenger.ServiceShare{Service: s.Name, Share: share, Life: allotter.ShareLifetime})
	}
	return shares
}

func (c *Controller) onShareRequest(now time.Time, v messenger.ShareRequest) {
	p, ok := c.presence[v.From]
	if !ok {
		return
	}
	if shares := c.allot(now, v.From, v.Entries); len(shares) > 0 {
		c.do(SendPeer{Address: p.member.Address, Message: messenger.ShareReply{Sent: v.Sent, Run: v.Run, Shares: shares}})
	}
}

func (c *Controller) onShareReply(v messenger.ShareReply) {
	if v.Run == c.run {
		c.keepShares(c.started.Add(v.Sent), v.Shares)
	}
}

func (c *Controller) keepShares(sent time.Time, shares []messenger.ServiceShare) {
	for _, s := range shares {
		c.shares[s.Service] = heldShare{share: s.Share, until: sent.Add(s.Life)}
	}
}

// entryShares divides this replica's shares among its entries, once those that a
// former process of this replica gave away have expired.
func (c *Controller) entryShares(now time.Time, name string) []messenger.ServiceShare {
	if now.Sub(c.started) < allotter.ShareLifetime {
		return nil
	}
	var shares []messenger.ServiceShare
	for _, s := range c.committer.Document().Services {
		held, ok := c.shares[s.Name]
		if !ok || !now.Before(held.until) {
			continue
		}
		a, ok := c.subShares[s.Name]
		if !ok {
			a = allotter.New()
			c.subShares[s.Name] = a
		}
		share := a.Grant(now, name, 1, held.share, held.until)
		shares = append(shares, messenger.ServiceShare{Service: s.Name, Share: share, Life: held.until.Sub(now)})
	}
	return shares
}
