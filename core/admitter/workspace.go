package admitter

import (
	"math"
	"time"

	"comfreyplank.org/core/ratelimiter"
)

// share admits a share of calls. It spreads the admitted ones evenly, so that their number follows the share more
// closely than by independent draws.
type share struct {
	limited bool
	value   float64
	// credit is the part of a call that has been saved up. It starts at a random value, so that entries with few calls
	// admit their share together.
	credit float64
}

func (s *share) set(value float64) {
	s.limited = true
	s.value = min(max(value, 0), 1)
}

func (s *share) admit() bool {
	if !s.limited {
		return true
	}
	s.credit += s.value
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// The local limit of a workspace. In each limitWindow it may exceed its limit by a tenth and 20 calls; the local limits
// of all entries together use localPart of that.
const (
	limitWindow    = 5 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 20
	localPart      = 0.9
	// spareRate is the part of the rate limit that entries may use locally beyond their usual rates: a caller may
	// come to an entry that it hasn't used before.
	spareRate = 0.15
	// maxLocalCalls bounds the calls whose times an entry keeps for a workspace. One that sends more within
	// limitWindow through one entry has a steady rate there.
	maxLocalCalls = 64
	// usualSlot is the time over which calls are counted for the usual rate, and usualWeight the weight of a new count.
	usualSlot   = 2 * time.Second
	usualWeight = 0.25
	// minUnusualCalls is the least number of calls in limitWindow for which an entry requires a recent contact with
	// control: with fewer, no surge can be told from usual calls.
	minUnusualCalls = 2
)

// Bounds of retry delays.
const (
	// learnTime is the time from the end of a surge until control has counted it, and from a decision of control until
	// entries apply it. demandTimes is how many averaging times of the demand pass until the end of a surge shows in it.
	learnTime   = 500 * time.Millisecond
	demandTimes = 2
	// settleTime is the time in which a workspace that has reached its limit makes up for the calls before.
	settleTime    = time.Second
	maxRetryAfter = 10 * time.Second
	minShedDelay  = 500 * time.Millisecond
	maxShedSpread = 4 * time.Second
)

// workspace is the state of a workspace with a rate limit.
type workspace struct {
	rate, burst float64
	// tokens is a token bucket with the whole limit: no entry may admit more than all of them together.
	tokens float64
	at     time.Time
	share  share
	// limitedSince is when the workspace last reached its limit.
	limitedSince time.Time

	// usual is the average rate of the calls that this entry admits, without those of the current slot.
	usual     float64
	slotStart time.Time
	slotCount int
	// recent holds the times of the calls admitted within limitWindow, oldest first, at most maxLocalCalls. They are
	// always counted, but limited only without contact with control.
	recent []time.Time
	// allowed is how many calls of the workspace all entries may admit in a limitWindow, and spare this entry's part of
	// spareRate.
	allowed, spare float64

	admitted, refused int
}

func newWorkspace(now time.Time, credit float64) *workspace {
	return &workspace{at: now, slotStart: now, share: share{credit: credit}, tokens: -1}
}

// configure applies a rate limit and the number of entries.
func (w *workspace) configure(rate, burst float64, entries int) {
	isNew := w.rate == 0
	w.rate, w.burst = rate, burst
	most := w.mostTokens()
	if isNew {
		w.tokens = most
	}
	w.tokens = min(w.tokens, most)
	w.allowed = (rate*limitWindow.Seconds()+burst)*(1+limitOvershoot) + limitSlack
	w.spare = spareRate * rate / float64(entries)
}

func (w *workspace) mostTokens() float64 {
	return w.burst + ratelimiter.Tolerance(w.rate, w.burst)
}

// advance adds the tokens of the time that has passed. The usual rate is learned only in contact with control.
func (w *workspace) advance(now time.Time, inContact bool) {
	elapsed := now.Sub(w.at).Seconds()
	if elapsed <= 0 {
		return
	}
	w.at = now
	w.tokens = min(w.tokens+elapsed*w.rate, w.mostTokens())
	w.dropOld(now)
	if since := now.Sub(w.slotStart); since >= usualSlot && inContact {
		w.endSlot(since)
		w.slotStart = now
	}
}

// endSlot adds the count of a slot to the usual rate. After a long time without calls, little of the former rate
// remains.
func (w *workspace) endSlot(length time.Duration) {
	rate := float64(w.slotCount) / length.Seconds()
	w.slotCount = 0
	length = min(length, maxSlots*usualSlot)
	for ; length >= usualSlot && w.usual > minUsual; length -= usualSlot {
		w.usual *= 1 - usualWeight
		w.usual += usualWeight * rate
	}
	w.usual = max(w.usual, usualWeight*rate)
}

const (
	// minUsual is a usual rate that is as good as none.
	minUsual = 1e-6
	// maxSlots is the number of slots after which nothing remains of the former rate.
	maxSlots = 40
)

// localRate returns this entry's part of the rate limit: its usual rate, and a spare part while the workspace is not
// limited.
func (w *workspace) localRate() float64 {
	if w.share.limited {
		return w.usual
	}
	return w.usual + w.spare
}

// dropOld forgets the calls that were admitted before the limitWindow that ends now.
func (w *workspace) dropOld(now time.Time) {
	n := 0
	for n < len(w.recent) && now.Sub(w.recent[n]) >= limitWindow {
		n++
	}
	w.recent = w.recent[:copy(w.recent, w.recent[n:])]
}

// localLimit returns how many calls this entry may admit in a limitWindow without contact with control: its part of
// what all entries may admit, in proportion to its usual rate. The part of a call is one that is admitted by chance.
func (w *workspace) localLimit() float64 {
	return localPart * w.allowed * w.localRate() / w.rate
}

// admit counts an admitted call.
func (w *workspace) admit(now time.Time) {
	w.admitted++
	w.slotCount++
	w.tokens--
	if len(w.recent) == maxLocalCalls {
		w.recent = w.recent[:copy(w.recent, w.recent[1:])]
	}
	w.recent = append(w.recent, now)
}

// giveBack counts an admitted call that has not run.
func (w *workspace) giveBack() {
	w.admitted--
	w.slotCount = max(0, w.slotCount-1)
	w.tokens = min(w.tokens+1, w.mostTokens())
	w.recent = w.recent[:max(0, len(w.recent)-1)]
}

// isUnusual reports whether the local limit would refuse a further call.
func (w *workspace) isUnusual() bool {
	return float64(len(w.recent)+1) > max(minUnusualCalls, w.localLimit())
}

// allowsLocally reports whether the local limit admits a call. Draw decides on a call of which a part is allowed.
func (w *workspace) allowsLocally(draw float64) bool {
	limit := w.localLimit()
	if limit > maxLocalCalls {
		// The times of so many calls aren't kept: the rate of those that are is limited instead.
		span := limitWindow.Seconds() * maxLocalCalls / limit
		return len(w.recent) < maxLocalCalls || w.at.Sub(w.recent[0]).Seconds() >= span
	}
	return draw < limit-float64(len(w.recent))
}

// untilToken returns when the bucket of the whole limit has a token.
func (w *workspace) untilToken() time.Duration { return w.wait(1-w.tokens, w.rate) }

// untilUsual returns when the local limit has a token.
func (w *workspace) untilUsual() time.Duration {
	if len(w.recent) == 0 {
		return w.wait(1, w.localRate())
	}
	return max(w.recent[0].Add(limitWindow).Sub(w.at), time.Millisecond)
}

func (w *workspace) wait(tokens, rate float64) time.Duration {
	if tokens >= maxRetryAfter.Seconds()*rate {
		return maxRetryAfter
	}
	return max(time.Duration(math.Ceil(tokens/rate*float64(time.Second))), time.Millisecond)
}

// untilShare returns when a call is admitted if the workspace sends no more than its limit until then: the calls before
// the limit was reached are made up for, there is a token again, and entries know. Draw spreads the callers.
func (w *workspace) untilShare(now time.Time, draw float64) time.Duration {
	wait := learnTime + demandTimes*ratelimiter.DemandTime(w.rate) + max(0, settleTime-now.Sub(w.limitedSince)) + w.wait(1, w.rate)
	return min(wait+time.Duration(draw*float64(wait)/4), maxRetryAfter)
}

// shedRetryAfter spreads the callers whose calls are shed over a time that is the longer, the fewer calls are admitted.
func shedRetryAfter(share, draw float64) time.Duration {
	spread := maxShedSpread
	if share > 0 {
		spread = min(time.Duration(float64(minShedDelay)/share), maxShedSpread)
	}
	return minShedDelay + time.Duration(draw*float64(spread))
}
