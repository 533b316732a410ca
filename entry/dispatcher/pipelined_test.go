package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/pipeliner"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/shell/completer"
)

// startPipeliningServer serves callers as an entry with pipelining does.
func startPipeliningServer(t *testing.T, d *Dispatcher) *httptest.Server {
	t.Helper()
	var group sync.WaitGroup
	k := keeper.New(d.Timeouts)
	p := pipeliner.New(group.Go, d.MayRunAhead)
	server := httptest.NewUnstartedServer(completer.Handler(k.Handler(p.Handler(receiver.Handler(d)))))
	server.Listener = k.Listener(p.Listener(server.Listener))
	k.Configure(server.Config)
	p.Configure(server.Config)
	server.Start()
	t.Cleanup(func() {
		server.Close()
		group.Wait()
	})
	return server
}

// TestPipelinedCallsRunConcurrently guards against calls on repeatable routes that wait for the one before them on their
// connection, against long responses that are mixed up, and against a POST that runs beside other calls.
func TestPipelinedCallsRunConcurrently(t *testing.T) {
	const took = 150 * time.Millisecond
	long := strings.Repeat("long ", 50_000)
	var running, peak, beside atomic.Int64
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		peak.Store(max(peak.Load(), n))
		defer running.Add(-1)
		time.Sleep(took)
		if r.Method == http.MethodPost && n > 1 {
			beside.Add(1)
		}
		_, _ = io.WriteString(w, r.URL.Path)
		if strings.HasPrefix(r.URL.Path, "/long") {
			_, _ = io.WriteString(w, long)
		}
	})
	f := newFixture(t, address)
	server := startPipeliningServer(t, f.Dispatcher)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	paths := []string{"/a", "/long/1", "/b", "/long/2", "/post", "/c", "/d"}
	var text strings.Builder
	for _, path := range paths {
		if path == "/post" {
			text.WriteString("POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
			continue
		}
		text.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err = io.WriteString(conn, text.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, path)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err, path)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		want := path
		if strings.HasPrefix(path, "/long") {
			want += long
		}
		assert.Assert(t, string(body) == want, "%s: %d bytes", path, len(body))
	}
	assert.Assert(t, peak.Load() > 1)
	assert.Equal(t, beside.Load(), int64(0))
}
