package controller

import (
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// maxClaimWaiters limits the number of claim commands that wait for the log at the same time.
const maxClaimWaiters = 20_000

// claimID identifies a claim command whose result an entry waits for.
type claimID struct {
	key     claimer.Key
	attempt string
	kind    claimKind
}

type claimKind uint8

const (
	claimKindClaim claimKind = iota + 1
	claimKindRelease
	claimKindSettle
)

type claimWaiter struct {
	conn     Conn
	request  uint64
	deadline time.Time
}

// claimDeadline is when the wait for a command ends. It no longer counts once the command has its
// result or was sent again.
type claimDeadline struct {
	id       claimID
	deadline time.Time
}

func (c *Controller) onClaiming(now time.Time, conn Conn, v messenger.ClaimRequest) {
	id, ok := claimIDOf(v.Command)
	if !ok {
		return
	}
	data, err := claimer.Encode(v.Command)
	if err != nil || len(c.claimWaiters) >= maxClaimWaiters || c.claims.replica.Propose(data) != nil {
		c.emit(SendEntry{Conn: conn, Message: messenger.ClaimReply{Request: v.Request, NotProposed: true}})
		return
	}
	c.addClaimWaiter(id, claimWaiter{conn: conn, request: v.Request, deadline: now.Add(claimTimeout)})
}

// addClaimWaiter lets an entry wait for the result of a command. If the command is already
// waiting, its deadline starts again.
func (c *Controller) addClaimWaiter(id claimID, w claimWaiter) {
	c.claimWaiters[id] = w
	c.claimDeadlines = append(c.claimDeadlines, claimDeadline{id, w.deadline})
}

func claimIDOf(cmd claimer.Command) (claimID, bool) {
	switch v := cmd.(type) {
	case claimer.Claim:
		return claimID{v.Key, v.Attempt, claimKindClaim}, true
	case claimer.Release:
		return claimID{v.Key, v.Attempt, claimKindRelease}, true
	case claimer.Settle:
		return claimID{v.Key, v.Attempt, claimKindSettle}, true
	}
	return claimID{}, false
}

func (c *Controller) applyClaim(data []byte) {
	cmd, err := claimer.Decode(data)
	if err != nil {
		c.record(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		return
	}
	result := c.claimer.Apply(cmd)
	id, ok := claimIDOf(cmd)
	if !ok {
		return
	}
	waiter, ok := c.claimWaiters[id]
	if !ok {
		return
	}
	delete(c.claimWaiters, id)
	c.emit(SendEntry{Conn: waiter.conn, Message: messenger.ClaimReply{Request: waiter.request, Result: result}})
}

func (c *Controller) expireClaimWaiters(now time.Time) {
	for deadline := c.nextClaimDeadline(); !deadline.IsZero() && !now.Before(deadline); deadline = c.nextClaimDeadline() {
		delete(c.claimWaiters, c.claimDeadlines[0].id)
		c.claimDeadlines = c.claimDeadlines[1:]
	}
}

// nextClaimDeadline returns the earliest deadline of a waiting command, or zero if none waits. It
// drops outdated deadlines.
func (c *Controller) nextClaimDeadline() time.Time {
	for len(c.claimDeadlines) > 0 {
		first := c.claimDeadlines[0]
		if w, ok := c.claimWaiters[first.id]; ok && w.deadline.Equal(first.deadline) {
			return w.deadline
		}
		c.claimDeadlines = c.claimDeadlines[1:]
	}
	return time.Time{}
}

// advanceClaimsClock advances the clock of the claims with the leader's monotonic clock. A new
// leader counts from its election, so the clock may be behind real time, but never ahead of it.
func (c *Controller) advanceClaimsClock(now time.Time) {
	if c.claims.replica.Role() != replicator.RoleLeader {
		c.lastClockAdvance = now
		return
	}
	if now.Before(c.nextClockAdvance) {
		return
	}
	c.nextClockAdvance = now.Add(clockAdvanceInterval)
	data, err := claimer.Encode(claimer.AdvanceClock{Elapsed: now.Sub(c.lastClockAdvance)})
	if err == nil && c.claims.replica.Propose(data) == nil {
		c.lastClockAdvance = now
	}
}
