package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["snapshot"] = playSnapshot }

const (
	// smallChanges come before largeChanges, by which a replica has taken a snapshot of the large manifest.
	smallChanges = 236
	largeChanges = 24
	// syncTime is the bound of the deployment: so long after it is back a machine counts as lost.
	syncTime = 4 * time.Second
	// joinTime is how long the script waits for a machine to be taken in again.
	joinTime = 20 * time.Second
)

// playSnapshot lets a core machine lose its disk, and kills its process once as it joins again. Later two other machines
// are killed, which may be lost at once.
func playSnapshot(ctx context.Context, s *stage) error {
	small1 := fmt.Sprintf(`{"version":"r1","services":[%s],%s,"virtual_hosts":[{"hostname":"motifs.example","paths":[%s]}]}`, service("motif-index"), limits, route("r-first", "/first/", "idempotent", "motif-index"))
	d, controls, err := small(ctx, s, 1, baseTerms, small1)
	if err != nil {
		return err
	}
	defer d.close()
	if err := sendVersions(ctx, s, controls, func(version int) []byte {
		if version <= smallChanges {
			return []byte(strings.Replace(small1, `"r1"`, fmt.Sprintf(`"r%d"`, version), 1))
		}
		return largeManifest(version)
	}); err != nil {
		return err
	}
	newest := smallChanges + largeChanges
	wiped := d.cores[2]
	if leader(d) == wiped {
		wiped = d.cores[3]
	}
	for _, delay := range killDelays {
		joined, err := loseDisk(s, d, wiped, delay)
		if err != nil {
			return err
		}
		if !joined || !s.trouble {
			break
		}
		time.Sleep(time.Second)
	}
	lead := leader(d)
	time.Sleep(syncTime)
	others := 0
	for _, m := range d.cores {
		if m != wiped && m != lead && others < 2 {
			others++
			s.record.add("%s is killed and stays down", m.name)
			m.signal(syscall.SIGKILL)
		}
	}
	version, err := readBack(ctx, s, controls, 15*time.Second)
	switch {
	case err != nil:
		return fmt.Errorf("%w: CONFIG: the manifest can't be read back, version r%d was acknowledged", errBroken, newest)
	case version != newest:
		return fmt.Errorf("%w: CONFIG: version r%d is read back, r%d was acknowledged", errBroken, version, newest)
	}
	return nil
}

// killDelays are how long after the leader has taken the machine in its process is killed. The transfer of the snapshot
// takes some milliseconds; as long as a kill has missed it, the machine loses its disk once more.
var killDelays = []time.Duration{
	18 * time.Millisecond, 7 * time.Millisecond, 13 * time.Millisecond, 4 * time.Millisecond, 22 * time.Millisecond,
	10 * time.Millisecond, 16 * time.Millisecond, 2 * time.Millisecond, 26 * time.Millisecond, 8 * time.Millisecond,
	20 * time.Millisecond, 12 * time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond,
}

// loseDisk has a machine lose its disk and join again, with a kill as it joins, and reports whether it has got its vote.
func loseDisk(s *stage, d *deployment, wiped *machine, delay time.Duration) (bool, error) {
	s.record.add("%s loses its disk and is started again", wiped.name)
	wiped.signal(syscall.SIGKILL)
	<-wiped.ended
	data := filepath.Join(wiped.folder, "data")
	if err := os.RemoveAll(data); err != nil {
		return false, err
	}
	if err := os.MkdirAll(data, 0o755); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	lead := leader(d)
	mark := logSize(lead)
	if err := d.start(wiped); err != nil {
		return false, err
	}
	if !awaitLog(lead, mark, wiped.ip+" (no vote yet)", time.Millisecond, 15*time.Second) {
		return false, fmt.Errorf("%s doesn't join", wiped.name)
	}
	joining := time.Now()
	if s.trouble {
		time.Sleep(delay)
		s.record.add("%s is killed as it joins, %s after the leader %s has taken it in", wiped.name, time.Since(joining).Round(time.Millisecond), lead.name)
		wiped.signal(syscall.SIGKILL)
		<-wiped.ended
		time.Sleep(500 * time.Millisecond)
		if err := d.start(wiped); err != nil {
			return false, err
		}
	}
	joined := awaitVote(lead, mark, wiped.ip, joinTime)
	s.record.add("%s has a vote again: %t, %.3f s after it was taken in", wiped.name, joined, time.Since(joining).Seconds())
	return joined, nil
}

func logSize(m *machine) int64 {
	info, err := os.Stat(filepath.Join(m.folder, "log"))
	if err != nil {
		return 0
	}
	return info.Size()
}

// logSince returns what a machine has logged since its log had a size.
func logSince(m *machine, size int64) string {
	file, err := os.Open(filepath.Join(m.folder, "log"))
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil || info.Size() <= size {
		return ""
	}
	data := make([]byte, info.Size()-size)
	n, _ := file.ReadAt(data, size)
	return string(data[:n])
}

func awaitLog(m *machine, since int64, text string, interval, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(interval) {
		if strings.Contains(logSince(m, since), text) {
			return true
		}
	}
	return false
}

// awaitVote waits until the leader has logged members of the first log of which the machine is one with a vote.
func awaitVote(lead *machine, since int64, ip string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		text := logSince(lead, since)
		at := strings.Index(text, ip+" (no vote yet)")
		if at < 0 {
			continue
		}
		for line := range strings.SplitSeq(text[at:], "\n") {
			if strings.Contains(line, "config to ") && strings.Contains(line, ip) && !strings.Contains(line, ip+" (no vote yet)") {
				return true
			}
		}
	}
	return false
}

// sendVersions sends versions in order, a few at a time, and the last one alone.
func sendVersions(ctx context.Context, s *stage, controls []string, manifest func(version int) []byte) error {
	free := make(chan struct{}, inProgress)
	failed := make(chan error, smallChanges+largeChanges)
	var group sync.WaitGroup
	send := func(version int) {
		nodes := append(append([]string{}, controls[version%len(controls):]...), controls[:version%len(controls)]...)
		if _, err := order(ctx, s.record, nodes, "/api/Config.Replace", manifest(version), 20*time.Second); err != nil {
			failed <- err
		}
	}
	last := smallChanges + largeChanges
	for version := 2; version < last; version++ {
		free <- struct{}{}
		group.Go(func() {
			defer func() { <-free }()
			send(version)
		})
	}
	group.Wait()
	send(last)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
