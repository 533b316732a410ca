package driver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/shell/connector"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
)

const (
	// peerBacklog is the maximum number of queued messages to a peer. Further messages are
	// dropped, since any message may be lost on the network too.
	peerBacklog = 1024
	// maxBatch is the maximum number of messages sent as one.
	maxBatch      = 64
	redialDelay   = 100 * time.Millisecond
	maxPeerBytes  = 64 << 20
	aliveInterval = messenger.StreamTimeout / 2
)

// AliveInterval is the time between two keepalives of a stream.
const AliveInterval = aliveInterval

// Clock is the logical clock of a process. The stamps on messages order the events of all
// processes.
type Clock interface {
	Stamp() recorder.Stamp
	Observe(s recorder.Stamp)
}

// peers maintains one outgoing stream to each replica to which a message has been sent.
type peers struct {
	ctx   context.Context //nolint:containedctx // the lifetime of the process, for streams opened later
	group *sync.WaitGroup
	clock Clock
	queue map[string]chan messenger.ToPeer
}

func newPeers(ctx context.Context, group *sync.WaitGroup, clock Clock) *peers {
	return &peers{ctx: ctx, group: group, clock: clock, queue: make(map[string]chan messenger.ToPeer)}
}

// send queues a message on the stream to an address, and opens the stream if it is the first. It
// is not safe for concurrent use.
func (p *peers) send(address string, m messenger.ToPeer) {
	if p == nil || p.ctx.Err() != nil {
		return
	}
	queue, ok := p.queue[address]
	if !ok {
		queue = make(chan messenger.ToPeer, peerBacklog)
		p.queue[address] = queue
		p.group.Go(func() { p.maintainStream(address, queue) })
	}
	select {
	case queue <- m:
	default:
	}
}

// maintainStream reopens the stream to an address whenever it ends.
func (p *peers) maintainStream(address string, queue chan messenger.ToPeer) {
	for p.ctx.Err() == nil {
		if err := p.exchange(address, queue); err != nil {
			slog.Debug("stream to a replica ended", "address", address, "error", err)
		}
		sleep(p.ctx, redialDelay)
	}
}

// exchange opens a stream and sends the queued messages until the stream fails, or until nothing
// has been received for StreamTimeout: a new connection may work where this one stays silent.
func (p *peers) exchange(address string, queue chan messenger.ToPeer) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	conn, err := grpc.NewClient(address, connector.DialOptions()...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	// The timer starts before the stream: a connection may be silent from its first byte on.
	silenceTimer := time.AfterFunc(messenger.StreamTimeout, cancel)
	defer silenceTimer.Stop()
	stream, err := wire.NewControlClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	p.group.Go(func() {
		defer cancel()
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
			silenceTimer.Reset(messenger.StreamTimeout)
		}
	})
	return p.write(ctx, stream, queue)
}

func (p *peers) write(ctx context.Context, stream wire.Control_ExchangeClient, queue chan messenger.ToPeer) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-queue:
			batched := batch(m, queue)
			batched.Stamp = encoder.EncodeStamp(p.clock.Stamp())
			if err := stream.Send(batched); err != nil {
				return err
			}
		}
	}
}

// batch combines a message with those already in the queue, up to maxBatch.
func batch(first messenger.ToPeer, queue chan messenger.ToPeer) *wire.FromPeers {
	batched := &wire.FromPeers{}
	add := func(m messenger.ToPeer) {
		encoded, err := encoder.EncodeToPeer(m)
		if err != nil {
			slog.Warn("message to a replica could not be encoded", "error", err)
			return
		}
		batched.Messages = append(batched.Messages, encoded)
	}
	add(first)
	for len(batched.Messages) < maxBatch {
		select {
		case m := <-queue:
			add(m)
		default:
			return batched
		}
	}
	return batched
}
