package controller

import (
	"cmp"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/scheduler"
)

type replicatorRead = replicator.Read

// entry is an entry process that is connected to this replica, or one that has disconnected and
// may still hold a configuration lease.
type entry struct {
	hello messenger.Hello
	// revision is the revision that the entry reports as applied.
	revision uint64
	// initialised is set once the entry has been sent the state of this replica. From then on it
	// is sent changes.
	initialised bool
	// sentRevision is the latest revision that the entry was sent or is known to have.
	sentRevision uint64
	// confirmed is set once a confirmed read has shown that the state sent to the entry is not
	// out of date. It implies initialised.
	confirmed bool
	// configLeaseUntil is when the entry's configuration lease has certainly expired, unless it
	// is renewed.
	configLeaseUntil time.Time
	// heardAt is when the entry connected or sent its last heartbeat.
	heardAt      time.Time
	leaving      []messenger.Leaving
	disconnected bool
}

func (c *Controller) onEntry(now time.Time, conn Conn, m messenger.ToControl) {
	if v, ok := m.(messenger.Hello); ok {
		c.entries[conn] = &entry{hello: v, revision: v.Revision, heardAt: now}
		c.admission.noteJoined(now)
		c.record(recorder.Event{Kind: recorder.KindEntryJoined, Detail: v.Entry})
		c.onHello(now, conn, v)
		c.startEntryRead(now, conn)
		return
	}
	e, ok := c.entries[conn]
	if !ok || e.disconnected {
		return
	}
	switch v := m.(type) {
	case messenger.Heartbeat:
		c.onHeartbeat(now, conn, e, v)
	case messenger.EndpointAnnouncements:
		c.announce(now, v.Announcements)
	case messenger.ClaimRequest:
		c.onClaiming(now, conn, v)
	case messenger.PermitRequest:
		c.onPermitRequest(now, conn, e, v)
	case messenger.UsageReport:
		c.onUsageReport(now, v)
	}
}

// onHello sends the stored state to an entry that has no configuration, if a cold start is
// allowed. Otherwise, if this replica is not in contact with a quorum, it directs the entry to
// other replicas. An entry that was sent the state stays: when all processes start at once, this
// replica is in contact with a quorum shortly afterwards, and fetching the same state from
// another replica would cost both sides more than the wait.
func (c *Controller) onHello(now time.Time, conn Conn, hello messenger.Hello) {
	switch {
	case c.mayColdStart(now, hello):
		c.sendState(now, conn)
	case !c.inContactWithQuorum(now):
		c.emit(SendEntry{Conn: conn, Message: messenger.Lagging{}})
	}
}

// mayColdStart reports whether an entry may start with the stored state. This is allowed only
// within coldStartWindow, and until the process is first in contact with a quorum: a replica that
// has lost its quorum may be far behind.
func (c *Controller) mayColdStart(now time.Time, hello messenger.Hello) bool {
	return c.allowColdStart && !c.hadQuorumContact && hello.Revision == 0 && c.committer.Revision() > 0 && now.Sub(c.startedAt) <= coldStartWindow
}

// updateLagging directs entries to other replicas when this one loses contact with the quorum.
// Entries that were sent the stored state stay until the process has had its first contact with a
// quorum (see onHello).
func (c *Controller) updateLagging(now time.Time) {
	lagging := !c.inContactWithQuorum(now)
	c.hadQuorumContact = c.hadQuorumContact || !lagging
	if lagging == c.lagging {
		return
	}
	c.lagging = lagging
	if !lagging {
		return
	}
	for _, conn := range c.connections() {
		if c.hadQuorumContact || !c.entries[conn].initialised {
			c.emit(SendEntry{Conn: conn, Message: messenger.Lagging{}})
		}
	}
}

// startEntryRead starts a confirmed read for an entry that is still connected. It is repeated
// until a quorum confirms it.
func (c *Controller) startEntryRead(now time.Time, conn Conn) {
	if e, ok := c.entries[conn]; ok && !e.disconnected && !e.confirmed {
		c.startRead(now, pendingRead{conn: conn})
	}
}

// confirmEntry marks the state of an entry as confirmed, and sends it unless the entry already
// has it.
func (c *Controller) confirmEntry(now time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok || e.disconnected {
		return
	}
	e.confirmed = true
	if !e.initialised {
		c.sendState(now, conn)
	}
}

// sendState sends an entry everything that it needs to start. The endpoints come first, so that
// the entry knows them when it applies the configuration. An entry that already has the
// configuration does not get it again, since it may be large and the links slow.
func (c *Controller) sendState(now time.Time, conn Conn) {
	c.entries[conn].initialised = true
	// Deregistered endpoints are included, since the entry may still know them as present.
	c.emit(SendEntry{Conn: conn, Message: messenger.EndpointUpdate{Full: true, Changed: c.registry.CurrentWarmUps(now, c.registry.All(""))}})
	if held := c.entries[conn].revision; held == 0 || held < c.committer.Revision() {
		c.sendConfig(conn)
	} else {
		c.entries[conn].sentRevision = held
	}
	c.emit(SendEntry{Conn: conn, Message: c.replicaAddresses()})
	if limits := c.permits.Limits(); len(limits) > 0 {
		c.emit(SendEntry{Conn: conn, Message: messenger.LimitUpdate{Full: true, Limits: limits}})
	}
	c.sendAdmission(conn)
}

func (c *Controller) sendConfig(conn Conn) {
	c.entries[conn].sentRevision = c.committer.Revision()
	c.emit(SendEntry{Conn: conn, Message: messenger.Configuration{
		Revision: c.committer.Revision(), Document: c.committer.Document().WithoutSource(), Evacuated: c.committer.Evacuated(),
	}})
}

// pushConfig sends the configuration to all initialised entries, at most once in each
// pushInterval, so that changes in quick succession are sent as one.
func (c *Controller) pushConfig(now time.Time) {
	c.pushPending = true
	c.pushConfigIfDue(now)
	c.updateRevisionInEffect(now)
}

// pushConfigIfDue sends a pending configuration once nextPush is reached.
func (c *Controller) pushConfigIfDue(now time.Time) {
	if !c.pushPending || now.Before(c.nextPush) {
		return
	}
	c.pushPending = false
	c.nextPush = now.Add(pushInterval)
	for _, conn := range c.connections() {
		if e := c.entries[conn]; e.initialised && e.sentRevision < c.committer.Revision() {
			c.sendConfig(conn)
		}
	}
}

// connections returns the open streams in a fixed order.
func (c *Controller) connections() []Conn {
	var conns []Conn
	for conn, e := range c.entries {
		if !e.disconnected {
			conns = append(conns, conn)
		}
	}
	slices.SortFunc(conns, cmp.Compare)
	return conns
}

func (c *Controller) onHeartbeat(now time.Time, conn Conn, e *entry, b messenger.Heartbeat) {
	e.revision = b.Revision
	e.heardAt = now
	e.leaving = b.Leaving
	holdsLease := e.confirmed && e.revision == c.committer.Revision() && c.mayGrantLeases(now)
	reply := messenger.HeartbeatReply{Sequence: b.Sequence, ConfigLease: holdsLease, Entries: c.entryCount(now)}
	if c.hasRateLimits() && !c.hasLeaderContact(now) {
		reply.Entries = 0 // tells the entry to limit workspaces on its own
	}
	if holdsLease {
		e.configLeaseUntil = now.Add(messenger.ConfigLeaseDuration)
		reply.Shares = c.entryShares(now, e.hello.Entry)
	}
	c.emit(SendEntry{Conn: conn, Message: reply})
	c.updateRevisionInEffect(now)
	c.replyToApplies(now)
	c.replyToEvacuations(now)
}

func (c *Controller) onEntryDisconnected(now time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok {
		return
	}
	e.disconnected = true
	c.admission.noteLost(now, e)
	if now.Before(e.configLeaseUntil) {
		c.nextEntryExpiry = scheduler.Earliest(c.nextEntryExpiry, e.configLeaseUntil)
	} else {
		delete(c.entries, conn)
	}
	c.record(recorder.Event{Kind: recorder.KindEntryLeft, Detail: e.hello.Entry})
}

// removeExpiredEntries removes the disconnected entries whose configuration lease has expired.
func (c *Controller) removeExpiredEntries(now time.Time) {
	if c.nextEntryExpiry.IsZero() || now.Before(c.nextEntryExpiry) {
		return
	}
	c.nextEntryExpiry = time.Time{}
	for conn, e := range c.entries {
		switch {
		case !e.disconnected:
		case now.Before(e.configLeaseUntil):
			c.nextEntryExpiry = scheduler.Earliest(c.nextEntryExpiry, e.configLeaseUntil)
		default:
			delete(c.entries, conn)
		}
	}
}

// localRevisionInEffect returns a revision that every entry with a configuration lease from this
// replica has applied.
//
// An earlier process of this replica may have granted leases to entries that this one doesn't
// know, so the result is zero until those leases have expired.
func (c *Controller) localRevisionInEffect(now time.Time) uint64 {
	if now.Sub(c.startedAt) < messenger.ConfigLeaseDuration {
		return 0
	}
	revision := c.committer.Revision()
	for _, e := range c.entries {
		if now.Before(e.configLeaseUntil) {
			revision = min(revision, e.revision)
		}
	}
	return revision
}

// updateRevisionInEffect reports the revision in effect at this replica to the leader. On the
// leader, it computes the revision in effect everywhere.
func (c *Controller) updateRevisionInEffect(now time.Time) {
	c.noteMemberChange(now)
	local := c.localRevisionInEffect(now)
	c.config.replica.SetReport(local)
	if !c.isLeader() || !c.inContactWithQuorum(now) || now.Before(c.removedLeasesUntil) {
		return
	}
	revision := local
	for _, m := range c.config.replica.Members() {
		if m.ID == c.self.ID {
			continue
		}
		report, contact := c.config.replica.Report(m.ID)
		if now.Sub(contact) > silentReplicaTimeout {
			continue
		}
		revision = min(revision, report)
	}
	if revision > c.revisionInEffect {
		c.revisionInEffect = revision
		c.nextPresence = now // inform the other replicas at the next tick
	}
}

// replicaAddresses returns a message that lists the replicas which entries may connect to.
func (c *Controller) replicaAddresses() messenger.ReplicaAddresses {
	members := c.config.replica.Members()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return messenger.ReplicaAddresses{Addresses: addresses}
}

// noteMemberChange handles a change of the members. If a replica was removed, its entries may
// hold their configuration leases for a while longer. All initialised entries get the new
// addresses.
func (c *Controller) noteMemberChange(now time.Time) {
	members := c.config.replica.Members()
	if slices.Equal(members, c.lastMembers) {
		return
	}
	for _, m := range c.lastMembers {
		if _, ok := members.Find(m.ID); !ok {
			c.removedLeasesUntil = now.Add(silentReplicaTimeout)
		}
	}
	c.lastMembers = members
	for _, conn := range c.connections() {
		if c.entries[conn].initialised {
			c.emit(SendEntry{Conn: conn, Message: c.replicaAddresses()})
		}
	}
	c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: describeMembers(members)})
}
