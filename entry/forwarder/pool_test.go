package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
)

// startEndpoint starts an endpoint that sends the same bytes for each request on each
// connection.
func startEndpoint(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn, response) })
		}
	})
	return listener.Addr().String()
}

func serve(conn net.Conn, response string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// TestConnectionsAreReusedOnlyWithoutUnreadBytes checks that bytes beyond a response never
// reach the next request, and that idle connections hold no buffer.
func TestConnectionsAreReusedOnlyWithoutUnreadBytes(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, responses string
		reused          bool
	}{
		{"complete response", complete, true},
		{"second response after it", complete + complete, false},
		{"stray bytes after it", complete + "x", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var group sync.WaitGroup
			p := &pool{address: startEndpoint(t, tt.responses), now: time.Now, group: &group}
			rule := balancer.ConnectionPolicy{MaxIdle: balancer.MaxIdleRepeatable, MaxOpen: 2}
			for i := range 3 {
				c, used, err := p.get(context.Background(), rule)
				assert.NilError(t, err)
				assert.Equal(t, used, tt.reused && i > 0)
				request, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/", nil)
				assert.NilError(t, err)
				response, _, _, err := c.roundTrip(outgoing{request, "/"}, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
				p.put(c)
				for _, idle := range p.idle {
					assert.Assert(t, idle.reader == nil)
				}
			}
			p.retire()
			assert.Equal(t, p.open, 0)
		})
	}
}
