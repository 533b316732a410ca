// Package stager runs the programs of the system on loopback for tests that end or
// freeze real processes.
package stager

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrTimeout is returned when what was waited for did not come.
var ErrTimeout = errors.New("it did not come in time")

const pollInterval = 20 * time.Millisecond

// Stage holds processes and their files.
type Stage struct {
	// Bin is the folder of the programs, Work that of data and logs.
	Bin, Work string
	Controls  []*Process
	Entries   []*Process
	Standins  []*Process
	peers     []string
}

// Process is one process of the stage.
type Process struct {
	Name string
	// Listen and Admin are its addresses.
	Listen, Admin string
	// Data is its folder, if it has one.
	Data string
	// Path and Args are the program and its arguments.
	Path string
	Args []string
	log  *os.File
	cmd  *exec.Cmd
}

// New returns a stage with replicas and entries that have not been started.
func New(bin, work string, controls, entries int) (*Stage, error) {
	s := &Stage{Bin: bin, Work: work}
	for i := range controls {
		p, err := s.newProcess("control", fmt.Sprint("c", i+1))
		if err != nil {
			return nil, err
		}
		p.Data = filepath.Join(work, p.Name)
		s.Controls = append(s.Controls, p)
		s.peers = append(s.peers, "--peer", p.Name+"="+p.Listen)
	}
	for _, p := range s.Controls {
		p.Args = append([]string{"--name", p.Name, "--listen", p.Listen, "--admin", p.Admin, "--data", p.Data}, s.peers...)
	}
	for i := range entries {
		p, err := s.newProcess("entry", fmt.Sprint("e", i+1))
		if err != nil {
			return nil, err
		}
		p.Args = []string{"--name", p.Name, "--data-centre", "dc-1", "--listen", p.Listen, "--admin", p.Admin, "--notice", "300ms"}
		for _, c := range s.Controls {
			p.Args = append(p.Args, "--control", c.Listen)
		}
		s.Entries = append(s.Entries, p)
	}
	return s, nil
}

func (s *Stage) newProcess(program, name string) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, Listen: listen, Admin: admin, Path: filepath.Join(s.Bin, program)}, nil
}

// AddStandin adds a stand-in endpoint that records its runs in a file.
func (s *Stage) AddStandin(service string, args ...string) error {
	p, err := s.newProcess("standin", fmt.Sprintf("%s-%d", service, len(s.Standins)+1))
	if err != nil {
		return err
	}
	p.Data = filepath.Join(s.Work, p.Name+".runs")
	p.Args = append([]string{"--service", service, "--name", p.Name, "--first", p.Listen, "--record", p.Data}, args...)
	for _, e := range s.Entries {
		p.Args = append(p.Args, "--entry", e.Listen)
	}
	s.Standins = append(s.Standins, p)
	return nil
}

// Start starts all processes.
func (s *Stage) Start() error {
	for _, group := range [][]*Process{s.Controls, s.Entries, s.Standins} {
		for _, p := range group {
			if err := s.StartProcess(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartProcess starts a process, or starts it again.
func (s *Stage) StartProcess(p *Process) error {
	log, err := os.OpenFile(filepath.Join(s.Work, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	p.log = log
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	return errors.Wrap(p.cmd.Start(), "start "+p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(signal), "signal "+p.Name)
}

// Pid returns the number of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Wait waits for the process to end and returns its exit code.
func (p *Process) Wait() int {
	_ = p.cmd.Wait() // the state tells
	_ = p.log.Close()
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	p.Wait()
	return err
}

// Stop ends every process that runs.
func (s *Stage) Stop() {
	for _, group := range [][]*Process{s.Standins, s.Entries, s.Controls} {
		for _, p := range group {
			if p.cmd != nil && p.cmd.ProcessState == nil {
				_ = p.Signal(syscall.SIGCONT) // a frozen process can't be ended
				_ = p.Kill()                  // it may have ended by itself
			}
		}
	}
}

// WaitUntil waits until a condition holds.
func WaitUntil(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return ErrTimeout
}

// Ready reports whether an entry passes its readiness check.
func (p *Process) Ready() bool {
	response, err := http.Get("http://" + p.Listen + "/comfreyplank/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Result is the answer to a change.
type Result struct {
	Status string `json:"status"`
	Reply struct {
		Revision uint64 `json:"revision"`
		ChangeID string `json:"change-id"`
		Winner   string `json:"winner"`
	} `json:"answer"`
}

// Apply sends a document to a replica.
func (p *Process) Apply(document []byte) (Result, error) {
	var r Result
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Post("http://"+p.Admin+"/comfreyplank/v1/document", "application/json", bytes.NewReader(document))
	if err != nil {
		return r, errors.Wrap(err, "apply")
	}
	defer func() { _ = response.Body.Close() }()
	return r, errors.Wrap(json.NewDecoder(response.Body).Decode(&r), "read answer")
}

// GetJSON reads a JSON answer.
func GetJSON(url string, into any) error {
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	return errors.Wrap(json.Unmarshal(data, into), "get")
}

// KnowsEndpoints reports whether a replica knows so many endpoints.
func (p *Process) KnowsEndpoints(count int) bool {
	var status struct {
		Endpoints []struct{} `json:"endpoints"`
	}
	return GetJSON("http://"+p.Admin+"/comfreyplank/v1/status", &status) == nil && len(status.Endpoints) == count
}

// Leader returns the replica that leads and hears a majority, or nil.
func (s *Stage) Leader() *Process {
	for _, c := range s.Controls {
		var status struct {
			Role          string `json:"role"`
			InContactWithQuorum bool   `json:"hears-majority"`
		}
		if GetJSON("http://"+c.Admin+"/comfreyplank/v1/status", &status) == nil && status.Role == "leader" && status.InContactWithQuorum {
			return c
		}
	}
	return nil
}

// Runs returns how often each key was run by all stand-ins.
func (s *Stage) Runs() (map[string]int, error) {
	runs := make(map[string]int)
	for _, p := range s.Standins {
		data, err := os.ReadFile(p.Data)
		if err != nil && !os.IsNotExist(err) {
			return nil, errors.Wrap(err, "read runs")
		}
		for _, key := range strings.Fields(string(data)) {
			runs[key]++
		}
	}
	return runs, nil
}

// Document returns a document with one service for rounds and pledges.
func Document(base uint64, id string) []byte {
	return fmt.Appendf(nil, `{"base-revision":%d,"change-id":%q,"entries":24,"services":[{"name":"rounds","routes":[
		{"path-prefix":"/rounds","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/pledges","execution":"once-only","deadline-ms":4000,"class":"interactive"}],
		"queue-limit":200,"retry-percent":10,"probe-ms-per-second":50,"probe-bytes-per-second":20000}]}`, base, id)
}
