package checker

import (
	"time"

	"comfreyplank.org/bench/rater"
)

// learnTime is the time after which an entry that has passed on a response with a limit must keep it.
// A freeze excuses an entry for rater.Contact.
const learnTime = 500 * time.Millisecond

// namedLimit is a limit that an endpoint named for a time; until is zero while it lasts.
type namedLimit struct {
	endpoint    string
	rate        float64
	from, until time.Time
}

// LimitNamed records that an endpoint names a limit from now on; a rate of zero ends it.
func (c *Checker) LimitNamed(now time.Time, endpoint string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.limits {
		if l := &c.limits[i]; l.endpoint == endpoint && l.until.IsZero() {
			l.until = now
		}
	}
	if rate > 0 {
		c.limits = append(c.limits, namedLimit{endpoint: endpoint, rate: rate, from: now})
	}
}

// counted returns the times of the requests that count against a limit.
func (c *Checker) counted(limit namedLimit) []time.Time {
	learned := c.seen.learned(limit.endpoint, limit.from)
	var times []time.Time
	for _, r := range c.seen.runs {
		entry := c.seen.sent[r.request].entry
		learnedAt, ok := learned[entry]
		if r.endpoint != limit.endpoint || !ok || r.at.Sub(learnedAt) < learnTime || c.seen.excused.hit(entry, r.at.Add(-rater.Contact), r.at.Add(rater.Contact)) {
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
	for _, limit := range c.limits {
		end, requests := rater.Busiest(c.counted(limit), limit.from)
		if allowed := rater.Allowed(limit.rate); requests > allowed {
			c.addViolation("%s got %d requests in %s until %s after it named a limit of %v a second, allowed %d",
				limit.endpoint, requests, rater.Window, end.Sub(limit.from).Round(time.Millisecond), limit.rate, allowed)
		}
	}
}
