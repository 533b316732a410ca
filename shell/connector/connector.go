// Package connector opens the connections between the system's own processes.
package connector

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// DialTimeout is how long a connection may take to open: some round trips between the
// farthest data centres. The system repeats a lost opening packet only after a second,
// so a new connection is sooner there once the other end has come up.
const DialTimeout = 250 * time.Millisecond

// windowBytes is how much may be on its way on a connection: more than a wide link holds
// between data centres. A fixed window spares the probing of the link, which answers each
// message with one of its own.
const windowBytes = 1 << 20

// ServerOptions returns how the system's own connections are served.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes)}
}

// DialOptions returns how the system's own connections are opened.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
