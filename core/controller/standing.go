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

// entry is an entry process that is connected to this replica, or was until its
// standing ends.
type entry struct {
	hello messenger.Hello
	// revision is what the entry says it has in force.
	revision uint64
	// initialised is set once the entry has got the state of this replica; from then on it
	// is told what changes.
	initialised bool
	// sentRevision is the latest revision that it was sentRevision, or was known to have.
	sentRevision uint64
	// confirmed is set once a confirmed read has shown that the state that this
	// entry got is not behind. It implies informed.
	confirmed bool
	// configLeaseUntil is when the entry surely has lost its standing, unless renewed.
	configLeaseUntil time.Time
	leaving          []messenger.Leaving
	disconnected     bool
}

func (c *Controller) onEntry(now time.Time, conn Conn, m messenger.ToControl) {
	if v, ok := m.(messenger.Hello); ok {
		c.entries[conn] = &entry{hello: v, revision: v.Revision}
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
	case messenger.Beat:
		c.onHeartbeat(now, conn, e, v)
	case messenger.Announced:
		c.announce(now, v.Announcements)
	case messenger.Claiming:
		c.onClaiming(now, conn, v)
	}
}

// onHello gives an entry without a configuration what this replica knew when it started,
// or sends an entry away where no majority is heard. One that got something stays: when
// all start at once, the majority is heard in a moment, and to get the same from another
// replica would cost both more than the wait.
func (c *Controller) onHello(now time.Time, conn Conn, hello messenger.Hello) {
	switch {
	case c.mayColdStart(now, hello):
		c.sendState(conn)
	case !c.inContactWithQuorum(now):
		c.emit(SendEntry{Conn: conn, Message: messenger.Lagging{}})
	}
}

// mayColdStart reports whether an entry may begin with what this replica knew when it
// started. It holds while no majority can have been heard yet: a replica that has lost
// one may be far behind.
func (c *Controller) mayColdStart(now time.Time, hello messenger.Hello) bool {
	return c.allowColdStart && !c.hadQuorumContact && hello.Revision == 0 && c.committer.Revision() > 0 && now.Sub(c.startedAt) <= coldStartWindow
}

// updateLagging sends the entries of a replica that has lost its majority to others. Those
// that began with what it knew stay until it has heard a first one (see welcome).
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

// startEntryRead keeps asking until a majority confirms, as long as the entry is
// connected.
func (c *Controller) startEntryRead(now time.Time, conn Conn) {
	if e, ok := c.entries[conn]; ok && !e.disconnected && !e.confirmed {
		c.startRead(now, pendingRead{conn: conn})
	}
}

// confirmEntry brings an entry up to date for the first time.
func (c *Controller) confirmEntry(_ time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok || e.disconnected {
		return
	}
	e.confirmed = true
	if !e.initialised {
		c.sendState(conn)
	}
}

// sendState sends an entry all that it needs to begin: the endpoints first, so that it
// knows them as it takes up the configuration. One that has the configuration already does
// not get it again: it may be large, and links narrow.
func (c *Controller) sendState(conn Conn) {
	c.entries[conn].initialised = true
	// Goodbyes are listed too: the entry may know endpoints that left meanwhile.
	c.emit(SendEntry{Conn: conn, Message: messenger.Endpoints{Full: true, Changed: c.registry.All("")}})
	if held := c.entries[conn].revision; held == 0 || held < c.committer.Revision() {
		c.sendConfig(conn)
	} else {
		c.entries[conn].sentRevision = held
	}
	c.emit(SendEntry{Conn: conn, Message: c.replicaAddresses()})
}

func (c *Controller) sendConfig(conn Conn) {
	c.entries[conn].sentRevision = c.committer.Revision()
	c.emit(SendEntry{Conn: conn, Message: messenger.Configured{Revision: c.committer.Revision(), Document: c.committer.Document().WithoutSource()}})
}

// pushConfig sends the configuration to every entry that follows this replica, soon if it
// was done just now: changes that come close together travel as one.
func (c *Controller) pushConfig(now time.Time) {
	c.pushPending = true
	c.pushConfigIfDue(now)
	c.updateRevisionInEffect(now)
}

// pushConfigIfDue sends the configuration where that is due.
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

// connections lists the streams that are open, in a fixed order.
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

func (c *Controller) onHeartbeat(now time.Time, conn Conn, e *entry, b messenger.Beat) {
	e.revision = b.Revision
	e.leaving = b.Leaving
	holdsLease := e.confirmed && e.revision == c.committer.Revision() && c.inContactWithQuorum(now)
	reply := messenger.BeatAnswer{Sequence: b.Sequence, Standing: holdsLease}
	if holdsLease {
		e.configLeaseUntil = now.Add(messenger.StandingLease)
		reply.Shares = c.entryShares(now, e.hello.Entry)
	}
	c.emit(SendEntry{Conn: conn, Message: reply})
	c.updateRevisionInEffect(now)
	c.replyToApplies(now)
}

func (c *Controller) onEntryDisconnected(now time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok {
		return
	}
	e.disconnected = true
	if now.Before(e.configLeaseUntil) {
		c.nextEntryExpiry = scheduler.Earliest(c.nextEntryExpiry, e.configLeaseUntil)
	} else {
		delete(c.entries, conn)
	}
	c.record(recorder.Event{Kind: recorder.KindEntryLeft, Detail: e.hello.Entry})
}

// removeExpiredEntries forgets lost entries once their standing has ended.
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

// localRevisionInEffect returns the revision that every entry in standing here has.
//
// A former process of this replica may have given standing to entries that this
// one doesn't know, so nothing is claimed until that has ended.
func (c *Controller) localRevisionInEffect(now time.Time) uint64 {
	if now.Sub(c.startedAt) < messenger.StandingLease {
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

// updateRevisionInEffect tells the leader what is in force here, and as leader finds what
// is in force everywhere.
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
		report, heard := c.config.replica.Report(m.ID)
		if now.Sub(heard) > silentReplicaTimeout {
			continue
		}
		revision = min(revision, report)
	}
	if revision > c.revisionInEffect {
		c.revisionInEffect = revision
		c.nextPresence = now // tell the other replicas with the next tick
	}
}

// replicaAddresses tells entries where they may go.
func (c *Controller) replicaAddresses() messenger.Replicas {
	members := c.config.replica.Members()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return messenger.Replicas{Addresses: addresses}
}

// noteMemberChange remembers when a replica left: its entries keep their standing for
// a while.
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
	c.record(recorder.Event{Kind: recorder.KindMembership, Detail: describeMembers(members)})
}
