package subscriber

import (
	"maps"
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
)

// onCommand sends a command to the claims log. Releases and settlements are sent again until
// they have a reply; a claim is given up when its call ends.
func (s *Subscriber) onCommand(now time.Time, v Command) {
	if len(s.commands) >= maxPendingCommands {
		s.refuseClaim(v)
		return
	}
	if _, ok := v.Command.(claimer.Release); ok {
		s.dropClaims(v)
	}
	s.lastRequest++
	c := &pendingCommand{Command: v}
	s.commands[s.lastRequest] = c
	s.sendCommand(now, s.lastRequest, c)
}

// dropClaims stops sending the claim of a call that releases it.
func (s *Subscriber) dropClaims(v Command) {
	for request, c := range s.commands {
		if _, ok := c.Command.Command.(claimer.Claim); ok && c.Call == v.Call && c.Service == v.Service {
			delete(s.commands, request)
		}
	}
}

func (s *Subscriber) sendCommand(now time.Time, request uint64, c *pendingCommand) {
	if !s.connected {
		return
	}
	c.sentAt = now
	s.resends = append(s.resends, request)
	s.emit(Send{Message: messenger.ClaimRequest{Request: request, Command: c.Command.Command}})
}

func (s *Subscriber) resendCommands(now time.Time) {
	if !s.connected {
		return
	}
	for c := s.nextResend(); c != nil && now.Sub(c.sentAt) >= commandResendInterval; c = s.nextResend() {
		request := s.resends[0]
		s.resends = s.resends[1:]
		s.sendCommand(now, request, c)
	}
}

// nextResend returns the pending command that was sent least recently, or nil.
func (s *Subscriber) nextResend() *pendingCommand {
	for len(s.resends) > 0 {
		if c, ok := s.commands[s.resends[0]]; ok {
			return c
		}
		s.resends = s.resends[1:]
	}
	return nil
}

// sendAllCommands sends all pending commands on a new stream, oldest first.
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
	if v.NotProposed && !isClaim {
		return // sent again by resendCommands
	}
	delete(s.commands, v.Request)
	if !isClaim {
		return
	}
	s.emit(Decide{Service: c.Service, Decided: balancer.ClaimDecided{
		Call: c.Call, Attempt: claim.Attempt, NotProposed: v.NotProposed, Verdict: v.Result.Verdict, Response: v.Result.Response,
	}})
}

// refuseClaim decides a claim that can't be sent as refused.
func (s *Subscriber) refuseClaim(v Command) {
	if claim, ok := v.Command.(claimer.Claim); ok {
		s.emit(Decide{Service: v.Service, Decided: balancer.ClaimDecided{Call: v.Call, Attempt: claim.Attempt, NotProposed: true}})
	}
}
