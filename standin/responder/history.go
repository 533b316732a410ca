package responder

import (
	"sync"
	"time"
)

// maxSamples is how many changes of load are remembered.
const maxSamples = 4096

type loadSample struct {
	at   time.Time
	load int
}

// history remembers loads, so that reports can be late.
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

// loadAt returns the load loadAt a time. A time after the last change gives the present
// one.
func (h *history) loadAt(t time.Time, current int) int {
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
