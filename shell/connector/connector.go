// Package connector configures the gRPC connections between the processes of the system.
package connector

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// DialTimeout limits the time to establish a connection. It allows for several round trips
// between the most distant data centres. The kernel retransmits a lost SYN packet only after a
// second, so dialling again connects earlier once the peer has started.
const DialTimeout = 250 * time.Millisecond

// windowBytes is the flow control window of connections. It is larger than the
// bandwidth-delay product of a fast link between data centres. A fixed window disables gRPC's
// bandwidth estimation, which sends an additional message in reply to each message.
const windowBytes = 1 << 20

// ServerOptions returns the options of gRPC servers.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes)}
}

// DialOptions returns the options of gRPC clients.
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
