package checker

import "time"

// observations holds what callers and endpoints have seen, and which faults excuse an entry.
type observations struct {
	// sent holds when each request was sent, and to which process of an entry.
	sent map[string]sending
	// runs holds where and when each request began to run, and arrivals where and when it arrived, also to be refused.
	runs, arrivals []arrival
	// passed lists the responses that entries passed on.
	passed []passedResponse
	// excused lists the times at which a fault hit an entry or the link of an endpoint, or ended.
	excused faults
}

type sending struct {
	entry string
	at    time.Time
}

// arrival is one attempt of a request at an endpoint.
type arrival struct {
	endpoint, request string
	at                time.Time
}

type passedResponse struct {
	// endpoint is the one that gave the response: a hedged request may have arrived at others.
	endpoint, request string
	at                time.Time
}

// fault is one of a process of an entry, or of the link of an endpoint.
type fault struct {
	target string
	at     time.Time
}

type faults []fault

// hit reports whether one of the faults hit or left the target from one time to another.
func (f faults) hit(target string, from, until time.Time) bool {
	for _, v := range f {
		if v.target == target && !v.at.Before(from) && !v.at.After(until) {
			return true
		}
	}
	return false
}

// Sent records the process of an entry that a request is sent to.
func (c *Checker) Sent(now time.Time, requestID, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.sent[requestID] = sending{entry, now}
}

// PassedOn records that an entry has passed on the response of an endpoint to a request. The endpoint is empty if the
// entry responded itself.
func (c *Checker) PassedOn(now time.Time, requestID, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.passed = append(c.seen.passed, passedResponse{endpoint, requestID, now})
}

// Excused records that a fault hits a process of an entry or the link of an endpoint, or has just ended.
func (c *Checker) Excused(now time.Time, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.excused = append(c.seen.excused, fault{target, now})
}

// learned returns when each process of an entry first passed on a response of an endpoint to a request that arrived
// there after the endpoint had begun to say something.
func (o *observations) learned(endpoint string, from time.Time) map[string]time.Time {
	arrived := make(map[string]bool)
	for _, a := range o.arrivals {
		if a.endpoint == endpoint && a.at.After(from) {
			arrived[a.request] = true
		}
	}
	learned := make(map[string]time.Time)
	for _, p := range o.passed {
		entry := o.sent[p.request].entry
		if _, ok := learned[entry]; p.endpoint == endpoint && arrived[p.request] && !ok {
			learned[entry] = p.at
		}
	}
	return learned
}
