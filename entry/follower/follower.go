// Package follower keeps the entry's stream to a control replica and drives the
// subscriber machine with what comes over it.
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
	"comfreyplank.org/entry/dispatcher"
	"comfreyplank.org/shell/connector"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
	"comfreyplank.org/shell/waker"
)

// outgoing is how many messages may wait to be sent on a stream.
const outgoing = 1024

const maxMessageBytes = 16 << 20

// Follower drives the subscriber of an entry.
type Follower struct {
	now        func() time.Time
	publish    func(recorder.Event)
	clock      Clock
	dispatcher *dispatcher.Dispatcher
	options    []grpc.DialOption
	ctx        context.Context //nolint:containedctx // the life of the process, for streams opened later
	group      *sync.WaitGroup

	// outlives is set for an entry that serves without standing.
	outlives  bool
	discovers bool

	mu      sync.Mutex
	machine *subscriber.Subscriber
	// stream is the present one; messages of any other are ignored.
	stream *stream
	// waker calls the subscriber when it is due.
	waker *waker.Waker
}

// stream is one connection to a replica.
type stream struct {
	cancel context.CancelFunc
	send   chan messenger.ToControl
}

// Option sets up a follower.
type Option func(*Follower)

// WithPublish sets where events go.
func WithPublish(publish func(recorder.Event)) Option {
	return func(f *Follower) { f.publish = publish }
}

// WithOptionalConfigLease makes an entry ready as soon as it has a configuration.
func WithOptionalConfigLease() Option { return func(f *Follower) { f.outlives = true } }

// WithDiscovery lets the entry follow replicas that control names.
func WithDiscovery() Option { return func(f *Follower) { f.discovers = true } }

// Clock orders events over all processes by the stamps on their messages.
type Clock interface {
	Stamp() recorder.Stamp
	Observe(s recorder.Stamp)
}

// New returns a follower of the replicas at the given addresses.
func New(ctx context.Context, group *sync.WaitGroup, hello messenger.Hello, replicas []string, d *dispatcher.Dispatcher, clock Clock, opts ...Option) *Follower {
	f := &Follower{
		now:        time.Now,
		publish:    func(recorder.Event) {},
		clock:      clock,
		dispatcher: d,
		ctx:        ctx,
		group:      group,
		options:    append(connector.Options(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes))),
	}
	for _, opt := range opts {
		opt(f)
	}
	var set []subscriber.Option
	if f.discovers {
		set = append(set, subscriber.WithDiscovery())
	}
	f.machine = subscriber.New(hello, replicas, set...)
	f.waker = waker.New(f.now, f.wake)
	return f
}

// Run lets the subscriber begin, and keeps it from being called once the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.wake()
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waker.End()
}

// wake lets time pass in the subscriber.
func (f *Follower) wake() {
	leaving := f.dispatcher.Leaving()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waker.Woken()
	f.step(subscriber.Tick{Leaving: leaving})
}

// Announce takes in what an endpoint said to this entry.
func (f *Follower) Announce(a registrar.Announcement) {
	f.handle(subscriber.Announced{Announcement: a})
}

// SetReplicas tells where control replicas are now.
func (f *Follower) SetReplicas(addresses []string) {
	f.handle(subscriber.SeedsChanged{Addresses: addresses})
}

// Claim sends a command to the claims log.
func (f *Follower) Claim(service string, call balancer.CallID, command claimer.Command) {
	f.handle(subscriber.Command{Service: service, Call: call, Command: command})
}

// Ready reports whether the entry has a configuration and, where it needs that, is in
// standing.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, configured := f.machine.Revision()
	return configured && (f.outlives || f.machine.HoldsConfigLease(f.now()))
}

// Knows reports whether a service may exist.
func (f *Follower) Knows(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.MayHaveService(service)
}

// Waiting returns how many commands wait for the claims log.
func (f *Follower) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.PendingCommands()
}

// Settled reports whether nothing waits for the claims log.
func (f *Follower) Settled() bool { return f.Waiting() == 0 }

// Revision returns the revision in force.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, _ := f.machine.Revision()
	return revision
}

func (f *Follower) handle(in subscriber.Input) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(in)
}

// step hands an input to the subscriber, carries out its actions and sets the timer.
func (f *Follower) step(in subscriber.Input) {
	f.carryOut(f.machine.Handle(f.now(), in))
	f.waker.Set(f.machine.Due())
}

// handleFrom hands in what came on a stream, unless it has been replaced.
func (f *Follower) handleFrom(s *stream, in subscriber.Input) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stream == s {
		f.step(in)
	}
}

func (f *Follower) carryOut(actions []subscriber.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case subscriber.Open:
			f.open(v.Address)
		case subscriber.Close:
			f.close()
		case subscriber.Send:
			f.send(v.Message)
		case subscriber.Configure:
			f.dispatcher.Configure(v.Document)
		case subscriber.Reconfigure:
			f.dispatcher.Handle(v.Service, v.Reconfigure)
		case subscriber.ChangeEndpoints:
			f.dispatcher.Handle(v.Service, v.Changed)
		case subscriber.RenewConfigLease:
			f.dispatcher.Stand(v.Until)
		case subscriber.Grant:
			f.dispatcher.Handle(v.Service, v.Granted)
		case subscriber.Decide:
			f.dispatcher.Handle(v.Service, v.Decided)
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
	s := &stream{cancel: cancel, send: make(chan messenger.ToControl, outgoing)}
	f.stream = s
	f.group.Go(func() {
		defer cancel()
		if err := f.follow(ctx, s, address); err != nil && f.ctx.Err() == nil {
			slog.Debug("stream to control ended", "address", address, "error", err)
		}
		f.handleFrom(s, subscriber.Closed{})
	})
}

// send hands a message to the stream. One that can't keep up is closed.
func (f *Follower) send(m messenger.ToControl) {
	if f.stream == nil {
		return
	}
	select {
	case f.stream.send <- m:
	default:
		f.stream.cancel()
	}
}

// follow opens a stream and reads it to its end.
func (f *Follower) follow(ctx context.Context, s *stream, address string) error {
	conn, err := grpc.NewClient(address, f.options...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client, err := wire.NewControlClient(conn).Follow(ctx)
	if err != nil {
		return err
	}
	f.group.Go(func() { f.write(ctx, s, client) })
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

// write sends what waits, until the stream ends.
func (f *Follower) write(ctx context.Context, s *stream, client wire.Control_FollowClient) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.send:
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
