// Package prober limits the probes of a service to a share of its probe budget. The
// maximum cost of a probe is spent before the probe is sent, so the share can't be
// exceeded whatever the endpoint does.
package prober

import (
	"time"

	"comfreyplank.org/core/allotter"
)

// Bounds of a probe.
const (
	// Timeout is the maximum duration of a probe, which is spent in advance.
	Timeout = 50 * time.Millisecond
	// MaxBytes is the maximum size of a probe and its reply on the wire, which is spent for
	// each probe.
	MaxBytes = 2 << 10
	// StaleAfter is the age from which passive evidence about an endpoint calls for a probe.
	StaleAfter = 250 * time.Millisecond
	// burst is the time for which the yield of a share may be saved up.
	burst = time.Second
	// waitGranularity is the granularity of the wait until a probe can be afforded.
	waitGranularity = time.Millisecond
)

// Prober spends one service's share of the probe budget. The zero value has nothing to spend.
type Prober struct {
	share allotter.Share
	until time.Time
	// micros and bytes are the savings; neither is ever negative, and neither
	// exceeds what the share yields in a burst or the cost of one probe, whichever is more.
	micros float64
	bytes  float64
	at     time.Time
}

// Grant replaces the share until the given time. Savings that exceed the bounds of the new
// share are lost.
func (p *Prober) Grant(now time.Time, share allotter.Share, until time.Time) {
	p.refill(now)
	p.share = share
	p.until = until
	p.clamp()
}

// refill adds the yield of the share since the last refill, up to the share's expiry.
func (p *Prober) refill(now time.Time) {
	end := now
	if p.until.Before(end) {
		end = p.until
	}
	if elapsed := end.Sub(p.at).Seconds(); elapsed > 0 && !p.at.IsZero() {
		p.micros += elapsed * float64(p.share.ProbeMicros)
		p.bytes += elapsed * float64(p.share.ProbeBytes)
	}
	p.at = now
	p.clamp()
}

// clamp limits the savings to a burst. One probe can always be saved up, unless the share
// yields no time or no bytes.
func (p *Prober) clamp() {
	seconds := burst.Seconds()
	p.micros = min(p.micros, max(seconds*float64(p.share.ProbeMicros), float64(Timeout.Microseconds())))
	p.bytes = min(p.bytes, max(seconds*float64(p.share.ProbeBytes), MaxBytes))
	if p.share.ProbeMicros == 0 || p.share.ProbeBytes == 0 {
		p.micros = 0
		p.bytes = 0
	}
}

// Spend takes the maximum cost of a probe from the savings. It reports false if the share has
// expired or the savings don't suffice.
func (p *Prober) Spend(now time.Time) bool {
	p.refill(now)
	cost := float64(Timeout.Microseconds())
	if !now.Before(p.until) || p.micros < cost || p.bytes < MaxBytes {
		return false
	}
	p.micros -= cost
	p.bytes -= MaxBytes
	return true
}

// SpendableAt returns when the savings will suffice for a probe, or zero if the share expires
// before that.
func (p *Prober) SpendableAt(now time.Time) time.Time {
	p.refill(now)
	if p.share.ProbeMicros <= 0 || p.share.ProbeBytes <= 0 {
		return time.Time{}
	}
	micros := (float64(Timeout.Microseconds()) - p.micros) / float64(p.share.ProbeMicros)
	bytes := (MaxBytes - p.bytes) / float64(p.share.ProbeBytes)
	var wait time.Duration
	if missing := max(micros, bytes); missing > 0 {
		wait = time.Duration(missing*float64(time.Second)).Truncate(waitGranularity) + waitGranularity
	}
	if at := now.Add(wait); at.Before(p.until) {
		return at
	}
	return time.Time{}
}

// Refund returns the time that a probe did not use to the savings.
func (p *Prober) Refund(took time.Duration) {
	p.micros += float64(max(0, Timeout-took).Microseconds())
	p.clamp()
}
