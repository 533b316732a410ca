package responder

import (
	"sync"
	"time"
)

// historyLength is how many changes of load are remembered.
const historyLength = 4096

type moment struct {
	at   time.Time
	load int
}

// history remembers loads, so that reports can be late.
type history struct {
	mu      sync.Mutex
	moments []moment
}

func (h *history) note(at time.Time, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.moments) >= historyLength {
		h.moments = append(h.moments[:0], h.moments[historyLength/2:]...)
	}
	h.moments = append(h.moments, moment{at, load})
}

// at returns the load at a time. A time after the last change gives the present
// one.
func (h *history) at(t time.Time, present int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.moments) - 1; i >= 0; i-- {
		if !h.moments[i].at.After(t) {
			if i == len(h.moments)-1 {
				return present
			}
			return h.moments[i].load
		}
	}
	return 0
}
