package dispatcher

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessContinueIsRefusedAtOnce guards against an entry that reads `100 Continue` without end until the request's time is
// over, for each call to a faulty endpoint.
func TestEndlessContinueIsRefusedAtOnce(t *testing.T) {
	e := newEndlessEndpoint(t, "", "HTTP/1.1 100 Continue\r\n\r\n", false)
	f := newFixture(t)
	f.configureRoute(e.address)
	start := time.Now()
	got, _ := f.get(t.Context())
	assert.Equal(t, got, refused)
	assert.Assert(t, time.Since(start) < routeDeadline/2, "%s", time.Since(start))
}

// TestHeadsOfManyCallsAreBounded guards against an entry that runs out of memory with many calls to endpoints that send long
// heads and informational responses, and then nothing: all of it is kept until the calls end.
func TestHeadsOfManyCallsAreBounded(t *testing.T) {
	const calls = 100
	hints := "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("L: a\r\n", 9000) + "\r\n"
	tests := []struct{ name, first string }{
		{"informational responses", strings.Repeat(hints, 5)},
		{"many header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("L: a\r\n", 10000)},
		{"one long line", "HTTP/1.1 200 OK\r\nL: " + strings.Repeat("a", 60<<10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			address := startStalling(t, tt.first, &requests)
			f := newFixture(t)
			f.configureKinds(address)
			grown := mostHeap(calls, func(int) { f.get(t.Context()) })
			assert.Assert(t, grown <= calls*bytesOfAttempt, "the heap grew by %d bytes", grown)
			assert.Assert(t, requests.Load() >= calls*9/10, "only %d calls reached the endpoint", requests.Load())
			t.Logf("%d KiB a call", grown/calls>>10)
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// startStalling starts an endpoint that sends the same bytes to each request, and then nothing until the caller leaves. It counts
// the requests.
func startStalling(t *testing.T, first string, requests *atomic.Int64) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		requests.Add(1)
		if _, err := conn.Write([]byte(first)); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, reader) // until the entry closes
	})
}
