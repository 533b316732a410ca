// Package limiter bounds the work that an entry admits: the queue of calls that wait
// for an endpoint, and the requests in flight at each endpoint.
package limiter

import (
	"math"
	"time"

	"comfreyplank.org/core/validator"
)

// bulkInterval sets how often a bulk call goes ahead of waiting interactive calls: one of every
// bulkInterval calls that leave the queue. It keeps bulk calls from starving.
const bulkInterval = 8

// waitingCall is a call in the queue.
type waitingCall struct {
	call     uint64
	deadline time.Time
	// reserved is set for a call that waits for a time which is known, and not for its turn.
	reserved bool
}

// Queue holds the calls of one service that wait for an endpoint.
type Queue struct {
	limit       int
	interactive []waitingCall
	bulk        []waitingCall
	turn        int
	// popInterval is a moving average of the time between two calls that leave the queue.
	popInterval time.Duration
	lastPop     time.Time
}

// NewQueue returns a queue that holds up to limit calls of each class.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// SetLimit changes the maximum number of calls of each class. Calls already in the queue stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of calls in the queue.
func (q *Queue) Len() int { return len(q.interactive) + len(q.bulk) }

// Push adds a call and reports whether it did. It doesn't add the call if the queue is full or
// if the call is not expected to complete before its deadline. The expected time is the wait
// in the queue plus serviceTime.
func (q *Queue) Push(now time.Time, call uint64, class validator.Class, deadline time.Time, serviceTime time.Duration) bool {
	wait := time.Duration(q.ahead(class)+1) * q.popInterval
	if now.Add(wait + serviceTime).After(deadline) {
		return false
	}
	return q.add(now, class, waitingCall{call: call, deadline: deadline})
}

// PushReserved adds a call whose wait is known, and reports whether the queue had room. The
// time until such a call leaves does not count for the expected time of others.
func (q *Queue) PushReserved(now time.Time, call uint64, class validator.Class, deadline time.Time) bool {
	return q.add(now, class, waitingCall{call: call, deadline: deadline, reserved: true})
}

func (q *Queue) add(now time.Time, class validator.Class, w waitingCall) bool {
	calls := q.calls(class)
	if len(*calls) >= q.limit {
		return false
	}
	if q.Len() == 0 {
		q.lastPop = now
	}
	*calls = append(*calls, w)
	return true
}

func (q *Queue) calls(class validator.Class) *[]waitingCall {
	if class == validator.ClassBulk {
		return &q.bulk
	}
	return &q.interactive
}

// ahead returns an estimate of the number of calls that leave before a new call of the class.
func (q *Queue) ahead(class validator.Class) int {
	if class == validator.ClassBulk {
		return q.Len()
	}
	return len(q.interactive) + min(len(q.bulk), len(q.interactive)/bulkInterval)
}

// Pop removes and returns the next call. Late reports whether its deadline has passed, and ok
// whether there was a call.
func (q *Queue) Pop(now time.Time) (call uint64, late, ok bool) {
	calls := q.next()
	if calls == nil {
		return 0, false, false
	}
	w := (*calls)[0]
	*calls = (*calls)[1:]
	if !w.reserved {
		q.popInterval += (now.Sub(q.lastPop) - q.popInterval) / bulkInterval
	}
	q.lastPop = now
	return w.call, !now.Before(w.deadline), true
}

// next returns the calls of the class whose turn it is, or nil if the queue is empty.
func (q *Queue) next() *[]waitingCall {
	q.turn++
	bulkFirst := len(q.interactive) == 0 || q.turn%bulkInterval == 0
	switch {
	case bulkFirst && len(q.bulk) > 0:
		return &q.bulk
	case len(q.interactive) > 0:
		return &q.interactive
	case len(q.bulk) > 0:
		return &q.bulk
	}
	return nil
}

// Remove removes a call from the queue, if it is there.
func (q *Queue) Remove(call uint64) {
	q.interactive = without(q.interactive, call)
	q.bulk = without(q.bulk, call)
}

// RemoveExpired removes and returns the calls whose deadlines have passed.
func (q *Queue) RemoveExpired(now time.Time) []uint64 {
	var expired []uint64
	for _, calls := range []*[]waitingCall{&q.interactive, &q.bulk} {
		for _, w := range *calls {
			if !now.Before(w.deadline) {
				expired = append(expired, w.call)
			}
		}
	}
	for _, call := range expired {
		q.Remove(call)
	}
	return expired
}

func without(calls []waitingCall, call uint64) []waitingCall {
	for i, w := range calls {
		if w.call == call {
			return append(calls[:i:i], calls[i+1:]...)
		}
	}
	return calls
}

// Parameters of an endpoint's limit.
const (
	shrinkFactor = 0.7
	// queueAllowance is the number of requests beyond its slots that one entry may send to
	// an endpoint. They wait in the endpoint's own queue.
	queueAllowance = 2
)

// Limit bounds the requests of this entry in flight at one endpoint. It shrinks when the
// endpoint refuses requests and grows back with each response. The zero value imposes no
// limit below the maximum.
type Limit struct {
	current float64
}

// MaxInFlight returns the largest limit for an endpoint with the given number of slots, to
// which this entry may open the given number of connections.
func MaxInFlight(slots, connections int) int {
	return max(1, min(slots+queueAllowance, connections))
}

// Allowed returns the number of requests that may be in flight, at most maxInFlight.
func (l *Limit) Allowed(maxInFlight int) int {
	if l.current == 0 {
		return maxInFlight
	}
	return max(1, min(int(l.current), maxInFlight))
}

// RecordRefusal shrinks the limit after the endpoint has refused a request while inFlight
// other requests of this entry were in flight.
func (l *Limit) RecordRefusal(inFlight, maxInFlight int) {
	if l.current == 0 {
		l.current = float64(maxInFlight)
	}
	l.current = math.Max(1, math.Min(l.current, float64(inFlight+1))*shrinkFactor)
}

// RecordResponse grows the limit after a response.
func (l *Limit) RecordResponse(maxInFlight int) {
	if l.current == 0 {
		return
	}
	l.current += 1 / l.current
	if l.current >= float64(maxInFlight) {
		l.current = 0
	}
}
