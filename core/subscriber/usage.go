package subscriber

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/scheduler"
)

const (
	// maxUsageAge is how long counts wait for a stream. An entry that has been without one for longer was missing to the
	// leader, which has kept a part of the limits for it.
	maxUsageAge = 2 * time.Second
	// confirmInterval is the minimum time between a heartbeat and one that confirms the contact.
	confirmInterval = 150 * time.Millisecond
	// usageTransit is how long before the last message of a stream a report may have been sent that has not arrived.
	usageTransit = 100 * time.Millisecond
)

// usage holds the reports that wait for a stream.
type usage struct {
	pending []pendingUsage
	// sent lists the reports of the present stream that may not have arrived yet.
	sent []pendingUsage
	// lastHeartbeat is when the last heartbeat was sent.
	lastHeartbeat time.Time
}

// pendingUsage is a report that waits for a stream.
type pendingUsage struct {
	report messenger.UsageReport
	at     time.Time
}

// onUsageCounted sends a report, or keeps it until there is a stream.
func (s *Subscriber) onUsageCounted(now time.Time, v UsageCounted) {
	s.usage.pending = append(s.usage.pending, pendingUsage{v.Report, now})
	s.dropOldUsage(now)
	if !s.connected {
		return
	}
	s.sendUsage(now)
	if !v.Confirm {
		return
	}
	s.nextHeartbeat = scheduler.Earliest(s.nextHeartbeat, s.usage.lastHeartbeat.Add(confirmInterval))
	if !now.Before(s.nextHeartbeat) {
		s.sendHeartbeat(now)
	}
}

func (s *Subscriber) dropOldUsage(now time.Time) {
	p := &s.usage.pending
	for len(*p) > 0 && now.Sub((*p)[0].at) > maxUsageAge {
		*p = (*p)[1:]
	}
}

func (s *Subscriber) sendUsage(now time.Time) {
	s.dropOldUsage(now)
	for _, p := range s.usage.pending {
		s.emit(Send{Message: p.report})
		s.usage.sent = append(s.usage.sent, pendingUsage{p.report, now})
	}
	s.usage.pending = nil
	s.dropArrived()
}

// dropArrived forgets the reports that have arrived, as far as later messages of the replica show.
func (s *Subscriber) dropArrived() {
	sent := s.usage.sent
	for len(sent) > 0 && sent[0].at.Before(s.lastMessageAt.Add(-usageTransit)) {
		sent = sent[1:]
	}
	s.usage.sent = sent
}

// keepUnconfirmedUsage has the reports that may not have arrived sent again on the next stream. Counting a few calls
// twice limits a workspace for a moment, but not counting them would let it pass its limit.
func (s *Subscriber) keepUnconfirmedUsage() {
	s.dropArrived()
	s.usage.pending = append(s.usage.sent, s.usage.pending...)
	s.usage.sent = nil
}
