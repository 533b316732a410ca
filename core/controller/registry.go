package controller

import (
	"fmt"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
)

// mismatchesBeforeResend is how many times in a row the registry digest of a peer must differ
// before the peer gets all endpoints. A single mismatch may come from updates that are still in
// transit.
const mismatchesBeforeResend = 2

// announce enters announcements in the registry and forwards the changes to the other replicas.
func (c *Controller) announce(now time.Time, list []registrar.Announcement) {
	changed := c.updateRegistry(now, list)
	if len(changed) > 0 {
		c.sendPeerUpdate(c.peerAddresses(), messenger.RegistryUpdate{Announcements: changed})
	}
}

// updateRegistry enters announcements in the registry, queues the changes for the entries and
// returns them.
func (c *Controller) updateRegistry(now time.Time, list []registrar.Announcement) []registrar.Announcement {
	var changed []registrar.Announcement
	for _, a := range list {
		if !a.Valid() { // the others of the list are used all the same
			c.record(recorder.Event{Kind: recorder.KindAnnouncementInvalid, Service: a.Service, Endpoint: a.Endpoint})
			continue
		}
		a, ok := c.committer.ApplyDeparture(a)
		if !ok {
			continue
		}
		switch c.registry.Announce(now, a) {
		case registrar.OutcomeChanged:
			changed = append(changed, a)
			c.onAnnouncementChanged(a)
		case registrar.OutcomeRenewed:
			c.peerUpdate.Renewals = append(c.peerUpdate.Renewals, messenger.Renewal{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Load: a.Load, Content: a.Content(), WarmUp: a.WarmUp, WarmUpTold: true})
		}
	}
	c.queueEntryUpdate(now, changed, nil)
	return changed
}

// onAnnouncementChanged handles an announcement that has changed the registry.
func (c *Controller) onAnnouncementChanged(a registrar.Announcement) {
	if a.WarmUp <= 0 {
		c.permits.EndWarmUp(a.Name, a.Incarnation)
	}
	c.record(recorder.Event{Kind: recorder.KindEndpointStateChanged, Service: a.Service, Endpoint: a.Endpoint, Detail: stateOf(a)})
}

func stateOf(a registrar.Announcement) string {
	if a.Deregistered {
		return "gone"
	}
	if a.WarmUp > 0 {
		return fmt.Sprintf("%s, in warm-up for %s", a.State, a.WarmUp.Round(time.Millisecond))
	}
	return string(a.State)
}

// entryUpdateInterval is how long updates that are not urgent wait, so that several of them reach
// an entry in one message.
const entryUpdateInterval = 100 * time.Millisecond

// queueEntryUpdate queues changes for the entries, in order. Departures and removals are sent at
// once, since they are urgent; anything else is sent after entryUpdateInterval.
func (c *Controller) queueEntryUpdate(now time.Time, changed []registrar.Announcement, removed []registrar.Name) {
	c.entryUpdate.Changed = append(c.entryUpdate.Changed, changed...)
	c.entryUpdate.Removed = append(c.entryUpdate.Removed, removed...)
	switch {
	case len(removed) > 0 || slices.ContainsFunc(changed, registrar.Announcement.Leaving):
		c.sendEntryUpdate()
	case len(changed) > 0 && c.entryUpdateAt.IsZero():
		c.entryUpdateAt = now.Add(entryUpdateInterval)
	}
}

// sendEntryUpdateIfDue sends the queued changes at entryUpdateAt.
func (c *Controller) sendEntryUpdateIfDue(now time.Time) {
	if !c.entryUpdateAt.IsZero() && !now.Before(c.entryUpdateAt) {
		c.sendEntryUpdate()
	}
}

func (c *Controller) sendEntryUpdate() {
	update := c.entryUpdate
	c.entryUpdate = messenger.EndpointUpdate{}
	c.entryUpdateAt = time.Time{}
	for _, conn := range c.connections() {
		if c.entries[conn].initialised {
			c.emit(SendEntry{Conn: conn, Message: update})
		}
	}
}

func (c *Controller) sendPeerUpdate(addresses []string, update messenger.RegistryUpdate) {
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: update})
	}
}

func (c *Controller) onPeerUpdate(now time.Time, v messenger.RegistryUpdate) {
	pendingRenewals := c.peerUpdate.Renewals
	c.updateRegistry(now, v.Announcements)
	for _, r := range v.Renewals {
		c.renewEndpoint(now, r)
	}
	c.peerUpdate.Renewals = pendingRenewals // updates of a peer are not forwarded
}

// renewEndpoint renews what this replica knows of an endpoint. If the renewal is one of something else, this replica
// has missed a change: it keeps its sequence, so that the change is newer when the registries are compared.
func (c *Controller) renewEndpoint(now time.Time, r messenger.Renewal) {
	a, ok := c.registry.Find(r.Name)
	if !ok || a.Incarnation != r.Incarnation || (r.Content != 0 && r.Content != a.Content()) {
		return
	}
	a.Sequence = r.Sequence
	a.Load = r.Load
	a = c.registry.WithCurrentWarmUp(now, a)
	if r.WarmUpTold {
		a.WarmUp = r.WarmUp
	}
	if c.registry.Announce(now, a) == registrar.OutcomeChanged { // this replica has missed a change of the warm-up
		c.onAnnouncementChanged(a)
		c.queueEntryUpdate(now, []registrar.Announcement{a}, nil)
	}
}

// storeIfDue stores the state that helps this replica to restart, if it has changed.
func (c *Controller) storeIfDue(now time.Time) {
	if now.Before(c.nextStore) {
		return
	}
	c.nextStore = now.Add(storeInterval)
	c.storeCommitted()
	c.storeEndpoints()
}

// storeCommitted stores the applied position of the configuration log. Everything up to it is
// committed and on this replica's own disk.
func (c *Controller) storeCommitted() {
	if c.config.applied == c.storedIndex {
		return
	}
	if p, ok := c.config.replica.Position(c.config.applied); ok {
		c.storedIndex = c.config.applied
		c.emit(StoreCommitted{Position: p})
	}
}

func (c *Controller) storeEndpoints() {
	digest := c.registry.Digest()
	if digest == c.storedDigest {
		return
	}
	c.storedDigest = digest
	c.emit(StoreEndpoints{Announcements: c.registry.List("")})
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
	c.queueEntryUpdate(now, nil, removed)
}

// compareRegistry sends all endpoints to a peer that has restarted or whose registry stays
// different.
func (c *Controller) compareRegistry(now time.Time, p *peerState, digest uint64, restarted bool) {
	if digest == c.registry.Digest() {
		p.digestMismatches = 0
		return
	}
	p.digestMismatches++
	if !restarted && p.digestMismatches < mismatchesBeforeResend {
		return
	}
	p.digestMismatches = 0
	c.sendPeerUpdate([]string{p.member.Address}, messenger.RegistryUpdate{Announcements: c.registry.CurrentWarmUps(now, c.registry.All(""))})
}
