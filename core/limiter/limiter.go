// Package limiter bounds the work that an entry lets in: the queue of calls that
// wait for an endpoint, and the requests in flight at each endpoint.
package limiter

import (
	"math"
	"time"

	"comfreyplank.org/core/validator"
)

// bulkTurn is how many calls leave the queue for each bulk call that is let
// before waiting interactive ones, so that bulk is never starved.
const bulkTurn = 8

// waiter is a call in the queue.
type waiter struct {
	call     uint64
	deadline time.Time
}

// Queue holds the calls of one service that wait for an endpoint.
type Queue struct {
	limit       int
	interactive []waiter
	bulk        []waiter
	turn        int
	// interval is a moving average of the time between two departures.
	interval time.Duration
	lastPop  time.Time
}

// NewQueue returns a queue that takes up to limit calls of each class.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// SetLimit changes the number of calls of each class. Calls that wait stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of calls that wait.
func (q *Queue) Len() int { return len(q.interactive) + len(q.bulk) }

// Push adds a call, unless the queue is full or the call would not be answered
// before its deadline. Service is the time that an answer takes.
func (q *Queue) Push(now time.Time, call uint64, class validator.Class, deadline time.Time, service time.Duration) bool {
	line := q.line(class)
	if len(*line) >= q.limit {
		return false
	}
	wait := time.Duration(q.ahead(class)+1) * q.interval
	if now.Add(wait + service).After(deadline) {
		return false
	}
	if q.Len() == 0 {
		q.lastPop = now
	}
	*line = append(*line, waiter{call, deadline})
	return true
}

func (q *Queue) line(class validator.Class) *[]waiter {
	if class == validator.ClassBulk {
		return &q.bulk
	}
	return &q.interactive
}

// ahead returns how many calls leave before a new one of the class.
func (q *Queue) ahead(class validator.Class) int {
	if class == validator.ClassBulk {
		return q.Len()
	}
	return len(q.interactive) + min(len(q.bulk), len(q.interactive)/bulkTurn)
}

// Pop takes the next call from the queue. Late is set when its deadline passed.
func (q *Queue) Pop(now time.Time) (call uint64, late, ok bool) {
	line := q.next()
	if line == nil {
		return 0, false, false
	}
	w := (*line)[0]
	*line = (*line)[1:]
	q.interval += (now.Sub(q.lastPop) - q.interval) / bulkTurn
	q.lastPop = now
	return w.call, !now.Before(w.deadline), true
}

// next returns the line whose turn it is, or nil when nobody waits.
func (q *Queue) next() *[]waiter {
	q.turn++
	bulkFirst := len(q.interactive) == 0 || q.turn%bulkTurn == 0
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

// Remove takes a call out of the queue.
func (q *Queue) Remove(call uint64) {
	q.interactive = without(q.interactive, call)
	q.bulk = without(q.bulk, call)
}

// RemoveExpired takes out the calls whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []uint64 {
	var calls []uint64
	for _, line := range []*[]waiter{&q.interactive, &q.bulk} {
		for _, w := range *line {
			if !now.Before(w.deadline) {
				calls = append(calls, w.call)
			}
		}
	}
	for _, call := range calls {
		q.Remove(call)
	}
	return calls
}

func without(line []waiter, call uint64) []waiter {
	for i, w := range line {
		if w.call == call {
			return append(line[:i:i], line[i+1:]...)
		}
	}
	return line
}

// Tuning of an endpoint's limit.
const (
	shrinkFactor = 0.7
	// queueAllowance is how many requests beyond its slots an endpoint may get
	// from one entry; its own queue takes them.
	queueAllowance = 2
)

// Limit bounds the requests of this entry in flight at one endpoint. It shrinks
// when the endpoint sheds and grows back with answers.
type Limit struct {
	current float64
}

// MaxInFlight returns the largest limit for an endpoint of these slots, when this entry
// may open so many connections to it.
func MaxInFlight(slots, connections int) int {
	return max(1, min(slots+queueAllowance, connections))
}

// Allowed returns how many requests may be in flight under a maximum.
func (l *Limit) Allowed(most int) int {
	if l.current == 0 {
		return most
	}
	return max(1, min(int(l.current), most))
}

// RecordRefusal takes note that the endpoint refused a request while so many were in
// flight from here.
func (l *Limit) RecordRefusal(inFlight, most int) {
	if l.current == 0 {
		l.current = float64(most)
	}
	l.current = math.Max(1, math.Min(l.current, float64(inFlight+1))*shrinkFactor)
}

// RecordResponse takes note of an answer.
func (l *Limit) RecordResponse(most int) {
	if l.current == 0 {
		return
	}
	l.current += 1 / l.current
	if l.current >= float64(most) {
		l.current = 0
	}
}
