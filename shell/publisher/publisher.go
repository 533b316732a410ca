// Package publisher stores the events of a process for the event timeline. Publishing never
// blocks: events that exceed the capacity of the queue are dropped and counted.
package publisher

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"

	"comfreyplank.org/core/recorder"
)

const (
	topic = "events"
	// queueCapacity limits the number of events that wait to be stored.
	queueCapacity = 1024
	// DefaultCapacity is the default number of events that the ring holds.
	DefaultCapacity = 8192
)

// Publisher holds the event timeline of a process.
type Publisher struct {
	instance string
	events   chan recorder.Event
	dropped  atomic.Uint64
	pubsub   *gochannel.GoChannel

	mu sync.Mutex
	// clock and ring are guarded by mu.
	clock recorder.Clock
	ring  *recorder.Ring
}

// New returns a publisher for the process with the given name. Its ring holds capacity events.
func New(instance string, capacity int) *Publisher {
	return &Publisher{
		instance: instance,
		events:   make(chan recorder.Event, queueCapacity),
		pubsub:   gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		ring:     recorder.NewRing(capacity),
	}
}

// Publish queues an event that occurred at the given time.
func (p *Publisher) Publish(now time.Time, e recorder.Event) {
	p.mu.Lock()
	e.At = p.clock.Next(now)
	p.mu.Unlock()
	e.Instance = p.instance
	select {
	case p.events <- e:
	default:
		p.dropped.Add(1)
	}
}

// Stamp returns the stamp for a message that is sent now.
func (p *Publisher) Stamp() recorder.Stamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Next(time.Now())
}

// Observe advances the clock to a stamp received from another process.
func (p *Publisher) Observe(s recorder.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock.Observe(time.Now(), s)
}

// Dropped returns the number of events that were dropped.
func (p *Publisher) Dropped() uint64 { return p.dropped.Load() }

// Select returns the events that match a filter, oldest first.
func (p *Publisher) Select(f recorder.Filter) []recorder.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring.Select(f)
}

// Overwritten returns the number of events that were replaced by newer ones.
func (p *Publisher) Overwritten() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring.Overwritten()
}

// Run stores queued events until the context is cancelled.
func (p *Publisher) Run(ctx context.Context) error {
	messages, err := p.pubsub.Subscribe(ctx, topic)
	if err != nil {
		return errors.Wrap(err, "subscribe to events")
	}
	var group sync.WaitGroup
	group.Go(func() { p.store(messages) })
	p.forward(ctx)
	err = p.pubsub.Close()
	group.Wait()
	return errors.Wrap(err, "close timeline")
}

func (p *Publisher) forward(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events:
			p.send(e)
		}
	}
}

func (p *Publisher) send(e recorder.Event) {
	payload, err := json.Marshal(e)
	if err != nil {
		p.dropped.Add(1)
		return
	}
	if err := p.pubsub.Publish(topic, message.NewMessage(watermill.NewUUID(), payload)); err != nil {
		p.dropped.Add(1)
	}
}

// store adds the received events to the ring and logs them.
func (p *Publisher) store(messages <-chan *message.Message) {
	for m := range messages {
		var e recorder.Event
		if err := json.Unmarshal(m.Payload, &e); err == nil {
			p.add(e)
		}
		m.Ack()
	}
}

func (p *Publisher) add(e recorder.Event) {
	p.mu.Lock()
	p.ring.Add(e)
	p.mu.Unlock()
	slog.Debug("event", "kind", e.Kind, "service", e.Service, "endpoint", e.Endpoint, "request", e.Request, "detail", e.Detail)
}
