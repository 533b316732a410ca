// Package recorder defines the events of the time line, the hybrid logical clock
// that orders them over all processes, and the bounded ring that keeps them.
package recorder

import "time"

// Kind names what happened.
type Kind string

// The kinds of event.
const (
	KindEndpointAnnounced    Kind = "endpoint-announced"
	KindEndpointStateChanged Kind = "endpoint-state-changed"
	KindEndpointExpired      Kind = "endpoint-expired"
	KindEndpointEjected      Kind = "endpoint-ejected"
	KindEndpointReturned     Kind = "endpoint-returned"
	KindEndpointStopped      Kind = "endpoint-stopped"
	KindStopComplete         Kind = "stop-complete"
	KindConnectionsSuspected Kind = "connections-doubted"
	KindAttemptSent          Kind = "attempt-sent"
	KindCallCompleted        Kind = "call-answered"
	KindCallerDisconnected   Kind = "caller-left"
	KindAttemptRetried       Kind = "attempt-retried"
	KindAttemptHedged        Kind = "attempt-hedged"
	KindCallRefused          Kind = "call-refused"
	KindCallUnknown          Kind = "call-unknown"
	KindConfigLeaseChanged   Kind = "standing-changed"
	KindConfigApplied        Kind = "configuration-taken-up"
	KindConfigAccepted       Kind = "configuration-accepted"
	KindConfigConflict       Kind = "configuration-conflict"
	KindLeaderChanged        Kind = "leader-changed"
	KindMembershipChanged    Kind = "membership-changed"
	KindEntryJoined          Kind = "entry-joined"
	KindEntryLeft            Kind = "entry-left"
	KindBudgetShareChanged   Kind = "budget-share-changed"
	KindShutdown             Kind = "shutdown"
	KindStarted              Kind = "started"
	KindJournalFailed        Kind = "journal-failed"
)

// Stamp is a time of the hybrid logical clock.
type Stamp struct {
	// Wall is in milliseconds since 1970.
	Wall int64 `json:"wall-ms"`
	// Count orders events of the same millisecond.
	Count uint32 `json:"count"`
}

// Before reports whether s comes before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Event is one entry of the time line.
type Event struct {
	At       Stamp  `json:"at"`
	Instance string `json:"instance"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Request is the caller's request id, if the event concerns one call.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Clock is a hybrid logical clock. It never goes back, and follows the latest
// stamp that it is shown.
type Clock struct {
	last Stamp
}

// Next returns the stamp of an event at the given time.
func (c *Clock) Next(now time.Time) Stamp {
	wall := now.UnixMilli()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	return c.last
}

// maxAhead is how far ahead of the own wall clock another process may be: one wrong
// clock must not drag all others along.
const maxAhead = time.Minute

// Observe takes note of a stamp from another process.
func (c *Clock) Observe(now time.Time, s Stamp) {
	if c.last.Before(s) && s.Wall <= now.Add(maxAhead).UnixMilli() {
		c.last = s
	}
}
