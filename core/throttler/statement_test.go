package throttler

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnreadableLimitIsNoLimit guards against a malformed limit that blocks an endpoint or ends
// the process.
func TestUnreadableLimitIsNoLimit(t *testing.T) {
	limit := func(rate float64) Statement { return Statement{StatementLimit, rate} }
	invalid := Statement{Kind: StatementInvalid}
	tests := []struct {
		name   string
		values []string
		want   Statement
	}{
		{"not named", nil, Statement{Kind: StatementNone}},
		{"whole", []string{"3"}, limit(3)},
		{"decimal", []string{"2.6"}, limit(2.6)},
		{"without a leading digit", []string{".5"}, limit(0.5)},
		{"with spaces", []string{"  2.6 "}, limit(2.6)},
		{"small", []string{"0.000000000000000000000000001"}, limit(MinRate)},
		{"huge", []string{strings.Repeat("9", 60)}, limit(MaxRate)},
		{"twice", []string{"3.5", "2.6"}, limit(2.6)},
		{"twice in one line", []string{"3.5, 2.6"}, limit(2.6)},
		{"twice, one unreadable", []string{"abc", "2.6"}, limit(2.6)},
		{"empty", []string{""}, invalid},
		{"only a comma", []string{","}, invalid},
		{"negative", []string{"-2.6"}, invalid},
		{"zero", []string{"0"}, invalid},
		{"zero with decimals", []string{"0.000"}, invalid},
		{"not a number", []string{"NaN"}, invalid},
		{"infinite", []string{"inf"}, invalid},
		{"word", []string{"few"}, invalid},
		{"exponent", []string{"1e3"}, invalid},
		{"sign", []string{"+3"}, invalid},
		{"hexadecimal", []string{"0x10"}, invalid},
		{"two points", []string{"2.6.1"}, invalid},
		{"space inside", []string{"2 6"}, invalid},
		{"endless", []string{strings.Repeat("9", 10_000)}, invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, ParseStatement(tt.values), tt.want)
		})
	}
}

func FuzzParseStatement(f *testing.F) {
	for _, seed := range []string{"2.6", "-1", "1e309", "3,4", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := ParseStatement([]string{text})
		if s.Kind == StatementLimit && (s.Rate < MinRate || s.Rate > MaxRate) {
			t.Fatalf("%q was read as %v a second", text, s.Rate)
		}
	})
}
