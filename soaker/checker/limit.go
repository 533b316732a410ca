package checker

import (
	"time"

	"comfreyplank.org/bench/rater"
)

// learnTime is the time after which an entry that has passed on a response with a limit must keep it.
// A freeze excuses an entry for rater.Contact.
const learnTime = 500 * time.Millisecond

// limits holds the observations about the limits of endpoints.
type limits struct {
	named []namedLimit
	// sentBy holds the process of an entry that each request was sent to, and runs where and
	// when each request began to run.
	sentBy map[string]string
	runs   []run
	// passed lists the responses that entries passed on.
	passed []passedResponse
	// excused lists the times at which a fault hit an entry or ended.
	excused []excuse
}

// namedLimit is a limit that an endpoint named for a time; until is zero while it lasts.
type namedLimit struct {
	endpoint    string
	rate        float64
	from, until time.Time
}

type run struct {
	endpoint, request string
	at                time.Time
}

type passedResponse struct {
	request string
	at      time.Time
}

type excuse struct {
	entry string
	at    time.Time
}

// LimitNamed records that an endpoint names a limit from now on; a rate of zero ends it.
func (c *Checker) LimitNamed(now time.Time, endpoint string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.limits.named {
		if l := &c.limits.named[i]; l.endpoint == endpoint && l.until.IsZero() {
			l.until = now
		}
	}
	if rate > 0 {
		c.limits.named = append(c.limits.named, namedLimit{endpoint: endpoint, rate: rate, from: now})
	}
}

// Sent records the process of an entry that a request is sent to.
func (c *Checker) Sent(requestID, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.sentBy[requestID] = entry
}

// PassedOn records that an entry has passed on the response to a request.
func (c *Checker) PassedOn(now time.Time, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.passed = append(c.limits.passed, passedResponse{requestID, now})
}

// Excused records that a fault hits a process of an entry or has just ended.
func (c *Checker) Excused(now time.Time, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.excused = append(c.limits.excused, excuse{entry, now})
}

// learned returns when each process of an entry first passed on a response to a request that began
// to run while the limit was named.
func (l *limits) learned(limit namedLimit) map[string]time.Time {
	ran := make(map[string]bool)
	for _, r := range l.runs {
		if r.endpoint == limit.endpoint && r.at.After(limit.from) {
			ran[r.request] = true
		}
	}
	learned := make(map[string]time.Time)
	for _, p := range l.passed {
		entry := l.sentBy[p.request]
		if _, ok := learned[entry]; ran[p.request] && !ok {
			learned[entry] = p.at
		}
	}
	return learned
}

func (l *limits) isExcused(entry string, at time.Time) bool {
	for _, e := range l.excused {
		if e.entry == entry && at.Sub(e.at).Abs() <= rater.Contact {
			return true
		}
	}
	return false
}

// counted returns the times of the requests that count against a limit.
func (l *limits) counted(limit namedLimit) []time.Time {
	learned := l.learned(limit)
	var times []time.Time
	for _, r := range l.runs {
		entry := l.sentBy[r.request]
		learnedAt, ok := learned[entry]
		if r.endpoint != limit.endpoint || !ok || r.at.Sub(learnedAt) < learnTime || l.isExcused(entry, r.at) {
			continue
		}
		if limit.until.IsZero() || r.at.Before(limit.until) {
			times = append(times, r.at)
		}
	}
	return times
}

// checkLimits adds a violation for each limit that was exceeded.
func (c *Checker) checkLimits() {
	for _, limit := range c.limits.named {
		end, requests := rater.Busiest(c.limits.counted(limit), limit.from)
		if allowed := rater.Allowed(limit.rate); requests > allowed {
			c.addViolation("%s got %d requests in %s until %s after it named a limit of %v a second, allowed %d",
				limit.endpoint, requests, rater.Window, end.Sub(limit.from).Round(time.Millisecond), limit.rate, allowed)
		}
	}
}
