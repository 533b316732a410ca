package checker

import (
	"fmt"
	"strings"
	"time"
)

// An endpoint that has asked an entry for a pause may get maxInPause requests from it after pauseLearnTime.
const (
	pauseLearnTime = 500 * time.Millisecond
	maxInPause     = 2
)

// faultTime is longer than any fault lasts: one that began so long before may still be under way.
const faultTime = 5 * time.Second

// saidLeaving is a time in which an endpoint says that it leaves; until is zero while it lasts.
type saidLeaving struct {
	endpoint    string
	from, until time.Time
}

// askedPause is a pause that an endpoint has asked a process of an entry for.
type askedPause struct {
	endpoint, entry string
	// request is the one that was refused.
	request     string
	from, until time.Time
}

// LeavingSaid records that an endpoint says from now on that it leaves, or, as a new incarnation, no longer. What the
// former incarnation has asked for ends with it.
func (c *Checker) LeavingSaid(now time.Time, endpoint string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.leaving {
		if l := &c.leaving[i]; l.endpoint == endpoint && l.until.IsZero() {
			l.until = now
		}
	}
	if leaving {
		c.leaving = append(c.leaving, saidLeaving{endpoint: endpoint, from: now})
		return
	}
	for i := range c.pauses {
		if p := &c.pauses[i]; p.endpoint == endpoint && p.until.After(now) {
			p.until = now
		}
	}
}

// Arrived records that a request has arrived at an endpoint, and the pause for which the endpoint refuses it, or zero.
func (c *Checker) Arrived(now time.Time, endpoint, requestID string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.arrivals = append(c.seen.arrivals, arrival{endpoint, requestID, now})
	if entry := c.seen.sent[requestID].entry; pause > 0 && entry != "" {
		c.pauses = append(c.pauses, askedPause{endpoint, entry, requestID, now, now.Add(pause)})
	}
}

// checkLeaving adds a violation for each request that was sent after its entry had passed on that the endpoint leaves,
// and reached the endpoint all the same.
func (c *Checker) checkLeaving() {
	for _, l := range c.leaving {
		learned := c.seen.learned(l.endpoint, l.from)
		for _, a := range c.seen.arrivals {
			sent := c.seen.sent[a.request]
			learnedAt, ok := learned[sent.entry]
			after := ok && a.endpoint == l.endpoint && sent.at.Sub(learnedAt) > learnTime
			if !after || (!l.until.IsZero() && !a.at.Before(l.until)) || c.seen.excused.hit(sent.entry, learnedAt.Add(-faultTime), a.at) {
				continue
			}
			c.addViolation("%s got %s, sent to %s %s after that had passed on that the endpoint leaves",
				l.endpoint, a.request, sent.entry, sent.at.Sub(learnedAt).Round(time.Millisecond))
		}
	}
}

// checkPauses adds a violation for each pause in which an endpoint got too many requests.
func (c *Checker) checkPauses() {
	for _, p := range c.pauses {
		if c.seen.excused.hit(p.entry, p.from.Add(-faultTime), p.until) || c.seen.excused.hit(p.endpoint, p.from.Add(-faultTime), p.until) {
			continue
		}
		got := 0
		for _, a := range c.seen.arrivals {
			if a.endpoint == p.endpoint && c.seen.sent[a.request].entry == p.entry && a.at.Sub(p.from) > pauseLearnTime && a.at.Before(p.until) {
				got++
			}
		}
		if got > maxInPause {
			c.addViolation("%s got %d requests from %s in a pause of %s that it had asked for, allowed %d; it refused %s%s",
				p.endpoint, got, p.entry, p.until.Sub(p.from), maxInPause, p.request, c.seen.otherAttempts(p))
		}
	}
}

// otherAttempts describes the other attempts of the request with which an endpoint asked for a pause. After an attempt before it, or
// at about the same time, the entry may have had its answer already and have dropped the refusal unread.
func (o *observations) otherAttempts(p askedPause) string {
	var b strings.Builder
	for _, a := range o.arrivals {
		if a.request == p.request && a.endpoint != p.endpoint {
			fmt.Fprintf(&b, ", which reached %s %s after that", a.endpoint, a.at.Sub(p.from).Round(time.Millisecond))
		}
	}
	return b.String()
}
