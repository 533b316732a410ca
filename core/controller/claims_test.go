package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRepeatedCommandDelaysNoOther sends one command again and again, whose wait begins
// anew each time; the others are forgotten when their own waits end.
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
