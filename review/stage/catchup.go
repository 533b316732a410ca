package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { scenes["catchup"] = catchup }

const (
	// newestVersion is the version of the last manifest.
	newestVersion = 6
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 300 * time.Millisecond
	// catchUpTimeout is how long a replica may take to catch up.
	catchUpTimeout = 8 * time.Second
	// watchTime is how long the restarted replica is watched.
	watchTime = 10 * time.Second
	syncTime  = 4 * time.Second
	contact   = 3 * time.Second
)

func catchupManifest(version int) string {
	return strings.Replace(manifest, `"r7"`, fmt.Sprintf(`"r%d"`, version), 1)
}

// killWhenStored kills a replica once it has stored a snapshot of the leader.
func killWhenStored(record *Record, m *Machine) error {
	path := filepath.Join(m.data, "config", "snapshot")
	for end := time.Now().Add(catchUpTimeout); time.Now().Before(end); {
		if _, err := os.Stat(path); err == nil {
			_ = m.command.Process.Kill()
			record.Printf("%s: SIGKILL as it catches up", m.Name)
			<-m.exited
			return nil
		}
	}
	return errors.New("the replica did not catch up")
}

// catchup kills a replica while it joins at the first start of the system, and starts it again.
// Later it is restarted as planned, and then another machine is lost.
func catchup(record *Record, trouble bool) (int, error) {
	d, err := NewDeployment(record, 3, 1, DefaultTerms)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return 0, err
	}
	replica := d.Cores[2]
	if trouble {
		if err := killWhenStored(record, replica); err != nil {
			return 0, err
		}
		time.Sleep(restartDelay)
		if err := d.StartMachine(replica, true); err != nil {
			return 0, err
		}
	}
	for version := 1; version <= newestVersion; version++ {
		if err := d.PutManifest(catchupManifest(version), 10*time.Second); err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(syncTime)
	ends, err := restart(d, replica)
	if err != nil {
		return 0, err
	}
	record.Say("after a planned restart %s has ended by itself %d times", replica.Name, ends)
	d.Signal(d.Cores[1], syscall.SIGKILL)
	time.Sleep(contact + syncTime)
	return readBack(d, newestVersion), nil
}

// restart stops a process by SIGTERM and starts it again, and again whenever it ends by itself.
// It returns how often that was.
func restart(d *Deployment, m *Machine) (ends int, err error) {
	d.Signal(m, syscall.SIGTERM)
	<-m.exited
	ends = -1
	for end := time.Now().Add(watchTime); time.Now().Before(end); {
		time.Sleep(restartDelay)
		if !m.Exited() {
			continue
		}
		ends++
		if err := d.StartMachine(m, false); err != nil {
			return 0, err
		}
	}
	return ends, nil
}

// readBack reads the manifest at all machines for the time of contact, and returns 1 if the
// newest confirmed one never comes.
func readBack(d *Deployment, newest int) int {
	for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range d.Cores {
			status, text := d.ReadManifest(m)
			d.record.Printf("operator: reads the manifest at %s: %d, newest %t", m.Name, status, strings.Contains(text, fmt.Sprintf(`"r%d"`, newest)))
			if status == http.StatusOK && strings.Contains(text, fmt.Sprintf(`"r%d"`, newest)) {
				return 0
			}
		}
	}
	d.record.Printf("BROKEN: with one of three machines lost, the confirmed manifest r%d doesn't come", newest)
	return 1
}
