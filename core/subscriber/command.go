package subscriber

import (
	"maps"
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
)

// onCommand sends a command to the claims log. Releases and settlements are sent
// again until they are answered; a claim ends with its call.
func (s *Subscriber) onCommand(now time.Time, v Command) {
	if len(s.commands) >= maxCommands {
		s.decline(v)
		return
	}
	if _, ok := v.Command.(claimer.Release); ok {
		s.dropClaims(v)
	}
	s.lastRequest++
	c := &command{Command: v}
	s.commands[s.lastRequest] = c
	s.sendCommand(now, s.lastRequest, c)
}

// dropClaims stops sending the claim of a call that is giving it up.
func (s *Subscriber) dropClaims(v Command) {
	for request, c := range s.commands {
		if _, ok := c.Command.Command.(claimer.Claim); ok && c.Call == v.Call && c.Service == v.Service {
			delete(s.commands, request)
		}
	}
}

func (s *Subscriber) sendCommand(now time.Time, request uint64, c *command) {
	if !s.connected {
		return
	}
	c.sentAt = now
	s.resends = append(s.resends, request)
	s.do(Send{Message: messenger.ClaimRequest{Request: request, Command: c.Command.Command}})
}

func (s *Subscriber) resendCommands(now time.Time) {
	if !s.connected {
		return
	}
	for c := s.nextResend(); c != nil && now.Sub(c.sentAt) >= commandAgain; c = s.nextResend() {
		request := s.resends[0]
		s.resends = s.resends[1:]
		s.sendCommand(now, request, c)
	}
}

// nextResend returns the command that was sent first of those that wait for an answer, or
// nil.
func (s *Subscriber) nextResend() *command {
	for len(s.resends) > 0 {
		if c, ok := s.commands[s.resends[0]]; ok {
			return c
		}
		s.resends = s.resends[1:]
	}
	return nil
}

// sendAllCommands sends what waits for an answer on a new stream, oldest first.
func (s *Subscriber) sendAllCommands(now time.Time) {
	s.resends = nil
	for _, request := range slices.Sorted(maps.Keys(s.commands)) {
		s.sendCommand(now, request, s.commands[request])
	}
}

func (s *Subscriber) onClaimed(v messenger.ClaimReply) {
	c, ok := s.commands[v.Request]
	if !ok {
		return
	}
	claim, isClaim := c.Command.Command.(claimer.Claim)
	if v.Refused && !isClaim {
		return // sent again by resendCommands
	}
	delete(s.commands, v.Request)
	if !isClaim {
		return
	}
	s.do(Decide{Service: c.Service, Decided: balancer.ClaimDecided{
		Call: c.Call, Attempt: claim.Attempt, NotProposed: v.Refused, Verdict: v.Result.Verdict, Response: v.Result.Response,
	}})
}

// decline answers a claim that can't be sent.
func (s *Subscriber) decline(v Command) {
	if claim, ok := v.Command.(claimer.Claim); ok {
		s.do(Decide{Service: v.Service, Decided: balancer.ClaimDecided{Call: v.Call, Attempt: claim.Attempt, NotProposed: true}})
	}
}
