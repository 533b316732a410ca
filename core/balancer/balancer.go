// Package balancer implements the state machine that handles the calls of one service in an
// entry. It admits calls, chooses endpoints, retries, hedges, claims once-only keys, spends the
// entry's share of the probe budget, and reports the outcome of each call.
//
// It performs no input or output: Handle takes one input and the current time, and returns the
// actions to carry out.
package balancer

import (
	"math/rand/v2"
	"time"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/limiter"
	"comfreyplank.org/core/picker"
	"comfreyplank.org/core/prober"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/retrier"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
)

// Limits on the idle time of connections.
const (
	// MaxIdleUnrepeatable is the maximum time since the last response on a connection that sends
	// a request that must not be repeated.
	MaxIdleUnrepeatable = time.Second
	// MaxIdleRepeatable is the maximum for repeatable requests.
	MaxIdleRepeatable = 30 * time.Second
)

// DirectReportTTL is how long after Endpoint.LastDirectReport an entry without a configuration
// lease still sends requests to the endpoint.
const DirectReportTTL = 3 * time.Second

// RetryAfter is the default delay before a caller retries a refused request.
const RetryAfter = time.Second

// CallID identifies a call within one balancer.
type CallID uint64

// AttemptID identifies an attempt within one balancer.
type AttemptID uint64

// Call is a request that was matched to a route of the service.
type Call struct {
	ID CallID
	// Request is the ID of the caller's request, for the timeline.
	Request   string
	Execution router.Execution
	Class     validator.Class
	// Deadline is when the caller stops waiting or the time limit of the route ends, whichever is
	// first.
	Deadline time.Time
	// LatencyTarget is the time within which a response has its full value; zero when none is
	// stated.
	LatencyTarget time.Duration
	// AttemptLimit is how many attempts may be made; zero means retrier.MaxAttempts.
	AttemptLimit int
	// Chained is set when the request is itself a retry by an entry in front of this one.
	Chained bool
	// Streamed is set when the request body can be sent only once.
	Streamed bool
	// Workspace is the workspace that has sent the request by its key; empty without one.
	Workspace string
	// NeedsKeyLease is set if an attempt may be sent only under the key lease.
	NeedsKeyLease bool
	// Key and Fingerprint are set for once-only requests.
	Key         string
	Fingerprint string
}

// Endpoint describes an endpoint of the service to this entry.
type Endpoint struct {
	registrar.Announcement
	// Stopped is set when the configuration takes the endpoint out of service.
	Stopped bool
	// Evacuated is set while the data centre of the endpoint is evacuated.
	Evacuated bool
	// Remote is set for an endpoint in another data centre.
	Remote bool
	// LastDirectReport is when the endpoint itself last reported to this entry that it serves.
	LastDirectReport time.Time
	// Limit is the endpoint's limit as control knows it.
	Limit throttler.Limit
	// WarmUpUntil is when the warm-up that the endpoint has announced ends; zero without one, and if the service has no
	// rate for endpoints in warm-up.
	WarmUpUntil time.Time
}

// Balancer is the state machine of one service in one entry. It is not safe for concurrent use.
type Balancer struct {
	service string
	entry   string
	rand    *rand.Rand

	endpoints       []*endpoint
	endpointsByName map[string]*endpoint
	// ranked holds the endpoints in the order in which this entry prefers them. ranksStale is set
	// when endpoints were added or removed since it was sorted.
	ranked     []*endpoint
	ranksStale bool
	// candidates holds what the picker knows of each endpoint, at the same index as in endpoints.
	candidates []picker.Candidate
	picker     *picker.Picker
	queue      *limiter.Queue
	budget     *retrier.Budget
	sampling   Sampling
	// samplingBudget bounds the probes that are sent for sampling.
	samplingBudget samplingBudget
	usualTime      usualTime
	// contention is the learned slowdown of endpoints as their slots fill up.
	contention picker.Contention
	tracing    bool
	// configLeaseOptional is set for an entry that serves without a configuration lease.
	configLeaseOptional bool
	prober              prober.Prober
	retention           time.Duration

	calls    map[CallID]*call
	attempts map[AttemptID]*attempt
	timers   timers
	// answerBy is by when every call gets its result in a planned stop; zero before it.
	answerBy time.Time
	// lastAttempt is the ID of the latest attempt; it never decreases.
	lastAttempt AttemptID
	// configLeaseUntil is when the configuration lease expires, unless it is renewed.
	configLeaseUntil time.Time
	// keyLeaseUntil is when the key lease expires, unless it is renewed; zero without one.
	keyLeaseUntil time.Time
	// quantile estimates the latency that most responses stay below.
	quantile quantile
	entries  int
	// knownEntries is the number of entries that control knows; zero when unknown.
	knownEntries int
	probePath    string
	// latenciesChanged is set when a latency has changed since the typical latency was computed.
	// It is computed again at nextTypicalUpdate at the earliest.
	latenciesChanged  bool
	nextTypicalUpdate time.Time
	// nextAvailabilityChange is when the passage of time alone may next open or close an
	// endpoint. subsetChanged is set when the subset may have to be chosen again.
	nextAvailabilityChange time.Time
	subsetChanged          bool
	// nextProbeAt is when a probe may be due; zero means never.
	nextProbeAt time.Time
	lastProbe   time.Time
	// anyLimited is set if an endpoint may have a limit.
	anyLimited bool
	// warmUpRate is how many requests per second an endpoint in warm-up takes from all entries together; zero means no
	// limit.
	warmUpRate float64
	// lostContact is set while the entry has no configuration lease, if the service has a rate for endpoints in warm-up.
	lostContact bool
	// warmUpsUntil is no earlier than the end of any warm-up.
	warmUpsUntil time.Time
	// probesNameWarmUp is set once the reply to a probe has named a warm-up, so that one that names none means that
	// there is none.
	probesNameWarmUp bool
	// remembered is what endpoints have said that are no longer announced.
	remembered  []rememberedStatements
	limitCounts LimitCounts
	// endpointsKnown is set once the service has endpoints. Those added later start cold.
	endpointsKnown bool

	actions []Action
}

// Option configures a balancer.
type Option func(*Balancer)

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(b *Balancer) { b.rand = source } }

// WithPicker sets the picker that chooses endpoints.
func WithPicker(p *picker.Picker) Option { return func(b *Balancer) { b.picker = p } }

// WithRetention sets how long once-only keys are kept.
func WithRetention(d time.Duration) Option { return func(b *Balancer) { b.retention = d } }

// WithOptionalConfigLease lets an entry that holds no configuration lease continue to send
// requests to the endpoints that it knows. Endpoints must refuse requests that are meant for
// another endpoint.
func WithOptionalConfigLease() Option { return func(b *Balancer) { b.configLeaseOptional = true } }

// WithRetryBudget sets the budget for retries and hedges.
func WithRetryBudget(budget *retrier.Budget) Option { return func(b *Balancer) { b.budget = budget } }

// New returns the balancer of a service. The entry name must be unique to the incarnation of the
// process, because the names of its attempts are derived from it.
func New(entry string, service validator.Service, opts ...Option) *Balancer {
	b := &Balancer{
		service:         service.Name,
		warmUpRate:      service.WarmUpRequestsPerSecond,
		entry:           entry,
		queue:           limiter.NewQueue(service.QueueLimit),
		budget:          retrier.NewBudget(service.RetryPercent),
		retention:       claimer.DefaultRetention,
		endpointsByName: make(map[string]*endpoint),
		calls:           make(map[CallID]*call),
		attempts:        make(map[AttemptID]*attempt),
	}
	for _, opt := range opts {
		opt(b)
	}
	if b.rand == nil {
		b.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if b.picker == nil {
		b.picker = picker.New(picker.WithRand(b.rand))
	}
	return b
}

// InFlight returns the number of calls without a response or the number of attempts that have not
// ended, whichever is larger.
func (b *Balancer) InFlight() int { return max(len(b.calls), len(b.attempts)) }

// Handle processes one input. The returned actions are valid until the next call of Handle.
func (b *Balancer) Handle(now time.Time, in Input) []Action {
	b.actions = b.actions[:0]
	b.refresh(now)
	switch v := in.(type) {
	case CallArrived:
		b.onCallArrived(now, v.Call)
	case ResponseStarted:
		b.onResponseStarted(now, v)
	case AttemptEnded:
		b.onAttemptEnded(now, v)
	case CallerDisconnected:
		b.onCallerDisconnected(now, v.Call)
	case ClaimDecided:
		b.onClaimDecided(now, v)
	case Reconfigured:
		b.onReconfigured(now, v)
	case EndpointsChanged:
		b.onEndpointsChanged(now, v)
	case ConfigLeaseChanged:
		b.setKnownEntries(v.Entries)
		b.keyLeaseUntil = v.KeyLeaseUntil
		b.onConfigLeaseChanged(now, v.Until)
	case ShareGranted:
		b.prober.Grant(now, v.Share, v.Until)
		b.scheduleProbe(now)
	case ProbeEnded:
		b.onProbeEnded(now, v)
	case PermitsGranted:
		b.onPermitsGranted(now, v)
	case Stopping:
		b.onStopping(v)
	case Tick:
		b.tick(now)
	}
	b.sendDueProbe(now)
	return b.actions
}

// onConfigLeaseChanged renews or ends the configuration lease. A renewal changes no endpoint.
func (b *Balancer) onConfigLeaseChanged(now, until time.Time) {
	renewed := b.holdsConfigLease(now) && now.Before(until)
	b.configLeaseUntil = until
	if renewed || b.configLeaseOptional {
		return
	}
	b.updateCandidates(now)
	b.scheduleProbe(now)
	b.dispatchQueued(now)
}

func (b *Balancer) tick(now time.Time) {
	b.fireTimers(now)
	for _, id := range b.queue.RemoveExpired(now) {
		b.refuse(now, b.calls[CallID(id)], ReasonDeadline)
	}
}

// holdsConfigLease reports whether this entry holds its configuration lease, so that its
// configuration is known to be up to date.
func (b *Balancer) holdsConfigLease(now time.Time) bool { return now.Before(b.configLeaseUntil) }

// lacksKeyLease reports whether an attempt of the call must not be sent now: the key by which it came may not be valid
// any more.
func (b *Balancer) lacksKeyLease(now time.Time, c *call) bool {
	return c.NeedsKeyLease && !now.Before(b.keyLeaseUntil)
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) record(kind recorder.Kind, c *call, e *endpoint, detail string) {
	event := recorder.Event{Kind: kind, Service: b.service, Detail: detail}
	if c != nil {
		event.Request = c.Request
	}
	if e != nil {
		event.Endpoint = e.name()
	}
	b.emit(Record{Event: event})
}

// maxConnections returns how many of the connections that an endpoint announces this entry may
// open: an equal part for each entry that may run at once.
func (b *Balancer) maxConnections(announced int) int {
	return max(1, announced/max(1, b.entries))
}

// maxInFlight returns how many requests may be in flight at an endpoint that refuses none. One
// connection is left for a probe.
func (b *Balancer) maxInFlight(e *endpoint) int {
	return limiter.MaxInFlight(e.Slots, max(1, b.maxConnections(e.Connections)-1))
}

// limitOf returns how many requests may be in flight at an endpoint now.
func (b *Balancer) limitOf(e *endpoint) int { return e.limit.Allowed(b.maxInFlight(e)) }

// keyOf returns the key of a call in the claims log.
func (b *Balancer) keyOf(c *call) claimer.Key { return claimer.Key{Service: b.service, Value: c.Key} }
