package stager

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of the planned stop in these tests.
const (
	stopNotice = time.Second
	stopGrace  = 4 * time.Second
	// workTime is how long an endpoint works on a request: a request that comes late in the stop
	// would outlast it.
	workTime = 3500 * time.Millisecond
	// killMargin is how long after the end of its time the platform kills a process: what a busy
	// machine needs to end one.
	killMargin = 200 * time.Millisecond
)

// documentWithDeadline returns a document with one route.
func documentWithDeadline(deadline time.Duration) []byte {
	return fmt.Appendf(nil, `{"base-revision":0,"change-id":"first","entries":24,"services":[{"name":"rounds","routes":[
		{"path-prefix":"/rounds","deadline-ms":%d,"class":"interactive"}],"queue-limit":200,"retry-percent":10,"probe-ms-per-second":50,"probe-bytes-per-second":20000}]}`, deadline.Milliseconds())
}

// caller keeps a connection to an entry.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, p *Process) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", p.Listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{conn, bufio.NewReader(conn)}
}

// get sends a request and returns the status and outcome of its complete response.
func (c *caller) get(path string) (status int, outcome string, err error) {
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Comfreyplank-Outcome"), err
}

// TestRequestsLateInAStopAreNotCut guards against requests that a planned stop takes on kept connections
// although they can't end in its time: they were cut off as the platform killed the process. The parts of
// the stop took longer together than the notice and the grace time.
func TestRequestsLateInAStopAreNotCut(t *testing.T) {
	s, err := New(bin, t.TempDir(), 1, 1)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	stopped := s.Entries[0]
	stopped.Args = append(stopped.Args, "--notice", stopNotice.String(), "--grace", stopGrace.String())
	for range 6 { // a cold endpoint gets a few requests at a time
		assert.NilError(t, s.AddStandin("rounds", "--service-ms", fmt.Sprint(workTime.Milliseconds()), "--spread", "0", "--slots", "100"))
	}
	assert.NilError(t, s.Start())
	assert.Equal(t, s.apply(t, documentWithDeadline(10*time.Second)).Status, "in-force")
	s.awaitReady(t)
	const kept = 24
	callers := make([]*caller, kept)
	for i := range callers {
		callers[i] = connect(t, stopped)
		status, _, err := callers[i].get("/comfreyplank/live")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	stoppedAt := time.Now()
	assert.NilError(t, stopped.Signal(syscall.SIGTERM))
	var group sync.WaitGroup
	for i, c := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 80 * time.Millisecond) // from the signal to the end of the idle wait
			sent := time.Since(stoppedAt)
			status, outcome, err := c.get("/rounds/x")
			answered := err == nil && (status == http.StatusOK || (status == http.StatusServiceUnavailable && outcome == "not-run"))
			assert.Check(t, answered, "sent %s after the signal: status %d, outcome %q, %v", sent, status, outcome, err)
		})
	}
	ended := make(chan int, 1)
	group.Go(func() { ended <- stopped.Wait() })
	select {
	case code := <-ended:
		assert.Equal(t, code, 0)
	case <-time.After(time.Until(stoppedAt.Add(stopNotice + stopGrace + killMargin))):
		assert.Check(t, stopped.Signal(syscall.SIGKILL))
		t.Errorf("the entry still runs %s after the signal", time.Since(stoppedAt))
	}
	group.Wait()
}

// TestSignalsDuringAStopAreIgnored guards against a stop that is cut short by a further signal: a second
// SIGTERM, or a SIGHUP.
func TestSignalsDuringAStopAreIgnored(t *testing.T) {
	s, err := New(bin, t.TempDir(), 1, 1)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	stopped := s.Entries[0]
	assert.NilError(t, s.AddStandin("rounds", "--service-ms", "1500", "--spread", "0"))
	assert.NilError(t, s.Start())
	assert.Equal(t, s.apply(t, documentWithDeadline(10*time.Second)).Status, "in-force")
	s.awaitReady(t)
	c := connect(t, stopped)
	var group sync.WaitGroup
	group.Go(func() {
		status, _, err := c.get("/rounds/x")
		assert.Check(t, err)
		assert.Check(t, status == http.StatusOK, "%d", status)
	})
	time.Sleep(200 * time.Millisecond) // lets the request be in flight
	for _, process := range []*Process{stopped, s.Controls[0]} {
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
			assert.NilError(t, process.Signal(signal))
			time.Sleep(100 * time.Millisecond)
		}
		if process == stopped {
			group.Wait()
		}
		assert.Equal(t, process.Wait(), 0, process.Name)
	}
}
