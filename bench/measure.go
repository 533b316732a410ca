package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/bench/loader"
	"comfreyplank.org/bench/stager"
)

// controlCommand measures the control replicas: their resource usage when idle, how soon a
// change is in effect, and how many claims per second they accept.
type controlCommand struct {
	Bin       string        `long:"bin" default:"bin" description:"folder of the programs"`
	Replicas  int           `long:"replicas" default:"3" description:"control replicas"`
	Entries   int           `long:"entries" default:"17" description:"entries"`
	Endpoints int           `long:"endpoints" default:"32" description:"endpoints, all announced from one process"`
	Rest      time.Duration `long:"rest" default:"15s" description:"how long to measure at rest"`
	Changes   int           `long:"changes" default:"50" description:"changes while all is calm"`
	Kills     int           `long:"kills" default:"4" description:"changes while the leader is killed"`
	Claims    time.Duration `long:"claims" default:"5s" description:"how long to claim keys"`
	Callers   int           `long:"callers" default:"64" description:"callers that claim at once"`
	Recovery  int           `long:"recovery" default:"0" description:"changes after which a replica is restarted"`
}

const (
	waitTimeout = 60 * time.Second
	// firstEndpoint is the first of a range of ports that the system doesn't use for outgoing
	// connections.
	firstEndpoint = "127.0.0.1:20000"
)

// newStage returns a stage whose files are in a new folder, and a function that ends its processes and
// removes the folder.
func newStage(bin string, replicas, entries int) (s *stager.Stage, remove func(), err error) {
	work, err := os.MkdirTemp("", "comfreyplank")
	if err != nil {
		return nil, nil, errors.Wrap(err, "make folder")
	}
	s, err = stager.New(bin, work, replicas, entries)
	if err != nil {
		_ = os.RemoveAll(work) // it is empty
		return nil, nil, err
	}
	return s, func() {
		s.Stop()
		_ = os.RemoveAll(work) // leftover temporary files do no harm
	}, nil
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	s, remove, err := newStage(c.Bin, c.Replicas, c.Entries)
	if err != nil {
		return err
	}
	defer remove()
	if err := s.AddStandin("rounds", "--first", firstEndpoint, "--count", strconv.Itoa(c.Endpoints), "--service-ms", "2", "--slots", "50"); err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	m := &measurement{stage: s, revision: 0}
	if err := m.awaitReady(); err != nil {
		return err
	}
	if err := m.awaitEndpoints(c.Endpoints); err != nil {
		return err
	}
	fmt.Printf("%d replicas, %d entries, %d endpoints\n", c.Replicas, c.Entries, c.Endpoints)
	m.measureIdle(c.Rest)
	if err := m.measureChanges(c.Changes); err != nil {
		return err
	}
	if err := m.measureLeaderKills(c.Kills); err != nil {
		return err
	}
	m.measureClaims(c.Claims, c.Callers)
	return m.measureRecovery(c.Recovery)
}

// measurement is a measurement in progress. Its revision is the newest that it applied.
type measurement struct {
	stage    *stager.Stage
	revision uint64
}

func (m *measurement) awaitReady() error {
	if err := m.applyChange(nil); err != nil {
		return err
	}
	for _, e := range m.stage.Entries {
		if err := stager.WaitUntil(waitTimeout, e.Ready); err != nil {
			return errors.Wrap(err, "entry "+e.Name)
		}
	}
	time.Sleep(8 * time.Second) // until the entries have their budget shares
	return nil
}

// awaitEndpoints waits until a replica knows all endpoints.
func (m *measurement) awaitEndpoints(n int) error {
	err := stager.WaitUntil(waitTimeout, func() bool { return m.stage.Controls[0].KnowsEndpoints(n) })
	return errors.Wrap(err, "endpoints")
}

// applyChange applies the next document at any replica except the given one, and waits until
// it is in effect.
func (m *measurement) applyChange(except *stager.Process) error {
	document := stager.Document(m.revision, fmt.Sprint("change-", m.revision))
	err := stager.WaitUntil(waitTimeout, func() bool {
		for _, c := range m.stage.Controls {
			if c == except {
				continue
			}
			if r, err := c.Apply(document); err == nil && r.Status == "in-force" {
				m.revision = r.Reply.Revision
				return true
			}
		}
		return false
	})
	return errors.Wrap(err, "change")
}

// usage holds the resources that a process has used since its start.
type usage struct {
	cpu   time.Duration
	bytes int64
}

func readUsage(pid int) usage {
	var u usage
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // fails only for an invalid pattern
	for _, path := range tasks {
		data, err := os.ReadFile(path)
		if err == nil {
			ns, _ := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
			u.cpu += time.Duration(ns)
		}
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)) // zero when it can't be read
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseInt(value, 10, 64)
			u.bytes += n
		}
	}
	return u
}

func residentSize(pid int) string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty when it can't be read
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmRSS:") {
			return strings.TrimSpace(strings.TrimPrefix(line, "VmRSS:"))
		}
	}
	return "?"
}

// measureIdle measures the resource usage of the processes without load.
func (m *measurement) measureIdle(d time.Duration) {
	processes := append(slices.Clone(m.stage.Controls), m.stage.Entries[0])
	before := make([]usage, len(processes))
	for i, p := range processes {
		before[i] = readUsage(p.Pid())
	}
	time.Sleep(d)
	for i, p := range processes {
		after := readUsage(p.Pid())
		cpu := 100 * (after.cpu - before[i].cpu).Seconds() / d.Seconds()
		rate := float64(after.bytes-before[i].bytes) / d.Seconds() / 1000
		fmt.Printf("rest  %-4s %.2f%% of a core, %.1f KB/s read and written, %s resident\n", p.Name, cpu, rate, residentSize(p.Pid()))
	}
}

func printSummary(name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	at := func(q float64) time.Duration {
		return times[min(len(times)-1, int(q*float64(len(times))))].Round(100 * time.Microsecond)
	}
	fmt.Printf("%s: n %d, p50 %v, p99 %v, worst %v\n", name, len(times), at(0.5), at(0.99), times[len(times)-1].Round(100*time.Microsecond))
}

func (m *measurement) measureChanges(n int) error {
	var times []time.Duration
	for range n {
		start := time.Now()
		if err := m.applyChange(nil); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	printSummary("in force, calm", times)
	return nil
}

// measureLeaderKills applies changes while the leader is killed. It measures how long a
// change then takes, and how long there is no leader.
func (m *measurement) measureLeaderKills(n int) error {
	if len(m.stage.Controls) < 3 {
		return nil
	}
	var inEffect, leaderless []time.Duration
	for range n {
		leader := m.stage.Leader()
		if leader == nil {
			return errors.New("no leader")
		}
		start := time.Now()
		if err := leader.Kill(); err != nil {
			return err
		}
		var group sync.WaitGroup
		group.Go(func() {
			if stager.WaitUntil(waitTimeout, func() bool { return m.stage.Leader() != nil }) == nil {
				leaderless = append(leaderless, time.Since(start))
			}
		})
		err := m.applyChange(leader)
		group.Wait()
		if err != nil {
			return err
		}
		inEffect = append(inEffect, time.Since(start))
		if err := m.stage.StartProcess(leader); err != nil {
			return err
		}
		time.Sleep(5 * time.Second) // until it follows the new leader
	}
	printSummary("in force, leader killed", inEffect)
	printSummary("without a leader", leaderless)
	return nil
}

// measureClaims sends once-only calls in parallel. Each caller sends its next call as soon as
// the one before has ended.
func (m *measurement) measureClaims(d time.Duration, callers int) {
	if d == 0 {
		return
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var times []time.Duration
	var failed atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	end := time.Now().Add(d)
	for i := range callers {
		e := m.stage.Entries[i%len(m.stage.Entries)]
		group.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				if !sendOnceOnly(client, e) {
					failed.Add(1)
					continue
				}
				mu.Lock()
				times = append(times, time.Since(start))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	fmt.Printf("once-only: %.0f answered a second, %d not\n", float64(len(times))/d.Seconds(), failed.Load())
	printSummary("once-only, claim and 2 ms of work", times)
	if failed.Load() > 0 {
		m.printFailureEvents()
	}
	for _, p := range m.stage.Controls {
		fmt.Printf("after %d claims %s has %s resident\n", len(times), p.Name, residentSize(p.Pid()))
	}
}

// printFailureEvents prints the events on the entries' timelines that may explain failed
// calls.
func (m *measurement) printFailureEvents() {
	for _, e := range m.stage.Entries {
		var timeline struct {
			Events []struct {
				Kind   string `json:"kind"`
				Detail string `json:"detail"`
			} `json:"events"`
		}
		if stager.Get("http://"+e.Admin+"/comfreyplank/v1/timeline", &timeline) != nil {
			continue
		}
		counts := make(map[string]int)
		for _, event := range timeline.Events {
			if event.Kind != "attempt-hedged" {
				counts[event.Kind+": "+event.Detail]++
			}
		}
		for what, n := range counts {
			if n > 1 || strings.HasPrefix(what, "standing") {
				fmt.Printf("%s %d times %s\n", e.Name, n, what)
			}
		}
	}
}

func sendOnceOnly(client *http.Client, e *stager.Process) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Listen+"/pledges/x", strings.NewReader("pack"))
	if err != nil {
		return false
	}
	r.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = loader.ReadBody(response)
	return err == nil && response.StatusCode == http.StatusOK
}

// measureRecovery kills a replica after many changes, and measures how long it takes to
// catch up after its restart.
func (m *measurement) measureRecovery(n int) error {
	if n == 0 {
		return nil
	}
	start := time.Now()
	for range n {
		if err := m.applyChange(nil); err != nil {
			return err
		}
	}
	fmt.Printf("%d changes one after the other took %v\n", n, time.Since(start).Round(time.Millisecond))
	p := m.stage.Controls[0]
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	p.Wait()
	start = time.Now()
	if err := m.stage.StartProcess(p); err != nil {
		return err
	}
	err := stager.WaitUntil(waitTimeout, func() bool {
		var status struct {
			Revision            uint64 `json:"revision"`
			InContactWithQuorum bool   `json:"hears-majority"`
		}
		return stager.Get("http://"+p.Admin+"/comfreyplank/v1/status", &status) == nil && status.InContactWithQuorum && status.Revision == m.revision
	})
	fmt.Printf("recovery after %d changes: %v\n", n, time.Since(start).Round(time.Millisecond))
	return err
}
