package subscriber

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/scheduler"
)

// atOnce is a time that has passed.
var atOnce = time.Unix(0, 1)

// Due returns when the subscriber wants a Tick next; zero while only an input can bring it
// work. It changes only with Handle.
func (s *Subscriber) Due() time.Time {
	due := scheduler.Earliest(s.streamDue(), s.direct.NextExpiry(), s.unlistedDue(), s.stopAt)
	if s.stood {
		due = scheduler.Earliest(due, s.standingUntil)
	}
	return due
}

// streamDue returns when the stream, or the search for one, needs something.
func (s *Subscriber) streamDue() time.Time {
	switch {
	case s.connected:
		silent := s.heardAt.Add(messenger.StreamTimeout + 1)
		due := scheduler.Earliest(silent, s.followedAt.Add(standingPatience+1), s.nextBeat)
		if c := s.nextResend(); c != nil {
			due = scheduler.Earliest(due, c.sentAt.Add(commandAgain))
		}
		return due
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
