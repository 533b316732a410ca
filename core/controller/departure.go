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
	until        time.Time
	// proposeAt is when the departure is proposed again.
	proposeAt time.Time
}

// onAnnounce takes in what an endpoint said to this replica itself. A replica that
// may be cut off takes nothing, so that the endpoint turns to another one.
func (c *Controller) onAnnounce(now time.Time, v Announce) {
	a, ok := c.identified(v.Announcement)
	switch {
	case !ok || !c.hearsMajority(now):
		c.do(AnnounceReply{Request: v.Request})
	case !a.Leaving():
		c.onAnnounced(now, []registrar.Announcement{a})
		c.do(AnnounceReply{Request: v.Request, Accepted: true})
	default:
		c.depart(now, v.Request, a)
	}
}

// identified completes a goodbye that names no service or incarnation from what is
// known of the endpoint.
func (c *Controller) identified(a registrar.Announcement) (registrar.Announcement, bool) {
	if a.Service != "" && a.Incarnation != 0 {
		return a, true
	}
	var found registrar.Announcement
	for _, known := range c.registry.ByEndpointName(a.Endpoint) {
		if a.Incarnation == 0 || known.Incarnation == a.Incarnation {
			found = newest(found, known)
		}
	}
	if found.Service == "" {
		return a, false
	}
	found.Deregistered = a.Deregistered
	found.State = a.State
	found.Sequence = max(found.Sequence, a.Sequence) + 1
	return found, true
}

func newest(a, b registrar.Announcement) registrar.Announcement {
	if a.Service == "" || b.Incarnation > a.Incarnation {
		return b
	}
	return a
}

// depart keeps in the log that an endpoint leaves: a majority knows it then, also
// after all replicas have started anew.
func (c *Controller) depart(now time.Time, request uint64, a registrar.Announcement) {
	p := pendingDeparture{request: request, announcement: a, until: now.Add(departureTimeout)}
	if !c.committer.HasDeparture(a) {
		p = c.proposeDeparture(now, p)
	}
	c.departures = append(c.departures, p)
	c.answerDepartures(now)
}

func (c *Controller) proposeDeparture(now time.Time, p pendingDeparture) pendingDeparture {
	p.proposeAt = now.Add(proposeWait)
	c.propose(committer.Departure{Announcement: p.announcement}) // without a leader it is tried again
	return p
}

func (c *Controller) applyDeparture(now time.Time, d committer.Departure) {
	c.committer.RecordDeparture(d)
	c.takeIn(now, []registrar.Announcement{d.Announcement})
	c.answerDepartures(now)
}

// answerDepartures answers the endpoints whose departure is kept, or has waited too
// long.
func (c *Controller) answerDepartures(now time.Time) {
	kept := c.departures[:0]
	for _, p := range c.departures {
		switch {
		case c.committer.HasDeparture(p.announcement):
			c.do(AnnounceReply{Request: p.request, Accepted: true})
		case !now.Before(p.until):
			c.do(AnnounceReply{Request: p.request})
		case !now.Before(p.proposeAt):
			kept = append(kept, c.proposeDeparture(now, p))
		default:
			kept = append(kept, p)
		}
	}
	c.departures = kept
}
