package claimer

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxClockSkew is how far in the future a time-ordered key may lie. Keys are
// refused this much before the retention ends, so a record is never gone while
// its key still passes.
const MaxClockSkew = time.Minute

const (
	ulidLength    = 26
	ulidTimeChars = 10
	ulidAlphabet  = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	uuidVersion7  = 7
)

// Age says whether a key may be claimed, by the time that it carries.
type Age uint8

// The ages of a key.
const (
	// AgeUntimed: the key carries no time.
	AgeUntimed Age = iota
	// AgeCurrent: a record of the key, if there ever was one, is still kept.
	AgeCurrent
	// AgeTooOld: a record of the key may have been dropped.
	AgeTooOld
	// AgeFuture: the key's time can't be true.
	AgeFuture
)

// KeyAge judges a key at the present wall-clock time.
func KeyAge(key string, now time.Time, retention time.Duration) Age {
	made, ok := keyTime(key)
	switch {
	case !ok:
		return AgeUntimed
	case made.After(now.Add(MaxClockSkew)):
		return AgeFuture
	case now.Sub(made) > retention-2*MaxClockSkew:
		return AgeTooOld
	}
	return AgeCurrent
}

// keyTime returns the time inside a UUID of version 7 or a ULID.
func keyTime(key string) (time.Time, bool) {
	if len(key) == ulidLength {
		return ulidTime(key)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

func ulidTime(key string) (time.Time, bool) {
	var ms int64
	for i, r := range strings.ToUpper(key) {
		digit := strings.IndexRune(ulidAlphabet, r)
		if digit < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeChars {
			ms = ms<<5 | int64(digit)
		}
	}
	return time.UnixMilli(ms), true
}
