// Package stager runs the programs of the system on loopback, for measurements and for tests
// that kill or freeze real processes.
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

// ErrTimeout is returned if a condition doesn't hold in time.
var ErrTimeout = errors.New("timed out waiting for a condition")

const pollInterval = 20 * time.Millisecond

// Stage holds the processes of one system and their files.
type Stage struct {
	// Bin is the folder of the programs, and Work the folder of their data and logs.
	Bin, Work string
	Controls  []*Process
	Entries   []*Process
	Standins  []*Process
	peers     []string
}

// Process is one process of a stage. It may be started repeatedly.
type Process struct {
	Name string
	// Listen and Admin are the addresses it listens at.
	Listen, Admin string
	// Data is the data folder of a replica, or the file with the runs of a stand-in.
	Data string
	// Path is the path of the program, and Args its arguments.
	Path string
	Args []string
	log  *os.File
	cmd  *exec.Cmd
}

// New returns a stage with replicas and entries. Start starts them.
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
	listen, err := Address()
	if err != nil {
		return nil, err
	}
	admin, err := Address()
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, Listen: listen, Admin: admin, Path: filepath.Join(s.Bin, program)}, nil
}

// AddStandin adds a stand-in endpoint that records its runs in a file. Further arguments go
// to its program.
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

// Start starts all processes: first the replicas, then the entries and stand-ins.
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

// StartProcess starts or restarts a process, and appends its output to its log.
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

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Wait waits for the process to end and returns its exit code.
func (p *Process) Wait() int {
	_ = p.cmd.Wait() // the exit code is in the state
	_ = p.log.Close()
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	p.Wait()
	return err
}

// Stop kills all running processes.
func (s *Stage) Stop() {
	for _, group := range [][]*Process{s.Standins, s.Entries, s.Controls} {
		for _, p := range group {
			if p.cmd != nil && p.cmd.ProcessState == nil {
				_ = p.Signal(syscall.SIGCONT) // the process may be frozen
				_ = p.Kill()                  // the process may have ended by itself
			}
		}
	}
}

// WaitUntil polls until a condition holds, or returns ErrTimeout.
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

// Result is a replica's reply to a change.
type Result struct {
	Status string `json:"status"`
	Reply  struct {
		Revision uint64 `json:"revision"`
		ChangeID string `json:"change-id"`
		Winner   string `json:"winner"`
	} `json:"answer"`
}

// Apply sends a document to a replica and returns its reply.
func (p *Process) Apply(document []byte) (Result, error) {
	var r Result
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Post("http://"+p.Admin+"/comfreyplank/v1/document", "application/json", bytes.NewReader(document))
	if err != nil {
		return r, errors.Wrap(err, "apply")
	}
	defer func() { _ = response.Body.Close() }()
	return r, errors.Wrap(json.NewDecoder(response.Body).Decode(&r), "decode reply")
}

// Get sends a GET request and decodes the JSON response.
func Get(url string, into any) error {
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

// KeepPage writes a page of the process's admin interface to a file in a folder.
func (p *Process) KeepPage(folder, page string) error {
	var content json.RawMessage
	if err := Get("http://"+p.Admin+"/comfreyplank/v1/"+page, &content); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, p.Name+"-"+page+".json"), content, 0o600), "keep a page")
}

// KnowsEndpoints reports whether a replica knows exactly count endpoints.
func (p *Process) KnowsEndpoints(count int) bool {
	var status struct {
		Endpoints []struct{} `json:"endpoints"`
	}
	return Get("http://"+p.Admin+"/comfreyplank/v1/status", &status) == nil && len(status.Endpoints) == count
}

// Leader returns the replica that is the leader and in contact with a quorum, or nil.
func (s *Stage) Leader() *Process {
	for _, c := range s.Controls {
		var status struct {
			Role                string `json:"role"`
			InContactWithQuorum bool   `json:"hears-majority"`
		}
		if Get("http://"+c.Admin+"/comfreyplank/v1/status", &status) == nil && status.Role == "leader" && status.InContactWithQuorum {
			return c
		}
	}
	return nil
}

// Runs returns how often the stand-ins ran each key in total.
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

// Document returns a document with one service that has a repeatable and a once-only route.
func Document(base uint64, id string) []byte {
	return fmt.Appendf(nil, `{"base-revision":%d,"change-id":%q,"entries":24,"services":[{"name":"rounds","routes":[
		{"path-prefix":"/rounds","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/pledges","execution":"once-only","deadline-ms":4000,"class":"interactive"}],
		"queue-limit":200,"retry-percent":10,"probe-ms-per-second":50,"probe-bytes-per-second":20000}]}`, base, id)
}
