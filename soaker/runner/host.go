package runner

import (
	"cmp"
	"fmt"
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

// stopTimeout is how long a planned stop may take: the longest call (4 s), the transfer of
// leadership, and some seconds of slack for processes that share a machine.
const stopTimeout = 12 * time.Second

// tornRecord is the beginning of a record whose write was interrupted.
var tornRecord = []byte{0x7f, 0x03, 0x00, 0x00, 0x11}

// host runs one process of the system and restarts it after faults.
type host struct {
	stage   *stager.Stage
	process *stager.Process
	check   *checker.Checker
	// relay is the relay through which other processes reach a replica; nil for an entry.
	relay *relayer.Relay

	// lifecycleMu serialises kills and stops.
	lifecycleMu sync.Mutex

	mu      sync.Mutex
	running bool
	// incarnation counts the starts of the process.
	incarnation int
	// stoppedAt is when the current incarnation received the stop signal, or zero.
	// interrupted is set if a fault hits the incarnation; its stop need not be graceful then.
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

// state returns the current incarnation, and whether the process runs.
func (h *host) state() (incarnation int, running bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.running
}

// markInterrupted records that a fault hits the current incarnation.
func (h *host) markInterrupted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interrupted = true
}

// gracefulStop returns when an incarnation received the stop signal. The result is false if
// it is not current, received no signal or was hit by a fault.
func (h *host) gracefulStop(incarnation int) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stoppedAt, h.incarnation == incarnation && !h.stoppedAt.IsZero() && !h.interrupted
}

// kill kills the process, calls whileDown, and starts the process again.
func (h *host) kill(down time.Duration, whileDown func() error) error {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	h.markInterrupted()
	_ = h.process.Kill() // if the process has ended by itself, checkLogs reports it
	h.down()
	if err := whileDown(); err != nil {
		return err
	}
	time.Sleep(down)
	return h.start()
}

// stop stops the process gracefully and starts it again.
func (h *host) stop(down time.Duration) error {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	if !h.isListening() {
		h.markInterrupted() // it has no calls to complete, and perhaps no signal handler yet
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
	h.down()
	time.Sleep(down)
	return h.start()
}

// reportStuck reports a planned stop that does not end. It ends the process with SIGQUIT, so
// that the stacks of its goroutines are in its log.
func (h *host) reportStuck(incarnation int) {
	if _, graceful := h.gracefulStop(incarnation); graceful {
		h.check.AddViolation("%s has not ended %s after its planned stop; see its log", h.process.Name, stopTimeout)
	}
	h.markInterrupted()
	h.signal(incarnation, syscall.SIGQUIT)
}

// signal sends a signal to an incarnation, unless that has ended. It holds the lock meanwhile, so that the next
// incarnation can't start and get the signal instead.
func (h *host) signal(incarnation int, signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running && h.incarnation == incarnation {
		_ = h.process.Signal(signal) // the process may just have ended
	}
}

func (h *host) isListening() bool {
	conn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// down records that the process doesn't run.
func (h *host) down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
}

// processID identifies one process of a host.
func processID(h *host, incarnation int) string {
	return fmt.Sprintf("%s/%d", h.process.Name, incarnation)
}

// pause freezes the process for the given duration, possibly during a stop.
func (h *host) pause(duration time.Duration) {
	incarnation, running := h.state()
	if !running {
		return
	}
	h.markInterrupted()
	h.check.Excused(time.Now(), processID(h, incarnation))
	defer func() { h.check.Excused(time.Now(), processID(h, incarnation)) }()
	h.signal(incarnation, syscall.SIGSTOP)
	time.Sleep(duration)
	h.signal(incarnation, syscall.SIGCONT)
}

// tearJournals appends an incomplete record to each journal.
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
