// Package subscriber decides what an entry takes from the control replicas: which
// replica it follows, its configuration, its standing, its shares and what it
// knows of endpoints. It does no input or output.
package subscriber

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// TickInterval is how often the caller should hand in a Tick.
const TickInterval = 100 * time.Millisecond

// Timing of a subscriber.
const (
	reconnectMin = 100 * time.Millisecond
	reconnectMax = 400 * time.Millisecond
	// connectPatience is how long a replica may take to open a stream: some round trips
	// between the farthest data centres.
	connectPatience = 500 * time.Millisecond
	// laggingSpread is the most that an entry waits to go on to another replica, as
	// long as it has not met all of them.
	laggingSpread = 50 * time.Millisecond
	// laggingPause is how much longer it waits once it has.
	laggingPause = 50 * time.Millisecond
	// standingPatience is how long a replica may answer without giving standing
	// before another is tried.
	standingPatience = 1500 * time.Millisecond
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

// Said is a message on the stream.
type Said struct {
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

// Reseeded tells where replicas were when the settings were last written.
type Reseeded struct {
	Addresses []string
}

// Tick lets time pass, with the work in flight at endpoints that leave.
type Tick struct {
	Leaving []messenger.Leaving
}

func (Opened) input()    {}
func (Closed) input()    {}
func (Said) input()      {}
func (Announced) input() {}
func (Command) input()   {}
func (Reseeded) input()  {}
func (Tick) input()      {}

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

// Update replaces what a service's balancer knows of its endpoints.
type Update struct {
	Service string
	Update  balancer.Reconfigured
}

// Stand renews the standing in every balancer.
type Stand struct {
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

func (Open) action()      {}
func (Close) action()     {}
func (Send) action()      {}
func (Configure) action() {}
func (Update) action()    {}
func (Stand) action()     {}
func (Grant) action()     {}
func (Decide) action()    {}
func (Record) action()    {}

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
	direct   *registrar.Registry
	heard    map[registrar.Name]time.Time
	// stopAt is when the next scheduled stop comes.
	stopAt time.Time

	lastRequest uint64
	commands    map[uint64]*command

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
	case Said:
		s.heardAt = now
		s.onSaid(now, v.Message)
	case Announced:
		s.onAnnounced(now, v.Announcement)
	case Command:
		s.onCommand(now, v)
	case Reseeded:
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

// Knows reports whether a service may exist: it is in the configuration in force, or
// there is none yet.
func (s *Subscriber) Knows(service string) bool {
	_, ok := s.document.Service(service)
	return ok || !s.configured
}

// Standing reports whether the entry is known to be up to date.
func (s *Subscriber) Standing(now time.Time) bool { return now.Before(s.standingUntil) }

// Settled reports whether no command waits for an answer.
func (s *Subscriber) Settled() bool { return len(s.commands) == 0 }

func (s *Subscriber) do(a Action) { s.actions = append(s.actions, a) }

func (s *Subscriber) record(kind recorder.Kind, detail string) {
	s.do(Record{Event: recorder.Event{Kind: kind, Detail: detail}})
}

func (s *Subscriber) tick(now time.Time) {
	s.keepStream(now)
	if s.connected && !now.Before(s.nextBeat) {
		s.sendBeat(now)
	}
	if s.stood && !s.Standing(now) {
		s.stood = false
		s.record(recorder.KindStanding, "lost: no majority of control replicas was heard in time")
		s.updateAll(now) // with what endpoints last said themselves
	}
	s.resendCommands(now)
	if expired := s.direct.Expire(now); len(expired) > 0 {
		s.forget(expired)
	}
	s.dropUnlisted(now)
	if !s.stopAt.IsZero() && !now.Before(s.stopAt) {
		s.updateAll(now)
	}
}

// keepStream leaves a replica that is silent or gives no standing for too long.
func (s *Subscriber) keepStream(now time.Time) {
	switch {
	case s.connected && (now.Sub(s.heardAt) > messenger.SilenceLimit || now.Sub(s.followedAt) > standingPatience):
		s.do(Close{})
		s.onClosed(now)
	case !s.connected && !s.connecting && !now.Before(s.retryAt) && len(s.replicas) > 0:
		s.connecting = true
		s.followed = s.another()
		s.retryAt = now.Add(connectPatience)
		s.do(Open{Address: s.followed})
	case s.connecting && !now.Before(s.retryAt):
		s.do(Close{})
		s.onClosed(now)
	}
}

// another returns a replica at random, but not the one that was left just now.
func (s *Subscriber) another() string {
	choice := make([]string, 0, len(s.replicas))
	for _, address := range s.replicas {
		if address != s.followed {
			choice = append(choice, address)
		}
	}
	if len(choice) == 0 {
		return s.followed
	}
	return choice[s.rand.IntN(len(choice))]
}

func (s *Subscriber) onOpened(now time.Time) {
	s.connecting = false
	s.connected = true
	s.heardAt = now
	s.followedAt = now
	hello := s.hello
	hello.Revision = s.revision
	s.do(Send{Message: hello})
	if list := s.direct.List(""); len(list) > 0 {
		s.do(Send{Message: messenger.Announced{Announcements: list}})
	}
	for _, c := range s.commands {
		c.sentAt = time.Time{}
	}
	s.sendBeat(now)
	s.resendCommands(now)
}

func (s *Subscriber) onClosed(now time.Time) {
	s.connected = false
	s.connecting = false
	s.beats = nil
	spread := s.rand.Int64N(int64(reconnectMax - reconnectMin))
	s.retryAt = now.Add(reconnectMin + time.Duration(spread))
}

func (s *Subscriber) sendBeat(now time.Time) {
	s.nextBeat = now.Add(messenger.BeatInterval)
	s.sequence++
	s.beats = append(s.beats, beat{s.sequence, now})
	s.do(Send{Message: messenger.Beat{Sequence: s.sequence, Revision: s.revision, Leaving: s.leaving}})
}

func (s *Subscriber) onSaid(now time.Time, m messenger.ToEntry) {
	switch v := m.(type) {
	case messenger.Configured:
		s.onConfigured(now, v)
	case messenger.BeatAnswer:
		s.onBeatAnswer(now, v)
	case messenger.Endpoints:
		s.onEndpoints(now, v)
	case messenger.Claimed:
		s.onClaimed(v)
	case messenger.Replicas:
		s.onReplicas(v.Addresses)
	case messenger.Lagging:
		s.onLagging(now)
	}
}

// onLagging leaves a replica that may be cut off, where there is another one.
func (s *Subscriber) onLagging(now time.Time) {
	if !s.connected || len(s.replicas) < 2 {
		return
	}
	s.do(Close{})
	s.onClosed(now)
	s.lagging++
	s.retryAt = now.Add(time.Duration(s.rand.Int64N(int64(laggingSpread))))
	if s.lagging >= len(s.replicas) {
		s.retryAt = s.retryAt.Add(laggingPause)
	}
}

// onReplicas takes up where replicas are now. The present stream stays.
func (s *Subscriber) onReplicas(addresses []string) {
	if s.discovers && len(addresses) > 0 {
		s.told = slices.Clone(addresses)
		s.joinReplicas()
	}
}

func (s *Subscriber) joinReplicas() {
	s.replicas = slices.Clone(s.told)
	for _, address := range s.seeds {
		if !slices.Contains(s.replicas, address) {
			s.replicas = append(s.replicas, address)
		}
	}
}

// onConfigured takes up a configuration, unless it is older than the one in force.
func (s *Subscriber) onConfigured(now time.Time, v messenger.Configured) {
	if s.configured && v.Revision < s.revision {
		return
	}
	changed := !s.configured || v.Revision > s.revision
	s.revision = v.Revision
	s.configured = true
	if changed {
		s.document = v.Document
		s.do(Configure(v))
		s.record(recorder.KindConfigured, fmt.Sprintf("revision %d", v.Revision))
		s.updateAll(now)
	}
	if s.connected {
		s.sendBeat(now)
	}
}

func (s *Subscriber) onBeatAnswer(now time.Time, v messenger.BeatAnswer) {
	sentAt, ok := s.answered(v.Sequence)
	if !ok || !v.Standing {
		return
	}
	s.followedAt = now
	s.lagging = 0
	s.standingUntil = sentAt.Add(messenger.StandingLease)
	s.do(Stand{Until: s.standingUntil})
	if !s.stood {
		s.stood = true
		s.record(recorder.KindStanding, fmt.Sprintf("in standing at revision %d", s.revision))
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

func (s *Subscriber) onAnnounced(now time.Time, a registrar.Announcement) {
	outcome := s.direct.Announce(now, a)
	if outcome == registrar.OutcomeStale || outcome == registrar.OutcomeFull {
		return
	}
	s.heard[a.Name] = now
	if s.connected {
		s.do(Send{Message: messenger.Announced{Announcements: []registrar.Announcement{a}}})
	}
	if outcome == registrar.OutcomeChanged || !s.Standing(now) {
		s.update(now, a.Service)
	}
}

func (s *Subscriber) onEndpoints(now time.Time, v messenger.Endpoints) {
	if v.Full {
		s.startList(now)
	}
	services := make(map[string]bool)
	for _, a := range v.Changed {
		s.relayed[a.Name] = a
		delete(s.unlisted, a.Name)
		services[a.Service] = true
	}
	for _, name := range v.Removed {
		delete(s.relayed, name)
		delete(s.unlisted, name)
		services[name.Service] = true
	}
	if v.Full {
		s.updateAll(now)
		return
	}
	for service := range services {
		s.update(now, service)
	}
}

// startList begins a new list of endpoints. Those of the former one stay for a lease
// unless they are listed again: the replica may have started just now, and hear of
// them with their next announcement.
func (s *Subscriber) startList(now time.Time) {
	for name := range s.relayed {
		if _, ok := s.unlisted[name]; !ok {
			s.unlisted[name] = now.Add(registrar.Lease)
		}
	}
}

func (s *Subscriber) dropUnlisted(now time.Time) {
	for name, until := range s.unlisted {
		if now.Before(until) {
			continue
		}
		delete(s.unlisted, name)
		delete(s.relayed, name)
		s.update(now, name.Service)
	}
}

func (s *Subscriber) forget(expired []registrar.Announcement) {
	for _, a := range expired {
		delete(s.heard, a.Name)
	}
}

// updateAll brings every balancer up to date.
func (s *Subscriber) updateAll(now time.Time) {
	s.stopAt = time.Time{}
	for _, stop := range s.document.Stops {
		if stop.At.After(now) && (s.stopAt.IsZero() || stop.At.Before(s.stopAt)) {
			s.stopAt = stop.At
		}
	}
	for _, service := range s.document.Services {
		s.update(now, service.Name)
	}
}

func (s *Subscriber) update(now time.Time, name string) {
	service, ok := s.document.Service(name)
	if !ok {
		return
	}
	s.do(Update{Service: name, Update: balancer.Reconfigured{
		Service: service, Endpoints: s.endpoints(now, service), Entries: s.document.Entries,
	}})
}

// endpoints joins what replicas relayed and what endpoints said to this entry;
// the newer one counts.
func (s *Subscriber) endpoints(now time.Time, service validator.Service) []balancer.Endpoint {
	known := make(map[string]registrar.Announcement)
	for name, a := range s.relayed {
		if name.Service == service.Name {
			known[name.Endpoint] = a
		}
	}
	for _, a := range s.direct.All(service.Name) {
		if old, ok := known[a.Endpoint]; !ok || a.Newer(old) {
			known[a.Endpoint] = a
		}
	}
	var list []balancer.Endpoint
	for _, a := range known {
		if !a.Gone && service.Admits(a.Endpoint) {
			list = append(list, s.endpoint(now, service, a))
		}
	}
	slices.SortFunc(list, func(a, b balancer.Endpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (s *Subscriber) endpoint(now time.Time, service validator.Service, a registrar.Announcement) balancer.Endpoint {
	if service.Connections > 0 {
		a.Connections = service.Connections
	}
	return balancer.Endpoint{
		Announcement: a,
		Stopped:      s.document.Stopped(a.Service, a.Endpoint, now),
		Far:          a.DataCentre != s.hello.DataCentre,
		Direct:       s.heard[a.Name],
	}
}
