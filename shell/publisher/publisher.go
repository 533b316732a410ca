// Package publisher carries the events of a process to its part of the time line.
// Publishing never blocks: what does not fit is dropped and counted.
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
	// backlog is how many events may wait to be published.
	backlog = 1024
	// DefaultCapacity is how many events the ring keeps.
	DefaultCapacity = 8192
)

// Publisher is the time line of one process.
type Publisher struct {
	instance string
	events   chan recorder.Event
	lost     atomic.Uint64
	pubsub   *gochannel.GoChannel

	mu sync.Mutex
	// clock and ring are guarded by mu.
	clock recorder.Clock
	ring  *recorder.Ring
}

// New returns the time line of an instance.
func New(instance string, capacity int) *Publisher {
	return &Publisher{
		instance: instance,
		events:   make(chan recorder.Event, backlog),
		pubsub:   gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		ring:     recorder.NewRing(capacity),
	}
}

// Publish adds an event at the given time.
func (p *Publisher) Publish(now time.Time, e recorder.Event) {
	p.mu.Lock()
	e.At = p.clock.Next(now)
	p.mu.Unlock()
	e.Instance = p.instance
	select {
	case p.events <- e:
	default:
		p.lost.Add(1)
	}
}

// Stamp returns the stamp of a message that leaves now.
func (p *Publisher) Stamp() recorder.Stamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Next(time.Now())
}

// Observe lets the clock follow the stamp of another process.
func (p *Publisher) Observe(s recorder.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock.Observe(time.Now(), s)
}

// Lost returns how many events were dropped.
func (p *Publisher) Lost() uint64 { return p.lost.Load() }

// Select returns the events that pass a filter, oldest first.
func (p *Publisher) Select(f recorder.Filter) []recorder.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring.Select(f)
}

// Overwritten returns how many events have made room for newer ones.
func (p *Publisher) Overwritten() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring.Overwritten()
}

// Run publishes events until the context ends.
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
	return errors.Wrap(err, "close time line")
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
		p.lost.Add(1)
		return
	}
	if err := p.pubsub.Publish(topic, message.NewMessage(watermill.NewUUID(), payload)); err != nil {
		p.lost.Add(1)
	}
}

// store keeps events in the ring and logs them.
func (p *Publisher) store(messages <-chan *message.Message) {
	for m := range messages {
		var e recorder.Event
		if err := json.Unmarshal(m.Payload, &e); err == nil {
			p.keep(e)
		}
		m.Ack()
	}
}

func (p *Publisher) keep(e recorder.Event) {
	p.mu.Lock()
	p.ring.Add(e)
	p.mu.Unlock()
	slog.Debug("event", "kind", e.Kind, "service", e.Service, "endpoint", e.Endpoint, "request", e.Request, "detail", e.Detail)
}
