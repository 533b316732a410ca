package dater

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsAreDatedByTheirConnections guards against an order that is taken for a new one, though it may have been sent
// long before it was read.
func TestRequestsAreDatedByTheirConnections(t *testing.T) {
	epoch := time.Unix(1000, 0)
	var elapsed atomic.Int64
	since := make(chan time.Duration, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since <- Since(r).Sub(epoch)
		if r.URL.Path == "/last" {
			CloseAfterResponse(w)
		}
	}))
	New(func() time.Time { return epoch.Add(time.Duration(elapsed.Load())) }).Observe(s.Config)
	s.Start()
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	responses := bufio.NewReader(conn)
	tests := []struct {
		path    string
		waitFor time.Duration
		since   time.Duration
		close   bool
	}{
		{"/first", 3 * time.Second, 0, false},
		{"/second", 2 * time.Second, 3 * time.Second, false},
		{"/last", time.Second, 5 * time.Second, true},
	}
	for _, tt := range tests {
		time.Sleep(50 * time.Millisecond) // the connection has been accepted, or is idle
		elapsed.Add(int64(tt.waitFor))
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", tt.path)
		assert.NilError(t, err)
		assert.Equal(t, <-since, tt.since, tt.path)
		response, err := http.ReadResponse(responses, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Close, tt.close, tt.path)
	}
}
