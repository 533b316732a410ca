package controller

import (
	"fmt"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// group is one replicated log and how far it is carried out.
type group struct {
	id      messenger.Group
	replica *replicator.Replica
	// applied is the last index whose command the state includes.
	applied uint64
	// persisting is set while an Output is being synced; what comes meanwhile is
	// collected for the next sync.
	persisting bool
}

func (c *Controller) group(id messenger.Group) *group {
	if id == messenger.GroupClaims {
		return &c.claims
	}
	return &c.config
}

// pump turns what the replicas have collected into actions.
func (c *Controller) pump(now time.Time) {
	for _, id := range messenger.Groups {
		g := c.group(id)
		for !g.persisting {
			out := g.replica.TakeOutput()
			if out.Empty() {
				break
			}
			c.begin(now, g, out)
		}
		c.compact(g)
	}
	c.noteLeader()
	c.noteMembers(now)
}

func (c *Controller) begin(now time.Time, g *group, out replicator.Output) {
	if out.State == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		c.finish(now, g, out)
		return
	}
	g.persisting = true
	out.Messages = c.sendEarly(g, out)
	c.do(Persist{Group: g.id, Output: out})
}

// sendEarly sends a leader's entries while its own disk syncs them, and returns the
// messages that must wait. An entry is committed once a majority has synced it,
// the leader's own disk counted like any other; only a new term must be synced
// before anything is said in it.
func (c *Controller) sendEarly(g *group, out replicator.Output) []replicator.Envelope {
	if out.State != nil || out.Snapshot != nil {
		return out.Messages
	}
	var wait []replicator.Envelope
	for _, e := range out.Messages {
		if _, ok := e.Message.(replicator.Append); ok {
			c.sendReplicated(g, e)
			continue
		}
		wait = append(wait, e)
	}
	return wait
}

func (c *Controller) sendReplicated(g *group, e replicator.Envelope) {
	if address := c.addressOf(g, e.To); address != "" {
		c.do(SendPeer{Address: address, Message: messenger.ReplicationMessage{Group: g.id, Envelope: e}})
	}
}

func (c *Controller) onPersisted(now time.Time, v Persisted) {
	g := c.group(v.Group)
	g.persisting = false
	g.replica.Synced(now, v.Output)
	c.finish(now, g, v.Output)
}

// finish carries out the part of an Output that follows the sync.
func (c *Controller) finish(now time.Time, g *group, out replicator.Output) {
	for _, e := range out.Messages {
		c.sendReplicated(g, e)
	}
	if out.Snapshot != nil {
		c.install(now, g, *out.Snapshot)
	}
	for _, e := range out.Committed {
		c.apply(now, g, e)
	}
	for _, r := range out.Reads {
		c.onReadConfirmed(r)
	}
	c.finishReads(now)
}

// addressOf returns where a replica listens. One that has not joined is known by
// its presence only.
func (c *Controller) addressOf(g *group, id replicator.ID) string {
	if m, ok := g.replica.Members().Find(id); ok {
		return m.Address
	}
	for _, p := range c.presence {
		if p.member.ID == id {
			return p.member.Address
		}
	}
	return ""
}

func (c *Controller) install(now time.Time, g *group, s replicator.Snapshot) {
	if err := c.restore(g.id, s.Data); err != nil {
		panic(err) // the leader's own encoding, checked by its checksum on the way
	}
	g.applied = s.Index
	if g.id == messenger.GroupConfig {
		c.relist(now)
		c.pushConfig(now)
	}
}

func (c *Controller) apply(now time.Time, g *group, e replicator.Entry) {
	g.applied = e.Index
	if e.Kind != replicator.EntryCommand {
		return
	}
	if g.id == messenger.GroupClaims {
		c.applyClaim(e.Data)
		return
	}
	c.applyConfig(now, e.Data)
}

// compact replaces a long log by a snapshot.
func (c *Controller) compact(g *group) {
	limit := configLogLength
	if g.id == messenger.GroupClaims {
		// A snapshot costs as much as the state is large, so it is made in proportion.
		limit = max(claimsLogLength, claimsLogPerKey*c.claimer.Len())
	}
	if g.persisting || g.replica.LogLength() <= limit {
		return
	}
	data, err := c.snapshot(g.id)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	if s, ok := g.replica.Compact(g.applied, data); ok {
		c.do(StoreSnapshot{Group: g.id, Snapshot: s, Tail: g.replica.Entries()})
	}
}

func (c *Controller) snapshot(id messenger.Group) ([]byte, error) {
	if id == messenger.GroupClaims {
		return c.claimer.Snapshot()
	}
	return c.committer.Snapshot()
}

func (c *Controller) noteLeader() {
	leader := c.config.replica.Leader()
	if leader == c.leader {
		return
	}
	c.leader = leader
	detail := "none is known"
	if leader != "" {
		detail = fmt.Sprintf("%s in term %d", c.nameOf(leader), c.config.replica.Term())
	}
	c.record(recorder.Event{Kind: recorder.KindLeaderChanged, Detail: detail})
}

func (c *Controller) nameOf(id replicator.ID) string {
	if m, ok := c.config.replica.Members().Find(id); ok {
		return m.Name
	}
	return string(id)
}
