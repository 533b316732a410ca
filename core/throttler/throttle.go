package throttler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyplank.org/core/scheduler"
)

const (
	// replyTimeout is how long an entry waits for the reply to a request before it issues
	// permits itself.
	replyTimeout = 500 * time.Millisecond
	// ownShareDivisor is the part of the limit that entries without a reply use together, if all
	// of them are without one. It leaves room for the permits that were issued before.
	ownShareDivisor = 2
	// wantTTL is how long after a request that wanted a permit another one is taken to come in close succession: well
	// below the life of a permit, so that an entry asks for no more permits than it will use.
	wantTTL = 200 * time.Millisecond
	// askAhead is the time for which an entry asks for permits: until the reply to its next request.
	askAhead = 120 * time.Millisecond
	// askShareDoubling is the time in which the share that control told doubles: an entry that was told a low share long
	// ago would otherwise learn last that it may ask for more.
	askShareDoubling = 4 * time.Second
)

// permit allows one request at a time from from to until.
type permit struct {
	from, until time.Time
}

// Throttle holds the limit of one endpoint at one entry, and the permits that the entry may use.
// It is not safe for concurrent use.
type Throttle struct {
	rand *rand.Rand
	// entries is how many entries share the limit; at least 1.
	entries int
	// limit is what the endpoint names, and rate what applies: the lower of that and the rate of the warm-up.
	limit Limit
	rate  float64
	// warmUpRate applies until warmUpUntil; zero without a warm-up.
	warmUpRate  float64
	warmUpUntil time.Time
	// restrictedAt is when the rate was last lowered. Permits that were requested before were issued for a higher one.
	restrictedAt time.Time
	// learnedAt is when the limit was last changed. A response to a request that was sent before
	// may be older than the limit.
	learnedAt time.Time
	// observed is set while the limit comes from a response to this entry and control may not
	// know it. unreported is set until it is part of a request.
	observed, unreported bool

	// permits is ordered by from.
	permits []permit
	// wanted counts the requests that lacked a permit since the last request for permits, as far as they came in close
	// succession; wantedAt is when the last one did.
	wanted   int
	wantedAt time.Time
	// askShare is the share of the requests that want a permit for which the entry asks, as control told it at askShareAt.
	askShare   float64
	askShareAt time.Time
	// requestedAt is when the request without a reply was made, and requested how many permits
	// it asked for; both are zero without one.
	requestedAt time.Time
	requested   int
	nextRequest time.Time
	// unanswered is set from the time when a reply is overdue until the next one arrives.
	unanswered bool
	// phase is the part of the interval after which this entry issues the first permit itself,
	// from 0 to 1. Other entries may have lost control at the same time.
	phase float64
	// nextOwn is the time of the next permit that this entry issues itself; zero if there was none.
	nextOwn time.Time
}

// New returns the throttle of an endpoint that has named no limit. The random source spreads the
// requests of the entries.
func New(source *rand.Rand, entries int) *Throttle {
	return &Throttle{rand: source, entries: max(1, entries), askShare: 1}
}

// SetEntries sets the number of entries that share the limit.
func (t *Throttle) SetEntries(entries int) { t.entries = max(1, entries) }

// Limit returns the limit that the endpoint names, as the entry knows it.
func (t *Throttle) Limit() Limit { return t.limit }

// Limited reports whether requests need a permit.
func (t *Throttle) Limited() bool { return t.rate > 0 }

// Observe applies what a response to a request of this entry states. It reports whether the limit
// has changed. A lower limit applies at once; a higher one, or none, only if the request was sent
// after the present limit was learned, since responses may arrive out of order.
func (t *Throttle) Observe(now, sentAt time.Time, s Statement) bool {
	if s.Kind != StatementLimit && s.Kind != StatementNone {
		return false
	}
	if s.Rate == t.limit.Rate || (!Restricts(s.Rate, t.limit.Rate) && sentAt.Before(t.learnedAt)) {
		return false
	}
	t.setLimit(now, s.Rate)
	t.observed = true
	t.unreported = true
	return true
}

// Adopt applies the limit that control knows, if it is newer, and reports whether the rate has
// changed. A lower limit that a response has named meanwhile is kept.
func (t *Throttle) Adopt(now time.Time, l Limit) bool {
	if l.Version <= t.limit.Version {
		return false
	}
	t.limit.Version = l.Version
	if t.observed && Restricts(t.limit.Rate, l.Rate) {
		t.unreported = true
		return false
	}
	t.observed = false
	t.unreported = false
	if l.Rate == t.limit.Rate {
		return false
	}
	t.setLimit(now, l.Rate)
	return true
}

// setLimit changes the limit that the endpoint names.
func (t *Throttle) setLimit(now time.Time, rate float64) {
	t.limit.Rate = rate
	t.learnedAt = now
	t.updateRate(now)
}

// setRate changes the rate. Permits that were issued for a higher one are dropped.
func (t *Throttle) setRate(now time.Time, rate float64) {
	if Restricts(rate, t.rate) {
		t.permits = nil
		t.restrictedAt = now
	}
	t.rate = rate
	t.nextRequest = time.Time{}
	t.nextOwn = time.Time{}
	switch {
	case rate == 0:
		t.permits = nil
		t.wanted = 0
		t.endRequest()
		t.unanswered = false
	case t.unanswered:
		t.startOwn(now)
	}
}

// startOwn schedules the first permit that this entry issues itself.
func (t *Throttle) startOwn(from time.Time) {
	t.nextOwn = from.Add(time.Duration(t.phase * float64(t.ownInterval())))
}

func (t *Throttle) endRequest() {
	t.requestedAt = time.Time{}
	t.requested = 0
}

// Available reports whether a request may be sent now.
func (t *Throttle) Available(now time.Time) bool {
	if !t.Limited() {
		return true
	}
	t.refresh(now)
	if !t.Limited() {
		return true
	}
	return len(t.permits) > 0 && !now.Before(t.permits[0].from)
}

// Take uses a permit and reports whether there was one.
func (t *Throttle) Take(now time.Time) bool {
	if !t.Available(now) {
		return false
	}
	if t.Limited() {
		t.permits = slices.Delete(t.permits, 0, 1)
	}
	return true
}

// Want counts a request that would be sent to the endpoint if there were a permit. It reports whether the entry should
// ask for one: while many requests of all entries want one, each asks for its share of them only.
func (t *Throttle) Want(now time.Time) bool {
	if t.rand.Float64() >= t.askShare*math.Exp2(now.Sub(t.askShareAt).Seconds()/askShareDoubling.Seconds()) {
		return false
	}
	if now.Sub(t.wantedAt) > wantTTL {
		t.wanted = 0
	}
	t.wanted++
	t.wantedAt = now
	return true
}

// Request returns what is to be sent to control now, and whether there is anything.
func (t *Throttle) Request(now time.Time) (Request, bool) {
	t.refresh(now)
	permits := t.missing(now)
	if permits == 0 && !t.unreported {
		return Request{}, false
	}
	if permits > 0 {
		t.requestedAt = now
		t.requested = permits
		t.wanted = 0
		t.phase = t.rand.Float64()
	}
	t.unreported = false
	return Request{Limit: t.limit, Observed: t.observed, Permits: permits, WarmUp: t.warmUp(now)}, true
}

// missing returns how many permits to request now.
func (t *Throttle) missing(now time.Time) int {
	if !t.Limited() || t.awaitsReply() || now.Before(t.nextRequest) {
		return 0
	}
	most := max(1, int(t.rate*askAhead.Seconds()))
	return min(t.wanted, most)
}

func (t *Throttle) awaitsReply() bool { return !t.requestedAt.IsZero() }

// MayRequest reports whether a permit that is wanted now would be requested at once.
func (t *Throttle) MayRequest(now time.Time) bool {
	t.refresh(now)
	return t.Limited() && !t.awaitsReply() && !now.Before(t.nextRequest)
}

// Grant applies the reply to a request that was sent at the given time.
func (t *Throttle) Grant(now, sentAt time.Time, g Grant) {
	t.endRequest()
	t.unanswered = false
	t.nextOwn = time.Time{}
	t.Adopt(now, g.Limit)
	t.askShare, t.askShareAt = 1, now
	if g.AskShare > 0 {
		t.askShare = g.AskShare
	}
	t.refresh(now)
	if !t.Limited() || t.isOutdated(sentAt, g) {
		return
	}
	for i := range g.Permits {
		delay := max(0, g.Delay+time.Duration(i)*g.Interval)
		t.add(permit{from: now.Add(delay), until: sentAt.Add(delay + PermitLife)})
	}
	t.nextRequest = now.Add(g.RetryAfter)
	if g.RetryAfter > 0 { // others wait too
		t.nextRequest = t.nextRequest.Add(time.Duration(t.rand.Int64N(int64(g.RetryAfter))))
	}
}

// isOutdated reports whether the permits of a reply may have been issued for a higher rate than the one that applies.
func (t *Throttle) isOutdated(sentAt time.Time, g Grant) bool {
	return (t.limit.Rate > 0 && g.Limit.Version < t.limit.Version) || (t.warmUpRate > 0 && sentAt.Before(t.restrictedAt))
}

func (t *Throttle) add(p permit) {
	i, _ := slices.BinarySearchFunc(t.permits, p, func(a, b permit) int { return a.from.Compare(b.from) })
	t.permits = slices.Insert(t.permits, i, p)
}

// refresh ends a warm-up that is over, removes expired permits, and issues own ones while a reply is overdue.
func (t *Throttle) refresh(now time.Time) {
	t.updateRate(now)
	if !t.Limited() {
		return
	}
	t.permits = slices.DeleteFunc(t.permits, func(p permit) bool { return !now.Before(p.until) })
	if overdue := t.requestedAt.Add(replyTimeout); t.awaitsReply() && !now.Before(overdue) {
		t.endRequest()
		t.unanswered = true
		if t.nextOwn.IsZero() {
			t.startOwn(overdue)
		}
	}
	if t.unanswered {
		t.issueOwn(now)
	}
}

// ownInterval is the time between two permits that this entry issues itself.
func (t *Throttle) ownInterval() time.Duration {
	return time.Duration(float64(time.Second) * ownShareDivisor * float64(t.entries) / t.rate)
}

// issueOwn issues the permits that are due.
func (t *Throttle) issueOwn(now time.Time) {
	interval := t.ownInterval()
	for !now.Before(t.nextOwn) {
		if until := t.nextOwn.Add(PermitLife); now.Before(until) {
			t.add(permit{t.nextOwn, until})
		}
		t.nextOwn = t.nextOwn.Add(interval)
	}
}

// AvailableBy returns how many permits can be used until a time, as far as is known now.
func (t *Throttle) AvailableBy(now, until time.Time) int {
	t.refresh(now)
	n := 0
	for _, p := range t.permits {
		if !p.from.After(until) {
			n++
		}
	}
	return n
}

// ExpectsReply reports whether the reply to a request for permits, sent before or now, will soon
// tell when the next permit can be used.
func (t *Throttle) ExpectsReply(now time.Time) bool {
	t.refresh(now)
	return !t.unanswered && (t.awaitsReply() || !now.Before(t.nextRequest))
}

// Expected returns how many permits this entry holds or has asked for.
func (t *Throttle) Expected(now time.Time) int {
	t.refresh(now)
	return len(t.permits) + t.requested
}

// NextPermit returns when the next permit can be used or requested.
func (t *Throttle) NextPermit(now time.Time) time.Time {
	t.refresh(now)
	next := t.nextRequest
	if t.unanswered {
		next = t.nextOwn
	}
	if len(t.permits) > 0 && t.permits[0].from.Before(next) {
		next = t.permits[0].from
	}
	if next.Before(now) {
		return now
	}
	return next
}

// ChangeAt returns when time alone changes what the throttle allows; zero means never.
func (t *Throttle) ChangeAt(now time.Time) time.Time {
	if !t.Limited() {
		return time.Time{}
	}
	t.refresh(now)
	if !t.Limited() {
		return time.Time{}
	}
	var at time.Time
	if now.Before(t.warmUpUntil) {
		at = t.warmUpUntil
	}
	for _, p := range t.permits {
		at = scheduler.Earliest(at, p.until)
		if p.from.After(now) {
			at = scheduler.Earliest(at, p.from)
		}
	}
	if t.awaitsReply() {
		at = scheduler.Earliest(at, t.requestedAt.Add(replyTimeout))
	}
	if t.unanswered {
		at = scheduler.Earliest(at, t.nextOwn)
	}
	if t.nextRequest.After(now) {
		at = scheduler.Earliest(at, t.nextRequest)
	}
	return at
}
