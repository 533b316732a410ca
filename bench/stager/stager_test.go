package stager

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// testTimeout is far longer than any wait in these tests should take, since none of them
// tests how long something takes.
const testTimeout = 60 * time.Second

var bin string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "comfreyplank")
	if err != nil {
		panic(err)
	}
	bin = folder
	if err := Build("../..", bin, "./entry", "./control", "./standin"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func startStage(t *testing.T, entries, standins int) *Stage {
	t.Helper()
	s, err := New(bin, t.TempDir(), 3, entries)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			s.keepEvidence(t)
		}
		s.Stop()
	})
	for range standins {
		assert.NilError(t, s.AddStandin("rounds"))
	}
	assert.NilError(t, s.Start())
	s.apply(t, Document(0, "first"))
	s.awaitReady(t)
	return s
}

// keepEvidence keeps the logs, the statuses and the event timelines of a stage whose test has failed, as t.TempDir
// removes them with the test.
func (s *Stage) keepEvidence(t *testing.T) {
	t.Helper()
	folder, err := os.MkdirTemp("", "comfreyplank-"+t.Name()+"-")
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("the evidence is in %s", folder)
	logs, err := filepath.Glob(filepath.Join(s.Work, "*.log"))
	if err != nil {
		t.Log(err)
	}
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, filepath.Base(log)), data, 0o600)
		}
		if err != nil {
			t.Log(err)
		}
	}
	for _, p := range s.Controls {
		keepPages(t, folder, p, "status", "timeline")
	}
	for _, p := range s.Entries {
		keepPages(t, folder, p, "timeline")
	}
}

// keepPages keeps pages of a process, or logs why it can't.
func keepPages(t *testing.T, folder string, p *Process, pages ...string) {
	t.Helper()
	for _, page := range pages {
		if err := p.KeepPage(folder, page); err != nil {
			t.Logf("%s of %s: %v", page, p.Name, err)
		}
	}
}

// awaitReady waits until every entry is ready and every replica knows all endpoints.
func (s *Stage) awaitReady(t *testing.T) {
	t.Helper()
	for _, e := range s.Entries {
		assert.NilError(t, WaitUntil(testTimeout, e.Ready))
	}
	for _, c := range s.Controls {
		assert.NilError(t, WaitUntil(testTimeout, func() bool { return c.KnowsEndpoints(len(s.Standins)) }))
	}
}

// apply sends a change to one replica after the other until it is in effect or refused.
func (s *Stage) apply(t *testing.T, document []byte) Result {
	t.Helper()
	var last Result
	err := WaitUntil(testTimeout, func() bool {
		for _, c := range s.Controls {
			r, err := c.Apply(document)
			if err == nil && (r.Status == "in-force" || r.Status == "refused") {
				last = r
				return true
			}
		}
		return false
	})
	assert.NilError(t, err)
	return last
}

func (s *Stage) revision(t *testing.T) uint64 {
	t.Helper()
	var response struct {
		Revision  uint64 `json:"revision"`
		Confirmed bool   `json:"confirmed"`
	}
	assert.NilError(t, WaitUntil(testTimeout, func() bool {
		for _, c := range s.Controls {
			if Get("http://"+c.Admin+"/comfreyplank/v1/document", &response) == nil && response.Confirmed {
				return true
			}
		}
		return false
	}))
	return response.Revision
}

func (s *Stage) leader(t *testing.T) *Process {
	t.Helper()
	var found *Process
	assert.NilError(t, WaitUntil(testTimeout, func() bool {
		found = s.Leader()
		return found != nil
	}))
	return found
}

// sendOnceOnly sends a once-only call and returns its status and outcome.
func sendOnceOnly(e *Process, key string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Listen+"/pledges/x", strings.NewReader("pack"))
	if err != nil {
		return 0, ""
	}
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "broken"
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Comfreyplank-Outcome")
}

func TestKilledReplicasKeepAcceptedChanges(t *testing.T) {
	s := startStage(t, 2, 2)
	for i := uint64(1); i <= 6; i++ {
		victim := s.Controls[int(i)%3]
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, victim.Kill()) }) // during the change
		r := s.apply(t, Document(i, fmt.Sprint("change-", i)))
		group.Wait()
		assert.Equal(t, r.Status, "in-force")
		assert.Equal(t, r.Reply.Revision, i+1)
		assert.NilError(t, s.StartProcess(victim))
	}
	assert.Equal(t, s.revision(t), uint64(7))
	again := s.apply(t, Document(3, "change-3"))
	assert.Equal(t, again.Reply.Revision, uint64(4))
	late := s.apply(t, Document(3, "too-late"))
	assert.Equal(t, late.Status, "refused")
}

func TestWipedReplicaIsRepairedBeforeAnotherFails(t *testing.T) {
	s := startStage(t, 2, 2)
	wiped := s.Controls[0]
	assert.NilError(t, wiped.Kill())
	assert.NilError(t, os.RemoveAll(wiped.Data))
	assert.NilError(t, s.StartProcess(wiped))
	s.apply(t, Document(1, "second"))
	s.awaitRepaired(t, wiped, 2)
	assert.NilError(t, s.Controls[1].Kill())
	assert.Equal(t, s.revision(t), uint64(2))
	r := s.apply(t, Document(2, "third"))
	assert.Equal(t, r.Reply.Revision, uint64(3))
}

// awaitRepaired waits until a replica reports that both logs have three voters, and holds the revision.
func (s *Stage) awaitRepaired(t *testing.T, replica *Process, revision uint64) {
	t.Helper()
	assert.NilError(t, WaitUntil(testTimeout, func() bool {
		var status struct {
			Members []struct {
				Voter bool `json:"voter"`
			} `json:"members"`
			ClaimsMembers []struct {
				Voter bool `json:"voter"`
			} `json:"claims-members"`
			Revision uint64 `json:"revision"`
		}
		if Get("http://"+replica.Admin+"/comfreyplank/v1/status", &status) != nil || len(status.Members) != 3 || len(status.ClaimsMembers) != 3 {
			return false
		}
		for i := range 3 {
			if !status.Members[i].Voter || !status.ClaimsMembers[i].Voter {
				return false
			}
		}
		return status.Revision == revision
	}))
}

// TestDamagedReplicaRejoinsAsAnEmptyOne guards against a replica that goes on from a damaged disk, or can't be brought
// back: it refuses to start and says what to do, and that works.
func TestDamagedReplicaRejoinsAsAnEmptyOne(t *testing.T) {
	s := startStage(t, 1, 1)
	damaged := s.Controls[0]
	assert.NilError(t, damaged.Kill())
	flipBit(t, filepath.Join(damaged.Data, "config", "journal"))
	assert.NilError(t, s.StartProcess(damaged))
	assert.Equal(t, damaged.Wait(), 1)
	log, err := os.ReadFile(filepath.Join(s.Work, damaged.Name+".log"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(log), "--set-aside-damaged"), string(log))

	args := damaged.Args
	damaged.Args = append(slices.Clone(args), "--set-aside-damaged")
	assert.NilError(t, s.StartProcess(damaged))
	assert.Equal(t, damaged.Wait(), 0)
	damaged.Args = args
	assert.NilError(t, s.StartProcess(damaged))
	s.apply(t, Document(1, "second"))
	s.awaitRepaired(t, damaged, 2)
}

// flipBit changes a bit in the middle of a file.
func flipBit(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func TestFrozenLeaderDoesNotRevertChanges(t *testing.T) {
	s := startStage(t, 2, 2)
	frozen := s.leader(t)
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	r := s.applyExcept(t, frozen, Document(1, "second"))
	assert.Equal(t, r.Reply.Revision, uint64(2))
	for _, e := range s.Entries {
		assert.NilError(t, WaitUntil(testTimeout, e.Ready))
	}
	assert.NilError(t, frozen.Signal(syscall.SIGCONT))
	late, err := frozen.Apply(Document(1, "stale"))
	assert.NilError(t, err)
	assert.Assert(t, late.Status != "in-force", late.Status)
	assert.Equal(t, s.revision(t), uint64(2))
}

func (s *Stage) applyExcept(t *testing.T, frozen *Process, document []byte) Result {
	t.Helper()
	rest := Stage{}
	for _, c := range s.Controls {
		if c != frozen {
			rest.Controls = append(rest.Controls, c)
		}
	}
	return rest.apply(t, document)
}

// TestOnceOnlyCallsRunOnceDespiteKills sends each key several times, each time to another
// entry, while replicas, entries and endpoints are killed.
func TestOnceOnlyCallsRunOnceDespiteKills(t *testing.T) {
	s := startStage(t, 3, 3)
	var mu sync.Mutex
	answered := map[string]bool{}
	refused := map[string]bool{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := uuid.Must(uuid.NewV7()).String()
				allNotRun := true
				for try := range 3 {
					status, outcome := sendOnceOnly(s.Entries[(c+n+try)%3], key)
					mu.Lock()
					if status == http.StatusOK {
						answered[key] = true
					}
					allNotRun = allNotRun && outcome == "not-run"
					mu.Unlock()
				}
				mu.Lock()
				refused[key] = allNotRun
				mu.Unlock()
			}
		})
	}
	victims := []*Process{s.leader(t), s.Entries[0], s.Standins[0], s.Controls[1], s.Entries[1], s.Standins[1]}
	for _, v := range victims {
		assert.NilError(t, v.Kill())
		time.Sleep(700 * time.Millisecond) // lets callers run into the failure
		assert.NilError(t, s.StartProcess(v))
		time.Sleep(300 * time.Millisecond) // and into the recovery
	}
	close(stop)
	callers.Wait()
	runs, err := s.Runs()
	assert.NilError(t, err)
	for key, n := range runs {
		assert.Check(t, n == 1, "key %s ran %d times", key, n)
		assert.Check(t, !refused[key], "key %s ran, and each of its calls was refused as not run", key)
	}
	for key := range answered {
		assert.Check(t, runs[key] == 1, "key %s was answered and ran %d times", key, runs[key])
	}
	assert.Assert(t, len(answered) > 20, "only %d keys were answered", len(answered))
}

func TestPlannedStopDoesNotInterruptCalls(t *testing.T) {
	s, err := New(bin, t.TempDir(), 1, 2)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.AddStandin("rounds", "--service-ms", "800", "--spread", "0", "--slots", "50"))
	assert.NilError(t, s.Start())
	s.apply(t, Document(0, "first"))
	s.awaitReady(t)
	stopped := s.Entries[0]
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond) // spreads the calls over the stop
			response, err := http.Get("http://" + stopped.Listen + "/rounds/x")
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			assert.Check(t, err)
			assert.Check(t, response.StatusCode == http.StatusOK, "%d", response.StatusCode)
		})
	}
	time.Sleep(250 * time.Millisecond) // lets some calls be in flight
	assert.NilError(t, stopped.Signal(syscall.SIGTERM))
	assert.NilError(t, WaitUntil(testTimeout, func() bool { return !stopped.Ready() }))
	group.Wait()
	assert.Equal(t, stopped.Wait(), 0)
	assert.NilError(t, s.Controls[0].Signal(syscall.SIGTERM))
	assert.Equal(t, s.Controls[0].Wait(), 0)
}
