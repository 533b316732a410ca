package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a deployment; they are the same on all machines.
type ports struct{ front, ready, control, peer, backend, admin int }

// Terms are the bounds that a case states in the settings.
type Terms struct {
	Grace     time.Duration
	Heartbeat time.Duration
}

// DefaultTerms are those of the example in DEPLOY.md.
var DefaultTerms = Terms{Grace: 6 * time.Second, Heartbeat: 1500 * time.Millisecond}

// Machine is one machine of the system, with its process.
type Machine struct {
	Name, Role, IP, Zone string
	settings, data, log  string
	command              *exec.Cmd
	exited               chan struct{}
}

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	record  *Record
	folder  string
	network byte
	ports   ports
	terms   Terms
	Cores   []*Machine
	Entries []*Machine
	client  *http.Client
}

var errNotReady = errors.New("the system did not become ready")

// NewDeployment plans the machines; Start starts them.
func NewDeployment(record *Record, cores, entries int, terms Terms) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{record: record, folder: folder, terms: terms, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	for i := range cores {
		d.Cores = append(d.Cores, d.machine("core", "control", i))
	}
	for i := range entries {
		d.Entries = append(d.Entries, d.machine("edge", "entry", i))
	}
	return d, nil
}

// choosePorts picks a loopback network and ports on which nothing listens.
func (d *Deployment) choosePorts() error {
	for range 50 {
		d.network = byte(20 + time.Now().UnixNano()%200)
		base := 21000 + int(time.Now().UnixNano()/1000%300)*20
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		free := true
		for port := base; port < base+6; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

// IP returns a loopback address of the deployment.
func (d *Deployment) IP(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group, i+1)
}

func (d *Deployment) machine(class, role string, i int) *Machine {
	group := map[string]int{"core": 1, "edge": 2}[class]
	m := &Machine{Name: fmt.Sprintf("%s-%d", class, i+1), Role: role, IP: d.IP(group, i), Zone: fmt.Sprintf("zone-%c", 'a'+i%3)}
	m.settings = filepath.Join(d.folder, m.Name+".yaml")
	m.log = filepath.Join(d.folder, m.Name+".log")
	if class == "core" {
		m.data = filepath.Join(d.folder, m.Name+"-data")
	}
	return m
}

func (d *Deployment) writeSettings(m *Machine, bootstrap bool) error {
	var b strings.Builder
	class, serves, data := "edge", "edge", "null"
	if m.Role == "control" {
		class, serves, data = "core", "control_plane", fmt.Sprintf("%q", m.data)
	}
	fmt.Fprintf(&b, "self:\n  node: %q\n  role: %q\n  machine_class: %q\n  serves:\n    - %q\n  ip: %q\n  zone: %q\n  region: \"here\"\n", m.Name, m.Role, class, serves, m.IP, m.Zone)
	fmt.Fprintf(&b, "  counts_toward_tolerance: %t\n  bootstrap: %t\n  data_dir: %s\n", m.Role == "control", bootstrap, data)
	b.WriteString("  limits:\n    cpu_share: 0.96\n    cpu_cores: 1\n    memory_mb: 284\n    max_fds: 4100\n    link_mbps: 1000.0\n    disk_mb: 256\n")
	b.WriteString("network:\n  listen:\n")
	if m.Role == "control" {
		fmt.Fprintf(&b, "    control: \"%s:%d\"\n", m.IP, d.ports.control)
	} else {
		fmt.Fprintf(&b, "    front: \"%s:%d\"\n    ready: \"%s:%d\"\n", m.IP, d.ports.front, m.IP, d.ports.ready)
	}
	fmt.Fprintf(&b, "  port_range:\n    - %d\n    - %d\n  seeds:\n", d.ports.peer, d.ports.peer)
	for _, c := range d.Cores[:min(3, len(d.Cores))] {
		fmt.Fprintf(&b, "    - \"%s:%d\"\n", c.IP, d.ports.control)
	}
	b.WriteString("  zones:\n    zone-a: \"here\"\n    zone-b: \"here\"\n    zone-c: \"here\"\n")
	fmt.Fprintf(&b, "platform:\n  discovery: \"self_register\"\n  entry_mode: \"vip\"\n  heartbeat: \"%dms\"\n  config_mode: \"highest\"\n", d.terms.Heartbeat.Milliseconds())
	b.WriteString("terms:\n  contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"health\"]\n")
	fmt.Fprintf(&b, "  fault_tolerance:\n    machines: %d\n    zones: 0\n    regions: 0\n", (len(d.Cores)-1)/2)
	fmt.Fprintf(&b, "  bounds:\n    seed_lag: \"3s\"\n    addr_reuse: \"2s\"\n    contact: \"3000ms\"\n    ack: \"4000ms\"\n    sync_time: \"4s\"\n    drain: \"2000ms\"\n    grace: \"%ds\"\n    loss_slack: \"200ms\"\n    config_apply: \"2000ms\"\n    rollback_slack: \"250ms\"\n    outer: \"5000ms\"\n    retry_budget_ratio: 0.2\n    budget_window: \"10s\"\n    budget_slack: 62\n    recovery: \"15s\"\n    probe_per_s: 60\n", int(d.terms.Grace.Seconds()))
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// Start starts all machines.
func (d *Deployment) Start() error {
	for _, m := range append(append([]*Machine{}, d.Cores...), d.Entries...) {
		if m.data != "" {
			if err := os.MkdirAll(m.data, 0o750); err != nil {
				return err
			}
		}
		if err := d.StartMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// StartMachine starts the process of a machine with the command of the deploy file.
func (d *Deployment) StartMachine(m *Machine, bootstrap bool) error {
	if err := d.writeSettings(m, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command("target/platform", m.Role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYPLANK_SETTINGS=" + m.settings, fmt.Sprintf("COMFREYPLANK_ADMIN_PORT=%d", d.ports.admin)}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	command, exited := m.command, m.exited
	go func() {
		err := command.Wait()
		d.record.Printf("%s: the process has ended (%v)", m.Name, err)
		close(exited)
	}()
	d.record.Printf("%s: started %s at %s", m.Name, m.Role, m.IP)
	return nil
}

// Signal sends a signal to the process of a machine.
func (d *Deployment) Signal(m *Machine, s syscall.Signal) {
	d.record.Printf("%s: %s", m.Name, s)
	_ = m.command.Process.Signal(s)
}

// Exited reports whether the process of a machine has ended.
func (m *Machine) Exited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// Stop ends all processes and removes the folder. If keep is set, the logs stay.
func (d *Deployment) Stop() {
	for _, m := range append(append([]*Machine{}, d.Cores...), d.Entries...) {
		if m.command == nil || m.command.Process == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// Front returns the address for requesters of a machine, and Control the one of the operator.
func (d *Deployment) Front(m *Machine) string   { return fmt.Sprintf("%s:%d", m.IP, d.ports.front) }
func (d *Deployment) Control(m *Machine) string { return fmt.Sprintf("%s:%d", m.IP, d.ports.control) }

// Post sends a call of the operator or of a backend, and returns the status; 0 without an answer.
func (d *Deployment) Post(m *Machine, path, body string) (int, string) {
	answer, err := d.client.Post("http://"+d.Control(m)+path, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 4096))
	return answer.StatusCode, string(text)
}

// ReadManifest reads the manifest at one machine.
func (d *Deployment) ReadManifest(m *Machine) (int, string) {
	answer, err := d.client.Get("http://" + d.Control(m) + "/api/Config.Read")
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// PutManifest sends a manifest to one machine after the other until one confirms it.
func (d *Deployment) PutManifest(manifest string, within time.Duration) error {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		m := d.Cores[i%len(d.Cores)]
		status, _ := d.Post(m, "/api/Config.Replace", manifest)
		d.record.Printf("operator: manifest to %s: %d", m.Name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// Ready reports whether an entry says that it is ready.
func (d *Deployment) Ready(m *Machine) bool {
	answer, err := d.client.Get(fmt.Sprintf("http://%s:%d/api/ready", m.IP, d.ports.ready))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AwaitReady waits until all entries are ready.
func (d *Deployment) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, m := range d.Entries {
		for !d.Ready(m) {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
