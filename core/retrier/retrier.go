// Package retrier decides whether a request may be tried again, hedged, or its
// caller must be told, and how the caller is told truthfully.
package retrier

import (
	"time"

	"comfreyplank.org/core/router"
)

// MaxAttempts bounds the attempts of one call at one entry, hedges included, where its
// route states no other bound.
const MaxAttempts = 3

// reserveTokens lets a service with little traffic retry a few times.
const reserveTokens = 3

// DefaultBurst is how many retries may be saved up.
const DefaultBurst = 50

// refillEvery is how long nothing must have been spent for one token of the reserve to come
// back: in any such time, at most what may be saved up is spent beside the share.
const refillEvery = 10 * time.Second

// Budget bounds retries and hedges to a share of first attempts.
type Budget struct {
	percent int
	// tokens is in hundredths of an attempt; 0 <= tokens <= capacity.
	tokens int
	// capacity is the most that may be saved up, in hundredths of an attempt.
	capacity int
	// spentAt is when a retry was last spent, or the last token came back.
	spentAt time.Time
}

const tokenUnit = 100

// Option sets up a budget.
type Option func(*Budget)

// WithBurst sets how many retries may be saved up.
func WithBurst(n int) Option { return func(b *Budget) { b.capacity = n * tokenUnit } }

// NewBudget returns a budget that allows percent retries for 100 first attempts.
func NewBudget(percent int, opts ...Option) *Budget {
	b := &Budget{percent: percent, capacity: DefaultBurst * tokenUnit}
	for _, opt := range opts {
		opt(b)
	}
	if percent > 0 {
		b.tokens = min(reserveTokens*tokenUnit, b.capacity)
	}
	return b
}

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.percent = percent }

// RecordFirstAttempt takes note of a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.tokens = min(b.capacity, b.tokens+b.percent)
	if b.percent > 0 && b.tokens < tokenUnit && now.Sub(b.spentAt) >= refillEvery {
		b.tokens = min(b.capacity, b.tokens+tokenUnit)
		b.spentAt = now
	}
}

// Spend takes one retry from the budget, if there is one.
func (b *Budget) Spend(now time.Time) bool {
	if b.percent == 0 || b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	b.spentAt = now
	return true
}

// Proof says what is known of an attempt that brought no answer to pass on.
type Proof uint8

// The proofs of an attempt.
const (
	// ProofNotRun: no connection, nothing written, or an explicit refusal.
	ProofNotRun Proof = iota + 1
	// ProofNone: it may have run.
	ProofNone
)

// MayRetry reports whether a failed attempt may be followed by another, when at most
// so many may be made. Chained calls are retries of a caller higher up, and are not
// multiplied.
func MayRetry(e router.Execution, p Proof, attempts, most int, chained bool) bool {
	if attempts >= most {
		return false
	}
	if p == ProofNotRun {
		return !chained || attempts < 2
	}
	return e == router.Repeatable && !chained
}

// MayHedge reports whether a second attempt may run beside the first.
func MayHedge(e router.Execution, attempts, most int, chained bool) bool {
	return e == router.Repeatable && attempts < most && !chained
}
