package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/throttler"
)

// LimitCounts counts what the limits of endpoints have caused. The counts never decrease.
type LimitCounts struct {
	// Sent counts attempts sent with a permit.
	Sent uint64
	// Granted counts permits received from control.
	Granted uint64
	// PassedOver counts the endpoints that calls passed over for lack of a permit.
	PassedOver uint64
	// Queued counts the calls that waited for a permit, and Refused those that were refused for
	// lack of one.
	Queued, Refused uint64
}

// Minus returns the difference to earlier counts.
func (c LimitCounts) Minus(earlier LimitCounts) LimitCounts {
	return LimitCounts{
		Sent: c.Sent - earlier.Sent, Granted: c.Granted - earlier.Granted, PassedOver: c.PassedOver - earlier.PassedOver,
		Queued: c.Queued - earlier.Queued, Refused: c.Refused - earlier.Refused,
	}
}

// LimitCounts returns the counts since the balancer was created.
func (b *Balancer) LimitCounts() LimitCounts { return b.limitCounts }

// limited reports whether requests to the endpoint need permits.
func (e *endpoint) limited() bool { return e.throttle != nil && e.throttle.Limited() }

// throttled reports whether a request to the endpoint needs a permit and there is none now.
func (e *endpoint) throttled(now time.Time) bool {
	return e.throttle != nil && !e.throttle.Available(now)
}

// forgetLimit drops the limit of an earlier process of the endpoint.
func (e *endpoint) forgetLimit() {
	e.throttle = nil
	e.warmUp = warmUp{}
	e.probesNameLimit = false
	e.statement = throttler.Statement{}
}

// assumedEntries is how many entries are taken to share a limit while control has told no number.
const assumedEntries = 100

// sharingEntries returns how many entries share the limits of endpoints.
func (b *Balancer) sharingEntries() int {
	if b.knownEntries > 0 {
		return b.knownEntries
	}
	return max(b.entries, assumedEntries)
}

// setKnownEntries applies the number of entries that control knows.
func (b *Balancer) setKnownEntries(entries int) {
	if entries <= 0 || entries == b.knownEntries {
		return
	}
	b.knownEntries = entries
	for _, e := range b.endpoints {
		if e.throttle != nil {
			e.throttle.SetEntries(entries)
		}
	}
}

// observeLimit applies what a response states about the endpoint's limit.
func (b *Balancer) observeLimit(now time.Time, a *attempt, s throttler.Statement) {
	b.observe(now, a.call, a.endpoint, a.sentAt, s)
}

// observeRefusal applies the limit that a refusal names. A refusal without one says nothing: it
// may come from an endpoint that had no time to state more.
func (b *Balancer) observeRefusal(now time.Time, a *attempt, s throttler.Statement) {
	if s.Kind != throttler.StatementNone {
		b.observe(now, a.call, a.endpoint, a.sentAt, s)
	}
}

// observeProbe applies what the reply to a probe states. If no such reply has named a limit so
// far, one without a limit says nothing.
func (b *Balancer) observeProbe(now time.Time, e *endpoint, v ProbeEnded) {
	b.observeProbedWarmUp(now, e, v)
	s := v.Report.Limit
	e.probesNameLimit = e.probesNameLimit || s.Kind == throttler.StatementLimit
	if e.probesNameLimit {
		b.observe(now, nil, e, now.Add(-v.Elapsed), s)
	}
}

// observe applies a statement of the endpoint; the call is nil for the reply to a probe.
func (b *Balancer) observe(now time.Time, c *call, e *endpoint, sentAt time.Time, s throttler.Statement) {
	b.recordStatement(c, e, s)
	if e.throttle == nil {
		if s.Kind != throttler.StatementLimit {
			return
		}
		b.addThrottle(now, e)
	}
	if e.throttle.Observe(now, sentAt, s) {
		b.onLimitChanged(now, e)
	}
}

// addThrottle gives an endpoint that had neither a limit nor a warm-up a throttle.
func (b *Balancer) addThrottle(now time.Time, e *endpoint) {
	e.throttle = throttler.New(b.rand, b.sharingEntries())
	e.throttle.SetWarmUp(now, b.warmUpRate, e.warmUp.until)
}

// adoptLimit applies the limit that control knows.
func (b *Balancer) adoptLimit(now time.Time, e *endpoint, l throttler.Limit) {
	if l.Version == 0 {
		return
	}
	if e.throttle == nil {
		b.addThrottle(now, e)
	}
	if e.throttle.Adopt(now, l) {
		b.record(recorder.KindEndpointLimitChanged, nil, e, fmt.Sprintf("%s, version %d of control", describeRate(l.Rate), l.Version))
		b.onLimitChanged(now, e)
	}
}

// onLimitChanged applies a change of an endpoint's limit to the choice of endpoints.
func (b *Balancer) onLimitChanged(now time.Time, e *endpoint) {
	b.anyLimited = b.anyLimited || e.limited()
	b.updateCandidate(now, e.index, e)
	b.requestPermits(now, e)
	if !e.limited() {
		b.dispatchQueued(now)
	}
}

// recordStatement records a change of what an endpoint states about its limit. The call is nil
// for the response to a probe.
func (b *Balancer) recordStatement(c *call, e *endpoint, s throttler.Statement) {
	if s.Kind == throttler.StatementUnknown || s == e.statement || (s.Kind == throttler.StatementNone && e.statement.Kind == throttler.StatementUnknown) {
		return
	}
	detail := fmt.Sprintf("named %s, before %s", describeStatement(s), describeStatement(e.statement))
	if c == nil {
		detail += ", in the response to a probe"
	}
	e.statement = s
	b.record(recorder.KindEndpointLimitChanged, c, e, detail)
}

func describeStatement(s throttler.Statement) string {
	if s.Kind == throttler.StatementInvalid {
		return "a limit that can't be read"
	}
	return describeRate(s.Rate)
}

func describeRate(rate float64) string {
	if rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g requests a second from all entries", rate)
}
