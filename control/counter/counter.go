// Package counter keeps the metrics of a replica.
package counter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyplank.org/core/recorder"
)

// Counter counts what a replica decides, and times what it is asked.
type Counter struct {
	events   *prometheus.CounterVec
	requests *prometheus.HistogramVec
}

// New returns a counter whose metrics are registered.
func New(registry prometheus.Registerer) *Counter {
	c := &Counter{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_events_total", Help: "Events of the time line, by kind.",
		}, []string{"event"}),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyplank_control_request_seconds", Help: "Time to answer changes, reads and announcements.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"request"}),
	}
	registry.MustRegister(c.events, c.requests)
	return c
}

// Event counts an event.
func (c *Counter) Event(kind recorder.Kind) { c.events.WithLabelValues(string(kind)).Inc() }

// Request times an answer.
func (c *Counter) Request(name string, took time.Duration) {
	c.requests.WithLabelValues(name).Observe(took.Seconds())
}
