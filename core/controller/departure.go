package controller

import (
	"time"

	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/registrar"
)

// departureTimeout is how long a departing endpoint waits for a quorum to store its departure.
// After that it tries another replica.
const departureTimeout = 900 * time.Millisecond

// pendingDeparture is a departure whose endpoint waits for confirmation that it gets no new
// requests.
type pendingDeparture struct {
	request      uint64
	announcement registrar.Announcement
	deadline     time.Time
	// reproposeAt is when the departure is proposed again.
	reproposeAt time.Time
}

// onAnnounce handles an announcement that an endpoint sent to this replica. A replica that may be
// partitioned accepts none, so that the endpoint tries another one.
func (c *Controller) onAnnounce(now time.Time, v Announce) {
	a, ok := c.completeAnnouncement(v.Announcement)
	switch {
	case !ok || !c.inContactWithQuorum(now):
		c.emit(AnnounceReply{Request: v.Request})
	case !a.Leaving():
		c.announce(now, []registrar.Announcement{a})
		c.emit(AnnounceReply{Request: v.Request, Accepted: true})
	default:
		c.startDeparture(now, v.Request, a)
	}
}

// completeAnnouncement fills in the service and the incarnation of an announcement that lacks one
// of them, such as a deregistration, from the registry. It returns false for an unknown endpoint.
func (c *Controller) completeAnnouncement(a registrar.Announcement) (registrar.Announcement, bool) {
	if a.Service != "" && a.Incarnation != 0 {
		return a, true
	}
	var match registrar.Announcement
	for _, known := range c.registry.ByEndpointName(a.Endpoint) {
		if a.Incarnation == 0 || known.Incarnation == a.Incarnation {
			match = laterIncarnation(match, known)
		}
	}
	if match.Service == "" {
		return a, false
	}
	match.Deregistered = a.Deregistered
	match.State = a.State
	match.Sequence = max(match.Sequence, a.Sequence) + 1
	return match, true
}

func laterIncarnation(a, b registrar.Announcement) registrar.Announcement {
	if a.Service == "" || b.Incarnation > a.Incarnation {
		return b
	}
	return a
}

// startDeparture stores the departure of an endpoint in the replicated log, so that it survives a
// restart of all replicas.
func (c *Controller) startDeparture(now time.Time, request uint64, a registrar.Announcement) {
	p := pendingDeparture{request: request, announcement: a, deadline: now.Add(departureTimeout)}
	if !c.committer.HasDeparture(a) {
		p = c.proposeDeparture(now, p)
	}
	c.pendingDepartures = append(c.pendingDepartures, p)
	c.replyToDepartures(now)
}

func (c *Controller) proposeDeparture(now time.Time, p pendingDeparture) pendingDeparture {
	p.reproposeAt = now.Add(reproposeInterval)
	c.propose(committer.Departure{Announcement: p.announcement}) // without a leader it is proposed again later
	return p
}

func (c *Controller) applyDeparture(now time.Time, d committer.Departure) {
	c.committer.RecordDeparture(d)
	c.registerDepartures(now, []registrar.Announcement{d.Announcement})
	c.replyToDepartures(now)
}

// registerDepartures enters stored departures in the registry.
func (c *Controller) registerDepartures(now time.Time, departures []registrar.Announcement) {
	list := make([]registrar.Announcement, 0, len(departures))
	for _, a := range departures {
		if known, ok := c.registry.Find(a.Name); ok {
			a = a.After(known)
		}
		list = append(list, a)
	}
	c.updateRegistry(now, list)
}

// replyToDepartures replies to the endpoints whose departure is stored or has timed out.
func (c *Controller) replyToDepartures(now time.Time) {
	kept := c.pendingDepartures[:0]
	for _, p := range c.pendingDepartures {
		switch {
		case c.committer.HasDeparture(p.announcement):
			c.emit(AnnounceReply{Request: p.request, Accepted: true})
		case !now.Before(p.deadline):
			c.emit(AnnounceReply{Request: p.request})
		case !now.Before(p.reproposeAt):
			kept = append(kept, c.proposeDeparture(now, p))
		default:
			kept = append(kept, p)
		}
	}
	c.pendingDepartures = kept
}
