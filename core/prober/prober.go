// Package prober spends a share of the watching budget. A probe is paid for in
// full before it is sent, so the ceiling holds whatever the endpoint does.
package prober

import (
	"time"

	"comfreyplank.org/core/allotter"
)

// Bounds of a probe.
const (
	// Timeout is the longest a probe may take, and what is paid in advance.
	Timeout = 50 * time.Millisecond
	// Bytes is the most a probe and its answer may take on the wire, and what is
	// paid for each.
	Bytes = 2 << 10
	// StaleAfter is how old passive evidence must be for a probe.
	StaleAfter = 250 * time.Millisecond
	// burst is how much of a share may be saved up.
	burst = time.Second
	// payGrain is how exactly it is foretold when a probe can be paid.
	payGrain = time.Millisecond
)

// Prober spends one service's share. The zero value has nothing to spend.
type Prober struct {
	share allotter.Share
	until time.Time
	// micros and bytes are the savings; neither is ever negative, and neither
	// exceeds what the share yields in a burst.
	micros float64
	bytes  float64
	at     time.Time
}

// Grant replaces the share. What was saved under a larger share is cut.
func (p *Prober) Grant(now time.Time, share allotter.Share, until time.Time) {
	p.refill(now)
	p.share = share
	p.until = until
	p.clip()
}

// refill saves up what the share has yielded, up to its expiry.
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
	p.clip()
}

func (p *Prober) clip() {
	most := burst.Seconds()
	p.micros = min(p.micros, max(most*float64(p.share.ProbeMicros), float64(Timeout.Microseconds())))
	p.bytes = min(p.bytes, max(most*float64(p.share.ProbeBytes), Bytes))
	if p.share.ProbeMicros == 0 || p.share.ProbeBytes == 0 {
		p.micros = 0
		p.bytes = 0
	}
}

// Spend takes the price of a probe, if the share is valid and has yielded it.
func (p *Prober) Spend(now time.Time) bool {
	p.refill(now)
	price := float64(Timeout.Microseconds())
	if !now.Before(p.until) || p.micros < price || p.bytes < Bytes {
		return false
	}
	p.micros -= price
	p.bytes -= Bytes
	return true
}

// SpendableAt returns when the share will have yielded the price of a probe; zero when that
// is not before it ends.
func (p *Prober) SpendableAt(now time.Time) time.Time {
	p.refill(now)
	if p.share.ProbeMicros <= 0 || p.share.ProbeBytes <= 0 {
		return time.Time{}
	}
	micros := (float64(Timeout.Microseconds()) - p.micros) / float64(p.share.ProbeMicros)
	bytes := (Bytes - p.bytes) / float64(p.share.ProbeBytes)
	wait := time.Duration(max(0, micros, bytes) * float64(time.Second))
	if wait > 0 {
		wait = wait.Truncate(payGrain) + payGrain
	}
	if at := now.Add(wait); at.Before(p.until) {
		return at
	}
	return time.Time{}
}

// Refund gives back what a probe did not use.
func (p *Prober) Refund(took time.Duration) {
	p.micros += float64(max(0, Timeout-took).Microseconds())
	p.clip()
}
