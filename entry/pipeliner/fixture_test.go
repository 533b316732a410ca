package pipeliner_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/pipeliner"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/shell/completer"
)

// testTimeout is far longer than any test takes.
const testTimeout = 30 * time.Second

// server is a server as entries have it, with or without a pipeliner. It uses Unix sockets, as many tests would take all
// ports of the machine.
type server struct {
	http      *http.Server
	keeper    *keeper.Keeper
	pipeliner *pipeliner.Pipeliner
	address   string
	// ahead and discarded count what the pipeliner reports.
	ahead, discarded atomic.Int64
	// running counts the handlers that have not ended.
	running atomic.Int64

	mu sync.Mutex
	// runs holds the requests in the order in which handlers were called.
	runs []string
}

// RanAhead implements pipeliner.Counter.
func (s *server) RanAhead() { s.ahead.Add(1) }

// DiscardedAhead implements pipeliner.Counter.
func (s *server) DiscardedAhead() { s.discarded.Add(1) }

// timeouts of test servers.
var timeouts = keeper.Timeouts{Header: testTimeout, Idle: testTimeout}

// mayRunAhead is the route table of test servers: paths that begin with /alone aren't repeatable.
func mayRunAhead(_, _, path string) bool { return !strings.HasPrefix(path, "/alone") }

// newServer starts a server. Without a pipeliner it is the oracle.
func newServer(t testing.TB, pipelining bool, h http.HandlerFunc) *server {
	t.Helper()
	folder, err := os.MkdirTemp("", "pipeliner") // the names of t.TempDir are too long for sockets
	assert.NilError(t, err)
	s := &server{keeper: keeper.New(func() keeper.Timeouts { return timeouts }), address: filepath.Join(folder, "s")}
	l, err := net.Listen("unix", s.address)
	assert.NilError(t, err)
	var group sync.WaitGroup
	recorded := receiver.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		if _, measured := t.(*testing.B); !measured {
			s.noteRun(r)
		}
		h(w, r)
	}))
	s.http = &http.Server{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: testTimeout}
	s.keeper.Configure(s.http)
	inner := recorded
	if pipelining {
		start := func(run func()) {
			s.running.Add(1) // a discarded request may begin to run later
			group.Go(func() {
				defer s.running.Add(-1)
				run()
			})
		}
		s.pipeliner = pipeliner.New(start, mayRunAhead, pipeliner.WithCounter(s))
		s.pipeliner.Configure(s.http)
		l = s.pipeliner.Listener(l)
		inner = s.pipeliner.Handler(recorded)
	}
	s.http.Handler = completer.Handler(s.keeper.Handler(inner))
	group.Go(func() { assert.Check(t, errors.Is(s.http.Serve(s.keeper.Listener(l)), http.ErrServerClosed)) })
	t.Cleanup(func() {
		_ = s.http.Close() // it may have been shut down
		group.Wait()
		assert.Check(t, os.RemoveAll(folder))
		if pipelining {
			assert.Check(t, s.pipeliner.Waiting() == 0, "%d requests left", s.pipeliner.Waiting())
		}
	})
	return s
}

func (s *server) noteRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Mark")))
}

// ran returns the requests that handlers were called for, in order.
func (s *server) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// settle waits until nothing is served any more, and returns and forgets the requests that ran.
func (s *server) settle(t testing.TB) []string {
	t.Helper()
	busy := func() bool {
		return s.keeper.Serving() > 0 || s.running.Load() > 0 || s.pipeliner != nil && s.pipeliner.Waiting() > 0
	}
	for end := time.Now().Add(testTimeout); busy(); time.Sleep(100 * time.Microsecond) {
		assert.Assert(t, time.Now().Before(end), "%d are served, %d run", s.keeper.Serving(), s.running.Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	s.runs = nil
	return runs
}

func (s *server) dial(t testing.TB) *net.UnixConn {
	t.Helper()
	c, err := net.Dial("unix", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	if _, measured := t.(*testing.B); !measured {
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	}
	return c.(*net.UnixConn)
}

// date matches the header that differs between any two responses.
var date = regexp.MustCompile(`Date: [^\r]*\r\n`)

// exchange sends bytes in pieces, closes the sending side, and returns everything that the server has sent by the end of
// the connection, and whether that was reset.
func (s *server) exchange(t testing.TB, pieces ...[]byte) (received []byte, reset bool) {
	t.Helper()
	c := s.dial(t)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for _, p := range pieces {
			if _, err := c.Write(p); err != nil {
				return // the server has closed the connection
			}
		}
		_ = c.CloseWrite()
	})
	var got bytes.Buffer
	_, err := io.Copy(&got, c)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open after %q", got.Bytes())
	_ = c.Close()
	return date.ReplaceAll(got.Bytes(), nil), err != nil
}

// get returns a pipelined request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// respond is a handler that responds according to the path, without regard to the request's context.
func respond(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	begun := false
	for step := range strings.SplitSeq(r.RequestURI, "/") {
		name, value, _ := strings.Cut(step, ":")
		n, _ := strconv.Atoi(value)
		n = min(n, 100_000)
		switch name {
		case "sleep":
			time.Sleep(time.Duration(min(n, 200)) * time.Millisecond)
		case "status":
			if n >= 200 && n < 600 {
				w.WriteHeader(n)
				begun = true
			}
		case "length":
			w.Header().Set("Content-Length", value)
		case "close":
			w.Header().Set("Connection", "close")
		case "hints":
			w.Header().Set("Link", value)
			w.WriteHeader(http.StatusEarlyHints)
			clear(w.Header())
		case "write":
			begun = true
			if _, err := w.Write(bytes.Repeat([]byte("w"), n)); err != nil {
				return
			}
		case "flush":
			_ = http.NewResponseController(w).Flush()
		case "trailer":
			w.Header().Set(http.TrailerPrefix+"X-Trailer", value)
		case "type":
			w.Header()["Content-Type"] = nil
		case "abort":
			panic(http.ErrAbortHandler)
		case "empty":
			return
		case "end":
			if begun {
				return
			}
		}
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %q\n", r.Method, r.RequestURI, r.Header.Get("X-Mark"), body)
}
