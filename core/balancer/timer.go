package balancer

import (
	"container/heap"
	"time"
)

// timerKind says what is due for a call.
type timerKind uint8

const (
	timerHedge timerKind = iota + 1
	timerDeadline
	timerClaim
	timerSampling
)

type timer struct {
	at   time.Time
	call CallID
	kind timerKind
}

// timers is a heap ordered by time. Timers of calls that have ended are dropped
// when they are due.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push is part of heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) } //nolint:forcetypeassert // only timers are pushed

// Pop is part of heap.Interface.
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

// spareTimers is how many timers of ended calls may wait besides those of live ones.
const spareTimers = 1024

// trimTimers drops the timers of ended calls when they outnumber the live ones by
// far: calls with long deadlines may end early and in great number.
func (b *Balancer) trimTimers() {
	if len(b.timers) <= spareTimers+4*len(b.calls) {
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

// dropDead takes off the timers at the top that have nothing to do any more.
func (b *Balancer) dropDead() {
	for len(b.timers) > 0 && !b.isLive(b.timers[0]) {
		heap.Pop(&b.timers)
	}
}

// isLive reports whether there is something to do when the timer is due.
func (b *Balancer) isLive(t timer) bool {
	c, ok := b.calls[t.call]
	if !ok {
		return false
	}
	switch t.kind {
	case timerHedge:
		return c.phase == phaseRunning
	case timerClaim:
		return c.phase == phaseWaiting
	case timerSampling:
		return (c.phase == phaseSampling || c.phase == phaseHeld) && !t.at.Before(c.sampleDue)
	}
	return true
}

// fire handles the timers that are due.
func (b *Balancer) fire(now time.Time) {
	for len(b.timers) > 0 && !now.Before(b.timers[0].at) {
		t := heap.Pop(&b.timers).(timer) //nolint:forcetypeassert // only timers are pushed
		if !b.isLive(t) {
			continue
		}
		c := b.calls[t.call]
		switch t.kind {
		case timerHedge:
			b.onHedgeDue(now, c)
		case timerDeadline:
			b.onDeadline(now, c)
		case timerClaim:
			b.sendClaim(c) // again: another attempt held the key, or nobody could give it
		case timerSampling:
			b.onSamplingDue(now, c)
		}
	}
}

// quantile follows a high quantile of a stream of durations by small steps.
type quantile struct {
	value time.Duration
}

const (
	// hedgeTarget is the quantile after which a second attempt is worth it.
	hedgeTarget  = 0.95
	medianTarget = 0.5
	quantileStep = 0.05
)

func (q *quantile) observe(d time.Duration, target float64) {
	if q.value == 0 {
		q.value = d
		return
	}
	step := quantileStep * float64(q.value)
	if d > q.value {
		q.value += time.Duration(step * target)
		return
	}
	q.value -= time.Duration(step * (1 - target))
}
