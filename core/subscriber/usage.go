package subscriber

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/scheduler"
)

const (
	// maxUsageAge is how long counts wait for a stream: the window of the rate limits. Older ones would refuse calls
	// without need.
	maxUsageAge = 5 * time.Second
	// confirmInterval is the minimum time between a heartbeat and one that confirms the contact.
	confirmInterval = 150 * time.Millisecond
)

// usage holds the reports that wait for a stream.
type usage struct {
	pending []pendingUsage
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
	}
	s.usage.pending = nil
}
