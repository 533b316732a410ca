package subscriber

import (
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
)

// maintainStream opens a stream if there is none, and closes one on which the replica sends
// nothing or grants no configuration lease for too long.
func (s *Subscriber) maintainStream(now time.Time) {
	switch {
	case s.connected && (now.Sub(s.lastMessageAt) > messenger.StreamTimeout || now.Sub(s.leaseWaitStart) > configLeaseTimeout):
		s.emit(Close{})
		s.onClosed(now)
	case !s.connected && !s.connecting && !now.Before(s.retryAt) && len(s.replicas) > 0:
		s.connecting = true
		s.followed = s.pickReplica()
		s.retryAt = now.Add(s.backoff(connectMin, connectMax))
		s.emit(Open{Address: s.followed})
	case s.connecting && !now.Before(s.retryAt):
		s.emit(Close{})
		s.onClosed(now)
	}
}

// pickReplica returns a random replica other than the last one, if there is another.
func (s *Subscriber) pickReplica() string {
	others := make([]string, 0, len(s.replicas))
	for _, address := range s.replicas {
		if address != s.followed {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return s.followed
	}
	return others[s.rand.IntN(len(others))]
}

func (s *Subscriber) onOpened(now time.Time) {
	s.connecting = false
	s.connected = true
	s.lastMessageAt = now
	s.leaseWaitStart = now
	hello := s.hello
	hello.Revision = s.revision
	s.emit(Send{Message: hello})
	if list := s.direct.CurrentWarmUps(now, s.direct.List("")); len(list) > 0 {
		s.emit(Send{Message: messenger.EndpointAnnouncements{Announcements: list}})
	}
	s.sendHeartbeat(now)
	s.sendUsage(now)
	s.sendAllCommands(now)
}

func (s *Subscriber) disconnect() {
	s.connected = false
	s.connecting = false
	s.heartbeats = nil
	s.permits.sent = nil
	s.keepUnconfirmedUsage()
	clear(s.permits.pending)
}

func (s *Subscriber) onClosed(now time.Time) {
	s.disconnect()
	wait := s.backoff(reconnectMin, reconnectMax)
	s.retryAt = now.Add(wait/2 + time.Duration(s.rand.Int64N(int64(wait/2))))
	s.failedStreams++
}

// backoff returns a wait that starts at shortest and doubles, up to longest, each time that as
// many consecutive streams have failed as there are replicas.
func (s *Subscriber) backoff(shortest, longest time.Duration) time.Duration {
	wait := shortest
	for range s.failedStreams / max(1, len(s.replicas)) {
		wait = min(2*wait, longest)
	}
	return wait
}

// onLagging leaves a replica that may be partitioned off, if there is another one.
func (s *Subscriber) onLagging(now time.Time) {
	if !s.connected || len(s.replicas) < 2 {
		return
	}
	s.emit(Close{})
	s.disconnect()
	s.laggingReplicas++
	s.retryAt = now.Add(time.Duration(s.rand.Int64N(int64(laggingJitter))))
	if s.laggingReplicas >= len(s.replicas) {
		s.retryAt = s.retryAt.Add(laggingPause)
	}
}

// onReplicas replaces the discovered replicas. The current stream stays open.
func (s *Subscriber) onReplicas(addresses []string) {
	if s.discovery && len(addresses) > 0 {
		s.discovered = slices.Clone(addresses)
		s.mergeReplicas()
	}
}

// mergeReplicas joins the discovered replicas and the seeds.
func (s *Subscriber) mergeReplicas() {
	s.replicas = slices.Clone(s.discovered)
	for _, address := range s.seeds {
		if !slices.Contains(s.replicas, address) {
			s.replicas = append(s.replicas, address)
		}
	}
}
