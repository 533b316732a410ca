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

// Options returns how the system's own connections are opened.
func Options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
