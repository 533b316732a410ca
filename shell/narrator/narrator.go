// Package narrator writes the decisions of a process to its log: one line each,
// bounded in volume, and never in the way of what is decided.
package narrator

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"comfreyplank.org/core/recorder"
)

// Bounds of the log.
const (
	// DefaultRate is how many lines are written a second at most: a busy entry
	// decides a few hundred times, and writing costs processor time.
	DefaultRate = 200
	// backlog is how many lines may wait for a writer that is slow.
	backlog = 2_000
)

// Narrator writes events to a log.
type Narrator struct {
	log   *slog.Logger
	rate  int
	lines chan line
	// dropped counts the events that were not written.
	dropped atomic.Uint64
}

type line struct {
	at    time.Time
	event recorder.Event
}

// Option sets up a narrator.
type Option func(*Narrator)

// WithRate sets how many lines are written a second at most.
func WithRate(lines int) Option { return func(n *Narrator) { n.rate = lines } }

// New returns a narrator that writes to a log.
func New(log *slog.Logger, opts ...Option) *Narrator {
	n := &Narrator{log: log, rate: DefaultRate, lines: make(chan line, backlog)}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Log takes an event down, or counts it as dropped when too many wait.
func (n *Narrator) Log(now time.Time, e recorder.Event) {
	select {
	case n.lines <- line{now, e}:
	default:
		n.dropped.Add(1)
	}
}

// Dropped returns how many events were not written.
func (n *Narrator) Dropped() uint64 { return n.dropped.Load() }

// Run writes until the context ends.
func (n *Narrator) Run(ctx context.Context) {
	left := n.rate
	var told uint64
	// second ends the time in which at most so many lines are written. It runs only after a
	// line: a process that decides nothing is not woken.
	second := time.NewTimer(time.Second)
	defer second.Stop()
	running := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-second.C:
			left = n.rate
			told = n.tellDropped(told)
			running = false
		case l := <-n.lines:
			if !running {
				running = true
				second.Reset(time.Second)
			}
			if left == 0 {
				n.dropped.Add(1)
				continue
			}
			left--
			n.write(l)
		}
	}
}

// tellDropped says how many events are missing from the log, and returns the number
// that has been told.
func (n *Narrator) tellDropped(told uint64) uint64 {
	dropped := n.Dropped()
	if dropped > told {
		n.log.Warn("events are missing here", "dropped", dropped-told)
	}
	return dropped
}

func (n *Narrator) write(l line) {
	attrs := []slog.Attr{slog.Time("at", l.at), slog.String("event", string(l.event.Kind))}
	for _, field := range []struct{ name, value string }{
		{"request", l.event.Request}, {"service", l.event.Service}, {"endpoint", l.event.Endpoint}, {"detail", l.event.Detail},
	} {
		if field.value != "" {
			attrs = append(attrs, slog.String(field.name, field.value))
		}
	}
	n.log.LogAttrs(context.Background(), slog.LevelInfo, "decided", attrs...)
}
