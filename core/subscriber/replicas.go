package subscriber

import (
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
)

// keepStream leaves a replica that is silent or gives no standing for too long.
func (s *Subscriber) keepStream(now time.Time) {
	switch {
	case s.connected && (now.Sub(s.heardAt) > messenger.StreamTimeout || now.Sub(s.followedAt) > standingPatience):
		s.do(Close{})
		s.onClosed(now)
	case !s.connected && !s.connecting && !now.Before(s.retryAt) && len(s.replicas) > 0:
		s.connecting = true
		s.followed = s.another()
		s.retryAt = now.Add(s.backoff(connectMin, connectMax))
		s.do(Open{Address: s.followed})
	case s.connecting && !now.Before(s.retryAt):
		s.do(Close{})
		s.onClosed(now)
	}
}

// another returns a replica at random, but not the one that was left just now.
func (s *Subscriber) another() string {
	choice := make([]string, 0, len(s.replicas))
	for _, address := range s.replicas {
		if address != s.followed {
			choice = append(choice, address)
		}
	}
	if len(choice) == 0 {
		return s.followed
	}
	return choice[s.rand.IntN(len(choice))]
}

func (s *Subscriber) onOpened(now time.Time) {
	s.connecting = false
	s.connected = true
	s.heardAt = now
	s.followedAt = now
	hello := s.hello
	hello.Revision = s.revision
	s.do(Send{Message: hello})
	if list := s.direct.List(""); len(list) > 0 {
		s.do(Send{Message: messenger.EndpointAnnouncements{Announcements: list}})
	}
	s.sendBeat(now)
	s.sendAllCommands(now)
}

func (s *Subscriber) disconnect() {
	s.connected = false
	s.connecting = false
	s.beats = nil
}

func (s *Subscriber) onClosed(now time.Time) {
	s.disconnect()
	wait := s.backoff(reconnectMin, reconnectMax)
	s.retryAt = now.Add(wait/2 + time.Duration(s.rand.Int64N(int64(wait/2))))
	s.failed++
}

// backoff returns a time that doubles from the least to the most, each time that as many
// streams in a row have failed as there are replicas.
func (s *Subscriber) backoff(least, most time.Duration) time.Duration {
	wait := least
	for range s.failed / max(1, len(s.replicas)) {
		wait = min(2*wait, most)
	}
	return wait
}

// onLagging leaves a replica that may be cut off, where there is another one.
func (s *Subscriber) onLagging(now time.Time) {
	if !s.connected || len(s.replicas) < 2 {
		return
	}
	s.do(Close{})
	s.disconnect()
	s.lagging++
	s.retryAt = now.Add(time.Duration(s.rand.Int64N(int64(laggingSpread))))
	if s.lagging >= len(s.replicas) {
		s.retryAt = s.retryAt.Add(laggingPause)
	}
}

// onReplicas takes up where replicas are now. The present stream stays.
func (s *Subscriber) onReplicas(addresses []string) {
	if s.discovers && len(addresses) > 0 {
		s.told = slices.Clone(addresses)
		s.joinReplicas()
	}
}

func (s *Subscriber) joinReplicas() {
	s.replicas = slices.Clone(s.told)
	for _, address := range s.seeds {
		if !slices.Contains(s.replicas, address) {
			s.replicas = append(s.replicas, address)
		}
	}
}
