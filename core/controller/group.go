package controller

import (
	"fmt"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// group is one replicated log and the progress of its application.
type group struct {
	id      messenger.Group
	replica *replicator.Replica
	// applied is the index of the last log entry that the state includes.
	applied uint64
	// persisting is set while an Output is being synced. Whatever the replica produces meanwhile
	// goes into the next Output.
	persisting bool
	// received is the state of the last snapshot that the leader sent, until it is in effect.
	received receivedState
}

func (c *Controller) group(id messenger.Group) *group {
	if id == messenger.GroupClaims {
		return &c.claims
	}
	return &c.config
}

// processOutputs turns the pending outputs of both groups into actions.
func (c *Controller) processOutputs(now time.Time) {
	for _, id := range messenger.Groups {
		g := c.group(id)
		for !g.persisting {
			out := g.replica.TakeOutput()
			if out.Empty() {
				break
			}
			c.startOutput(now, g, out)
		}
		c.compact(g)
	}
	c.noteUpToDate()
	c.recordLeaderChange()
	c.noteMemberChange(now)
}

func (c *Controller) startOutput(now time.Time, g *group, out replicator.Output) {
	if out.State == nil && out.Snapshot == nil && len(out.Entries) == 0 {
		c.finishOutput(now, g, out)
		return
	}
	g.persisting = true
	out.Messages = c.sendAppends(g, out)
	c.emit(Persist{Group: g.id, Output: out})
}

// sendAppends sends the Append messages of a leader while its own disk still syncs the same
// entries, and returns the messages that must wait for the sync. This is safe because a log entry
// is committed only once a majority has synced it, and the leader's own disk counts like any
// other. A new term, in contrast, must be synced before any message is sent in it.
func (c *Controller) sendAppends(g *group, out replicator.Output) []replicator.Envelope {
	if out.State != nil || out.Snapshot != nil {
		return out.Messages
	}
	var afterSync []replicator.Envelope
	for _, e := range out.Messages {
		if _, ok := e.Message.(replicator.Append); ok {
			c.sendReplicated(g, e)
			continue
		}
		afterSync = append(afterSync, e)
	}
	return afterSync
}

func (c *Controller) sendReplicated(g *group, e replicator.Envelope) {
	if address := c.addressOf(g, e.To); address != "" {
		c.emit(SendPeer{Address: address, Message: messenger.ReplicationMessage{Group: g.id, Envelope: e}})
	}
}

func (c *Controller) onPersisted(now time.Time, v Persisted) {
	g := c.group(v.Group)
	g.persisting = false
	g.replica.Synced(now, v.Output)
	c.finishOutput(now, g, v.Output)
}

// finishOutput carries out the part of an Output that must follow the sync.
func (c *Controller) finishOutput(now time.Time, g *group, out replicator.Output) {
	for _, e := range out.Messages {
		c.sendReplicated(g, e)
	}
	if out.Snapshot != nil {
		c.installSnapshot(now, g, *out.Snapshot)
	}
	for _, e := range out.Committed {
		c.applyEntry(now, g, e)
	}
	for _, r := range out.Reads {
		c.onReadConfirmed(r)
	}
	c.finishReads(now)
}

// addressOf returns the address of a replica. A replica that is not a member yet is known only by
// its presence messages.
func (c *Controller) addressOf(g *group, id replicator.ID) string {
	if m, ok := g.replica.Members().Find(id); ok {
		return m.Address
	}
	for _, p := range c.peerStates {
		if p.member.ID == id {
			return p.member.Address
		}
	}
	return ""
}

func (c *Controller) installSnapshot(now time.Time, g *group, s replicator.Snapshot) {
	received := g.received
	g.received = receivedState{}
	if !received.isFrom(s.Data) { // a later snapshot has arrived while this one was stored
		state, err := c.decodeState(g.id, s.Data)
		if err != nil {
			panic(err) // can't happen: it was decoded before it replaced the log
		}
		received.state = state
	}
	c.replaceState(received.state)
	g.applied = s.Index
	if g.id == messenger.GroupConfig {
		c.announceDepartures(now)
		c.pushConfig(now)
	}
}

func (c *Controller) applyEntry(now time.Time, g *group, e replicator.Entry) {
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

// compact replaces the log of a group by a snapshot once the log is too long or too large.
func (c *Controller) compact(g *group) {
	if g.persisting || !c.isTooLong(g) {
		return
	}
	data, err := c.encodeState(g.id)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	if s, ok := g.replica.Compact(g.applied, data); ok {
		c.emit(StoreSnapshot{Group: g.id, Snapshot: s, Tail: g.replica.Entries()})
	}
}

// isTooLong reports whether a snapshot would replace enough of the log to be worth its cost, which grows with the state.
func (c *Controller) isTooLong(g *group) bool {
	entries, bytes, bytesPerSnapshot := configSnapshotThreshold, configSnapshotBytes, configBytesPerSnapshot
	if g.id == messenger.GroupClaims {
		entries = max(claimsSnapshotThreshold, claimsThresholdPerKey*c.claimer.Len())
		bytes, bytesPerSnapshot = claimsSnapshotBytes, claimsBytesPerSnapshot
	}
	if g.replica.LogLength() > entries {
		return true
	}
	limit := max(bytes, bytesPerSnapshot*g.replica.SnapshotBytes())
	return g.replica.LogBytes() > limit && g.replica.BytesUpTo(g.applied) > limit/2
}

func (c *Controller) encodeState(id messenger.Group) ([]byte, error) {
	if id == messenger.GroupClaims {
		return c.claimer.Snapshot()
	}
	return c.committer.Snapshot()
}

func (c *Controller) recordLeaderChange() {
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
