// Package subscriber decides what an entry takes from the control replicas: which
// replica it follows, its configuration, its standing, its shares and what it
// knows of endpoints. It does no input or output.
package subscriber

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// Timing of a subscriber.
const (
	// reconnectMin and reconnectMax bound the wait after a stream has ended or could not
	// be opened. It doubles once all replicas have been tried, and so on.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = 400 * time.Millisecond
	// connectMin and connectMax bound how long a replica may take to open a stream: some
	// round trips within a region, and between the farthest data centres.
	connectMin = 100 * time.Millisecond
	connectMax = 500 * time.Millisecond
	// laggingSpread is the most that an entry waits to go on to another replica, as
	// long as it has not met all of them.
	laggingSpread = 50 * time.Millisecond
	// laggingPause is how much longer it waits once it has.
	laggingPause = 50 * time.Millisecond
	// standingPatience is how long a replica may answer without giving standing
	// before another is tried.
	standingPatience = 1500 * time.Millisecond
	// searchingBeat is how often an entry asks for its standing while it has none: a leader
	// is elected in a few times as long.
	searchingBeat = 200 * time.Millisecond
	// commandAgain is how long a command of the claims log waits for its answer
	// before it is sent again.
	commandAgain = 400 * time.Millisecond
)

// maxCommands bounds the commands that wait for an answer.
const maxCommands = 50_000

// Input is what a subscriber reacts to.
type Input interface{ input() }

// Opened tells that the stream asked for by Open is there.
type Opened struct{}

// Closed tells that the stream has ended, or could not be opened.
type Closed struct{}

// MessageReceived is a message on the stream.
type MessageReceived struct {
	Message messenger.ToEntry
}

// Announced is what an endpoint said to this entry.
type Announced struct {
	Announcement registrar.Announcement
}

// Command is to go to the claims log.
type Command struct {
	Service string
	Call    balancer.CallID
	Command claimer.Command
}

// SeedsChanged tells where replicas were when the settings were last written.
type SeedsChanged struct {
	Addresses []string
}

// Tick lets time pass, with the work in flight at endpoints that leave.
type Tick struct {
	Leaving []messenger.Leaving
}

func (Opened) input()          {}
func (Closed) input()          {}
func (MessageReceived) input() {}
func (Announced) input()       {}
func (Command) input()         {}
func (SeedsChanged) input()    {}
func (Tick) input()            {}

// Action is what the caller must carry out.
type Action interface{ action() }

// Open opens a stream to a replica, in place of any other.
type Open struct {
	Address string
}

// Close ends the stream.
type Close struct{}

// Send sends a message on the stream.
type Send struct {
	Message messenger.ToControl
}

// Configure puts a document in force.
type Configure struct {
	Revision uint64
	Document validator.Document
}

// Reconfigure replaces what a service's balancer knows of its endpoints.
type Reconfigure struct {
	Service     string
	Reconfigure balancer.Reconfigured
}

// ChangeEndpoints tells a service's balancer what has changed of its endpoints.
type ChangeEndpoints struct {
	Service string
	Changed balancer.EndpointsChanged
}

// RenewConfigLease renews the standing in every balancer.
type RenewConfigLease struct {
	Until time.Time
}

// Grant replaces a service's share.
type Grant struct {
	Service string
	Granted balancer.ShareGranted
}

// Decide answers a claim.
type Decide struct {
	Service string
	Decided balancer.ClaimDecided
}

// Record adds an event to the time line.
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
func (Record) action()           {}

// command waits for the answer of the claims log.
type command struct {
	Command
	sentAt time.Time
}

// Subscriber is the machine of an entry towards the control replicas. It is not
// safe for concurrent use.
type Subscriber struct {
	hello messenger.Hello
	// seeds are the replicas of the settings, and told those that a replica named.
	seeds     []string
	told      []string
	discovers bool
	// lagging counts the replicas in a row that heard no majority.
	lagging int
	// failed counts the streams in a row that ended or did not open.
	failed int
	// replicas are those that may be followed, each once.
	replicas []string
	rand     *rand.Rand

	// followed is the replica of the present stream, or of the last one.
	followed   string
	connecting bool
	connected  bool
	heardAt    time.Time
	retryAt    time.Time
	// followedAt is when the present stream began, or last gave standing.
	followedAt time.Time

	sequence uint64
	beats    []beat
	nextBeat time.Time
	leaving  []messenger.Leaving
	// standingUntil is counted from the moment of the beat that renewed it.
	standingUntil time.Time
	stood         bool

	// revision never falls while the process lives.
	revision   uint64
	configured bool
	document   validator.Document

	// relayed is what replicas said of endpoints, direct what they said themselves.
	relayed map[registrar.Name]registrar.Announcement
	// unlisted are relayed endpoints that the present replica did not list, with the
	// time at which they are forgotten: it may have started just now.
	unlisted map[registrar.Name]time.Time
	// unlistedAt is not later than the first of these times; zero when there is none.
	unlistedAt time.Time
	direct     *registrar.Registry
	heard      map[registrar.Name]time.Time
	// stopAt is when the next scheduled stop comes.
	stopAt time.Time

	lastRequest uint64
	commands    map[uint64]*command
	// resends are the commands in the order in which they are to be sent again, also some
	// that have been answered.
	resends []uint64

	actions []Action
}

// beat is a Beat that has not been answered.
type beat struct {
	sequence uint64
	sentAt   time.Time
}

// Option sets up a subscriber.
type Option func(*Subscriber)

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(s *Subscriber) { s.rand = source } }

// WithDiscovery lets the entry follow replicas that control names besides those of its
// settings.
func WithDiscovery() Option { return func(s *Subscriber) { s.discovers = true } }

// New returns the subscriber of an entry that follows one of the replicas.
func New(hello messenger.Hello, replicas []string, opts ...Option) *Subscriber {
	s := &Subscriber{
		hello:    hello,
		seeds:    slices.Clone(replicas),
		relayed:  make(map[registrar.Name]registrar.Announcement),
		unlisted: make(map[registrar.Name]time.Time),
		direct:   registrar.New(),
		heard:    make(map[registrar.Name]time.Time),
		commands: make(map[uint64]*command),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s.joinReplicas()
	return s
}

// Handle reacts to one input. The actions are valid until the next call.
func (s *Subscriber) Handle(now time.Time, in Input) []Action {
	s.actions = s.actions[:0]
	switch v := in.(type) {
	case Opened:
		s.onOpened(now)
	case Closed:
		s.onClosed(now)
	case MessageReceived:
		s.heardAt = now
		s.onSaid(now, v.Message)
	case Announced:
		s.onAnnounced(now, v.Announcement)
	case Command:
		s.onCommand(now, v)
	case SeedsChanged:
		s.seeds = slices.Clone(v.Addresses)
		s.joinReplicas()
	case Tick:
		s.leaving = v.Leaving
		s.tick(now)
	}
	return s.actions
}

// Revision returns the revision in force, and whether there is one.
func (s *Subscriber) Revision() (uint64, bool) { return s.revision, s.configured }

// MayHaveService reports whether a service may exist: it is in the configuration in force, or
// there is none yet.
func (s *Subscriber) MayHaveService(service string) bool {
	_, ok := s.document.Service(service)
	return ok || !s.configured
}

// HoldsConfigLease reports whether the entry is known to be up to date.
func (s *Subscriber) HoldsConfigLease(now time.Time) bool { return now.Before(s.standingUntil) }

// PendingCommands returns how many commands wait for an answer.
func (s *Subscriber) PendingCommands() int { return len(s.commands) }

func (s *Subscriber) do(a Action) { s.actions = append(s.actions, a) }

func (s *Subscriber) record(kind recorder.Kind, detail string) {
	s.do(Record{Event: recorder.Event{Kind: kind, Detail: detail}})
}

func (s *Subscriber) tick(now time.Time) {
	s.keepStream(now)
	if s.connected && !now.Before(s.nextBeat) {
		s.sendBeat(now)
	}
	if s.stood && !s.HoldsConfigLease(now) {
		s.stood = false
		s.record(recorder.KindConfigLeaseChanged, "lost: no majority of control replicas was heard in time")
		s.updateAll(now) // with what endpoints last said themselves
	}
	s.resendCommands(now)
	if expired := s.direct.Expire(now); len(expired) > 0 {
		s.forget(now, expired)
	}
	s.dropUnlisted(now)
	if !s.stopAt.IsZero() && !now.Before(s.stopAt) {
		s.updateAll(now)
	}
}

func (s *Subscriber) sendBeat(now time.Time) {
	s.nextBeat = now.Add(s.beatInterval())
	s.sequence++
	s.beats = append(s.beats, beat{s.sequence, now})
	s.do(Send{Message: messenger.Heartbeat{Sequence: s.sequence, Revision: s.revision, Leaving: s.leaving}})
}

func (s *Subscriber) beatInterval() time.Duration {
	if s.stood {
		return messenger.HeartbeatInterval
	}
	return searchingBeat
}

func (s *Subscriber) onSaid(now time.Time, m messenger.ToEntry) {
	switch v := m.(type) {
	case messenger.Configuration:
		s.onConfigured(now, v)
	case messenger.HeartbeatReply:
		s.onBeatAnswer(now, v)
	case messenger.EndpointUpdate:
		s.onEndpoints(now, v)
	case messenger.ClaimReply:
		s.onClaimed(v)
	case messenger.ReplicaAddresses:
		s.onReplicas(v.Addresses)
	case messenger.Lagging:
		s.onLagging(now)
	}
}

// onConfigured takes up a configuration, unless it is older than the one in force.
func (s *Subscriber) onConfigured(now time.Time, v messenger.Configuration) {
	if s.configured && v.Revision < s.revision {
		return
	}
	changed := !s.configured || v.Revision > s.revision
	s.revision = v.Revision
	s.configured = true
	if changed {
		s.document = v.Document
		s.do(Configure(v))
		s.record(recorder.KindConfigApplied, fmt.Sprintf("revision %d", v.Revision))
		s.updateAll(now)
	}
	if s.connected {
		s.sendBeat(now)
	}
}

func (s *Subscriber) onBeatAnswer(now time.Time, v messenger.HeartbeatReply) {
	sentAt, ok := s.answered(v.Sequence)
	if !ok || !v.ConfigLease {
		return
	}
	s.followedAt = now
	s.lagging = 0
	s.failed = 0
	s.standingUntil = sentAt.Add(messenger.ConfigLeaseDuration)
	s.do(RenewConfigLease{Until: s.standingUntil})
	if !s.stood {
		s.stood = true
		s.record(recorder.KindConfigLeaseChanged, fmt.Sprintf("in standing at revision %d", s.revision))
	}
	for _, share := range v.Shares {
		s.do(Grant{Service: share.Service, Granted: balancer.ShareGranted{Share: share.Share, Until: sentAt.Add(share.Life)}})
	}
}

// answered returns when a beat was sent, and forgets it and those before it.
func (s *Subscriber) answered(sequence uint64) (time.Time, bool) {
	for i, b := range s.beats {
		if b.sequence == sequence {
			s.beats = slices.Clone(s.beats[i+1:])
			return b.sentAt, true
		}
	}
	return time.Time{}, false
}
