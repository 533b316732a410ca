// Package subscriber implements the state machine of an entry that subscribes to the control
// replicas. It decides which replica the entry follows, and maintains its configuration, its
// configuration lease, its budget shares and its view of the endpoints. It performs no I/O.
package subscriber

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// Timing of a subscriber.
const (
	// reconnectMin and reconnectMax bound the wait after a stream has ended or could not
	// be opened. The wait doubles each time that all replicas have been tried.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = 400 * time.Millisecond
	// connectMin and connectMax bound the time to open a stream: connectMin allows several
	// round trips within a region, connectMax between the most distant data centres.
	connectMin = 100 * time.Millisecond
	connectMax = 500 * time.Millisecond
	// laggingJitter bounds the random wait between leaving a lagging replica and trying
	// another one.
	laggingJitter = 50 * time.Millisecond
	// laggingPause is added to that wait once all replicas have been found lagging.
	laggingPause = 50 * time.Millisecond
	// configLeaseTimeout is how long a replica may fail to grant the configuration lease before
	// the entry tries another one.
	configLeaseTimeout = 1500 * time.Millisecond
	// searchingHeartbeatInterval is the heartbeat interval without a configuration lease.
	// Electing a leader takes a few of these intervals.
	searchingHeartbeatInterval = 200 * time.Millisecond
	// commandResendInterval is how long a command for the claims log waits for its reply
	// before it is sent again.
	commandResendInterval = 400 * time.Millisecond
)

// maxPendingCommands bounds the commands that wait for a reply.
const maxPendingCommands = 50_000

// Input is an event that a subscriber handles.
type Input interface{ input() }

// Opened reports that the stream requested by Open is established.
type Opened struct{}

// Closed reports that the stream has ended or could not be opened.
type Closed struct{}

// MessageReceived delivers a message from the stream.
type MessageReceived struct {
	Message messenger.ToEntry
}

// Announced delivers an announcement that an endpoint made to this entry directly.
type Announced struct {
	Announcement registrar.Announcement
}

// Command asks to send a command to the claims log.
type Command struct {
	Service string
	Call    balancer.CallID
	Command claimer.Command
}

// PermitsWanted tells of an endpoint's limit and asks for permits.
type PermitsWanted struct {
	Service string
	Wanted  balancer.RequestPermits
}

// UsageCounted delivers the calls that this entry has counted since the last time.
type UsageCounted struct {
	Report messenger.UsageReport
	// Confirm is set if contact with control must be confirmed before the next heartbeat is due.
	Confirm bool
}

// SeedsChanged replaces the replica addresses that come from the settings.
type SeedsChanged struct {
	Addresses []string
}

// Tick performs the work that is due, and reports the requests in flight at leaving endpoints.
type Tick struct {
	Leaving []messenger.Leaving
}

func (Opened) input()          {}
func (Closed) input()          {}
func (MessageReceived) input() {}
func (Announced) input()       {}
func (Command) input()         {}
func (PermitsWanted) input()   {}
func (UsageCounted) input()    {}
func (SeedsChanged) input()    {}
func (Tick) input()            {}

// Action is an effect that the owner of the subscriber must carry out.
type Action interface{ action() }

// Open opens a stream to a replica and replaces any other stream.
type Open struct {
	Address string
}

// Close ends the stream.
type Close struct{}

// Send sends a message to the replica on the stream.
type Send struct {
	Message messenger.ToControl
}

// Configure applies a document.
type Configure struct {
	Revision uint64
	Document validator.Document
}

// Reconfigure replaces the settings and all endpoints of a service's balancer.
type Reconfigure struct {
	Service     string
	Reconfigure balancer.Reconfigured
}

// ChangeEndpoints notifies a service's balancer of changes to some of its endpoints.
type ChangeEndpoints struct {
	Service string
	Changed balancer.EndpointsChanged
}

// RenewConfigLease extends the configuration lease in every balancer.
type RenewConfigLease struct {
	// SentAt is when the heartbeat was sent that renewed the lease.
	SentAt time.Time
	Until  time.Time
	// Entries is the number of entries that control knows; zero when unknown.
	Entries int
	// Counted is set if the calls that this entry counts reach the leader.
	Counted bool
}

// Grant replaces a service's share of the probe budget.
type Grant struct {
	Service string
	Granted balancer.ShareGranted
}

// Decide reports the decision on a claim to the balancer.
type Decide struct {
	Service string
	Decided balancer.ClaimDecided
}

// GrantPermits passes the reply to a request for permits to a service's balancer.
type GrantPermits struct {
	Service string
	Granted balancer.PermitsGranted
}

// UpdateAdmission replaces the shares of calls that the entry admits.
type UpdateAdmission struct {
	Update messenger.AdmissionUpdate
}

// Record adds an event to the timeline.
type Record struct {
	Event recorder.Event
}

func (Open) action()             {}
func (Close) action()            {}
func (Send) action()             {}
func (Configure) action()        {}
func (Reconfigure) action()      {}
func (ChangeEndpoints) action()  {}
func (RenewConfigLease) action() {}
func (Grant) action()            {}
func (Decide) action()           {}
func (GrantPermits) action()     {}
func (UpdateAdmission) action()  {}
func (Record) action()           {}

// pendingCommand is a command that waits for the reply of the claims log.
type pendingCommand struct {
	Command
	sentAt time.Time
}

// Subscriber is the state machine of an entry's subscription to the control replicas. It is
// not safe for concurrent use.
type Subscriber struct {
	hello messenger.Hello
	// seeds are the replicas from the settings, discovered those that a replica listed.
	seeds      []string
	discovered []string
	discovery  bool
	// laggingReplicas counts consecutive replicas that had no contact with a quorum.
	laggingReplicas int
	// failedStreams counts consecutive streams that ended or could not be opened.
	failedStreams int
	// replicas are the addresses that may be followed, without duplicates.
	replicas []string
	rand     *rand.Rand

	// followed is the replica of the current stream, or of the last one.
	followed      string
	connecting    bool
	connected     bool
	lastMessageAt time.Time
	retryAt       time.Time
	// leaseWaitStart is when the current stream opened or last renewed the configuration
	// lease; configLeaseTimeout counts from it.
	leaseWaitStart time.Time

	sequence      uint64
	heartbeats    []heartbeat
	nextHeartbeat time.Time
	leaving       []messenger.Leaving
	// configLeaseUntil is counted from the time when the heartbeat that renewed the lease
	// was sent.
	configLeaseUntil time.Time
	// configLeaseHeld is whether the lease was held when it was last checked.
	configLeaseHeld bool

	// revision never decreases while the process runs.
	revision   uint64
	configured bool
	document   validator.Document
	// evacuated lists the data centres whose endpoints get no requests. It belongs to revision.
	evacuated []string

	// relayed holds announcements passed on by replicas, direct those that endpoints made to
	// this entry.
	relayed map[registrar.Name]registrar.Announcement
	// unlisted holds the relayed endpoints that the current replica has not listed, with the
	// time when they are dropped. The replica may have just started and not know them yet.
	unlisted map[registrar.Name]time.Time
	// unlistedExpiry is not later than the earliest of these times; zero without any.
	unlistedExpiry time.Time
	direct         *registrar.Registry
	// directAt is when each endpoint last made a direct announcement.
	directAt map[registrar.Name]time.Time
	// warmUps holds what the latest announcement of each endpoint says of its warm-up.
	warmUps map[registrar.Name]warmUp
	// nextStopAt is the time of the next scheduled stop; zero without one.
	nextStopAt time.Time

	lastRequest uint64
	commands    map[uint64]*pendingCommand
	// resends holds the request numbers of commands in the order in which they are sent
	// again. It may contain commands that already have a reply.
	resends []uint64

	// entries is the number of entries that control last named.
	entries int

	permits permits
	usage   usage
	// limits holds the limits of endpoints that control knows.
	limits map[registrar.Name]permitter.EndpointLimit

	actions []Action
}

// heartbeat records a heartbeat that was sent and has no reply yet.
type heartbeat struct {
	sequence uint64
	sentAt   time.Time
}

// Option configures a Subscriber.
type Option func(*Subscriber)

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(s *Subscriber) { s.rand = source } }

// WithDiscovery lets the entry also follow replicas that are listed by the control plane but
// not in its settings.
func WithDiscovery() Option { return func(s *Subscriber) { s.discovery = true } }

// New returns the subscriber of an entry that follows one of the given replicas.
func New(hello messenger.Hello, replicas []string, opts ...Option) *Subscriber {
	s := &Subscriber{
		hello:    hello,
		seeds:    slices.Clone(replicas),
		relayed:  make(map[registrar.Name]registrar.Announcement),
		unlisted: make(map[registrar.Name]time.Time),
		direct:   registrar.New(),
		directAt: make(map[registrar.Name]time.Time),
		warmUps:  make(map[registrar.Name]warmUp),
		commands: make(map[uint64]*pendingCommand),
		permits:  permits{pending: make(map[registrar.Name]messenger.PermitDemand)},
		limits:   make(map[registrar.Name]permitter.EndpointLimit),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s.mergeReplicas()
	return s
}

// Handle processes one input. The returned actions are valid until the next call.
func (s *Subscriber) Handle(now time.Time, in Input) []Action {
	s.actions = s.actions[:0]
	switch v := in.(type) {
	case Opened:
		s.onOpened(now)
	case Closed:
		s.onClosed(now)
	case MessageReceived:
		s.lastMessageAt = now
		s.onMessage(now, v.Message)
	case Announced:
		s.onAnnounced(now, v.Announcement)
	case Command:
		s.onCommand(now, v)
	case PermitsWanted:
		s.onPermitsWanted(now, v)
	case UsageCounted:
		s.onUsageCounted(now, v)
	case SeedsChanged:
		s.seeds = slices.Clone(v.Addresses)
		s.mergeReplicas()
	case Tick:
		s.leaving = v.Leaving
		s.tick(now)
	}
	return s.actions
}

// Revision returns the revision in effect, and whether there is one.
func (s *Subscriber) Revision() (uint64, bool) { return s.revision, s.configured }

// MayHaveService reports whether a service may exist: either the configuration in effect
// contains it, or there is no configuration yet.
func (s *Subscriber) MayHaveService(service string) bool {
	_, ok := s.document.Service(service)
	return ok || !s.configured
}

// HoldsConfigLease reports whether the entry holds its configuration lease, that is, whether
// its configuration is known to be up to date.
func (s *Subscriber) HoldsConfigLease(now time.Time) bool { return now.Before(s.configLeaseUntil) }

// PendingCommands returns the number of commands that wait for a reply.
func (s *Subscriber) PendingCommands() int { return len(s.commands) }

func (s *Subscriber) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Subscriber) record(kind recorder.Kind, detail string) {
	s.emit(Record{Event: recorder.Event{Kind: kind, Detail: detail}})
}

func (s *Subscriber) tick(now time.Time) {
	s.maintainStream(now)
	if s.connected && !now.Before(s.nextHeartbeat) {
		s.sendHeartbeat(now)
	}
	if s.configLeaseHeld && !s.HoldsConfigLease(now) {
		s.configLeaseHeld = false
		s.record(recorder.KindConfigLeaseChanged, "lost: no majority of control replicas was heard in time")
		// Direct announcements that only renewed a lease have not been forwarded to the
		// balancers so far; without the configuration lease their times count.
		s.reconfigureAll(now)
	}
	s.resendCommands(now)
	s.sendPermitRequestIfDue(now)
	if expired := s.direct.Expire(now); len(expired) > 0 {
		s.forgetExpired(now, expired)
	}
	s.dropUnlisted(now)
	if !s.nextStopAt.IsZero() && !now.Before(s.nextStopAt) {
		s.reconfigureAll(now)
	}
}

func (s *Subscriber) sendHeartbeat(now time.Time) {
	s.nextHeartbeat = now.Add(s.heartbeatInterval())
	s.sequence++
	s.heartbeats = append(s.heartbeats, heartbeat{s.sequence, now})
	s.usage.lastHeartbeat = now
	s.emit(Send{Message: messenger.Heartbeat{Sequence: s.sequence, Revision: s.revision, Leaving: s.leaving}})
}

func (s *Subscriber) heartbeatInterval() time.Duration {
	if s.configLeaseHeld {
		return messenger.HeartbeatInterval
	}
	return searchingHeartbeatInterval
}

func (s *Subscriber) onMessage(now time.Time, m messenger.ToEntry) {
	switch v := m.(type) {
	case messenger.Configuration:
		s.onConfigured(now, v)
	case messenger.HeartbeatReply:
		s.onHeartbeatReply(now, v)
	case messenger.EndpointUpdate:
		s.onEndpoints(now, v)
	case messenger.ClaimReply:
		s.onClaimed(v)
	case messenger.ReplicaAddresses:
		s.onReplicas(v.Addresses)
	case messenger.PermitReply:
		s.onPermitReply(v)
	case messenger.LimitUpdate:
		s.onLimits(now, v)
	case messenger.AdmissionUpdate:
		s.emit(UpdateAdmission{Update: v})
	case messenger.Lagging:
		s.onLagging(now)
	}
}

// onConfigured applies a configuration unless it is older than the one in effect.
func (s *Subscriber) onConfigured(now time.Time, v messenger.Configuration) {
	if s.configured && v.Revision < s.revision {
		return
	}
	changed := !s.configured || v.Revision > s.revision
	s.revision = v.Revision
	s.configured = true
	if changed {
		s.document = v.Document
		s.setEvacuated(v.Evacuated)
		s.emit(Configure{Revision: v.Revision, Document: v.Document})
		s.record(recorder.KindConfigApplied, fmt.Sprintf("revision %d", v.Revision))
		s.reconfigureAll(now)
	}
	if s.connected {
		s.sendHeartbeat(now)
	}
}

// setEvacuated replaces the evacuated data centres.
func (s *Subscriber) setEvacuated(names []string) {
	for _, name := range names {
		if !slices.Contains(s.evacuated, name) {
			s.record(recorder.KindEvacuationBegun, "the endpoints in data centre "+name+" get no new requests")
		}
	}
	for _, name := range s.evacuated {
		if !slices.Contains(names, name) {
			s.record(recorder.KindEvacuationFinished, "the endpoints in data centre "+name+" get requests again")
		}
	}
	s.evacuated = slices.Clone(names)
}

func (s *Subscriber) onHeartbeatReply(now time.Time, v messenger.HeartbeatReply) {
	sentAt, ok := s.takeHeartbeat(v.Sequence)
	if !ok || !v.ConfigLease {
		return
	}
	s.leaseWaitStart = now
	s.laggingReplicas = 0
	s.failedStreams = 0
	s.configLeaseUntil = sentAt.Add(messenger.ConfigLeaseDuration)
	if v.Entries > 0 {
		s.entries = v.Entries
	}
	s.emit(RenewConfigLease{SentAt: sentAt, Until: s.configLeaseUntil, Entries: s.entries, Counted: v.Entries > 0})
	if !s.configLeaseHeld {
		s.configLeaseHeld = true
		s.record(recorder.KindConfigLeaseChanged, fmt.Sprintf("in standing at revision %d", s.revision))
	}
	for _, share := range v.Shares {
		s.emit(Grant{Service: share.Service, Granted: balancer.ShareGranted{Share: share.Share, Until: sentAt.Add(share.Life)}})
	}
}

// takeHeartbeat returns when a heartbeat was sent, and removes it and all earlier ones.
func (s *Subscriber) takeHeartbeat(sequence uint64) (time.Time, bool) {
	for i, b := range s.heartbeats {
		if b.sequence == sequence {
			s.heartbeats = slices.Clone(s.heartbeats[i+1:])
			return b.sentAt, true
		}
	}
	return time.Time{}, false
}
