package controller

import (
	"cmp"
	"fmt"
	"time"

	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// Limits of the changes that wait at the same time: their number, and the bytes of their documents. One document may be
// larger.
const (
	maxPendingApplies     = 256
	maxPendingApplyBytes  = 16 << 20
	minimumDocumentMemory = 64 << 10
)

// WithMaxDocumentBytes refuses larger documents. The limit follows from the memory of the replicas, as MaxDocumentBytes says.
func WithMaxDocumentBytes(limit int) Option {
	return func(c *Controller) { c.maxDocumentBytes = limit }
}

// What a replica uses at most: replicaBytes, and documentCopies times the size of a document, decoded or encoded, while it
// starts, while operators send eight at once, and while others are behind (docs/CAPACITY.md).
const (
	replicaBytes   = 56 << 20
	documentCopies = 40
)

// MaxDocumentBytes returns the size of the largest document that a replica with so many bytes of memory can keep.
func MaxDocumentBytes(memory int) int {
	return min(validator.MaxDocumentBytes, max(minimumDocumentMemory, (memory-replicaBytes)/documentCopies))
}

// Timeouts of confirmed reads. A read for an operator fails after its timeout; a read for an
// entry is then started again.
const (
	entryReadTimeout    = 150 * time.Millisecond
	operatorReadTimeout = 2 * time.Second
	// reproposeInterval is the time after which a change that is not yet in the log is proposed
	// again.
	reproposeInterval = 500 * time.Millisecond
)

// pendingApply is a change whose operator waits for the reply.
type pendingApply struct {
	request  uint64
	document validator.Document
	// bytes is the size of the document as it was sent.
	bytes    int
	deadline time.Time
	// effectDeadline ends the wait for an accepted change to be in effect.
	effectDeadline time.Time
	// reproposeAt is when the change is proposed again: the first proposal may have been sent to
	// a leader that has failed since.
	reproposeAt time.Time
}

// pendingRead is a confirmed read in progress, for an operator, for an entry that connects or for an order to evacuate a
// data centre.
type pendingRead struct {
	id      uint64
	request uint64
	conn    Conn
	// evacuation is the request of the order that the read is for; zero for other reads.
	evacuation uint64
	// index is the log index that the state must include; zero until the read is confirmed.
	index    uint64
	deadline time.Time
}

func (c *Controller) onApply(now time.Time, v Apply) {
	if len(v.Document) > c.maxDocumentBytes {
		problem := validator.Problem{Path: "document", Detail: fmt.Sprintf("has %d bytes in the system's own form; the memory of the control replicas allows %d", len(v.Document), c.maxDocumentBytes)}
		c.emit(ApplyReply{Request: v.Request, Problems: []validator.Problem{problem}, Status: ApplyRefused})
		return
	}
	doc, problems := validator.Parse(v.Document)
	if len(problems) == 0 {
		problems = c.checkStops(now, doc)
	}
	if len(problems) > 0 {
		c.emit(ApplyReply{Request: v.Request, Problems: problems, Status: ApplyRefused})
		return
	}
	if _, ok := c.committer.Answer(doc); !ok && (!c.hasRoomFor(len(v.Document)) || !c.proposeChange(doc)) {
		c.emit(ApplyReply{Request: v.Request, Status: ApplyNotProposed})
		return
	}
	c.pendingApplies = append(c.pendingApplies, newPendingApply(now, v, doc))
	c.replyToApplies(now)
}

// hasRoomFor reports whether a change with so many bytes may wait beside the others.
func (c *Controller) hasRoomFor(bytes int) bool {
	for _, p := range c.pendingApplies {
		bytes += p.bytes
	}
	return len(c.pendingApplies) == 0 || (len(c.pendingApplies) < maxPendingApplies && bytes <= maxPendingApplyBytes)
}

func newPendingApply(now time.Time, v Apply, doc validator.Document) pendingApply {
	timeout := cmp.Or(v.Timeout, ApplyTimeout)
	return pendingApply{
		request: v.Request, document: doc, bytes: len(v.Document),
		deadline: now.Add(timeout), effectDeadline: now.Add(cmp.Or(v.EffectTimeout, timeout)), reproposeAt: now.Add(reproposeInterval),
	}
}

// proposeChange proposes a change to the leader, and reports whether a leader is known.
func (c *Controller) proposeChange(doc validator.Document) bool {
	return c.propose(committer.Change{Document: doc})
}

// propose proposes a command to the leader of the configuration log, and reports whether a leader
// is known.
func (c *Controller) propose(command committer.Command) bool {
	data, err := committer.Encode(command)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return false
	}
	return c.config.replica.Propose(data) == nil
}

// checkStops returns a problem for each stop that would leave a service without a serving
// endpoint. It accepts every change that already has a result, so that a repeated change gets the
// same reply.
func (c *Controller) checkStops(now time.Time, doc validator.Document) []validator.Problem {
	if _, known := c.committer.Answer(doc); known {
		return nil
	}
	var problems []validator.Problem
	for i, s := range doc.Stops {
		if c.isNewStop(s) && c.isLastServing(now, doc, s) {
			problems = append(problems, validator.Problem{
				Path:   fmt.Sprintf("stops[%d]", i),
				Detail: fmt.Sprintf("would leave service %s without an endpoint that serves", s.Service),
			})
		}
	}
	return problems
}

// isNewStop reports whether the current document does not include the stop yet.
func (c *Controller) isNewStop(s validator.Stop) bool {
	for _, old := range c.committer.Document().Stops {
		if old == s {
			return false
		}
	}
	return true
}

// isLastServing reports whether the endpoint of stop s is serving and no other endpoint of the
// service will be, once all stops of the document up to that time have taken effect.
func (c *Controller) isLastServing(now time.Time, doc validator.Document, s validator.Stop) bool {
	at := now
	if s.At.After(at) {
		at = s.At
	}
	isServing := false
	for _, a := range c.registry.List(s.Service) {
		if a.State != registrar.StateServing {
			continue
		}
		if a.Endpoint == s.Endpoint {
			isServing = true
			continue
		}
		if !doc.Stopped(a.Service, a.Endpoint, at) {
			return false
		}
	}
	return isServing
}

func (c *Controller) applyConfig(now time.Time, data []byte) {
	command, err := committer.Decode(data)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	switch v := command.(type) {
	case committer.Change:
		c.applyChange(now, v)
	case committer.Departure:
		c.applyDeparture(now, v)
	case committer.Evacuation:
		c.applyEvacuation(now, v)
	}
}

func (c *Controller) applyChange(now time.Time, change committer.Change) {
	previousRevision := c.committer.Revision()
	result, err := c.committer.Apply(change)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	switch {
	case c.committer.Revision() != previousRevision:
		c.record(recorder.Event{Kind: recorder.KindConfigAccepted, Detail: fmt.Sprintf("revision %d by change %s", result.Revision, result.ChangeID)})
		c.pushConfig(now)
	case result.Verdict == committer.VerdictConflict:
		c.record(recorder.Event{Kind: recorder.KindConfigConflict, Detail: fmt.Sprintf("change %s lost to %s at revision %d", result.ChangeID, result.CurrentChangeID, result.Revision)})
	}
	c.replyToApplies(now)
}

// replyToApplies replies to the operators whose change has a final status.
func (c *Controller) replyToApplies(now time.Time) {
	kept := c.pendingApplies[:0]
	for _, p := range c.pendingApplies {
		status, result := c.applyStatus(now, p)
		if status == 0 {
			kept = append(kept, c.reproposeIfMissing(now, p))
			continue
		}
		c.emit(ApplyReply{Request: p.request, Answer: result, Status: status})
	}
	c.pendingApplies = kept
}

// reproposeIfMissing proposes a change again if it is still not in the log at reproposeAt.
func (c *Controller) reproposeIfMissing(now time.Time, p pendingApply) pendingApply {
	if _, known := c.committer.Answer(p.document); known || now.Before(p.reproposeAt) {
		return p
	}
	p.reproposeAt = now.Add(reproposeInterval)
	c.proposeChange(p.document)
	return p
}

// applyStatus returns the status of a change for the reply, or zero while the operator must wait.
func (c *Controller) applyStatus(now time.Time, p pendingApply) (ApplyStatus, committer.Answer) {
	result, known := c.committer.Answer(p.document)
	expired := !now.Before(p.deadline)
	switch {
	case known && result.Verdict == committer.VerdictSuperseded && c.revisionInEffect < result.Revision && now.Before(p.effectDeadline):
		return 0, result
	case known && result.Verdict == committer.VerdictSuperseded:
		return ApplySuperseded, result
	case known && result.Verdict != committer.VerdictAccepted:
		return ApplyRefused, result
	case known && c.revisionInEffect >= result.Revision:
		return ApplyInEffect, result
	case known && !now.Before(p.effectDeadline):
		return ApplyNotInEffect, result
	case expired:
		return ApplyUnknown, result
	}
	return 0, result
}

// startRead starts a confirmed read. If no leader is known, an operator gets a reply at once.
func (c *Controller) startRead(now time.Time, p pendingRead) {
	c.lastReadID++
	p.id = c.lastReadID
	p.deadline = now.Add(entryReadTimeout)
	if p.request != 0 {
		p.deadline = now.Add(operatorReadTimeout)
	}
	if err := c.config.replica.ReadIndex(now, p.id); err != nil && p.request != 0 {
		c.replyToRead(p, false)
		return
	}
	c.pendingReads = append(c.pendingReads, p)
}

func (c *Controller) onReadConfirmed(r replicatorRead) {
	for i := range c.pendingReads {
		if c.pendingReads[i].id == r.ID {
			c.pendingReads[i].index = max(r.Index, 1)
		}
	}
}

// finishReads completes the confirmed reads whose index the state includes.
func (c *Controller) finishReads(now time.Time) {
	kept := c.pendingReads[:0]
	var confirmed []pendingRead
	for _, p := range c.pendingReads {
		if p.index != 0 && p.index <= c.config.applied {
			confirmed = append(confirmed, p)
			continue
		}
		kept = append(kept, p)
	}
	c.pendingReads = kept
	for _, p := range confirmed {
		switch {
		case p.request != 0:
			c.replyToRead(p, true)
		case p.evacuation != 0:
			c.proposeEvacuation(now, p.evacuation)
		default:
			c.confirmEntry(now, p.conn)
		}
	}
}

func (c *Controller) replyToRead(p pendingRead, confirmed bool) {
	c.emit(DocumentReply{Request: p.request, Revision: c.committer.Revision(), Document: c.committer.Document(), Confirmed: confirmed})
}

func (c *Controller) expirePendingReads(now time.Time) {
	kept := c.pendingReads[:0]
	var expired []pendingRead
	for _, p := range c.pendingReads {
		if now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		expired = append(expired, p)
	}
	c.pendingReads = kept
	for _, p := range expired {
		switch {
		case p.request != 0:
			c.replyToRead(p, false)
		case p.evacuation != 0:
			c.startEvacuationRead(now, p.evacuation)
		default:
			c.startEntryRead(now, p.conn)
		}
	}
}
