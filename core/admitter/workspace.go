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
	// spareRate is the part of the rate limit that entries may use locally beyond their usual rates: the limit is
	// typically 1.6 times the usual rate, and chance needs some room.
	spareRate = 0.3
	// localDebtTime bounds how long a workspace is refused locally because of what it sent before.
	localDebtTime = 2 * time.Second
	// usualSlot is the time over which calls are counted for the usual rate, and usualWeight the weight of a new count.
	usualSlot   = 2 * time.Second
	usualWeight = 0.25
	// surgeRates is the highest demand that is expected, in multiples of the limit: 8 times the usual rate. Where an
	// entry expects less than one call of a workspace in limitWindow even then, it can't tell a surge from usual
	// calls, and admits a part of them that keeps the limit in a surge.
	surgeRates = 5
	surgePart  = 0.85
	// unusualLevel is the level below which an entry requires a recent contact with control.
	unusualLevel = -1
)

// Bounds of retry delays.
const (
	// learnTime is the time from the end of a surge until control has counted it, and from a decision of control until
	// entries apply it. demandTimes is how many times the average of the demand covers passes between.
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
	// level is a token bucket with this entry's part of the limit. It is always counted, but applied only without
	// contact with control. cap is its size; spare is this entry's part of spareRate.
	level, cap, spare float64
	// surge is the part of the calls that is admitted although the level does not suffice; see surgeRates.
	surge float64

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
	allowed := (rate*limitWindow.Seconds()+burst)*(1+limitOvershoot) + limitSlack
	w.cap = max(0, localPart*allowed-rate*limitWindow.Seconds()) / float64(entries)
	w.spare = spareRate * rate / float64(entries)
	w.surge = 0
	if surge := surgeRates * rate * limitWindow.Seconds(); surge < float64(entries) {
		w.surge = min(1, surgePart*allowed/surge)
	}
	if isNew {
		w.level = w.cap
	}
	w.level = min(w.level, w.cap)
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
	w.level = min(w.level+elapsed*w.localRate(), w.cap)
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

// admit counts an admitted call.
func (w *workspace) admit() {
	w.admitted++
	w.slotCount++
	w.tokens--
	w.level = max(w.level-1, -1-localDebtTime.Seconds()*w.localRate())
}

// giveBack counts an admitted call that has not run.
func (w *workspace) giveBack() {
	w.admitted--
	w.slotCount = max(0, w.slotCount-1)
	w.tokens = min(w.tokens+1, w.mostTokens())
	w.level = min(w.level+1, w.cap)
}

// isUnusual reports whether the workspace has sent clearly more than its part.
func (w *workspace) isUnusual() bool { return w.level <= unusualLevel }

// allowsLocally reports whether the local limit admits a call. A part of a token admits that part of the calls.
func (w *workspace) allowsLocally(draw float64) bool {
	switch {
	case w.level >= 1:
		return true
	case w.level <= unusualLevel/2:
		return false
	}
	return draw < max(w.level, w.surge)
}

// untilToken returns when the bucket of the whole limit has a token.
func (w *workspace) untilToken() time.Duration { return w.wait(1-w.tokens, w.rate) }

// untilUsual returns when the local limit has a token.
func (w *workspace) untilUsual() time.Duration { return w.wait(1-w.level, w.localRate()) }

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
