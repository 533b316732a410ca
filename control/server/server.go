// Package server serves the streams of entries and of other replicas.
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
	// handshakeTimeout is how long a new connection may take to begin its protocol: many
	// round trips between the farthest data centres. A planned stop waits for it.
	handshakeTimeout = 2 * time.Second
	// entryAliveInterval is how long an entry hears nothing before it gets a sign of life.
	// The answers to its beats come more often.
	entryAliveInterval = messenger.HeartbeatInterval + 50*time.Millisecond
)

// Server serves the wire protocol of a replica.
type Server struct {
	wire.UnimplementedControlServer
	driver *driver.Driver
	clock  driver.Clock

	mu sync.Mutex
	// configured is the wire form of the latest configuration that was sent: all entries
	// get the same.
	configured *wire.FromControl
}

// New returns the protocol server of a replica.
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
	group.Go(func() { read(ctx, cancel, client, func(m *wire.FromEntry) { s.fromEntry(stream, m) }) })
	return s.write(ctx, stream, client)
}

// receiver is the reading half of a stream.
type receiver[M any] interface{ Recv() (M, error) }

// read hands in what comes on a stream, and ends it when nothing comes for long.
func read[M any](ctx context.Context, cancel context.CancelFunc, stream receiver[M], take func(M)) {
	defer cancel()
	silence := time.AfterFunc(messenger.StreamTimeout, cancel)
	defer silence.Stop()
	for ctx.Err() == nil {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(messenger.StreamTimeout)
		take(m)
	}
}

func (s *Server) fromEntry(stream *driver.Stream, m *wire.FromEntry) {
	s.clock.Observe(encoder.DecodeStamp(m.GetStamp()))
	message, err := encoder.DecodeToControl(m)
	if err != nil {
		slog.Warn("message of an entry dropped", "error", err)
		return
	}
	s.driver.EntrySaid(stream, message)
}

// write sends what waits for an entry, and a sign of life when nothing does.
func (s *Server) write(ctx context.Context, stream *driver.Stream, client wire.Control_FollowServer) error {
	ticker := time.NewTicker(entryAliveInterval)
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
			ticker.Reset(entryAliveInterval)
			if err := s.send(client, m); err != nil {
				return err
			}
		}
	}
}

func (s *Server) send(client wire.Control_FollowServer, m messenger.ToEntry) error {
	encoded, err := s.encode(m)
	if err != nil {
		slog.Warn("message to an entry dropped", "error", err)
		return nil
	}
	return client.Send(&wire.FromControl{Stamp: encoder.EncodeStamp(s.clock.Stamp()), Message: encoded.GetMessage()})
}

// encode returns the wire form of a message; that of a configuration is made once.
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

// Exchange takes the messages of another replica, and returns signs of life.
func (s *Server) Exchange(client wire.Control_ExchangeServer) error {
	ctx, cancel := context.WithCancel(client.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { read(ctx, cancel, client, s.fromPeer) })
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

func (s *Server) fromPeer(m *wire.FromPeers) {
	s.clock.Observe(encoder.DecodeStamp(m.GetStamp()))
	messages := make([]messenger.ToPeer, 0, len(m.GetMessages()))
	for _, encoded := range m.GetMessages() {
		message, err := encoder.DecodeToPeer(encoded)
		if err != nil {
			slog.Warn("message of a replica dropped", "error", err)
			continue
		}
		messages = append(messages, message)
	}
	s.driver.PeerSaid(messages)
}
