// Package recorder defines the events of the timeline, the hybrid logical clock that orders them
// across all processes, and the bounded ring buffer that stores them.
package recorder

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindEndpointAnnounced    Kind = "endpoint-announced"
	KindAnnouncementInvalid  Kind = "announcement-invalid"
	KindEndpointStateChanged Kind = "endpoint-state-changed"
	KindEndpointExpired      Kind = "endpoint-expired"
	KindEndpointEjected      Kind = "endpoint-ejected"
	KindEndpointReturned     Kind = "endpoint-returned"
	KindEndpointStopped      Kind = "endpoint-stopped"
	KindEndpointPaused       Kind = "endpoint-paused"
	KindEndpointLimitChanged Kind = "endpoint-limit-changed"
	KindStopComplete         Kind = "stop-complete"
	KindConnectionsSuspected Kind = "connections-doubted"
	KindAttemptSent          Kind = "attempt-sent"
	KindCallCompleted        Kind = "call-answered"
	KindCallerDisconnected   Kind = "caller-left"
	KindAttemptRetried       Kind = "attempt-retried"
	KindAttemptHedged        Kind = "attempt-hedged"
	KindCallRefused          Kind = "call-refused"
	KindCallUnknown          Kind = "call-unknown"
	// KindRateLimitReached and KindRateLimitLeft tell that a workspace sends more than its rate limit, and no longer
	// does.
	KindRateLimitReached   Kind = "rate-limit-reached"
	KindRateLimitLeft      Kind = "rate-limit-left"
	KindBodyCut            Kind = "request-body-cut"
	KindResponseMalformed  Kind = "response-malformed"
	KindConfigLeaseChanged Kind = "standing-changed"
	KindConfigApplied      Kind = "configuration-taken-up"
	KindConfigAccepted     Kind = "configuration-accepted"
	KindConfigConflict     Kind = "configuration-conflict"
	KindEvacuationBegun    Kind = "evacuation-begun"
	KindEvacuationFinished Kind = "evacuation-finished"
	KindLeaderChanged      Kind = "leader-changed"
	KindMembershipChanged  Kind = "membership-changed"
	KindEntryJoined        Kind = "entry-joined"
	KindEntryLeft          Kind = "entry-left"
	KindBudgetShareChanged Kind = "budget-share-changed"
	KindShutdown           Kind = "shutdown"
	KindStarted            Kind = "started"
	KindMessageInvalid     Kind = "message-invalid"
	KindJournalFailed      Kind = "journal-failed"
)

// Stamp is a timestamp of the hybrid logical clock.
type Stamp struct {
	// Wall is the wall-clock time in milliseconds since the Unix epoch of 1970.
	Wall int64 `json:"wall-ms"`
	// Count orders events within the same millisecond.
	Count uint32 `json:"count"`
}

// Before reports whether s comes before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Event is one item of the timeline.
type Event struct {
	At       Stamp  `json:"at"`
	Instance string `json:"instance"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Request is the request ID of the caller if the event concerns a single call.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Clock is a hybrid logical clock. It never goes backwards, and its next stamp is later than
// any stamp that it has observed and accepted.
type Clock struct {
	last Stamp
}

// Next returns the stamp for an event at the given time.
func (c *Clock) Next(now time.Time) Stamp {
	wall := now.UnixMilli()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	return c.last
}

// maxClockAhead is how far the stamps of another process may be ahead of the local wall clock.
// It prevents one wrong clock from advancing the clocks of all other processes.
const maxClockAhead = time.Minute

// Observe advances the clock to a stamp of another process. It ignores stamps that are too far
// ahead of now.
func (c *Clock) Observe(now time.Time, s Stamp) {
	if c.last.Before(s) && s.Wall <= now.Add(maxClockAhead).UnixMilli() {
		c.last = s
	}
}
