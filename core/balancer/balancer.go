// Package balancer decides everything that an entry decides for one service: it
// admits calls, chooses endpoints, tries again, hedges, claims once-only keys,
// spends its share of the watching budget, and says what became of each call.
//
// It does no input or output: Handle takes one input with the present time and
// returns the actions to carry out.
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
	"comfreyplank.org/core/validator"
)

// Quiet times after which a connection is not used any more.
const (
	// OnceQuiet is the longest that a connection for a once-only request may have
	// been without an answer.
	OnceQuiet = time.Second
	// MaxIdleRepeatable is the longest for other requests.
	MaxIdleRepeatable = 30 * time.Second
)

// DirectLife is how long an entry without standing believes what an endpoint
// itself has told it.
const DirectLife = 3 * time.Second

// RetryAfter is when a caller whose request was refused may come again.
const RetryAfter = time.Second

// CallID identifies a call within one balancer.
type CallID uint64

// AttemptID identifies an attempt within one balancer.
type AttemptID uint64

// Call is a request that has been matched to a route of the service.
type Call struct {
	ID CallID
	// Request is the caller's request id, for the time line.
	Request   string
	Execution router.Execution
	Class     validator.Class
	// Deadline is when the caller stops waiting, or its route's time is over.
	Deadline time.Time
	// LatencyTarget is the time within which an answer has its full worth; zero when none is
	// stated.
	LatencyTarget time.Duration
	// AttemptLimit bounds the attempts; zero means retrier.AttemptLimit.
	AttemptLimit int
	// Chained is set when the request is itself a retry of an entry higher up.
	Chained bool
	// Streamed is set when the request's body can be sent only once.
	Streamed bool
	// Key and Fingerprint are set for once-only requests.
	Key         string
	Fingerprint string
}

// Endpoint is what the entry knows of an endpoint of the service.
type Endpoint struct {
	registrar.Announcement
	// Stopped is set when the configuration takes it out of service.
	Stopped bool
	// Remote is set for another data centre.
	Remote bool
	// LastDirectReport is when the endpoint last told this entry itself that it serves.
	LastDirectReport time.Time
}

// Balancer is the machine of one service in one entry. It is not safe for
// concurrent use.
type Balancer struct {
	service string
	entry   string
	rand    *rand.Rand

	endpoints []*endpoint
	// named are the same by name.
	named map[string]*endpoint
	// ranked are the same in the order in which this entry prefers them; ranksStale is set
	// when some came or went since they were put in order.
	ranked     []*endpoint
	ranksStale bool
	// candidates stand at the positions of their endpoints.
	candidates []picker.Candidate
	picker     *picker.Picker
	queue      *limiter.Queue
	budget     *retrier.Budget
	sampling   Sampling
	// samplingBudget bounds what sampling asks.
	samplingBudget samplingBudget
	work           work
	// crowding is what has been learned of full endpoints.
	crowding picker.Contention
	traces   bool
	// outlives is set for an entry that serves on without standing.
	outlives  bool
	prober    prober.Prober
	retention time.Duration

	calls    map[CallID]*call
	attempts map[AttemptID]*attempt
	timers   timers
	// lastAttempt numbers attempts; it never falls.
	lastAttempt AttemptID
	// standingUntil is when this entry's standing ends, unless renewed.
	standingUntil time.Time
	// quantile estimates the latency that most answers stay below.
	quantile  quantile
	entries   int
	probePath string
	// latenciesChanged is set when a latency has changed since the typical one was taken,
	// which is done again from nextTypical on.
	latenciesChanged bool
	nextTypical      time.Time
	// changeAt is when time alone may open or close an endpoint next, and subsetChanged is
	// set when another subset may have to be chosen.
	changeAt      time.Time
	subsetChanged bool
	// probeAt is when a probe may be due; zero for never.
	probeAt   time.Time
	lastProbe time.Time
	// settled is set once endpoints are known; those that come later start cold.
	settled bool

	actions []Action
}

// Option sets up a balancer.
type Option func(*Balancer)

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(b *Balancer) { b.rand = source } }

// WithPicker sets how endpoints are chosen.
func WithPicker(p *picker.Picker) Option { return func(b *Balancer) { b.picker = p } }

// WithRetention sets how long once-only keys are kept.
func WithRetention(d time.Duration) Option { return func(b *Balancer) { b.retention = d } }

// WithOptionalConfigLease lets an entry without standing go on giving work to the endpoints
// that it knows. Endpoints must refuse requests that are meant for another one.
func WithOptionalConfigLease() Option { return func(b *Balancer) { b.outlives = true } }

// WithRetryBudget sets the bound of retries and hedges.
func WithRetryBudget(budget *retrier.Budget) Option { return func(b *Balancer) { b.budget = budget } }

// New returns the balancer of a service. Entry is unique to the process and its
// start, and makes attempts unique.
func New(entry string, service validator.Service, opts ...Option) *Balancer {
	b := &Balancer{
		service:   service.Name,
		entry:     entry,
		queue:     limiter.NewQueue(service.QueueLimit),
		budget:    retrier.NewBudget(service.RetryPercent),
		retention: claimer.DefaultRetention,
		named:     make(map[string]*endpoint),
		calls:     make(map[CallID]*call),
		attempts:  make(map[AttemptID]*attempt),
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

// InFlight returns the number of calls that have no answer yet, and of attempts
// that have not ended.
func (b *Balancer) InFlight() int { return max(len(b.calls), len(b.attempts)) }

// Handle reacts to one input. The actions are valid until the next call.
func (b *Balancer) Handle(now time.Time, in Input) []Action {
	b.actions = b.actions[:0]
	b.refresh(now)
	switch v := in.(type) {
	case CallArrived:
		b.onArrived(now, v.Call)
	case ResponseStarted:
		b.onAnswerBegan(now, v)
	case AttemptEnded:
		b.onAttemptEnded(now, v)
	case CallerDisconnected:
		b.onCallerGone(now, v.Call)
	case ClaimDecided:
		b.onClaimDecided(now, v)
	case Reconfigured:
		b.onReconfigured(now, v)
	case EndpointsChanged:
		b.onEndpointsChanged(now, v)
	case ConfigLeaseChanged:
		b.onStandingChanged(now, v.Until)
	case ShareGranted:
		b.prober.Grant(now, v.Share, v.Until)
		b.probeSoon(now)
	case ProbeEnded:
		b.onProbeEnded(now, v)
	case Tick:
		b.tick(now)
	}
	b.probe(now)
	return b.actions
}

// onStandingChanged renews or ends the standing. A renewal changes no endpoint.
func (b *Balancer) onStandingChanged(now, until time.Time) {
	renewed := b.inStanding(now) && now.Before(until)
	b.standingUntil = until
	if renewed || b.outlives {
		return
	}
	b.review(now)
	b.probeSoon(now)
	b.drainQueue(now)
}

func (b *Balancer) tick(now time.Time) {
	b.fire(now)
	for _, id := range b.queue.RemoveExpired(now) {
		b.refuse(now, b.calls[CallID(id)], ReasonDeadline)
	}
}

// inStanding reports whether this entry is known to be up to date.
func (b *Balancer) inStanding(now time.Time) bool { return now.Before(b.standingUntil) }

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) record(kind recorder.Kind, c *call, e *endpoint, detail string) {
	event := recorder.Event{Kind: kind, Service: b.service, Detail: detail}
	if c != nil {
		event.Request = c.Request
	}
	if e != nil {
		event.Endpoint = e.name()
	}
	b.do(Record{Event: event})
}

// connectionCap is how many connections this entry may have to an endpoint: an
// equal part for each entry that may run at once.
func (b *Balancer) connectionCap(announced int) int {
	return max(1, announced/max(1, b.entries))
}

// mostAt is how many requests may be in flight at an endpoint that refuses none. One
// connection is left for a probe.
func (b *Balancer) mostAt(e *endpoint) int {
	return limiter.MaxInFlight(e.Slots, max(1, b.connectionCap(e.Connections)-1))
}

// limitOf is how many requests may be in flight at an endpoint now.
func (b *Balancer) limitOf(e *endpoint) int { return e.limit.Allowed(b.mostAt(e)) }

// keyOf returns the key of a call in the claims log.
func (b *Balancer) keyOf(c *call) claimer.Key { return claimer.Key{Service: b.service, Value: c.Key} }
