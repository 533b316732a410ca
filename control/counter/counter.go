// Package counter keeps the metrics of a replica.
package counter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyplank.org/core/recorder"
)

// Counter counts the events of a replica and measures the durations of its requests.
type Counter struct {
	events   *prometheus.CounterVec
	requests *prometheus.HistogramVec
}

// New returns a counter and registers its metrics.
func New(registry prometheus.Registerer) *Counter {
	c := &Counter{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_events_total", Help: "Events of the time line, by kind.",
		}, []string{"event"}),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyplank_control_request_seconds", Help: "Time to answer changes, reads, evacuations and announcements.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"request"}),
	}
	registry.MustRegister(c.events, c.requests)
	return c
}

// ObserveLimits registers metrics of the limits that the replica knows. The function returns their
// number and how many permits were issued.
func ObserveLimits(registry prometheus.Registerer, observe func() (limits int, issued uint64)) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "comfreyplank_limits", Help: "Limits that endpoints name for all entries together.",
		}, func() float64 { limits, _ := observe(); return float64(limits) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "comfreyplank_permits_issued_total", Help: "Permits for endpoints with a limit, issued by this replica as the leader.",
		}, func() float64 { _, issued := observe(); return float64(issued) }),
	)
}

// ObserveEvacuations registers a metric of the evacuated data centres that the replica knows. The function returns their
// number.
func ObserveEvacuations(registry prometheus.Registerer, observe func() int) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "comfreyplank_evacuated_data_centres", Help: "Data centres whose endpoints get no requests, by the order of an operator.",
	}, func() float64 { return float64(observe()) }))
}

// ObserveWorkspaces registers a metric of the workspaces at their rate limits, whose number the function returns.
func ObserveWorkspaces(registry prometheus.Registerer, limited func() int) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "comfreyplank_limited_workspaces", Help: "Workspaces that send more than their rate limits.",
	}, func() float64 { return float64(limited()) }))
}

// ObserveWarmUps registers a metric of the endpoints in warm-up. The function returns their number.
func ObserveWarmUps(registry prometheus.Registerer, observe func() int) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "comfreyplank_endpoints_in_warm_up", Help: "Endpoints that have announced that they are in warm-up.",
	}, func() float64 { return float64(observe()) }))
}

// Event counts an event of the given kind.
func (c *Counter) Event(kind recorder.Kind) { c.events.WithLabelValues(string(kind)).Inc() }

// Request records the duration of a request.
func (c *Counter) Request(name string, duration time.Duration) {
	c.requests.WithLabelValues(name).Observe(duration.Seconds())
}
