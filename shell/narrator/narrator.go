// Package narrator writes the decisions of a process to its log, one line for each. The number of
// lines is limited, and logging never blocks the code that makes the decisions.
package narrator

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"comfreyplank.org/core/recorder"
)

// Limits of the log.
const (
	// DefaultRate is the default maximum of lines per second. A busy entry makes a few
	// hundred decisions per second, and writing each of them costs CPU time.
	DefaultRate = 200
	// queueCapacity limits the number of lines that wait to be written.
	queueCapacity = 2_000
)

// Narrator writes events to a log.
type Narrator struct {
	logger *slog.Logger
	rate   int
	lines  chan line
	// dropped counts the events that were not written.
	dropped atomic.Uint64
}

type line struct {
	at    time.Time
	event recorder.Event
}

// Option configures a Narrator.
type Option func(*Narrator)

// WithRate sets the maximum number of lines per second.
func WithRate(lines int) Option { return func(n *Narrator) { n.rate = lines } }

// New returns a narrator that writes to the given logger.
func New(logger *slog.Logger, opts ...Option) *Narrator {
	n := &Narrator{logger: logger, rate: DefaultRate, lines: make(chan line, queueCapacity)}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Log queues an event to be written, or counts it as dropped if the queue is full.
func (n *Narrator) Log(now time.Time, e recorder.Event) {
	select {
	case n.lines <- line{now, e}:
	default:
		n.dropped.Add(1)
	}
}

// Dropped returns the number of events that were not written.
func (n *Narrator) Dropped() uint64 { return n.dropped.Load() }

// Run writes queued events until the context is cancelled.
func (n *Narrator) Run(ctx context.Context) {
	remaining := n.rate
	var reported uint64
	// window ends the second for which the rate applies. After that it starts again only
	// with the next line, so that it does not wake a process that makes no decisions.
	window := time.NewTimer(time.Second)
	defer window.Stop()
	running := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-window.C:
			remaining = n.rate
			reported = n.reportDropped(reported)
			running = false
		case l := <-n.lines:
			if !running {
				running = true
				window.Reset(time.Second)
			}
			if remaining == 0 {
				n.dropped.Add(1)
				continue
			}
			remaining--
			n.write(l)
		}
	}
}

// reportDropped logs the number of events that were dropped since the last report. It takes the
// total at the last report and returns the current total.
func (n *Narrator) reportDropped(reported uint64) uint64 {
	dropped := n.Dropped()
	if dropped > reported {
		n.logger.Warn("events are missing here", "dropped", dropped-reported)
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
	n.logger.LogAttrs(context.Background(), slog.LevelInfo, "decided", attrs...)
}
