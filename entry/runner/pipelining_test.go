package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/server"
)

// TestStopAnswersPipelinedRequests guards against a planned stop that ends while pipelined requests which were started
// ahead have no response: the HTTP server's own shutdown closes a connection after its next response.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	// The stop waits for an idle moment for a quarter of the grace time; the first request outlasts that.
	const notice, grace, slow = 50 * time.Millisecond, 4 * time.Second, 1500 * time.Millisecond
	former := prometheus.DefaultRegisterer
	prometheus.DefaultRegisterer = prometheus.NewRegistry() // an entry registers its metrics once for each process
	defer func() { prometheus.DefaultRegisterer = former }()
	var started sync.WaitGroup
	started.Add(3)
	work := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Done()
		if r.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	settings := Settings{Name: "e", DataCentre: "d", Listen: freeAddress(t), Admin: freeAddress(t), Control: []string{freeAddress(t)}, ShutdownNotice: notice, Grace: grace}
	r := New(settings, WithPipelining(), WithPublicHandler(func(s *server.Server, _ http.Handler) http.Handler { return s.Calls(work) }))
	r.dispatcher.Configure(validator.Document{Services: []validator.Service{{Name: "s", Routes: []validator.Route{{PathPrefix: "/", DeadlineMs: 5000}}}}})
	stop, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { assert.Check(t, r.Run(stop)) })

	conn := dial(t, settings.Listen)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	var requests strings.Builder
	for _, path := range []string{"/slow", "/a", "/b"} {
		_, _ = requests.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err := io.WriteString(conn, requests.String())
	assert.NilError(t, err)
	started.Wait()
	cancel()
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/slow", "/a", "/b"} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, path)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), path)
	}
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// freeAddress returns an address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// dial connects to an entry that is starting.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}
