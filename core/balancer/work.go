package balancer

import (
	"time"

	"comfreyplank.org/core/picker"
)

// learnWorkTime compares the latency of a response with its prediction, and updates the bias of
// the endpoint, the contention and the usual time of the work.
func (b *Balancer) learnWorkTime(now time.Time, a *attempt, latency time.Duration) {
	c := a.call
	prediction := a.expected
	if c == nil || c.LatencyTarget == 0 || prediction.estimate <= 0 {
		return
	}
	usual := scale(latency, 1/prediction.estimate)
	if previous := b.usualTime.of(c.LatencyTarget); previous > 0 {
		b.candidates[a.endpoint.index].RecordRatio(now, float64(usual)/float64(previous))
		b.contention.RecordRatio(now, prediction.running, a.endpoint.Slots, float64(latency)/(float64(previous)*prediction.unbiased))
	}
	// The time that contention adds must not count as work time.
	if !picker.Contended(prediction.running, a.endpoint.Slots) || b.usualTime.of(c.LatencyTarget) == 0 {
		b.usualTime.observe(c.LatencyTarget, usual)
	}
}

// usualTime holds the usual time of each kind of work, without contention. The latency target of
// a call identifies the kind.
type usualTime struct {
	byTarget []workTime
}

type workTime struct {
	target time.Duration
	// usual estimates the median of the measured times.
	usual quantile
}

// maxWorkTimes bounds the number of kinds that are measured.
const maxWorkTimes = 64

// of returns the usual time, or zero for a kind that has not been measured.
func (w *usualTime) of(target time.Duration) time.Duration {
	for i := range w.byTarget {
		if w.byTarget[i].target == target {
			return w.byTarget[i].usual.value
		}
	}
	return 0
}

// observe adds the measured time of one response, without contention.
func (w *usualTime) observe(target, usual time.Duration) {
	for i := range w.byTarget {
		if w.byTarget[i].target == target {
			w.byTarget[i].usual.observe(usual, medianQuantile)
			return
		}
	}
	if len(w.byTarget) < maxWorkTimes {
		w.byTarget = append(w.byTarget, workTime{target: target, usual: quantile{usual}})
	}
}
