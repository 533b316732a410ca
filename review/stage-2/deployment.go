package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a deployment. Machines differ by their loopback addresses, as on the platform.
const (
	frontPort   = 8381
	controlPort = 8382
	readyPort   = 8388
	peerPort    = 7200
	peerPortEnd = 7215
	adminPort   = 9464
	// memoryMB is what a core machine has in the site file of a small deployment.
	memoryMB = 280
)

// machine is one machine of the system, with its process.
type machine struct {
	name, role, zone, ip, folder string
	bootstrap                    bool
	command                      *exec.Cmd
	ended                        chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, folder string
	subnet       string
	zones        []string
	terms        string
	cores        []*machine
	entries      []*machine
	record       *record
}

// newDeployment chooses an unused loopback subnet and a temporary folder.
func newDeployment(root string, zones []string, terms string, r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "stage-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, zones: zones, terms: terms, record: r}
	for try := range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*7)%200, 10+(os.Getpid()/200+try)%200)
		if free(d.subnet + ".11") {
			started = append(started, d)
			return d, nil
		}
	}
	return nil, errors.New("no free loopback subnet")
}

// free reports whether the ports of a deployment can be listened at.
func free(ip string) bool {
	for _, port := range []int{frontPort, controlPort, readyPort, peerPort, adminPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close() // it was only a trial
	}
	return true
}

// addCore and addEntry add machines, which start with start.
func (d *deployment) addCore(zone string) *machine {
	m := &machine{name: fmt.Sprintf("core-%s-%d", zone, len(d.cores)+1), role: "control", zone: zone, ip: fmt.Sprintf("%s.%d", d.subnet, 11+len(d.cores)), bootstrap: true}
	d.cores = append(d.cores, m)
	return m
}

func (d *deployment) addEntry(zone string) *machine {
	m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, len(d.entries)+1), role: "entry", zone: zone, ip: fmt.Sprintf("%s.%d", d.subnet, 111+len(d.entries)), bootstrap: true}
	d.entries = append(d.entries, m)
	return m
}

// settings returns the settings file of a machine, in the form of the pages.
func (d *deployment) settings(m *machine) string {
	var b strings.Builder
	class, serves, listen, data := "edge", "edge", fmt.Sprintf("    front: %q\n    ready: %q\n", m.front(), fmt.Sprintf("%s:%d", m.ip, readyPort)), "null"
	if m.role == "control" {
		class, serves, listen = "core", "control_plane", fmt.Sprintf("    control: %q\n", m.control())
		data = fmt.Sprintf("%q", filepath.Join(m.folder, "data"))
	}
	fmt.Fprintf(&b, "self:\n  node: %q\n  role: %q\n  machine_class: %q\n  serves:\n    - %q\n  ip: %q\n  zone: %q\n  region: \"region-1\"\n", m.name, m.role, class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "  counts_toward_tolerance: %t\n  bootstrap: %t\n  data_dir: %s\n", m.role == "control", m.bootstrap, data)
	fmt.Fprintf(&b, "  limits:\n    cpu_share: 0.96\n    cpu_cores: 1\n    memory_mb: %d\n    max_fds: 4096\n    link_mbps: 1000.0\n    disk_mb: 256\n", memoryMB)
	fmt.Fprintf(&b, "network:\n  listen:\n%s  port_range:\n    - %d\n    - %d\n  seeds:\n", listen, peerPort, peerPortEnd)
	for _, c := range d.cores[:min(3, len(d.cores))] {
		fmt.Fprintf(&b, "    - %q\n", c.control())
	}
	b.WriteString("  zones:\n")
	for _, z := range d.zones {
		fmt.Fprintf(&b, "    %s: \"region-1\"\n", z)
	}
	b.WriteString("platform:\n  discovery: \"self_register\"\n  entry_mode: \"vip\"\n  heartbeat: \"1500ms\"\n  config_mode: \"highest\"\n")
	b.WriteString(d.terms)
	return b.String()
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	if m.folder == "" {
		m.folder = filepath.Join(d.folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o755); err != nil {
			return err
		}
	}
	settings := filepath.Join(m.folder, "node.yaml")
	if err := os.WriteFile(settings, []byte(d.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/platform", m.role)
	command.Dir = d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYPLANK_SETTINGS=" + settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait() // the case looks at the process by itself
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// startAll starts all machines, as at the first start of the whole system.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.cores...), d.entries...) {
		if err := d.start(m); err != nil {
			return err
		}
		m.bootstrap = false // for later starts
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.command != nil {
		_ = m.command.Process.Signal(s) // a process that has ended needs none
	}
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range append(append([]*machine{}, d.cores...), d.entries...) {
		if m.command == nil {
			continue
		}
		m.signal(syscall.SIGKILL)
		select {
		case <-m.ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder) // a temporary folder that is left does no harm
	}
}

// awaitReady waits until all entries pass the platform's probe.
func (d *deployment) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range d.entries {
		for !ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func ready(m *machine) bool {
	response, err := probeClient.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // it has nothing that is used
	return response.StatusCode == 200
}
