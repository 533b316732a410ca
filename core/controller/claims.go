package controller

import (
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// maxClaimWaiters bounds the claims that wait for the log at once.
const maxClaimWaiters = 20_000

// claimID identifies a command that an entry waits for.
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
	conn    Conn
	request uint64
	until   time.Time
}

// claimWait is when the wait for a command ends, unless it was answered or begun anew.
type claimWait struct {
	id    claimID
	until time.Time
}

func (c *Controller) onClaiming(now time.Time, conn Conn, v messenger.ClaimRequest) {
	id, ok := identify(v.Command)
	if !ok {
		return
	}
	data, err := claimer.Encode(v.Command)
	if err != nil || len(c.claimWaiters) >= maxClaimWaiters || c.claims.replica.Propose(data) != nil {
		c.do(SendEntry{Conn: conn, Message: messenger.ClaimReply{Request: v.Request, Refused: true}})
		return
	}
	c.awaitClaim(id, claimWaiter{conn: conn, request: v.Request, until: now.Add(claimTimeout)})
}

// awaitClaim lets an entry wait for a command. One that is sent again waits anew.
func (c *Controller) awaitClaim(id claimID, w claimWaiter) {
	c.claimWaiters[id] = w
	c.claimsInOrder = append(c.claimsInOrder, claimWait{id, w.until})
}

func identify(cmd claimer.Command) (claimID, bool) {
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
	id, ok := identify(cmd)
	if !ok {
		return
	}
	waiter, ok := c.claimWaiters[id]
	if !ok {
		return
	}
	delete(c.claimWaiters, id)
	c.do(SendEntry{Conn: waiter.conn, Message: messenger.ClaimReply{Request: waiter.request, Result: result}})
}

func (c *Controller) expireClaims(now time.Time) {
	for until := c.claimDue(); !until.IsZero() && !now.Before(until); until = c.claimDue() {
		delete(c.claimWaiters, c.claimsInOrder[0].id)
		c.claimsInOrder = c.claimsInOrder[1:]
	}
}

// claimDue returns when the wait of the oldest command may end; zero without one.
func (c *Controller) claimDue() time.Time {
	for len(c.claimsInOrder) > 0 {
		first := c.claimsInOrder[0]
		if w, ok := c.claimWaiters[first.id]; ok && w.until.Equal(first.until) {
			return w.until
		}
		c.claimsInOrder = c.claimsInOrder[1:]
	}
	return time.Time{}
}

// advanceClaims lets the claims' own clock follow the leader's monotonic clock.
// A new leader counts from its election, so the clock may lag but never leads.
func (c *Controller) advanceClaims(now time.Time) {
	if c.claims.replica.Role() != replicator.RoleLeader {
		c.lastAdvance = now
		return
	}
	if now.Before(c.nextAdvance) {
		return
	}
	c.nextAdvance = now.Add(advanceInterval)
	data, err := claimer.Encode(claimer.AdvanceClock{Elapsed: now.Sub(c.lastAdvance)})
	if err == nil && c.claims.replica.Propose(data) == nil {
		c.lastAdvance = now
	}
}
