// Package pauser decides for how long an entry stays away from an endpoint that has turned a request
// away and asked for a pause.
package pauser

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest pause that an endpoint gets by one response. A longer one counts as this, so that
// a garbled response doesn't take the endpoint out of use for good.
const MaxPause = 10 * time.Minute

// Kind tells what a response states about a pause.
type Kind uint8

// The kinds of statements.
const (
	// None: the response asks for no pause.
	None Kind = iota
	// Asked: the response asks for a pause.
	Asked
	// Cut: the response asks for a pause longer than MaxPause.
	Cut
	// Invalid: the response states something that is no number of seconds. It changes nothing.
	Invalid
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Asked:
		return "pause"
	case Cut:
		return "pause-cut"
	case Invalid:
		return "pause-invalid"
	}
	return "none"
}

// Pause is what a response states about how long its endpoint wants no requests.
type Pause struct {
	Kind Kind
	// For is the length of the pause; zero unless Kind is Asked or Cut.
	For time.Duration
}

// Parse reads the values of a Retry-After header: numbers of seconds, with fractions. Of several, the longest
// counts, and those that can't be read are ignored. A date counts as one of these: the clocks of an endpoint and
// an entry may differ by more than a pause.
func Parse(values []string) Pause {
	var longest Pause
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			longest = longer(longest, parseSeconds(strings.TrimSpace(text)))
		}
	}
	return longest
}

// longer returns the pause that counts of two.
func longer(a, b Pause) Pause {
	switch {
	case a.For != b.For && a.For > b.For:
		return a
	case a.For != b.For:
		return b
	case a.Kind == None:
		return b
	}
	return a
}

// maxDigits is the length of the longest number that is read.
const maxDigits = 64

// parseSeconds reads a decimal number without sign or exponent.
func parseSeconds(text string) Pause {
	if len(text) > maxDigits || strings.Trim(text, "0123456789.") != "" {
		return Pause{Kind: Invalid}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return Pause{Kind: Invalid}
	case seconds > MaxPause.Seconds():
		return Pause{Kind: Cut, For: MaxPause}
	case seconds == 0:
		return Pause{}
	}
	return Pause{Kind: Asked, For: time.Duration(seconds * float64(time.Second))}
}

// Bounds of the time that an entry adds to a pause.
const (
	spreadDivisor = 4
	maxSpread     = 5 * time.Second
)

// Until returns when an entry may send requests again to an endpoint that asks for a pause now. A random part
// is added, so that the entries don't return together.
func (p Pause) Until(now time.Time, source *rand.Rand) time.Time {
	if p.For <= 0 {
		return time.Time{}
	}
	spread := min(p.For/spreadDivisor, maxSpread)
	return now.Add(p.For + time.Duration(source.Int64N(int64(spread)+1)))
}
