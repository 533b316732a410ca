package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRepeatedCommandDelaysNoOther guards against a command that is sent again and again, and so
// restarts its own deadline each time, keeping other waiters beyond their deadlines.
func TestRepeatedCommandDelaysNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Controller{claimWaiters: make(map[claimID]claimWaiter)}
	id := func(i int) claimID { return claimID{attempt: fmt.Sprint("a", i)} }
	for i := range 5 {
		c.addClaimWaiter(id(i), claimWaiter{deadline: now.Add(claimTimeout)})
	}
	for range 9 {
		now = now.Add(claimTimeout / 8)
		c.addClaimWaiter(id(0), claimWaiter{deadline: now.Add(claimTimeout)})
	}
	c.expireClaimWaiters(now)
	assert.Equal(t, len(c.claimWaiters), 1)
	assert.Equal(t, c.nextClaimDeadline(), now.Add(claimTimeout))
	c.expireClaimWaiters(now.Add(claimTimeout))
	assert.Equal(t, len(c.claimWaiters), 0)
	assert.Assert(t, c.nextClaimDeadline().IsZero())
}
