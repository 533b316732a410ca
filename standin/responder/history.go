package responder

import (
	"sync"
	"time"
)

// maxSamples limits the number of recorded changes of load.
const maxSamples = 4096

type loadSample struct {
	at   time.Time
	load int
}

// history records past loads, so that reports can be delayed.
type history struct {
	mu      sync.Mutex
	samples []loadSample
}

func (h *history) record(at time.Time, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) >= maxSamples {
		h.samples = append(h.samples[:0], h.samples[maxSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{at, load})
}

// at returns the load at time t. If there was no change after t, it returns current.
func (h *history) at(t time.Time, current int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			if i == len(h.samples)-1 {
				return current
			}
			return h.samples[i].load
		}
	}
	return 0
}
