package controller

import (
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
)

// differencesBeforeResend is how many times in a row a peer's registry may differ
// before it is sent the whole: news may still be on their way.
const differencesBeforeResend = 2

// onAnnounced takes announcements from an entry and passes on what is new.
func (c *Controller) onAnnounced(now time.Time, list []registrar.Announcement) {
	changed := c.takeIn(now, list)
	if len(changed) > 0 {
		c.sayNews(c.peerAddresses(), messenger.RegistryUpdate{Announcements: changed})
	}
}

// takeIn stores announcements, tells the entries of changes, and returns them.
func (c *Controller) takeIn(now time.Time, list []registrar.Announcement) []registrar.Announcement {
	var changed []registrar.Announcement
	for _, a := range list {
		a, ok := c.committer.ApplyDeparture(a)
		if !ok {
			continue
		}
		switch c.registry.Announce(now, a) {
		case registrar.OutcomeChanged:
			changed = append(changed, a)
			c.record(recorder.Event{Kind: recorder.KindEndpointStateChanged, Service: a.Service, Endpoint: a.Endpoint, Detail: stateOf(a)})
		case registrar.OutcomeRenewed:
			c.news.Renewals = append(c.news.Renewals, messenger.Renewal{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Load: a.Load})
		}
	}
	c.tellEntries(now, changed, nil)
	return changed
}

func stateOf(a registrar.Announcement) string {
	if a.Deregistered {
		return "gone"
	}
	return string(a.State)
}

// tellInterval is how long entries may wait for news that is not urgent: those that come
// meanwhile travel as one message to each entry.
const tellInterval = 100 * time.Millisecond

// tellEntries passes changes on to the entries, in their order: soon where endpoints come, and
// at once where some leave.
func (c *Controller) tellEntries(now time.Time, changed []registrar.Announcement, removed []registrar.Name) {
	c.untold.Changed = append(c.untold.Changed, changed...)
	c.untold.Removed = append(c.untold.Removed, removed...)
	switch {
	case len(removed) > 0 || slices.ContainsFunc(changed, registrar.Announcement.Leaving):
		c.tellNow()
	case len(changed) > 0 && c.tellAt.IsZero():
		c.tellAt = now.Add(tellInterval)
	}
}

// tellInTime passes on what has waited long enough.
func (c *Controller) tellInTime(now time.Time) {
	if !c.tellAt.IsZero() && !now.Before(c.tellAt) {
		c.tellNow()
	}
}

func (c *Controller) tellNow() {
	news := c.untold
	c.untold = messenger.EndpointUpdate{}
	c.tellAt = time.Time{}
	for _, conn := range c.connections() {
		if c.entries[conn].informed {
			c.do(SendEntry{Conn: conn, Message: news})
		}
	}
}

func (c *Controller) sayNews(addresses []string, news messenger.RegistryUpdate) {
	for _, address := range addresses {
		c.do(SendPeer{Address: address, Message: news})
	}
}

func (c *Controller) onNews(now time.Time, v messenger.RegistryUpdate) {
	pending := c.news.Renewals
	c.takeIn(now, v.Announcements)
	for _, r := range v.Renewals {
		c.renew(now, r)
	}
	c.news.Renewals = pending // news of a peer are not passed on
}

func (c *Controller) renew(now time.Time, r messenger.Renewal) {
	a, ok := c.registry.Find(r.Name)
	if !ok || a.Incarnation != r.Incarnation {
		return
	}
	a.Sequence = r.Sequence
	a.Load = r.Load
	c.registry.Announce(now, a)
}

// store keeps what helps a replica that starts again, when it has changed.
func (c *Controller) store(now time.Time) {
	if now.Before(c.nextStore) {
		return
	}
	c.nextStore = now.Add(storeInterval)
	c.storeCommitted()
	c.storeEndpoints()
}

// storeCommitted keeps how far the state goes: the state includes only what is committed
// and on the own disk.
func (c *Controller) storeCommitted() {
	if c.config.applied == c.storedIndex {
		return
	}
	if p, ok := c.config.replica.Position(c.config.applied); ok {
		c.storedIndex = c.config.applied
		c.do(StoreCommitted{Position: p})
	}
}

func (c *Controller) storeEndpoints() {
	digest := c.registry.Digest()
	if digest == c.storedDigest {
		return
	}
	c.storedDigest = digest
	c.do(StoreEndpoints{Announcements: c.registry.List("")})
}

func (c *Controller) expireEndpoints(now time.Time) {
	expired := c.registry.Expire(now)
	removed := make([]registrar.Name, 0, len(expired))
	for _, a := range expired {
		removed = append(removed, a.Name)
		if !a.Deregistered {
			c.record(recorder.Event{Kind: recorder.KindEndpointExpired, Service: a.Service, Endpoint: a.Endpoint})
		}
	}
	c.tellEntries(now, nil, removed)
}

// compareRegistry sends all endpoints to a replica that has started anew or
// stays different.
func (c *Controller) compareRegistry(p *peer, digest uint64, fresh bool) {
	if digest == c.registry.Digest() {
		p.differs = 0
		return
	}
	p.differs++
	if !fresh && p.differs < differencesBeforeResend {
		return
	}
	p.differs = 0
	c.sayNews([]string{p.member.Address}, messenger.RegistryUpdate{Announcements: c.registry.List("")})
}
