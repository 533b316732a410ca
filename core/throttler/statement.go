package throttler

import (
	"math"
	"strconv"
	"strings"
)

// Bounds of a limit, in requests per second. Values beyond them count as the bound.
const (
	// MinRate keeps an endpoint reachable, so that entries learn when it raises its limit.
	MinRate = 0.01
	MaxRate = 1e6
)

// StatementKind tells what a response states about the endpoint's limit.
type StatementKind uint8

// The kinds of statements.
const (
	// StatementUnknown: there was no response.
	StatementUnknown StatementKind = iota
	// StatementNone: the response names no limit.
	StatementNone
	// StatementLimit: the response names a limit.
	StatementLimit
	// StatementInvalid: the response names a limit that can't be read. It changes nothing.
	StatementInvalid
)

// String returns the name of the kind.
func (k StatementKind) String() string {
	switch k {
	case StatementNone:
		return "none"
	case StatementLimit:
		return "limit"
	case StatementInvalid:
		return "invalid"
	}
	return "unknown"
}

// Statement is what a response states about how many requests per second its endpoint takes from
// all entries together.
type Statement struct {
	Kind StatementKind
	// Rate is the limit in requests per second, from MinRate to MaxRate; zero unless Kind is
	// StatementLimit.
	Rate float64
}

// ParseStatement reads the values of the header field that names a limit. If there are several
// numbers, the lowest counts, and those that can't be read are ignored.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{Kind: StatementNone}
	}
	lowest := math.Inf(1)
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			if rate, ok := parseRate(strings.TrimSpace(text)); ok {
				lowest = min(lowest, rate)
			}
		}
	}
	if math.IsInf(lowest, 1) {
		return Statement{Kind: StatementInvalid}
	}
	return Statement{Kind: StatementLimit, Rate: lowest}
}

// maxDigits is the length of the longest number that is read.
const maxDigits = 64

// parseDecimal reads a decimal number without sign or exponent.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxDigits || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// parseRate reads a positive number. Zero is not accepted: an endpoint without requests could not
// name another limit.
func parseRate(text string) (float64, bool) {
	rate, ok := parseDecimal(text)
	if !ok || rate <= 0 {
		return 0, false
	}
	return min(max(rate, MinRate), MaxRate), true
}
