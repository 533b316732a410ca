package balancer

import (
	"time"

	"comfreyplank.org/core/picker"
)

// learn takes in how long an answer took that was estimated to take so many times the
// usual.
func (b *Balancer) learn(now time.Time, a *attempt, took time.Duration) {
	c := a.call
	x := a.expected
	if c == nil || c.LatencyTarget == 0 || x.estimate <= 0 {
		return
	}
	usual := scaled(took, 1/x.estimate)
	if before := b.work.of(c.LatencyTarget); before > 0 {
		b.candidates[a.endpoint.at].RecordRatio(now, float64(usual)/float64(before))
		b.crowding.RecordRatio(now, x.running, a.endpoint.Slots, float64(took)/(float64(before)*x.alone))
	}
	// What crowding adds must not pass for the work itself.
	if !picker.Contended(x.running, a.endpoint.Slots) || b.work.of(c.LatencyTarget) == 0 {
		b.work.observe(c.LatencyTarget, usual)
	}
}

// work is how long the work of each kind of call takes by itself, told apart by their
// targets.
type work struct {
	kinds []workKind
}

type workKind struct {
	target time.Duration
	usual  quantile
}

// maxWorkKinds bounds the kinds that are told apart.
const maxWorkKinds = 64

// of returns zero for a kind that has not been measured.
func (w *work) of(target time.Duration) time.Duration {
	for i := range w.kinds {
		if w.kinds[i].target == target {
			return w.kinds[i].usual.value
		}
	}
	return 0
}

// observe takes in how long the work of an answer takes by itself.
func (w *work) observe(target, usual time.Duration) {
	for i := range w.kinds {
		if w.kinds[i].target == target {
			w.kinds[i].usual.observe(usual, medianTarget)
			return
		}
	}
	if len(w.kinds) < maxWorkKinds {
		w.kinds = append(w.kinds, workKind{target: target, usual: quantile{usual}})
	}
}
