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

// stopBound is how long a planned stop may take: the longest call (4 s), the handing over
// of leadership, and some seconds for processes that share a machine.
const stopBound = 12 * time.Second

// tornBytes is the beginning of a record that was never written to its end.
var tornBytes = []byte{0x7f, 0x03, 0x00, 0x00, 0x11}

// host is a process of the system, over all its lives.
type host struct {
	stage   *stager.Stage
	process *stager.Process
	check   *checker.Checker
	// relay is what other processes reach a replica through; nil for an entry.
	relay *relayer.Relay

	// turns lets one kill or stop come after the other.
	turns sync.Mutex

	mu sync.Mutex
	up bool
	// life counts the starts.
	life int
	// stoppedAt is when the present life was asked to stop; zero while it was not. A stop
	// that something else disturbs is not graceful.
	stoppedAt time.Time
	disturbed bool
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		return nil
	}
	if err := h.stage.StartOne(h.process); err != nil {
		return err
	}
	h.up = true
	h.life++
	h.stoppedAt = time.Time{}
	h.disturbed = false
	return nil
}

// state returns the present life, and whether the process runs.
func (h *host) state() (life int, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life, h.up
}

// disturb notes that something unplanned happens to the process.
func (h *host) disturb() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = true
}

// stopping returns when a life was asked to stop, if it goes on without disturbance.
func (h *host) stopping(life int) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stoppedAt, h.life == life && !h.stoppedAt.IsZero() && !h.disturbed
}

// kill ends the process, lets something happen to its files, and starts it again.
func (h *host) kill(down time.Duration, meanwhile func() error) error {
	h.turns.Lock()
	defer h.turns.Unlock()
	h.disturb()
	_ = h.process.Kill() // a process that has ended is reported by its log
	h.down()
	if err := meanwhile(); err != nil {
		return err
	}
	time.Sleep(down)
	return h.start()
}

// stop stops the process as planned and starts it again.
func (h *host) stop(down time.Duration) error {
	h.turns.Lock()
	defer h.turns.Unlock()
	if !h.listens() {
		h.disturb() // it has nothing to end gracefully, and no handler of the signal yet
	}
	h.mu.Lock()
	h.stoppedAt = time.Now()
	life := h.life
	h.mu.Unlock()
	if err := h.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	late := time.AfterFunc(stopBound, func() { h.stuck(life) })
	code := h.process.Wait()
	late.Stop()
	if _, calm := h.stopping(life); calm && code != 0 {
		h.check.Violated("%s ended a planned stop with code %d", h.process.Name, code)
	}
	h.down()
	time.Sleep(down)
	return h.start()
}

// stuck reports a planned stop that does not end, and lets the process write what its
// goroutines wait for to its log as it is ended.
func (h *host) stuck(life int) {
	if _, calm := h.stopping(life); calm {
		h.check.Violated("%s has not ended %s after its planned stop; see its log", h.process.Name, stopBound)
	}
	h.disturb()
	_ = h.process.Signal(syscall.SIGQUIT) // it may just have ended
}

func (h *host) listens() bool {
	conn, err := net.DialTimeout("tcp", h.process.Listen, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was asked on it
	return true
}

func (h *host) down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = false
}

// pause freezes the process for a time, also while it stops.
func (h *host) pause(duration time.Duration) {
	life, up := h.state()
	if !up {
		return
	}
	h.disturb()
	_ = h.process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(duration)
	if now, _ := h.state(); now == life {
		_ = h.process.Signal(syscall.SIGCONT) // as above
	}
}

// tear appends the beginning of a record to each journal.
func (h *host) tear() error {
	journals, err := filepath.Glob(filepath.Join(h.process.Data, "*", "journal"))
	if err != nil {
		return err
	}
	for _, path := range journals {
		if err := appendTorn(path); err != nil {
			return err
		}
	}
	return nil
}

func appendTorn(path string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(tornBytes)
	return cmp.Or(err, file.Close())
}
