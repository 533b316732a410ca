// Package counter keeps the entry's metrics.
package counter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/retrier"
	"comfreyplank.org/core/throttler"
)

// Counter counts calls, attempts and probes.
type Counter struct {
	attempts     *prometheus.CounterVec
	refused      *prometheus.CounterVec
	probes       *prometheus.CounterVec
	probeSeconds *prometheus.CounterVec
	limits       *prometheus.CounterVec
	statements   *prometheus.CounterVec
	permits      *prometheus.CounterVec
	limitedCalls *prometheus.CounterVec
	keyRefusals  *prometheus.CounterVec
	pipelined    *prometheus.CounterVec
	malformed    *prometheus.CounterVec
	calls        *prometheus.HistogramVec
	workspaces   *prometheus.CounterVec
	shed         *prometheus.CounterVec
	shares       *prometheus.GaugeVec
}

// New returns a counter and registers its metrics.
func New(registry prometheus.Registerer) *Counter {
	c := &Counter{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_attempts_total", Help: "Attempts sent to endpoints, by service and their number within the call.",
		}, []string{"service", "number"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_refused_total", Help: "Calls that got no answer, by service and outcome.",
		}, []string{"service", "outcome"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_probes_total", Help: "Probes sent to endpoints, by service.",
		}, []string{"service"}),
		probeSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_probe_seconds_total", Help: "Endpoint time spent on probes, by service.",
		}, []string{"service"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_limit_statements_total", Help: "Responses of endpoints that name a limit, by service and whether it can be read.",
		}, []string{"service", "statement"}),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_endpoint_statements_total", Help: "Responses by which an endpoint says that it leaves or wants a pause, by service and statement.",
		}, []string{"service", "statement"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_permits_total", Help: "Permits for endpoints with a limit, by service and whether they were granted by control or used.",
		}, []string{"service", "event"}),
		limitedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_limited_calls_total", Help: "Calls that lacked a permit, by service and whether they passed an endpoint over, waited, or were refused.",
		}, []string{"service", "result"}),
		keyRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_key_refusals_total", Help: "Requests refused because of their key or of this entry's lease, by reason.",
		}, []string{"reason"}),
		pipelined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_pipelined_requests_total", Help: "Pipelined requests that ran ahead of their turn, and those of them whose results were thrown away.",
		}, []string{"event"}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_malformed_responses_total", Help: "Responses of endpoints that were refused as malformed, by service.",
		}, []string{"service"}),
		workspaces: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_workspace_calls_total", Help: "Calls of workspaces with a rate limit, by workspace and whether they were admitted or refused because of it.",
		}, []string{"workspace", "result"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyplank_shed_calls_total", Help: "Calls refused because there is too little room for their priority, by service and priority.",
		}, []string{"service", "priority"}),
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "comfreyplank_workspace_share", Help: "Share of the calls of a workspace at its rate limit that is admitted.",
		}, []string{"workspace"}),
	}
	c.calls = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "comfreyplank_call_seconds", Help: "Time from a call's arrival to what became of it, by service and result.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "result"})
	registry.MustRegister(c.attempts, c.refused, c.probes, c.probeSeconds, c.limits, c.statements, c.permits, c.limitedCalls, c.keyRefusals, c.pipelined, c.malformed, c.calls, c.workspaces, c.shed, c.shares)
	return c
}

// Attempt counts an attempt. Numbers above retrier.MaxAttempts share its label.
func (c *Counter) Attempt(service string, number int) {
	c.attempts.WithLabelValues(service, strconv.Itoa(min(number, retrier.MaxAttempts))).Inc()
}

// Call records the result of a call and how long the call took.
func (c *Counter) Call(service, result string, took time.Duration) {
	c.calls.WithLabelValues(service, result).Observe(took.Seconds())
}

// Probe counts a probe and the time it took.
func (c *Counter) Probe(service string, took time.Duration) {
	c.probes.WithLabelValues(service).Inc()
	c.probeSeconds.WithLabelValues(service).Add(took.Seconds())
}

// LimitStatement counts a response that names a limit.
func (c *Counter) LimitStatement(service string, kind throttler.StatementKind) {
	c.limits.WithLabelValues(service, kind.String()).Inc()
}

// Statement counts a response by which an endpoint says that it leaves or wants a pause.
func (c *Counter) Statement(service, statement string) {
	c.statements.WithLabelValues(service, statement).Inc()
}

// KeyRefused counts a request that was refused because of its key or of the entry's lease.
func (c *Counter) KeyRefused(reason string) { c.keyRefusals.WithLabelValues(reason).Inc() }

// Malformed counts a response that was refused as malformed.
func (c *Counter) Malformed(service string) { c.malformed.WithLabelValues(service).Inc() }

// LimitCounts adds what the limits of endpoints have caused.
func (c *Counter) LimitCounts(service string, added balancer.LimitCounts) {
	c.permits.WithLabelValues(service, "granted").Add(float64(added.Granted))
	c.permits.WithLabelValues(service, "used").Add(float64(added.Sent))
	c.limitedCalls.WithLabelValues(service, "passed-over").Add(float64(added.PassedOver))
	c.limitedCalls.WithLabelValues(service, "queued").Add(float64(added.Queued))
	c.limitedCalls.WithLabelValues(service, "refused").Add(float64(added.Refused))
}

// RanAhead counts a pipelined request that was started before its turn.
func (c *Counter) RanAhead() { c.pipelined.WithLabelValues("ran-ahead").Inc() }

// DiscardedAhead counts a pipelined request that was started before its turn and whose result was thrown away.
func (c *Counter) DiscardedAhead() { c.pipelined.WithLabelValues("discarded").Inc() }

// Refused counts a call that got no response from an endpoint.
func (c *Counter) Refused(service string, outcome balancer.Outcome) {
	name := "not-run"
	if outcome == balancer.OutcomeUnknown {
		name = "unknown"
	}
	c.refused.WithLabelValues(service, name).Inc()
}

// WorkspaceCalls adds calls of a workspace with a rate limit.
func (c *Counter) WorkspaceCalls(workspace string, admitted, refused int) {
	c.workspaces.WithLabelValues(workspace, "admitted").Add(float64(admitted))
	c.workspaces.WithLabelValues(workspace, "rate-limited").Add(float64(refused))
}

// Shed counts a call that was refused because there is too little room for its priority.
func (c *Counter) Shed(service string, priority int) {
	c.shed.WithLabelValues(service, strconv.Itoa(priority)).Inc()
}

// WorkspaceShare sets the share of the calls of a workspace that is admitted, or removes it.
func (c *Counter) WorkspaceShare(workspace string, share float64, limited bool) {
	if !limited {
		c.shares.DeleteLabelValues(workspace)
		return
	}
	c.shares.WithLabelValues(workspace).Set(share)
}
