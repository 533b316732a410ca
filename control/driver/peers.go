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
	// peerBacklog is how many messages to a peer may wait; the rest is dropped, as
	// on a network.
	peerBacklog = 1024
	// maxBatch is how many messages travel together.
	maxBatch      = 64
	redialWait    = 100 * time.Millisecond
	maxPeerBytes  = 64 << 20
	aliveInterval = messenger.StreamTimeout / 2
)

// AliveInterval is how long a stream may say nothing before it says just that.
const AliveInterval = aliveInterval

// Clock orders events over all processes by the stamps on their messages.
type Clock interface {
	Stamp() recorder.Stamp
	Observe(s recorder.Stamp)
}

// peers keeps one outgoing stream to each replica that was ever written to.
type peers struct {
	ctx   context.Context //nolint:containedctx // the life of the process, for streams opened later
	group *sync.WaitGroup
	clock Clock
	queue map[string]chan messenger.ToPeer
}

func newPeers(ctx context.Context, group *sync.WaitGroup, clock Clock) *peers {
	return &peers{ctx: ctx, group: group, clock: clock, queue: make(map[string]chan messenger.ToPeer)}
}

// send hands a message to the stream of an address. It is called by one caller at
// a time.
func (p *peers) send(address string, m messenger.ToPeer) {
	if p == nil || p.ctx.Err() != nil {
		return
	}
	queue, ok := p.queue[address]
	if !ok {
		queue = make(chan messenger.ToPeer, peerBacklog)
		p.queue[address] = queue
		p.group.Go(func() { p.keep(address, queue) })
	}
	select {
	case queue <- m:
	default:
	}
}

// keep opens the stream again whenever it ends.
func (p *peers) keep(address string, queue chan messenger.ToPeer) {
	for p.ctx.Err() == nil {
		if err := p.exchange(address, queue); err != nil {
			slog.Debug("stream to a replica ended", "address", address, "error", err)
		}
		wait(p.ctx, redialWait)
	}
}

// exchange writes one stream until it fails, or nothing has come back for too
// long: then the connection has gone silent, and a new one may work.
func (p *peers) exchange(address string, queue chan messenger.ToPeer) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	conn, err := grpc.NewClient(address, connector.DialOptions()...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	// From the start: a connection that opens and then says nothing is as bad as a silent one.
	heard := time.AfterFunc(messenger.StreamTimeout, cancel)
	defer heard.Stop()
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
			heard.Reset(messenger.StreamTimeout)
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
			out := batch(m, queue)
			out.Stamp = encoder.EncodeStamp(p.clock.Stamp())
			if err := stream.Send(out); err != nil {
				return err
			}
		}
	}
}

// batch joins a message with those that are ready too.
func batch(first messenger.ToPeer, queue chan messenger.ToPeer) *wire.FromPeers {
	out := &wire.FromPeers{}
	add := func(m messenger.ToPeer) {
		encoded, err := encoder.EncodeToPeer(m)
		if err != nil {
			slog.Warn("message to a replica dropped", "error", err)
			return
		}
		out.Messages = append(out.Messages, encoded)
	}
	add(first)
	for len(out.Messages) < maxBatch {
		select {
		case m := <-queue:
			add(m)
		default:
			return out
		}
	}
	return out
}
