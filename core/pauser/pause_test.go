package pauser

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsRead guards against statements that are misread: a pause that is overlooked, or one that takes
// an endpoint out of use by a garbled response.
func TestPauseIsRead(t *testing.T) {
	tests := []struct {
		values []string
		want   Pause
	}{
		{nil, Pause{}},
		{[]string{"0"}, Pause{}},
		{[]string{"2"}, Pause{Asked, 2 * time.Second}},
		{[]string{" 1.25 "}, Pause{Asked, 1250 * time.Millisecond}},
		{[]string{".5"}, Pause{Asked, 500 * time.Millisecond}},
		{[]string{"600"}, Pause{Asked, MaxPause}},
		{[]string{"601"}, Pause{Cut, MaxPause}},
		{[]string{"99999999999999999999999"}, Pause{Cut, MaxPause}},
		{[]string{"1", "3", "2"}, Pause{Asked, 3 * time.Second}},
		{[]string{"1, 3"}, Pause{Asked, 3 * time.Second}},
		{[]string{"soon", "3"}, Pause{Asked, 3 * time.Second}},
		{[]string{"-1"}, Pause{Kind: Invalid}},
		{[]string{"1e3"}, Pause{Kind: Invalid}},
		{[]string{"NaN"}, Pause{Kind: Invalid}},
		{[]string{"Inf"}, Pause{Kind: Invalid}},
		{[]string{"0x10"}, Pause{Kind: Invalid}},
		{[]string{"1.2.3"}, Pause{Kind: Invalid}},
		{[]string{""}, Pause{Kind: Invalid}},
		{[]string{"Fri, 31 Dec 2027 23:59:59 GMT"}, Pause{Kind: Invalid}},
		{[]string{strings.Repeat("9", 1000)}, Pause{Kind: Invalid}},
	}
	for _, tt := range tests {
		assert.Equal(t, Parse(tt.values), tt.want, "%q", tt.values)
	}
}

// TestEntriesReturnSpread guards against entries that return to an endpoint before its pause ends, or all
// at once: the test counts those that return within any 100 ms.
func TestEntriesReturnSpread(t *testing.T) {
	const window = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, entries := range []int{17, 106, 313} {
		for _, pause := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
			source := rand.New(rand.NewPCG(uint64(entries), uint64(pause)))
			counts := make(map[time.Duration]int)
			most := 0
			for range entries {
				after := Pause{Asked, pause}.Until(start, source).Sub(start)
				assert.Assert(t, after >= pause, "returns %s early", pause-after)
				counts[after/window]++
				most = max(most, counts[after/window])
			}
			share := float64(window) / float64(min(pause/spreadDivisor, maxSpread))
			assert.Assert(t, float64(most) <= 2*share*float64(entries)+8, "%d of %d entries return within %s of a pause of %s", most, entries, window, pause)
		}
	}
}

// FuzzParse asserts that a pause is never negative or longer than MaxPause.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"1", "1.5", "-1", "1e9", "NaN", "1,2", strings.Repeat("9", 40)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p := Parse([]string{text})
		assert.Assert(t, p.For >= 0 && p.For <= MaxPause, "%v", p)
		assert.Assert(t, (p.For > 0) == (p.Kind == Asked || p.Kind == Cut), "%v", p)
	})
}
