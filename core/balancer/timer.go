package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// timerKind selects what a timer does for its call.
type timerKind uint8

const (
	timerHedge timerKind = iota + 1
	timerDeadline
	timerClaim
	timerSampling
	timerPermit
)

type timer struct {
	at   time.Time
	call CallID
	kind timerKind
}

// timers is a heap ordered by due time, and by call and kind if that is equal. The timers of calls that have ended are discarded when
// they are due.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(t[i].at.Compare(t[j].at), cmp.Compare(t[i].call, t[j].call), cmp.Compare(t[i].kind, t[j].kind)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) } //nolint:forcetypeassert // only timers are pushed

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func (b *Balancer) schedule(at time.Time, id CallID, kind timerKind) {
	heap.Push(&b.timers, timer{at, id, kind})
	b.trimTimers()
}

// staleTimerAllowance is how many timers the heap may hold beyond four for each live call before
// those of ended calls are removed.
const staleTimerAllowance = 1024

// trimTimers removes the timers of ended calls when they far outnumber the live ones: many calls
// with long deadlines may end early.
func (b *Balancer) trimTimers() {
	if len(b.timers) <= staleTimerAllowance+4*len(b.calls) {
		return
	}
	kept := b.timers[:0]
	for _, t := range b.timers {
		if _, ok := b.calls[t.call]; ok {
			kept = append(kept, t)
		}
	}
	b.timers = kept
	heap.Init(&b.timers)
}

// popStaleTimers removes timers from the top of the heap that have nothing left to do.
func (b *Balancer) popStaleTimers() {
	for len(b.timers) > 0 && !b.isTimerLive(b.timers[0]) {
		heap.Pop(&b.timers)
	}
}

// isTimerLive reports whether the timer will have something to do when it is due.
func (b *Balancer) isTimerLive(t timer) bool {
	c, ok := b.calls[t.call]
	if !ok {
		return false
	}
	switch t.kind {
	case timerHedge:
		return c.phase == phaseRunning
	case timerClaim:
		return c.phase == phaseClaimRetry
	case timerPermit:
		return c.phase == phaseQueued || c.phase == phasePermit
	case timerSampling:
		return (c.phase == phaseSampling || c.phase == phaseHeld) && !t.at.Before(c.samplingDue)
	}
	return true
}

// fireTimers handles the timers that are due.
func (b *Balancer) fireTimers(now time.Time) {
	for len(b.timers) > 0 && !now.Before(b.timers[0].at) {
		t := heap.Pop(&b.timers).(timer) //nolint:forcetypeassert // only timers are pushed
		if !b.isTimerLive(t) {
			continue
		}
		c := b.calls[t.call]
		switch t.kind {
		case timerHedge:
			b.onHedgeDue(now, c)
		case timerDeadline:
			b.onDeadline(now, c)
		case timerClaim:
			b.sendClaim(c) // repeated: another attempt held the key, or there was no leader
		case timerSampling:
			b.onSamplingDue(now, c)
		case timerPermit:
			b.onPermitOverdue(now, c)
		}
	}
}

// quantile estimates a quantile of a stream of durations in small steps.
type quantile struct {
	value time.Duration
}

const (
	// hedgeQuantile is the quantile of latencies from which the hedge delay is computed.
	hedgeQuantile  = 0.95
	medianQuantile = 0.5
	quantileStep   = 0.05
)

func (q *quantile) observe(d time.Duration, level float64) {
	if q.value == 0 {
		q.value = d
		return
	}
	step := quantileStep * float64(q.value)
	if d > q.value {
		q.value += time.Duration(step * level)
		return
	}
	q.value -= time.Duration(step * (1 - level))
}
