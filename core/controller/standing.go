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
	// informed is set once the entry has got the state of this replica; from then on it
	// is told what changes.
	informed bool
	// sent is the latest revision that it was sent, or was known to have.
	sent uint64
	// confirmed is set once a confirmed read has shown that the state that this
	// entry got is not behind. It implies informed.
	confirmed bool
	// standingUntil is when the entry surely has lost its standing, unless renewed.
	standingUntil time.Time
	leaving       []messenger.Leaving
	lost          bool
}

func (c *Controller) onEntry(now time.Time, conn Conn, m messenger.ToControl) {
	if v, ok := m.(messenger.Hello); ok {
		c.entries[conn] = &entry{hello: v, revision: v.Revision}
		c.record(recorder.Event{Kind: recorder.KindEntryJoined, Detail: v.Entry})
		c.welcome(now, conn, v)
		c.startEntryRead(now, conn)
		return
	}
	e, ok := c.entries[conn]
	if !ok || e.lost {
		return
	}
	switch v := m.(type) {
	case messenger.Heartbeat:
		c.onBeat(now, conn, e, v)
	case messenger.EndpointAnnouncements:
		c.onAnnounced(now, v.Announcements)
	case messenger.ClaimRequest:
		c.onClaiming(now, conn, v)
	}
}

// welcome gives an entry without a configuration what this replica knew when it started,
// or sends an entry away where no majority is heard. One that got something stays: when
// all start at once, the majority is heard in a moment, and to get the same from another
// replica would cost both more than the wait.
func (c *Controller) welcome(now time.Time, conn Conn, hello messenger.Hello) {
	switch {
	case c.startsCold(now, hello):
		c.sendState(conn)
	case !c.hearsMajority(now):
		c.do(SendEntry{Conn: conn, Message: messenger.Lagging{}})
	}
}

// startsCold reports whether an entry may begin with what this replica knew when it
// started. It holds while no majority can have been heard yet: a replica that has lost
// one may be far behind.
func (c *Controller) startsCold(now time.Time, hello messenger.Hello) bool {
	return c.coldStart && !c.heardMajority && hello.Revision == 0 && c.committer.Revision() > 0 && now.Sub(c.started) <= coldStartTime
}

// noteLagging sends the entries of a replica that has lost its majority to others. Those
// that began with what it knew stay until it has heard a first one (see welcome).
func (c *Controller) noteLagging(now time.Time) {
	lagging := !c.hearsMajority(now)
	c.heardMajority = c.heardMajority || !lagging
	if lagging == c.lagging {
		return
	}
	c.lagging = lagging
	if !lagging {
		return
	}
	for _, conn := range c.connections() {
		if c.heardMajority || !c.entries[conn].informed {
			c.do(SendEntry{Conn: conn, Message: messenger.Lagging{}})
		}
	}
}

// startEntryRead keeps asking until a majority confirms, as long as the entry is
// connected.
func (c *Controller) startEntryRead(now time.Time, conn Conn) {
	if e, ok := c.entries[conn]; ok && !e.lost && !e.confirmed {
		c.startRead(now, pendingRead{conn: conn})
	}
}

// confirmEntry brings an entry up to date for the first time.
func (c *Controller) confirmEntry(_ time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok || e.lost {
		return
	}
	e.confirmed = true
	if !e.informed {
		c.sendState(conn)
	}
}

// sendState sends an entry all that it needs to begin: the endpoints first, so that it
// knows them as it takes up the configuration. One that has the configuration already does
// not get it again: it may be large, and links narrow.
func (c *Controller) sendState(conn Conn) {
	c.entries[conn].informed = true
	// Goodbyes are listed too: the entry may know endpoints that left meanwhile.
	c.do(SendEntry{Conn: conn, Message: messenger.EndpointUpdate{Full: true, Changed: c.registry.All("")}})
	if held := c.entries[conn].revision; held == 0 || held < c.committer.Revision() {
		c.sendConfig(conn)
	} else {
		c.entries[conn].sent = held
	}
	c.do(SendEntry{Conn: conn, Message: c.replicas()})
}

func (c *Controller) sendConfig(conn Conn) {
	c.entries[conn].sent = c.committer.Revision()
	c.do(SendEntry{Conn: conn, Message: messenger.Configuration{Revision: c.committer.Revision(), Document: c.committer.Document().WithoutSource()}})
}

// pushConfig sends the configuration to every entry that follows this replica, soon if it
// was done just now: changes that come close together travel as one.
func (c *Controller) pushConfig(now time.Time) {
	c.pushDue = true
	c.pushInTime(now)
	c.updateInForce(now)
}

// pushInTime sends the configuration where that is due.
func (c *Controller) pushInTime(now time.Time) {
	if !c.pushDue || now.Before(c.nextPush) {
		return
	}
	c.pushDue = false
	c.nextPush = now.Add(pushInterval)
	for _, conn := range c.connections() {
		if e := c.entries[conn]; e.informed && e.sent < c.committer.Revision() {
			c.sendConfig(conn)
		}
	}
}

// connections lists the streams that are open, in a fixed order.
func (c *Controller) connections() []Conn {
	var conns []Conn
	for conn, e := range c.entries {
		if !e.lost {
			conns = append(conns, conn)
		}
	}
	slices.SortFunc(conns, cmp.Compare)
	return conns
}

func (c *Controller) onBeat(now time.Time, conn Conn, e *entry, b messenger.Heartbeat) {
	e.revision = b.Revision
	e.leaving = b.Leaving
	standing := e.confirmed && e.revision == c.committer.Revision() && c.hearsMajority(now)
	answer := messenger.HeartbeatReply{Sequence: b.Sequence, ConfigLease: standing}
	if standing {
		e.standingUntil = now.Add(messenger.ConfigLeaseDuration)
		answer.Shares = c.entryShares(now, e.hello.Entry)
	}
	c.do(SendEntry{Conn: conn, Message: answer})
	c.updateInForce(now)
	c.answerApplies(now)
}

func (c *Controller) onEntryLost(now time.Time, conn Conn) {
	e, ok := c.entries[conn]
	if !ok {
		return
	}
	e.lost = true
	if now.Before(e.standingUntil) {
		c.lostUntil = scheduler.Earliest(c.lostUntil, e.standingUntil)
	} else {
		delete(c.entries, conn)
	}
	c.record(recorder.Event{Kind: recorder.KindEntryLeft, Detail: e.hello.Entry})
}

// expireEntries forgets lost entries once their standing has ended.
func (c *Controller) expireEntries(now time.Time) {
	if c.lostUntil.IsZero() || now.Before(c.lostUntil) {
		return
	}
	c.lostUntil = time.Time{}
	for conn, e := range c.entries {
		switch {
		case !e.lost:
		case now.Before(e.standingUntil):
			c.lostUntil = scheduler.Earliest(c.lostUntil, e.standingUntil)
		default:
			delete(c.entries, conn)
		}
	}
}

// ownInForce returns the revision that every entry in standing here has.
//
// A former process of this replica may have given standing to entries that this
// one doesn't know, so nothing is claimed until that has ended.
func (c *Controller) ownInForce(now time.Time) uint64 {
	if now.Sub(c.started) < messenger.ConfigLeaseDuration {
		return 0
	}
	revision := c.committer.Revision()
	for _, e := range c.entries {
		if now.Before(e.standingUntil) {
			revision = min(revision, e.revision)
		}
	}
	return revision
}

// updateInForce tells the leader what is in force here, and as leader finds what
// is in force everywhere.
func (c *Controller) updateInForce(now time.Time) {
	c.noteMembers(now)
	own := c.ownInForce(now)
	c.config.replica.SetReport(own)
	if !c.leads() || !c.hearsMajority(now) || now.Before(c.departedUntil) {
		return
	}
	everywhere := own
	for _, m := range c.config.replica.Members() {
		if m.ID == c.self.ID {
			continue
		}
		report, heard := c.config.replica.Report(m.ID)
		if now.Sub(heard) > silentAfter {
			continue
		}
		everywhere = min(everywhere, report)
	}
	if everywhere > c.inForce {
		c.inForce = everywhere
		c.nextBeat = now // tell the other replicas with the next tick
	}
}

// replicas tells entries where they may go.
func (c *Controller) replicas() messenger.ReplicaAddresses {
	members := c.config.replica.Members()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return messenger.ReplicaAddresses{Addresses: addresses}
}

// noteMembers remembers when a replica left: its entries keep their standing for
// a while.
func (c *Controller) noteMembers(now time.Time) {
	members := c.config.replica.Members()
	if slices.Equal(members, c.memberIDs) {
		return
	}
	for _, m := range c.memberIDs {
		if _, ok := members.Find(m.ID); !ok {
			c.departedUntil = now.Add(silentAfter)
		}
	}
	c.memberIDs = members
	for _, conn := range c.connections() {
		if c.entries[conn].informed {
			c.do(SendEntry{Conn: conn, Message: c.replicas()})
		}
	}
	c.record(recorder.Event{Kind: recorder.KindMembershipChanged, Detail: describe(members)})
}
