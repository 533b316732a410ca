// Package ratelimiter implements the leader's part of the rate limits of workspaces: it keeps a token bucket for each
// workspace, and decides which share of the calls of each workspace entries admit.
package ratelimiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

// Timing of the control loop.
const (
	// reportDelay is the typical age of the counts that have arrived, and of those that arrive before a share is in
	// force: that of a report, a relay and an update, each of which waits.
	reportDelay = 250 * time.Millisecond
	// minRecoveryTime and maxRecoveryTime bound the time in which a share makes up for tokens that lack or are left, and
	// recoveryCalls is the number of calls at the rate limit that it covers within these bounds. A shorter one would make
	// shares swing, since a share shows its effect in the counts only after about 400 ms, and single calls count much
	// for a slow workspace.
	minRecoveryTime = time.Second
	maxRecoveryTime = 5 * time.Second
	recoveryCalls   = 5
	// minDemandTime and maxDemandTime bound the time over which demand is averaged, and demandCalls is the number of
	// calls at the rate limit that it covers within these bounds: the demand of a slow workspace is a few calls.
	minDemandTime = 200 * time.Millisecond
	maxDemandTime = time.Second
	demandCalls   = 15
	// settleTime is the time after a change of leader in which replicas pass on what they have counted meanwhile.
	settleTime = 400 * time.Millisecond
	// maxGap bounds the time without a leader whose counts a new leader expects.
	maxGap = 2 * time.Second
	// maxDebtTime bounds the tokens that can lack, as a time at the rate limit: a workspace is not refused longer than
	// that because of the past. It is well above what a surge to five times the limit causes before a share is in force.
	maxDebtTime = 2 * time.Second
)

// Tolerance is the number of calls by which a token bucket may be overdrawn before it refuses calls. Counts arrive in
// portions, and latency shifts calls, so that a workspace at its limit would be refused without it. It is well within
// the tenth and the 20 calls by which the limit may be exceeded.
func Tolerance(rate, burst float64) float64 {
	return toleranceCalls + toleranceShare*(rate*toleranceWindow.Seconds()+burst)
}

// Parts of the tolerance.
const (
	toleranceCalls  = 5
	toleranceShare  = 0.03
	toleranceWindow = 5 * time.Second
)

// keptDebt is the number of calls by which the bucket of a workspace at its limit stays overdrawn. Making up for all
// calls that were admitted before the first share was in force would use less than the limit for seconds.
const keptDebt = 9

// Changes of a share that entries are told of: smaller ones would cost a message to every entry and change little.
const (
	minShareChange = 0.08
	// fineShareChange applies to a share that has been in force for fineAfter.
	fineShareChange = 0.01
	fineAfter       = time.Second
	// minDemand keeps the share of a workspace without calls finite, in calls a second.
	minDemand = 1e-6
)

// bucket is the token bucket of one workspace.
type bucket struct {
	rate, burst float64
	// reserved is the part of the rate that is kept back.
	reserved float64
	// tokens may be negative: then more calls were admitted than the limit allows.
	tokens float64
	at     time.Time
	// demand is the average number of calls a second, admitted or refused, as of demandAt.
	demand   float64
	demandAt time.Time
	// limited is set from the time at which the workspace reached its limit until it is below it again. Meanwhile share
	// is in force, since shareAt; it is 1 otherwise.
	limited bool
	share   float64
	shareAt time.Time
	// touched is set while the bucket waits for a decision.
	touched bool
}

// Limiter holds the buckets of all workspaces that have a rate limit. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	// pending lists the workspaces that wait for a decision: those with new counts, and those that are limited.
	pending []string
	// settleAt is until when late counts are accepted and no share is raised.
	settleAt  time.Time
	isSettled bool
	// reserved is the part of each limit that is kept for entries whose calls are not counted.
	reserved float64
}

// New returns the limiter of a leader that was elected now. Its buckets are empty, so that a burst that an earlier
// leader has granted is not granted twice. Shares are those that are in force. Gap is the time for which there was no
// leader: calls that were admitted in it are counted late, and have a right to the limit of that time.
func New(now time.Time, gap time.Duration, workspaces []validator.Workspace, shares []messenger.WorkspaceAdmission) *Limiter {
	l := &Limiter{buckets: make(map[string]*bucket), settleAt: now.Add(settleTime)}
	l.Configure(now, workspaces)
	for _, b := range l.buckets {
		b.tokens = b.rate * min(max(gap, 0), maxGap).Seconds()
	}
	for _, s := range shares {
		if b, ok := l.buckets[s.Workspace]; ok {
			b.limited, b.share = true, s.Share
			b.demand = b.rate / max(s.Share, minShareChange)
			b.shareAt = now
			l.touch(s.Workspace, b)
		}
	}
	return l
}

// Configure applies the rate limits of a document. A bucket holds no more than its new burst, and that of a workspace
// which had no limit before is full.
func (l *Limiter) Configure(now time.Time, workspaces []validator.Workspace) {
	l.settle(now)
	known := make(map[string]bool, len(workspaces))
	for _, w := range workspaces {
		if w.RatePerSecond <= 0 {
			continue
		}
		known[w.Name] = true
		b, ok := l.buckets[w.Name]
		if !ok {
			b = &bucket{share: 1, reserved: l.reserved, at: now, demandAt: now, tokens: w.Burst}
			l.buckets[w.Name] = b
		} else {
			b.refill(now)
		}
		b.rate, b.burst = w.RatePerSecond, w.Burst
		if l.isSettled {
			b.tokens = min(b.tokens, b.burst)
		}
		l.touch(w.Name, b)
	}
	for name := range l.buckets {
		if !known[name] {
			delete(l.buckets, name)
		}
	}
}

// Reserve keeps a part of each limit for entries whose calls are not counted.
func (l *Limiter) Reserve(now time.Time, part float64) {
	if part == l.reserved {
		return
	}
	l.settle(now)
	for _, b := range l.buckets {
		b.refill(now)
		b.reserved = part
	}
	l.reserved = part
}

func (l *Limiter) touch(name string, b *bucket) {
	if !b.touched {
		b.touched = true
		l.pending = append(l.pending, name)
	}
}

// Record takes calls that entries have counted in a span of time.
func (l *Limiter) Record(now time.Time, span time.Duration, usage []messenger.WorkspaceUsage) {
	l.settle(now)
	for _, u := range usage {
		b, ok := l.buckets[u.Workspace]
		if !ok {
			continue
		}
		b.refill(now)
		b.tokens = max(b.tokens-float64(u.Admitted), -b.maxDebt())
		b.addDemand(now, span, float64(u.Admitted+u.Refused))
		if u.Refused > 0 && !l.isSettled && !b.limited {
			// Entries have a share that this leader does not know.
			b.limited = true
			b.share = min(1, max(float64(u.Admitted), 1)/float64(max(u.Admitted, 1)+u.Refused))
			b.shareAt = now
		}
		l.touch(u.Workspace, b)
	}
}

// settle ends the time in which a new leader accepts counts of the time before it.
func (l *Limiter) settle(now time.Time) {
	if l.isSettled || now.Before(l.settleAt) {
		return
	}
	l.isSettled = true
	for _, b := range l.buckets {
		b.refill(l.settleAt)
		b.tokens = min(b.tokens, 0)
	}
}

// Due returns whether a call of Shares can change something.
func (l *Limiter) Due() bool { return len(l.pending) > 0 }

// Shares decides on the workspaces that are limited or have new counts, and returns the shares of those that are
// limited, ordered by name, and whether they have changed since the last call.
func (l *Limiter) Shares(now time.Time) ([]messenger.WorkspaceAdmission, bool) {
	l.settle(now)
	changed := false
	kept := l.pending[:0]
	for _, name := range l.pending {
		b, ok := l.buckets[name]
		if !ok {
			changed = true // the limit has ended, perhaps with a share in force
			continue
		}
		changed = b.decide(now, l.isSettled) || changed
		b.touched = b.limited
		if b.touched {
			kept = append(kept, name)
		}
	}
	l.pending = kept
	return l.list(), changed
}

// list returns the shares of the workspaces that are limited.
func (l *Limiter) list() []messenger.WorkspaceAdmission {
	var shares []messenger.WorkspaceAdmission
	for _, name := range l.pending {
		if b, ok := l.buckets[name]; ok && b.limited {
			shares = append(shares, messenger.WorkspaceAdmission{Workspace: name, Share: b.share})
		}
	}
	slices.SortFunc(shares, func(a, b messenger.WorkspaceAdmission) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return shares
}

// maxDebt returns how many tokens can lack.
func (b *bucket) maxDebt() float64 {
	return b.rate*maxDebtTime.Seconds() + Tolerance(b.rate, b.burst)
}

// refill adds the tokens of the time that has passed. A bucket that holds more than its burst, since a new leader
// expects late counts, keeps it until it settles.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+b.usable()*elapsed.Seconds(), max(b.burst, b.tokens))
}

// recoveryTime returns the time in which a share makes up for tokens that lack or are left.
func (b *bucket) recoveryTime() time.Duration {
	return min(max(time.Duration(recoveryCalls/b.rate*float64(time.Second)), minRecoveryTime), maxRecoveryTime)
}

// usable returns the rate at which calls are admitted.
func (b *bucket) usable() float64 { return b.rate * (1 - b.reserved) }

// DemandTime returns the time over which the demand of a workspace with a rate limit is averaged.
func DemandTime(rate float64) time.Duration {
	return min(max(time.Duration(demandCalls/rate*float64(time.Second)), minDemandTime), maxDemandTime)
}

// addDemand adds calls of a span of time to the average. Those of a long span count less, as they decay within it.
func (b *bucket) addDemand(now time.Time, span time.Duration, calls float64) {
	average := DemandTime(b.rate).Seconds()
	weight := 1.0
	if relative := span.Seconds() / average; relative > 0 {
		weight = -math.Expm1(-relative) / relative
	}
	b.demand = max(0, b.demandNow(now)+weight*calls/average)
	b.demandAt = now
}

func (b *bucket) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/DemandTime(b.rate).Seconds())
}

// decide sets the share, and reports whether it has changed. A new leader raises no share before it has settled.
func (b *bucket) decide(now time.Time, settled bool) bool {
	b.refill(now)
	tolerance := Tolerance(b.rate, b.burst)
	demand := max(b.demandNow(now), minDemand)
	if !b.limited {
		// What has been admitted, but not counted yet.
		uncounted := max(0, demand-b.usable()) * reportDelay.Seconds()
		if b.tokens-uncounted > -tolerance {
			return false
		}
	}
	share := (b.usable() + (b.tokens+keptDebt)/b.recoveryTime().Seconds()) / demand
	if share >= 1 && settled && b.limited && b.tokens >= -tolerance/2 {
		b.limited, b.share, b.shareAt = false, 1, now
		return true
	}
	share = min(max(share, 0), 1)
	if !settled && b.limited && share > b.share {
		return false
	}
	if !b.isWorthTelling(now, share) {
		return false
	}
	b.limited, b.share, b.shareAt = true, share, now
	return true
}

// isWorthTelling reports whether a new share differs enough from the one in force.
func (b *bucket) isWorthTelling(now time.Time, share float64) bool {
	difference := math.Abs(share - b.share)
	if !b.limited || difference > minShareChange*b.share {
		return true
	}
	return difference > fineShareChange*b.share && now.Sub(b.shareAt) >= fineAfter
}
