package checker

import "time"

// endlessResponse is a response that an endpoint never ends.
type endlessResponse struct {
	endpoint, request string
}

// RecordEndless records that an endpoint's response to a request never ends.
func (c *Checker) RecordEndless(endpoint, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endless = append(c.endless, endlessResponse{endpoint, requestID})
}

// LinkReset records that the open connections to an endpoint are reset now.
func (c *Checker) LinkReset(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = append(c.resets, fault{endpoint, now})
}

// MayAbort reports whether the response to a request that was sent at sentAt may be aborted now. Only an endless response may:
// by the entry at the deadline of its route, and before that if the connection over which the endpoint sends it was reset, as its
// beginning has been passed on and the rest will not come. A response that ends is passed on when it is whole, and no reset excuses it.
func (c *Checker) MayAbort(now time.Time, requestID string, sentAt time.Time, deadline time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endless {
		if e.request == requestID && (now.Sub(sentAt) >= deadline || c.resets.hit(e.endpoint, sentAt, now)) {
			return true
		}
	}
	return false
}
