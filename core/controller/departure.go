package controller

import (
	"time"

	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/registrar"
)

// departureTimeout is how long an endpoint that leaves waits for a majority. It asks
// another replica after that.
const departureTimeout = 900 * time.Millisecond

// pendingDeparture is an endpoint that waits to know that it gets no more new work.
type pendingDeparture struct {
	request      uint64
	announcement registrar.Announcement
	deadline     time.Time
	// reproposeAt is when the departure is proposed again.
	reproposeAt time.Time
}

// onAnnounce takes in what an endpoint said to this replica itself. A replica that
// may be cut off takes nothing, so that the endpoint turns to another one.
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

// completeAnnouncement completes a goodbye that names no service or incarnation from what is
// known of the endpoint.
func (c *Controller) completeAnnouncement(a registrar.Announcement) (registrar.Announcement, bool) {
	if a.Service != "" && a.Incarnation != 0 {
		return a, true
	}
	var match registrar.Announcement
	for _, known := range c.registry.Named(a.Endpoint) {
		if a.Incarnation == 0 || known.Incarnation == a.Incarnation {
			match = laterIncarnation(match, known)
		}
	}
	if match.Service == "" {
		return a, false
	}
	match.Gone = a.Gone
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

// startDeparture keeps in the log that an endpoint leaves: a majority knows it then, also
// after all replicas have started anew.
func (c *Controller) startDeparture(now time.Time, request uint64, a registrar.Announcement) {
	p := pendingDeparture{request: request, announcement: a, deadline: now.Add(departureTimeout)}
	if !c.committer.Departed(a) {
		p = c.proposeDeparture(now, p)
	}
	c.pendingDepartures = append(c.pendingDepartures, p)
	c.replyToDepartures(now)
}

func (c *Controller) proposeDeparture(now time.Time, p pendingDeparture) pendingDeparture {
	p.reproposeAt = now.Add(reproposeInterval)
	c.propose(committer.Departure{Announcement: p.announcement}) // without a leader it is tried again
	return p
}

func (c *Controller) applyDeparture(now time.Time, d committer.Departure) {
	c.committer.Depart(d)
	c.updateRegistry(now, []registrar.Announcement{d.Announcement})
	c.replyToDepartures(now)
}

// replyToDepartures answers the endpoints whose departure is kept, or has waited too
// long.
func (c *Controller) replyToDepartures(now time.Time) {
	kept := c.pendingDepartures[:0]
	for _, p := range c.pendingDepartures {
		switch {
		case c.committer.Departed(p.announcement):
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
