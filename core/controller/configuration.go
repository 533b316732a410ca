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

// maxPendingApplies bounds the changes that wait at once.
const maxPendingApplies = 256

// Waits for the confirmation of a read before it is given up, or for an entry begun
// anew.
const (
	readPatience     = 150 * time.Millisecond
	operatorPatience = 2 * time.Second
	// proposeWait is how long a change may be missing from the log.
	proposeWait = 500 * time.Millisecond
)

// pendingApply is an operator who waits for an answer.
type pendingApply struct {
	request  uint64
	document validator.Document
	until    time.Time
	// forceUntil is how long an accepted change waits to be in force.
	forceUntil time.Time
	// proposeAt is when the change is proposed again: it may have gone to a leader
	// that is no more.
	proposeAt time.Time
}

// pendingRead is a confirmed read that is under way, for an operator's request or
// for an entry that starts.
type pendingRead struct {
	id      uint64
	request uint64
	conn    Conn
	// index is what the state must include; zero until the read is confirmed.
	index uint64
	until time.Time
}

func (c *Controller) onApply(now time.Time, v Apply) {
	doc, problems := validator.Parse(v.Document)
	if len(problems) == 0 {
		problems = c.checkStops(now, doc)
	}
	if len(problems) > 0 {
		c.do(ApplyReply{Request: v.Request, Problems: problems, Status: ApplyRefused})
		return
	}
	if _, ok := c.committer.Answer(doc); !ok && (len(c.applies) >= maxPendingApplies || !c.proposeChange(doc)) {
		c.do(ApplyReply{Request: v.Request, Status: ApplyNotProposed})
		return
	}
	c.applies = append(c.applies, newPendingApply(now, v, doc))
	c.answerApplies(now)
}

func newPendingApply(now time.Time, v Apply, doc validator.Document) pendingApply {
	within := cmp.Or(v.Timeout, ApplyTimeout)
	return pendingApply{
		request: v.Request, document: doc,
		until: now.Add(within), forceUntil: now.Add(cmp.Or(v.EffectTimeout, within)), proposeAt: now.Add(proposeWait),
	}
}

// proposeChange sends a change to the leader, and reports whether there is one.
func (c *Controller) proposeChange(doc validator.Document) bool {
	return c.propose(committer.Change{Document: doc})
}

// propose sends a command to the leader of the configuration log, and reports
// whether there is one.
func (c *Controller) propose(command committer.Command) bool {
	data, err := committer.Encode(command)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return false
	}
	return c.config.replica.Propose(data) == nil
}

// checkStops refuses a stop that would leave a service without an endpoint. It
// doesn't apply to a change that was answered before.
func (c *Controller) checkStops(now time.Time, doc validator.Document) []validator.Problem {
	if _, answered := c.committer.Answer(doc); answered {
		return nil
	}
	var problems []validator.Problem
	for i, s := range doc.Stops {
		if c.addsStop(s) && c.isLast(now, doc, s) {
			problems = append(problems, validator.Problem{
				Path:   fmt.Sprintf("stops[%d]", i),
				Detail: fmt.Sprintf("would leave service %s without an endpoint that serves", s.Service),
			})
		}
	}
	return problems
}

// addsStop reports whether the stop is not in force already.
func (c *Controller) addsStop(s validator.Stop) bool {
	for _, old := range c.committer.Document().Stops {
		if old == s {
			return false
		}
	}
	return true
}

// isLast reports whether no other endpoint of the service serves once all stops
// of the document have come.
func (c *Controller) isLast(now time.Time, doc validator.Document, s validator.Stop) bool {
	at := now
	if s.At.After(at) {
		at = s.At
	}
	serves := false
	for _, a := range c.registry.List(s.Service) {
		if a.State != registrar.StateServing {
			continue
		}
		if a.Endpoint == s.Endpoint {
			serves = true
			continue
		}
		if !doc.Stopped(a.Service, a.Endpoint, at) {
			return false
		}
	}
	return serves
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
	}
}

func (c *Controller) applyChange(now time.Time, change committer.Change) {
	before := c.committer.Revision()
	answer, err := c.committer.Apply(change)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	switch {
	case c.committer.Revision() != before:
		c.record(recorder.Event{Kind: recorder.KindConfigAccepted, Detail: fmt.Sprintf("revision %d by change %s", answer.Revision, answer.ChangeID)})
		c.pushConfig(now)
	case answer.Verdict == committer.VerdictConflict:
		c.record(recorder.Event{Kind: recorder.KindConfigConflict, Detail: fmt.Sprintf("change %s lost to %s at revision %d", answer.ChangeID, answer.CurrentChangeID, answer.Revision)})
	}
	c.answerApplies(now)
}

// answerApplies answers the operators whose change has an outcome.
func (c *Controller) answerApplies(now time.Time) {
	kept := c.applies[:0]
	for _, p := range c.applies {
		status, answer := c.applyStatus(now, p)
		if status == 0 {
			kept = append(kept, c.proposeAgain(now, p))
			continue
		}
		c.do(ApplyReply{Request: p.request, Answer: answer, Status: status})
	}
	c.applies = kept
}

// proposeAgain sends a change to the present leader unless it is in the log by now.
func (c *Controller) proposeAgain(now time.Time, p pendingApply) pendingApply {
	if _, known := c.committer.Answer(p.document); known || now.Before(p.proposeAt) {
		return p
	}
	p.proposeAt = now.Add(proposeWait)
	c.proposeChange(p.document)
	return p
}

// applyStatus returns zero while there is nothing to say yet.
func (c *Controller) applyStatus(now time.Time, p pendingApply) (ApplyStatus, committer.Answer) {
	answer, known := c.committer.Answer(p.document)
	late := !now.Before(p.until)
	switch {
	case known && answer.Verdict == committer.VerdictSuperseded && c.inForce < answer.Revision && now.Before(p.forceUntil):
		return 0, answer
	case known && answer.Verdict == committer.VerdictSuperseded:
		return ApplySuperseded, answer
	case known && answer.Verdict != committer.VerdictAccepted:
		return ApplyRefused, answer
	case known && c.inForce >= answer.Revision:
		return ApplyInEffect, answer
	case known && !now.Before(p.forceUntil):
		return ApplyNotInEffect, answer
	case late:
		return ApplyUnknown, answer
	}
	return 0, answer
}

// startRead begins a confirmed read. An operator is told at once when there is
// nobody to confirm it.
func (c *Controller) startRead(now time.Time, p pendingRead) {
	c.nextRead++
	p.id = c.nextRead
	p.until = now.Add(readPatience)
	if p.request != 0 {
		p.until = now.Add(operatorPatience)
	}
	if err := c.config.replica.ReadIndex(now, p.id); err != nil && p.request != 0 {
		c.answerRead(p, false)
		return
	}
	c.reads = append(c.reads, p)
}

func (c *Controller) onReadConfirmed(r replicatorRead) {
	for i := range c.reads {
		if c.reads[i].id == r.ID {
			c.reads[i].index = max(r.Index, 1)
		}
	}
}

// finishReads answers the reads whose index the state includes.
func (c *Controller) finishReads(now time.Time) {
	kept := c.reads[:0]
	var done []pendingRead
	for _, p := range c.reads {
		if p.index != 0 && p.index <= c.config.applied {
			done = append(done, p)
			continue
		}
		kept = append(kept, p)
	}
	c.reads = kept
	for _, p := range done {
		if p.request != 0 {
			c.answerRead(p, true)
			continue
		}
		c.confirmEntry(now, p.conn)
	}
}

func (c *Controller) answerRead(p pendingRead, confirmed bool) {
	c.do(DocumentReply{Request: p.request, Revision: c.committer.Revision(), Document: c.committer.Document(), Confirmed: confirmed})
}

func (c *Controller) expireReads(now time.Time) {
	kept := c.reads[:0]
	var late []pendingRead
	for _, p := range c.reads {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		late = append(late, p)
	}
	c.reads = kept
	for _, p := range late {
		if p.request != 0 {
			c.answerRead(p, false)
			continue
		}
		c.startEntryRead(now, p.conn)
	}
}
