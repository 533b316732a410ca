// Package follower keeps the entry's stream to a control replica and passes the messages on it
// to the subscriber, a state machine.
package follower

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/subscriber"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/dispatcher"
	"comfreyplank.org/shell/connector"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
	"comfreyplank.org/shell/waker"
)

// sendQueueCapacity is how many messages may wait to be sent on a stream.
const sendQueueCapacity = 1024

const maxMessageBytes = 16 << 20

// Follower drives the subscriber of an entry.
type Follower struct {
	now         func() time.Time
	publish     func(recorder.Event)
	clock       Clock
	dispatcher  *dispatcher.Dispatcher
	dialOptions []grpc.DialOption
	ctx         context.Context //nolint:containedctx // ends with the process; for streams opened later
	group       *sync.WaitGroup

	// configLeaseOptional is set for an entry that serves without a configuration lease.
	configLeaseOptional bool
	discovery           bool
	regulator           Regulator

	mu           sync.Mutex
	stateMachine *subscriber.Subscriber
	// stream is the current one; messages of any other are ignored.
	stream *stream
	// waker calls the subscriber when it is due.
	waker *waker.Waker
}

// stream is one connection to a replica.
type stream struct {
	cancel context.CancelFunc
	queue  chan messenger.ToControl
}

// Option configures a follower.
type Option func(*Follower)

// WithPublish sets the function that receives events.
func WithPublish(publish func(recorder.Event)) Option {
	return func(f *Follower) { f.publish = publish }
}

// WithOptionalConfigLease makes an entry ready as soon as it has a configuration, whether or
// not it holds a configuration lease.
func WithOptionalConfigLease() Option { return func(f *Follower) { f.configLeaseOptional = true } }

// WithDiscovery lets the entry follow replicas whose addresses it learns from control.
func WithDiscovery() Option { return func(f *Follower) { f.discovery = true } }

// Regulator admits calls by what control decides.
type Regulator interface {
	// Configure applies the rate limits of a document.
	Configure(workspaces []validator.Workspace)
	// Contact reports that the counts of this entry reach control.
	Contact(entries int)
	// Apply replaces all shares.
	Apply(v messenger.AdmissionUpdate)
}

// WithRegulator sets the regulator that gets rate limits and shares.
func WithRegulator(r Regulator) Option { return func(f *Follower) { f.regulator = r } }

// noRegulator drops everything.
type noRegulator struct{}

func (noRegulator) Configure([]validator.Workspace) {}
func (noRegulator) Contact(int)                     {}
func (noRegulator) Apply(messenger.AdmissionUpdate) {}

// Clock orders events across all processes by the stamps on their messages.
type Clock interface {
	Stamp() recorder.Stamp
	Observe(s recorder.Stamp)
}

// New returns a follower of the replicas at the given addresses.
func New(ctx context.Context, group *sync.WaitGroup, hello messenger.Hello, replicas []string, d *dispatcher.Dispatcher, clock Clock, opts ...Option) *Follower {
	f := &Follower{
		now:         time.Now,
		publish:     func(recorder.Event) {},
		regulator:   noRegulator{},
		clock:       clock,
		dispatcher:  d,
		ctx:         ctx,
		group:       group,
		dialOptions: append(connector.DialOptions(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes))),
	}
	for _, opt := range opts {
		opt(f)
	}
	var subscriberOptions []subscriber.Option
	if f.discovery {
		subscriberOptions = append(subscriberOptions, subscriber.WithDiscovery())
	}
	f.stateMachine = subscriber.New(hello, replicas, subscriberOptions...)
	f.waker = waker.New(f.now, f.wake)
	return f
}

// Run starts the subscriber, and stops its timer once the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.wake()
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waker.Stop()
}

// wake sends the subscriber a tick when it is due.
func (f *Follower) wake() {
	leaving := f.dispatcher.Leaving()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waker.Fired()
	f.step(subscriber.Tick{Leaving: leaving})
}

// Announce processes an announcement that an endpoint sent to this entry.
func (f *Follower) Announce(a registrar.Announcement) {
	f.handle(subscriber.Announced{Announcement: a})
}

// SetReplicas replaces the addresses of the control replicas.
func (f *Follower) SetReplicas(addresses []string) {
	f.handle(subscriber.SeedsChanged{Addresses: addresses})
}

// Claim sends a command to the claims log.
func (f *Follower) Claim(service string, call balancer.CallID, command claimer.Command) {
	f.handle(subscriber.Command{Service: service, Call: call, Command: command})
}

// RequestPermits tells control of an endpoint's limit and asks for permits.
func (f *Follower) RequestPermits(service string, wanted balancer.RequestPermits) {
	f.handle(subscriber.PermitsWanted{Service: service, Wanted: wanted})
}

// ReportUsage sends what this entry has counted to control. If confirm is set, contact is confirmed soon.
func (f *Follower) ReportUsage(report messenger.UsageReport, confirm bool) {
	f.handle(subscriber.UsageCounted{Report: report, Confirm: confirm})
}

// Ready reports whether the entry has a configuration and, unless that is optional, holds its
// configuration lease.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, configured := f.stateMachine.Revision()
	return configured && (f.configLeaseOptional || f.stateMachine.HoldsConfigLease(f.now()))
}

// MayHaveService reports whether a service may exist.
func (f *Follower) MayHaveService(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateMachine.MayHaveService(service)
}

// PendingCommands returns how many commands wait for the claims log.
func (f *Follower) PendingCommands() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateMachine.PendingCommands()
}

// CommandsDone reports whether no command waits for the claims log.
func (f *Follower) CommandsDone() bool { return f.PendingCommands() == 0 }

// Revision returns the revision in effect.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, _ := f.stateMachine.Revision()
	return revision
}

func (f *Follower) handle(in subscriber.Input) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(in)
}

// step passes an input to the subscriber, executes its actions and sets the timer.
func (f *Follower) step(in subscriber.Input) {
	f.dispatcher.NoticeSuspension()
	f.execute(f.stateMachine.Handle(f.now(), in))
	f.waker.Set(f.stateMachine.Due())
}

// handleFrom passes an input of a stream to the subscriber, unless that stream has been
// replaced.
func (f *Follower) handleFrom(s *stream, in subscriber.Input) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stream == s {
		f.step(in)
	}
}

func (f *Follower) execute(actions []subscriber.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case subscriber.Open:
			f.open(v.Address)
		case subscriber.Close:
			f.close()
		case subscriber.Send:
			f.queue(v.Message)
		case subscriber.Configure:
			f.regulator.Configure(v.Document.Workspaces) // first, so that a call that finds its workspace finds its limit
			f.dispatcher.Configure(v.Document)
		case subscriber.UpdateAdmission:
			f.regulator.Apply(v.Update)
		case subscriber.Reconfigure:
			f.dispatcher.Handle(v.Service, v.Reconfigure)
		case subscriber.ChangeEndpoints:
			f.dispatcher.Handle(v.Service, v.Changed)
		case subscriber.RenewConfigLease:
			f.dispatcher.RenewConfigLease(v.SentAt, v.Until, v.Entries)
			if v.Counted {
				f.regulator.Contact(v.Entries)
			}
		case subscriber.Grant:
			f.dispatcher.Handle(v.Service, v.Granted)
		case subscriber.Decide:
			f.dispatcher.Handle(v.Service, v.Decided)
		case subscriber.GrantPermits:
			f.dispatcher.Handle(v.Service, v.Granted)
		case subscriber.Record:
			f.publish(v.Event)
		}
	}
}

func (f *Follower) close() {
	if f.stream != nil {
		f.stream.cancel()
		f.stream = nil
	}
}

func (f *Follower) open(address string) {
	f.close()
	ctx, cancel := context.WithCancel(f.ctx)
	s := &stream{cancel: cancel, queue: make(chan messenger.ToControl, sendQueueCapacity)}
	f.stream = s
	f.group.Go(func() {
		defer cancel()
		if err := f.readStream(ctx, s, address); err != nil && f.ctx.Err() == nil {
			slog.Debug("stream to control ended", "address", address, "error", err)
		}
		f.handleFrom(s, subscriber.Closed{})
	})
}

// queue adds a message to the stream's send queue. A stream that can't keep up is closed.
func (f *Follower) queue(m messenger.ToControl) {
	if f.stream == nil {
		return
	}
	select {
	case f.stream.queue <- m:
	default:
		f.stream.cancel()
	}
}

// readStream opens a stream and reads it to its end.
func (f *Follower) readStream(ctx context.Context, s *stream, address string) error {
	conn, err := grpc.NewClient(address, f.dialOptions...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client, err := wire.NewControlClient(conn).Follow(ctx)
	if err != nil {
		return err
	}
	f.group.Go(func() { f.sendQueued(ctx, s, client) })
	f.handleFrom(s, subscriber.Opened{})
	for {
		m, err := client.Recv()
		if err != nil {
			return err
		}
		f.receive(s, m)
	}
}

func (f *Follower) receive(s *stream, m *wire.FromControl) {
	f.clock.Observe(encoder.DecodeStamp(m.GetStamp()))
	if m.GetAlive() != nil {
		f.handleFrom(s, subscriber.MessageReceived{})
		return
	}
	message, err := encoder.DecodeToEntry(m)
	if err != nil {
		slog.Warn("message from control dropped", "error", err)
		return
	}
	f.handleFrom(s, subscriber.MessageReceived{Message: message})
}

// sendQueued sends queued messages until the stream ends.
func (f *Follower) sendQueued(ctx context.Context, s *stream, client wire.Control_FollowClient) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			encoded, err := encoder.EncodeToControl(m)
			if err != nil {
				slog.Warn("message to control dropped", "error", err)
				continue
			}
			encoded.Stamp = encoder.EncodeStamp(f.clock.Stamp())
			if client.Send(encoded) != nil {
				return
			}
		}
	}
}
