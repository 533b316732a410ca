package throttler

import (
	"strings"
	"time"
)

// MaxWarmUp is longer than any endpoint takes to warm up.
const MaxWarmUp = time.Hour

// WarmUp is what an endpoint takes for the rest of its warm-up; the zero value if it is not in warm-up.
type WarmUp struct {
	// Rate is in requests per second, for all entries together.
	Rate float64
	// Left is the remaining time.
	Left time.Duration
}

// WarmUpKind tells what a response states about the endpoint's warm-up.
type WarmUpKind uint8

// The kinds of statements about a warm-up.
const (
	// WarmUpUnknown: there was no response.
	WarmUpUnknown WarmUpKind = iota
	// WarmUpNone: the response states nothing.
	WarmUpNone
	// WarmUpNamed: the response names the remaining time, which may be zero.
	WarmUpNamed
	// WarmUpInvalid: the response names a time that can't be read. It changes nothing.
	WarmUpInvalid
)

// String returns the name of the kind.
func (k WarmUpKind) String() string {
	switch k {
	case WarmUpNone:
		return "none"
	case WarmUpNamed:
		return "named"
	case WarmUpInvalid:
		return "invalid"
	}
	return "unknown"
}

// WarmUpStatement is what a response states about how much longer its endpoint is in warm-up.
type WarmUpStatement struct {
	Kind WarmUpKind
	// Left is the remaining time, at most MaxWarmUp; zero unless Kind is WarmUpNamed.
	Left time.Duration
}

// ParseWarmUp reads the values of the header field that names the remaining milliseconds. If there are several, the
// longest time counts, and those that can't be read are ignored.
func ParseWarmUp(values []string) WarmUpStatement {
	if len(values) == 0 {
		return WarmUpStatement{Kind: WarmUpNone}
	}
	longest := WarmUpStatement{Kind: WarmUpInvalid}
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			if left, ok := parseMilliseconds(strings.TrimSpace(text)); ok {
				longest = WarmUpStatement{Kind: WarmUpNamed, Left: max(longest.Left, left)}
			}
		}
	}
	return longest
}

// parseMilliseconds reads a time of at most MaxWarmUp.
func parseMilliseconds(text string) (time.Duration, bool) {
	ms, ok := parseDecimal(text)
	if !ok || ms > float64(MaxWarmUp.Milliseconds()) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// SetWarmUp sets how many requests per second the endpoint takes from all entries together until a time, and reports
// whether the rate that applies has changed. A time that has passed ends the warm-up.
func (t *Throttle) SetWarmUp(now time.Time, rate float64, until time.Time) bool {
	t.warmUpRate = rate
	t.warmUpUntil = until
	return t.updateRate(now)
}

// AssumeNoReply lets the entry issue permits itself, as if a request were overdue, until the next reply. It is called when
// control can't reply, so that endpoints in warm-up don't lie idle until each of them has been asked for.
func (t *Throttle) AssumeNoReply(now time.Time) {
	t.refresh(now)
	if !t.Limited() || t.unanswered {
		return
	}
	t.unanswered = true
	t.phase = t.rand.Float64()
	t.startOwn(now)
}

// warmUp returns the warm-up at a time.
func (t *Throttle) warmUp(now time.Time) WarmUp {
	if t.warmUpRate == 0 || !now.Before(t.warmUpUntil) {
		return WarmUp{}
	}
	return WarmUp{Rate: t.warmUpRate, Left: t.warmUpUntil.Sub(now)}
}

// Restrict returns the lower of a rate, of which zero means no limit, and that of the warm-up.
func (w WarmUp) Restrict(rate float64) float64 {
	if w.Left > 0 && Restricts(w.Rate, rate) {
		return w.Rate
	}
	return rate
}

// updateRate determines the rate that applies, and reports whether it has changed.
func (t *Throttle) updateRate(now time.Time) bool {
	rate := t.warmUp(now).Restrict(t.limit.Rate)
	if rate == t.rate {
		return false
	}
	t.setRate(now, rate)
	return true
}
