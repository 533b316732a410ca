package controller

import (
	"fmt"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
)

const (
	// limitUpdateInterval is the minimum time between two messages with changed limits.
	limitUpdateInterval = 100 * time.Millisecond
	// limitRefreshInterval is how often a leader sends all limits to the other replicas, which
	// may have missed a change.
	limitRefreshInterval = time.Second
)

// mayIssuePermits reports whether this replica may issue permits: it is a leader in contact with a
// quorum, and an earlier leader has noticed by now that it is not.
func (c *Controller) mayIssuePermits(now time.Time) bool {
	return c.isLeader() && c.inContactWithQuorum(now) && now.Sub(c.config.replica.ElectedAt()) > QuorumTimeout
}

// onPermitRequest answers the request of an entry, or passes it on to the leader. Without a leader
// there is no reply, and the entry helps itself.
func (c *Controller) onPermitRequest(now time.Time, conn Conn, e *entry, v messenger.PermitRequest) {
	if c.isLeader() {
		if c.mayIssuePermits(now) {
			c.emit(SendEntry{Conn: conn, Message: c.issuePermits(now, e.hello.Entry, v)})
		}
		return
	}
	if m, ok := c.config.replica.Members().Find(c.config.replica.Leader()); ok {
		c.emit(SendPeer{Address: m.Address, Message: messenger.RelayedPermitRequest{
			From: c.self.Name, Run: c.incarnation, Stream: uint64(conn), Entry: e.hello.Entry, Request: v,
		}})
	}
}

func (c *Controller) onRelayedPermitRequest(now time.Time, v messenger.RelayedPermitRequest) {
	p, ok := c.peerStates[v.From]
	if !ok || !c.mayIssuePermits(now) {
		return
	}
	reply := c.issuePermits(now, v.Entry, v.Request)
	c.emit(SendPeer{Address: p.member.Address, Message: messenger.RelayedPermitReply{Run: v.Run, Stream: v.Stream, Reply: reply}})
}

func (c *Controller) onRelayedPermitReply(v messenger.RelayedPermitReply) {
	conn := Conn(v.Stream)
	if e, ok := c.entries[conn]; ok && !e.disconnected && v.Run == c.incarnation {
		c.emit(SendEntry{Conn: conn, Message: v.Reply})
	}
}

// issuePermits answers a request as the leader, and sends limits that it has changed to all.
func (c *Controller) issuePermits(now time.Time, entry string, v messenger.PermitRequest) messenger.PermitReply {
	reply := messenger.PermitReply{Sequence: v.Sequence, Grants: make([]messenger.PermitGrant, 0, len(v.Demands))}
	entries := c.knownEntries(now)
	for _, d := range v.Demands {
		grant, changed := c.permits.Handle(now, c.config.replica.Term(), d.Name, d.Incarnation, d.Request)
		grant.Entries = entries
		reply.Grants = append(reply.Grants, messenger.PermitGrant{Name: d.Name, Incarnation: d.Incarnation, Grant: grant})
		if changed {
			c.onLimitChanged(entry, d.Name)
		}
	}
	c.sendLimitsIfDue(now)
	return reply
}

func (c *Controller) onLimitChanged(entry string, name registrar.Name) {
	l, ok := c.permits.Find(name)
	if !ok {
		return
	}
	c.changedLimits = append(c.changedLimits, l)
	c.record(recorder.Event{Kind: recorder.KindEndpointLimitChanged, Service: name.Service, Endpoint: name.Endpoint, Detail: describeLimit(l) + ", named to " + entry})
}

func describeLimit(l permitter.EndpointLimit) string {
	if l.Limit.Rate == 0 {
		return fmt.Sprintf("no limit, version %d", l.Limit.Version)
	}
	return fmt.Sprintf("%g requests a second from all entries, version %d", l.Limit.Rate, l.Limit.Version)
}

// entryCount returns how many entries are connected to all replicas, as far as this one knows.
func (c *Controller) entryCount(now time.Time) int {
	if c.isLeader() {
		return c.knownEntries(now)
	}
	return max(c.reportedEntries, len(c.connections()))
}

// knownEntries returns how many entries are connected to the replicas.
func (c *Controller) knownEntries(now time.Time) int {
	n := len(c.connections())
	for _, p := range c.peerStates {
		if !p.isSilent(now) {
			n += p.entries
		}
	}
	return n
}

// limitsDue returns when limits are sent next; zero means never.
func (c *Controller) limitsDue() time.Time {
	if len(c.changedLimits) > 0 {
		return c.nextLimitUpdate
	}
	if c.isLeader() && c.permits.Len() > 0 {
		return c.nextLimitRefresh
	}
	return time.Time{}
}

// sendLimitsIfDue sends the changed limits to the entries and, from the leader, to the replicas.
func (c *Controller) sendLimitsIfDue(now time.Time) {
	if len(c.changedLimits) == 0 || now.Before(c.nextLimitUpdate) {
		return
	}
	c.nextLimitUpdate = now.Add(limitUpdateInterval)
	update := messenger.LimitUpdate{Limits: c.changedLimits}
	c.changedLimits = nil
	if c.isLeader() {
		c.sendLimitsToPeers(update)
	}
	for _, conn := range c.connections() {
		if c.entries[conn].initialised {
			c.emit(SendEntry{Conn: conn, Message: update})
		}
	}
}

func (c *Controller) sendLimitsToPeers(update messenger.LimitUpdate) {
	for _, address := range c.peerAddresses() {
		c.emit(SendPeer{Address: address, Message: update})
	}
}

// refreshLimits sends all limits to the other replicas from time to time while there are any.
func (c *Controller) refreshLimits(now time.Time) {
	if !c.isLeader() || c.permits.Len() == 0 || now.Before(c.nextLimitRefresh) {
		return
	}
	c.nextLimitRefresh = now.Add(limitRefreshInterval)
	c.permits.Prune(now, registrar.Lease, func(name registrar.Name) bool {
		_, ok := c.registry.Find(name)
		return ok
	})
	if limits := c.permits.Limits(); len(limits) > 0 || c.sentLimits {
		c.sentLimits = len(limits) > 0
		c.sendLimitsToPeers(messenger.LimitUpdate{Full: true, Limits: limits})
	}
}

// onLimitUpdate adopts the limits of the leader, and queues those that are new for the entries.
func (c *Controller) onLimitUpdate(now time.Time, v messenger.LimitUpdate) {
	if c.isLeader() {
		return
	}
	newer := c.permits.Adopt(now, v.Limits, v.Full)
	c.changedLimits = append(c.changedLimits, slices.Clone(newer)...)
	c.sendLimitsIfDue(now)
}
