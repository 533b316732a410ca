package claimer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var key = Key{Service: "rounds", Value: "k"}

func claim(attempt, fingerprint string) Claim {
	return Claim{Key: key, Attempt: attempt, Fingerprint: fingerprint}
}

func TestClaimIsDecidedByWhatCameBefore(t *testing.T) {
	done := Settle{Key: key, Attempt: "a", Response: Response{Status: 201, Stored: true, Body: []byte("yes")}}
	tests := []struct {
		name   string
		before []Command
		claim  Claim
		want   Verdict
	}{
		{"new key", nil, claim("a", "f"), VerdictGranted},
		{"its own again", []Command{claim("a", "f")}, claim("a", "f"), VerdictGranted},
		{"held by another", []Command{claim("a", "f")}, claim("b", "f"), VerdictPending},
		{"another request", []Command{claim("a", "f")}, claim("b", "g"), VerdictMismatch},
		{"released", []Command{claim("a", "f"), Release{key, "a"}}, claim("b", "f"), VerdictGranted},
		{"released by another", []Command{claim("a", "f"), Release{key, "b"}}, claim("c", "f"), VerdictPending},
		{"released before it came", []Command{Release{key, "a"}}, claim("a", "f"), VerdictReleased},
		{"next after that", []Command{Release{key, "a"}}, claim("b", "f"), VerdictGranted},
		{"done", []Command{claim("a", "f"), done}, claim("b", "f"), VerdictDone},
		{"done is not released", []Command{claim("a", "f"), done, Release{key, "a"}}, claim("b", "f"), VerdictDone},
		{"settled by another", []Command{claim("b", "f"), done}, claim("c", "f"), VerdictPending},
		{"unknown", []Command{claim("a", "f"), Settle{Key: key, Attempt: "a", Unknown: true}}, claim("b", "f"), VerdictUnknown},
		{"expired", []Command{claim("a", "f"), AdvanceClock{Elapsed: DefaultRetention}}, claim("b", "f"), VerdictGranted},
		{"not yet expired", []Command{claim("a", "f"), AdvanceClock{Elapsed: DefaultRetention - 1}}, claim("b", "f"), VerdictPending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			for _, cmd := range tt.before {
				c.Apply(cmd)
			}
			result := c.Apply(tt.claim)
			assert.Equal(t, result.Verdict, tt.want)
			if tt.want == VerdictDone {
				assert.DeepEqual(t, result.Response, done.Response)
			}
		})
	}
}

func TestRetentionCountsFromTheLastClaim(t *testing.T) {
	c := New()
	c.Apply(Release{key, "a"})
	c.Apply(AdvanceClock{Elapsed: DefaultRetention - time.Hour})
	assert.Equal(t, c.Apply(claim("b", "f")).Verdict, VerdictGranted)
	c.Apply(AdvanceClock{Elapsed: 2 * time.Hour})
	assert.Equal(t, c.Apply(claim("c", "f")).Verdict, VerdictPending)
}

func TestCapacityRefusesAndForgetsNothing(t *testing.T) {
	c := New(WithCapacity(2))
	for i, want := range []Verdict{VerdictGranted, VerdictGranted, VerdictFull} {
		got := c.Apply(Claim{Key: Key{Value: fmt.Sprint(i)}, Attempt: "a"})
		assert.Equal(t, got.Verdict, want)
	}
	assert.Equal(t, c.Apply(Claim{Key: Key{Value: "0"}, Attempt: "b"}).Verdict, VerdictPending)
}

func TestKeyAgeRefusesWhatCannotBeProved(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(d time.Duration) string {
		id := uuid.Must(uuid.NewV7())
		ms := now.Add(d).UnixMilli()
		for i := range 6 {
			id[i] = byte(ms >> (40 - 8*i))
		}
		return id.String()
	}
	tests := []struct {
		key  string
		want Age
	}{
		{"order-17", AgeUntimed},
		{uuid.NewString(), AgeUntimed},
		{at(0), AgeCurrent},
		{at(-time.Hour), AgeCurrent},
		{at(-23 * time.Hour), AgeCurrent},
		{at(-24 * time.Hour), AgeTooOld},
		{at(30 * time.Second), AgeCurrent},
		{at(2 * time.Minute), AgeFuture},
		{"01HZZZZZZZZZZZZZZZZZZZZZZZ", AgeTooOld},
		{"7ZZZZZZZZZZZZZZZZZZZZZZZZZ", AgeFuture},
	}
	for _, tt := range tests {
		assert.Equal(t, KeyAge(tt.key, now, DefaultRetention), tt.want, tt.key)
	}
}

func randomCommand(rt *rapid.T) Command {
	k := Key{Value: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "key"))}
	attempt := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "attempt"))
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0:
		return Release{k, attempt}
	case 1:
		return Settle{Key: k, Attempt: attempt, Unknown: rapid.Bool().Draw(rt, "unknown")}
	case 2:
		return AdvanceClock{Elapsed: time.Duration(rapid.IntRange(0, 10).Draw(rt, "hours")) * time.Hour}
	}
	return Claim{Key: k, Attempt: attempt}
}

// TestRandomCommandsGrantToOneAttempt asserts that a key is granted to another
// attempt only after a release by the one before, or after its retention, and that
// a restored state answers as the original.
func TestRandomCommandsGrantToOneAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New()
		holder := map[Key]string{}
		claimedAt := map[Key]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(rt, "length") {
			cmd := randomCommand(rt)
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				c = restored(rt, c)
			}
			result := c.Apply(cmd)
			if r, ok := cmd.(Release); ok && holder[r.Key] == r.Attempt {
				if rec := c.records[r.Key]; rec == nil || rec.State == StateReleased {
					delete(holder, r.Key)
				}
			}
			if result.Verdict != VerdictGranted {
				continue
			}
			if h, ok := holder[result.Key]; ok && h != result.Attempt && c.clock-claimedAt[result.Key] < DefaultRetention {
				rt.Fatalf("key %v granted to %s while %s held it", result.Key, result.Attempt, h)
			}
			if holder[result.Key] != result.Attempt {
				claimedAt[result.Key] = c.clock
			}
			holder[result.Key] = result.Attempt
		}
	})
}

func restored(rt *rapid.T, c *Claimer) *Claimer {
	data, err := c.Snapshot()
	if err != nil {
		rt.Fatalf("%v", err)
	}
	again, err := Restore(data)
	if err != nil || again.Len() != c.Len() || again.clock != c.clock {
		rt.Fatalf("restored state differs: %v", err)
	}
	return again
}

func TestCommandsSurviveTheirEncoding(t *testing.T) {
	for _, cmd := range []Command{claim("a", "f"), Release{key, "a"}, Settle{Key: key, Attempt: "a", Unknown: true}, AdvanceClock{Elapsed: 5}} {
		data, err := Encode(cmd)
		assert.NilError(t, err)
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, cmd)
	}
	_, err := Decode([]byte("{}"))
	assert.ErrorContains(t, err, "no known kind")
}
