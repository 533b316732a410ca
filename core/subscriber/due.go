package subscriber

import (
	"time"

	"comfreyplank.org/core/messenger"
)

// atOnce is a time that has passed.
var atOnce = time.Unix(0, 1)

// Due returns when the subscriber wants a Tick next; zero while only an input can bring it
// work. It changes only with Handle.
func (s *Subscriber) Due() time.Time {
	due := earliest(s.streamDue(), s.direct.NextExpiry())
	if s.stood {
		due = earliest(due, s.standingUntil)
	}
	due = earliest(due, s.unlistedDue())
	return earliest(due, s.stopAt)
}

// streamDue returns when the stream, or the search for one, needs something.
func (s *Subscriber) streamDue() time.Time {
	switch {
	case s.connected:
		silent := s.heardAt.Add(messenger.SilenceLimit + 1)
		due := earliest(silent, s.followedAt.Add(standingPatience+1))
		if c := s.nextResend(); c != nil {
			due = earliest(due, c.sentAt.Add(commandAgain))
		}
		return earliest(due, s.nextBeat)
	case len(s.replicas) == 0 && !s.connecting:
		return time.Time{}
	case s.retryAt.IsZero():
		return atOnce
	}
	return s.retryAt
}

// unlistedDue returns when the first endpoint that is listed no more is forgotten.
func (s *Subscriber) unlistedDue() time.Time {
	if len(s.unlisted) == 0 {
		s.unlistedAt = time.Time{}
	}
	return s.unlistedAt
}

// earliest returns the earlier of two times, where zero stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
