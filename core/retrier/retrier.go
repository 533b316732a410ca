// Package retrier decides whether a request may be retried or hedged, and bounds the
// retries and hedges of a service by a budget.
package retrier

import (
	"time"

	"comfreyplank.org/core/router"
)

// MaxAttempts is the default bound on the attempts of one call at one entry, hedges included.
// A route may set another one.
const MaxAttempts = 3

// reserveTokens is the number of retries that a new budget allows before any first attempt,
// so that a service with little traffic can retry a few times.
const reserveTokens = 3

// DefaultBurst is the default number of retries that may be saved up.
const DefaultBurst = 50

// refillInterval is how long a budget must have spent nothing before one token of the reserve
// is refilled. This way, the spending within any such interval exceeds the share of first
// attempts by at most what may be saved up.
const refillInterval = 10 * time.Second

// Budget limits retries and hedges to a percentage of first attempts.
type Budget struct {
	percent int
	// tokens is in hundredths of an attempt; 0 <= tokens <= capacity.
	tokens int
	// capacity is the maximum of tokens.
	capacity int
	// spentAt is when a retry was last spent or a token was last refilled.
	spentAt time.Time
}

const tokenUnit = 100

// Option configures a Budget.
type Option func(*Budget)

// WithBurst sets the number of retries that may be saved up.
func WithBurst(n int) Option { return func(b *Budget) { b.capacity = n * tokenUnit } }

// NewBudget returns a budget that allows percent retries per 100 first attempts.
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

// SetPercent changes the number of retries per 100 first attempts. Saved tokens are kept.
func (b *Budget) SetPercent(percent int) { b.percent = percent }

// RecordFirstAttempt adds the tokens that a first attempt yields.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.tokens = min(b.capacity, b.tokens+b.percent)
	if b.percent > 0 && b.tokens < tokenUnit && now.Sub(b.spentAt) >= refillInterval {
		b.tokens = min(b.capacity, b.tokens+tokenUnit)
		b.spentAt = now
	}
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if b.percent == 0 || b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	b.spentAt = now
	return true
}

// Proof states what is known about the execution of an attempt that yielded no response for
// the caller.
type Proof uint8

// The proofs of an attempt.
const (
	// ProofNotRun means that the attempt did not run: there was no connection, nothing was
	// written, or the endpoint refused it explicitly.
	ProofNotRun Proof = iota + 1
	// ProofNone means that the attempt may have run.
	ProofNone
)

// MayRetry reports whether another attempt may follow a failed one, given the number of
// attempts made so far. A chained call is itself a retry by an upstream entry. It gets one
// retry after an attempt that did not run, and none otherwise, so that retries don't multiply
// along a chain.
func MayRetry(e router.Execution, p Proof, attempts, maxAttempts int, chained bool) bool {
	if attempts >= maxAttempts {
		return false
	}
	if p == ProofNotRun {
		return !chained || attempts < 2
	}
	return e == router.Repeatable && !chained
}

// MayHedge reports whether a hedge may run alongside the attempts made so far.
func MayHedge(e router.Execution, attempts, maxAttempts int, chained bool) bool {
	return e == router.Repeatable && attempts < maxAttempts && !chained
}
