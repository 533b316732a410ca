package claimer

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxClockSkew is how far in the future the timestamp of a time-ordered key may be. Keys are
// refused twice this long before the retention ends, so that no record is dropped while its key
// is still accepted.
const MaxClockSkew = time.Minute

const (
	ulidLength    = 26
	ulidTimeChars = 10
	ulidAlphabet  = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	uuidVersion7  = 7
)

// Age classifies a key by its timestamp, which determines whether the key may be claimed.
type Age uint8

// The possible ages of a key.
const (
	// AgeUnknown means that the key contains no timestamp.
	AgeUnknown Age = iota
	// AgeCurrent means that the record of the key, if there ever was one, is still stored.
	AgeCurrent
	// AgeTooOld means that a record of the key may have been dropped.
	AgeTooOld
	// AgeFuture means that the timestamp is too far in the future to be correct.
	AgeFuture
)

// KeyAge determines the age of a key. now is the current wall-clock time.
func KeyAge(key string, now time.Time, retention time.Duration) Age {
	created, ok := timestampOf(key)
	switch {
	case !ok:
		return AgeUnknown
	case created.After(now.Add(MaxClockSkew)):
		return AgeFuture
	case now.Sub(created) > retention-2*MaxClockSkew:
		return AgeTooOld
	}
	return AgeCurrent
}

// timestampOf returns the timestamp of a version 7 UUID or of a ULID.
func timestampOf(key string) (time.Time, bool) {
	if len(key) == ulidLength {
		return ulidTimestamp(key)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

func ulidTimestamp(key string) (time.Time, bool) {
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
