package subscriber

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/scheduler"
)

// immediately is a time in the past, which makes a Tick due at once.
var immediately = time.Unix(0, 1)

// Due returns when the subscriber needs its next Tick; zero if nothing is due until another
// input arrives. The result changes only when Handle is called.
func (s *Subscriber) Due() time.Time {
	due := scheduler.Earliest(s.streamDue(), s.direct.NextExpiry(), s.unlistedDue(), s.nextStopAt)
	if s.configLeaseHeld {
		due = scheduler.Earliest(due, s.configLeaseUntil)
	}
	return due
}

// streamDue returns when the stream, or the attempt to open one, next requires a Tick.
func (s *Subscriber) streamDue() time.Time {
	switch {
	case s.connected:
		silence := s.lastMessageAt.Add(messenger.StreamTimeout + 1)
		due := scheduler.Earliest(silence, s.leaseWaitStart.Add(configLeaseTimeout+1), s.nextHeartbeat)
		due = scheduler.Earliest(due, s.permitsDue())
		if c := s.nextResend(); c != nil {
			due = scheduler.Earliest(due, c.sentAt.Add(commandResendInterval))
		}
		return due
	case len(s.replicas) == 0 && !s.connecting:
		return time.Time{}
	case s.retryAt.IsZero():
		return immediately
	}
	return s.retryAt
}

// unlistedDue returns when the first unlisted endpoint is dropped.
func (s *Subscriber) unlistedDue() time.Time {
	if len(s.unlisted) == 0 {
		s.unlistedExpiry = time.Time{}
	}
	return s.unlistedExpiry
}
