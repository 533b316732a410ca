package controller

import "time"

// A replica can't see how long a message has waited in a socket, but it knows when it stood still itself.
const (
	// aliveInterval is the longest time without an input in which a running replica calls itself.
	aliveInterval = 200 * time.Millisecond
	// maxInputGap is the longest time without an input after which a replica still takes itself to have run throughout.
	maxInputGap = 500 * time.Millisecond
	// settleTime is how long after a standstill connections may be accepted that have waited since before its end.
	settleTime = time.Second
)

// noteInput notes that the replica runs, before it handles an input. Whichever input comes first after a standstill, the
// standstill is known before the input has any effect.
func (c *Controller) noteInput(now time.Time) {
	if !c.lastInput.IsZero() && now.Sub(c.lastInput) > maxInputGap {
		c.onStoodStill(now)
	}
	c.lastInput = now
}

// onStoodStill drops the orders that have no base yet: their senders may have left, and given other orders since.
func (c *Controller) onStoodStill(now time.Time) {
	c.stoodStillAt = now
	c.dropEvacuations(func(p pendingEvacuation) bool { return !p.proposed && !p.stored })
}

// mayHaveWaited reports whether what has reached this replica since a time may have been on its way for longer.
func (c *Controller) mayHaveWaited(since time.Time) bool {
	return !c.stoodStillAt.IsZero() && since.Before(c.stoodStillAt.Add(settleTime))
}
