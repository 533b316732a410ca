package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"comfreyplank.org/core/fencer"
	"comfreyplank.org/core/recorder"
)

// fence holds the key lease of the entry. It is safe for concurrent use.
type fence struct {
	// required is set if requests with keys need the lease.
	required  bool
	now       func() time.Time
	suspended func() time.Duration
	publish   func(recorder.Event)

	mu    sync.Mutex
	state fencer.Fencer
}

func newFence(deps Dependencies) *fence {
	state := fencer.New(deps.KeyLease)
	return &fence{required: state.Required(), now: deps.Now, suspended: deps.Suspended, publish: deps.Publish, state: state}
}

// renew renews the lease by a heartbeat that was sent at the given time.
func (f *fence) renew(sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = f.state.Renewed(sentAt)
}

// known returns the end of the lease by the last measurement of suspensions.
func (f *fence) known() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Until()
}

// until returns the end of the lease; zero without one, or if there was a suspension since its heartbeat.
func (f *fence) until() time.Time {
	if !f.required {
		return time.Time{}
	}
	end, _ := f.measure()
	return end
}

// measure notices suspensions, and returns the end of the lease and the time after the measurement.
func (f *fence) measure() (end, now time.Time) {
	suspended := f.suspended()
	now = f.now()
	f.mu.Lock()
	former := f.state
	f.state = former.Observed(now, suspended)
	noticed := f.state != former
	end = f.state.Until()
	f.mu.Unlock()
	if noticed {
		f.publish(recorder.Event{Kind: recorder.KindConfigLeaseChanged, Detail: fmt.Sprintf("the machine was suspended, for %s since the start; requests with keys wait for the next heartbeat", suspended.Round(time.Millisecond))})
	}
	return end, now
}
