// Package server implements the gRPC service of a control replica: the streams of entries and of
// other replicas.
package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/shell/connector"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
)

const (
	maxMessageBytes = 64 << 20
	// handshakeTimeout limits the time in which a new connection must complete its handshake. It
	// is many round trips between the farthest data centres. A planned stop waits for handshakes
	// that have begun, so it must not be long.
	handshakeTimeout = 2 * time.Second
	// entryKeepaliveInterval is the time without a message to an entry after which the stream
	// carries a keepalive. While heartbeats arrive, their replies are more frequent than that.
	entryKeepaliveInterval = messenger.HeartbeatInterval + 50*time.Millisecond
)

// Server implements the wire protocol of a replica.
type Server struct {
	wire.UnimplementedControlServer
	driver *driver.Driver
	clock  driver.Clock

	mu sync.Mutex
	// configured caches the wire form of the latest configuration sent, which is the same for all
	// entries.
	configured *wire.FromControl
}

// New returns a gRPC server that passes the messages it receives to the driver.
func New(d *driver.Driver, clock driver.Clock) *grpc.Server {
	options := append(connector.ServerOptions(), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(handshakeTimeout))
	s := grpc.NewServer(options...)
	wire.RegisterControlServer(s, &Server{driver: d, clock: clock})
	return s
}

// Follow serves the stream of an entry.
func (s *Server) Follow(client wire.Control_FollowServer) error {
	ctx, cancel := context.WithCancel(client.Context())
	defer cancel()
	stream := s.driver.Follow(cancel)
	defer s.driver.Unfollow(stream)
	var group sync.WaitGroup
	group.Go(func() { receive(ctx, cancel, client, func(m *wire.FromEntry) { s.handleEntryMessage(stream, m) }) })
	return s.write(ctx, stream, client)
}

// receiver is the receiving side of a stream.
type receiver[M any] interface{ Recv() (M, error) }

// receive passes the messages of a stream to handle, and cancels the stream after StreamTimeout
// without one.
func receive[M any](ctx context.Context, cancel context.CancelFunc, stream receiver[M], handle func(M)) {
	defer cancel()
	silenceTimer := time.AfterFunc(messenger.StreamTimeout, cancel)
	defer silenceTimer.Stop()
	for ctx.Err() == nil {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		silenceTimer.Reset(messenger.StreamTimeout)
		handle(m)
	}
}

func (s *Server) handleEntryMessage(stream *driver.Stream, m *wire.FromEntry) {
	s.clock.Observe(encoder.DecodeStamp(m.GetStamp()))
	message, err := encoder.DecodeToControl(m)
	if err != nil {
		slog.Warn("invalid message from an entry dropped", "error", err)
		return
	}
	s.driver.EntryMessage(stream, message)
}

// write sends the queued messages to an entry, and a keepalive after an interval without any.
func (s *Server) write(ctx context.Context, stream *driver.Stream, client wire.Control_FollowServer) error {
	ticker := time.NewTicker(entryKeepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			alive := &wire.FromControl{Message: &wire.FromControl_Alive{Alive: &wire.Alive{}}}
			if err := client.Send(alive); err != nil {
				return err
			}
		case m := <-stream.Send:
			ticker.Reset(entryKeepaliveInterval)
			if err := s.send(client, m); err != nil {
				return err
			}
		}
	}
}

func (s *Server) send(client wire.Control_FollowServer, m messenger.ToEntry) error {
	encoded, err := s.encode(m)
	if err != nil {
		slog.Warn("message to an entry could not be encoded", "error", err)
		return nil
	}
	return client.Send(&wire.FromControl{Stamp: encoder.EncodeStamp(s.clock.Stamp()), Message: encoded.GetMessage()})
}

// encode returns the wire form of a message. A configuration is encoded once for all entries.
func (s *Server) encode(m messenger.ToEntry) (*wire.FromControl, error) {
	configured, ok := m.(messenger.Configuration)
	if !ok {
		return encoder.EncodeToEntry(m)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configured != nil && s.configured.GetConfigured().GetRevision() == configured.Revision {
		return s.configured, nil
	}
	encoded, err := encoder.EncodeToEntry(m)
	if err == nil {
		s.configured = encoded
	}
	return encoded, err
}

// Exchange receives the messages of another replica, and sends keepalives in return.
func (s *Server) Exchange(client wire.Control_ExchangeServer) error {
	ctx, cancel := context.WithCancel(client.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { receive(ctx, cancel, client, s.handlePeerMessages) })
	ticker := time.NewTicker(driver.AliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := client.Send(&wire.Alive{}); err != nil {
				return err
			}
		}
	}
}

func (s *Server) handlePeerMessages(m *wire.FromPeers) {
	s.clock.Observe(encoder.DecodeStamp(m.GetStamp()))
	messages := make([]messenger.ToPeer, 0, len(m.GetMessages()))
	for _, encoded := range m.GetMessages() {
		message, err := encoder.DecodeToPeer(encoded)
		if err != nil {
			slog.Warn("invalid message from a replica dropped", "error", err)
			continue
		}
		messages = append(messages, message)
	}
	s.driver.PeerMessage(messages)
}
