package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// maxPendingEvacuations limits the number of orders that wait at the same time.
const maxPendingEvacuations = 256

// pendingEvacuation is an order whose operator waits for the reply.
type pendingEvacuation struct {
	request  uint64
	command  committer.Evacuation
	deadline time.Time
	// currentUntil is the time from which on its sender may have given another order. Only before it is the order proposed.
	currentUntil time.Time
	// effectDeadline ends the wait for a stored order to be in effect.
	effectDeadline time.Time
	// proposed is set once the command has been proposed, with the revision that a quorum has confirmed as its base.
	proposed bool
	// stored is set once the order is known to hold. It is in effect together with revision.
	stored   bool
	revision uint64
	// reproposeAt is when the command is proposed again.
	reproposeAt time.Time
}

// onEvacuate handles an order of an operator. The state of this replica may be out of date, so it first lets a quorum
// confirm it: an order that already holds then needs no log entry.
//
// An order has no version: what it is to change is the state at the time at which it was given. An order that may have waited,
// so that its sender may have left and given another one, is not taken.
func (c *Controller) onEvacuate(now time.Time, v Evacuate) {
	timeout := cmp.Or(v.Timeout, ApplyTimeout)
	since := v.Since
	if since.IsZero() {
		since = now
	}
	currentUntil := since.Add(cmp.Or(v.CurrentFor, timeout))
	switch {
	case !validator.ValidName(v.DataCentre) || (v.MustBeKnown && c.inContactWithQuorum(now) && !c.knowsDataCentre(v.DataCentre)):
		c.emit(EvacuateReply{Request: v.Request, Status: ApplyRefused})
		return
	case c.config.replica.Leader() == "" || len(c.pendingEvacuations) >= maxPendingEvacuations || !now.Before(currentUntil) || c.mayHaveWaited(since):
		c.emit(EvacuateReply{Request: v.Request, Status: ApplyNotProposed})
		return
	}
	c.pendingEvacuations = append(c.pendingEvacuations, pendingEvacuation{
		request: v.Request, command: committer.Evacuation{DataCentre: v.DataCentre, Active: v.Active},
		deadline: now.Add(timeout), effectDeadline: now.Add(cmp.Or(v.EffectTimeout, timeout)), currentUntil: currentUntil,
	})
	c.startEvacuationRead(now, v.Request)
}

// knowsDataCentre reports whether there is an endpoint or an entry in a data centre, or an evacuation to finish.
func (c *Controller) knowsDataCentre(name string) bool {
	if active, _ := c.committer.Evacuation(name); active {
		return true
	}
	for _, e := range c.entries {
		if e.hello.DataCentre == name {
			return true
		}
	}
	return slices.ContainsFunc(c.registry.List(""), func(a registrar.Announcement) bool { return a.DataCentre == name })
}

func (c *Controller) findEvacuation(request uint64) *pendingEvacuation {
	i := slices.IndexFunc(c.pendingEvacuations, func(p pendingEvacuation) bool { return p.request == request })
	if i < 0 {
		return nil
	}
	return &c.pendingEvacuations[i]
}

// startEvacuationRead starts a confirmed read for an order that still waits. It is repeated until a quorum confirms it.
func (c *Controller) startEvacuationRead(now time.Time, request uint64) {
	if p := c.findEvacuation(request); p != nil && !p.proposed {
		c.startRead(now, pendingRead{evacuation: request})
	}
}

// proposeEvacuation proposes an order after the state of this replica was confirmed, unless the order already holds.
func (c *Controller) proposeEvacuation(now time.Time, request uint64) {
	p := c.findEvacuation(request)
	if p == nil {
		return
	}
	if active, changedAt := c.committer.Evacuation(p.command.DataCentre); active == p.command.Active {
		p.stored = true
		p.revision = changedAt
		c.replyToEvacuations(now)
		return
	}
	if !now.Before(p.currentUntil) {
		c.dropEvacuations(func(p pendingEvacuation) bool { return p.request == request })
		return
	}
	p.proposed = true
	p.command.BaseRevision = c.committer.Revision()
	p.reproposeAt = now.Add(reproposeInterval)
	c.propose(p.command) // without a leader it is proposed again later
}

// dropEvacuations gives up orders whose commands have not been proposed.
func (c *Controller) dropEvacuations(drop func(pendingEvacuation) bool) {
	c.pendingEvacuations = slices.DeleteFunc(c.pendingEvacuations, func(p pendingEvacuation) bool {
		if !drop(p) {
			return false
		}
		c.emit(EvacuateReply{Request: p.request, Status: ApplyUnknown})
		return true
	})
}

func (c *Controller) applyEvacuation(now time.Time, e committer.Evacuation) {
	if c.committer.Evacuate(e) {
		kind := recorder.KindEvacuationFinished
		if e.Active {
			kind = recorder.KindEvacuationBegun
		}
		c.record(recorder.Event{Kind: kind, Detail: fmt.Sprintf("data centre %s, revision %d", e.DataCentre, c.committer.Revision())})
		c.pushConfig(now)
	}
	c.replyToEvacuations(now)
}

// replyToEvacuations replies to the operators whose order has a final status, and proposes the others again.
func (c *Controller) replyToEvacuations(now time.Time) {
	kept := c.pendingEvacuations[:0]
	for _, p := range c.pendingEvacuations {
		p = c.updateEvacuation(p)
		if status := c.evacuationStatus(now, p); status != 0 {
			c.emit(EvacuateReply{Request: p.request, Status: status})
			continue
		}
		if p.proposed && !p.stored && !now.Before(p.reproposeAt) {
			p.reproposeAt = now.Add(reproposeInterval)
			c.propose(p.command)
		}
		kept = append(kept, p)
	}
	c.pendingEvacuations = kept
}

// updateEvacuation marks a proposed order as stored once the evacuation has changed since its base revision. Whatever
// the state is then, the first change after the base revision was the ordered one, as there are only two states.
func (c *Controller) updateEvacuation(p pendingEvacuation) pendingEvacuation {
	if !p.proposed || p.stored {
		return p
	}
	if _, changedAt := c.committer.Evacuation(p.command.DataCentre); changedAt > p.command.BaseRevision {
		p.stored = true
		p.revision = changedAt
	}
	return p
}

// evacuationStatus returns the status of an order for the reply, or zero while the operator must wait.
func (c *Controller) evacuationStatus(now time.Time, p pendingEvacuation) ApplyStatus {
	switch {
	case p.stored && c.revisionInEffect >= p.revision:
		return ApplyInEffect
	case p.stored && !now.Before(p.effectDeadline):
		return ApplyNotInEffect
	case !p.stored && !now.Before(p.deadline), !p.stored && !p.proposed && !now.Before(p.currentUntil):
		return ApplyUnknown
	}
	return 0
}
