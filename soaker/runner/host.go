package runner

import (
	"cmp"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"comfreyplank.org/bench/stager"
	"comfreyplank.org/soaker/checker"
	"comfreyplank.org/soaker/relayer"
)

// stopTimeout is how long a planned stop may take: the longest call (4 s), the handing over
// of leadership, and some seconds for processes that share a machine.
const stopTimeout = 12 * time.Second

// tornRecord is the beginning of a record that was never written to its end.
var tornRecord = []byte{0x7f, 0x03, 0x00, 0x00, 0x11}

// host is a process of the system, over all its lives.
type host struct {
	stage   *stager.Stage
	process *stager.Process
	check   *checker.Checker
	// relay is what other processes reach a replica through; nil for an entry.
	relay *relayer.Relay

	// lifecycleMu lets one kill or stop come after the other.
	lifecycleMu sync.Mutex

	mu      sync.Mutex
	running bool
	// incarnation counts the starts.
	incarnation int
	// stoppedAt is when the present life was asked to stop; zero while it was not. A stop
	// that something else disturbs is not graceful.
	stoppedAt   time.Time
	interrupted bool
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		return nil
	}
	if err := h.stage.StartProcess(h.process); err != nil {
		return err
	}
	h.running = true
	h.incarnation++
	h.stoppedAt = time.Time{}
	h.interrupted = false
	return nil
}

// state returns the present life, and whether the process runs.
func (h *host) state() (incarnation int, running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.running
}

// markInterrupted notes that something unplanned happens to the process.
func (h *host) markInterrupted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interrupted = true
}

// gracefulStop returns when a life was asked to stop, if it goes on without disturbance.
func (h *host) gracefulStop(incarnation int) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stoppedAt, h.incarnation == incarnation && !h.stoppedAt.IsZero() && !h.interrupted
}

// kill ends the process, lets something happen to its files, and starts it again.
func (h *host) kill(downtime time.Duration, whileDown func() error) error {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	h.markInterrupted()
	_ = h.process.Kill() // a process that has ended is reported by its log
	h.markDown()
	if err := whileDown(); err != nil {
		return err
	}
	time.Sleep(downtime)
	return h.start()
}

// stop stops the process as planned and starts it again.
func (h *host) stop(downtime time.Duration) error {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	if !h.isListening() {
		h.markInterrupted() // it has nothing to end gracefully, and no handler of the signal yet
	}
	h.mu.Lock()
	h.stoppedAt = time.Now()
	incarnation := h.incarnation
	h.mu.Unlock()
	if err := h.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(stopTimeout, func() { h.reportStuck(incarnation) })
	code := h.process.Wait()
	timer.Stop()
	if _, graceful := h.gracefulStop(incarnation); graceful && code != 0 {
		h.check.AddViolation("%s ended a planned stop with code %d", h.process.Name, code)
	}
	h.markDown()
	time.Sleep(downtime)
	return h.start()
}

// reportStuck reports a planned stop that does not end, and lets the process write what its
// goroutines wait for to its log as it is ended.
func (h *host) reportStuck(incarnation int) {
	if _, graceful := h.gracefulStop(incarnation); graceful {
		h.check.AddViolation("%s has not ended %s after its planned stop; see its log", h.process.Name, stopTimeout)
	}
	h.markInterrupted()
	_ = h.process.Signal(syscall.SIGQUIT) // it may just have ended
}

func (h *host) isListening() bool {
	conn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was asked on it
	return true
}

func (h *host) markDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
}

// pause freezes the process for a time, also while it stops.
func (h *host) pause(duration time.Duration) {
	incarnation, running := h.state()
	if !running {
		return
	}
	h.markInterrupted()
	_ = h.process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(duration)
	if now, _ := h.state(); now == incarnation {
		_ = h.process.Signal(syscall.SIGCONT) // as above
	}
}

// tearJournals appends the beginning of a record to each journal.
func (h *host) tearJournals() error {
	journals, err := filepath.Glob(filepath.Join(h.process.Data, "*", "journal"))
	if err != nil {
		return err
	}
	for _, path := range journals {
		if err := appendTornRecord(path); err != nil {
			return err
		}
	}
	return nil
}

func appendTornRecord(path string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(tornRecord)
	return cmp.Or(err, file.Close())
}
