package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["journal"] = playJournal }

const (
	// manyRoutes is how many routes four steps of growth give on the bench's site.
	manyRoutes = 1684
	// manyChanges is how many changes follow, and inProgress how many the operator has in progress.
	manyChanges = 220
	inProgress  = 4
)

// largeManifest returns a version of a manifest with many routes, of which one changes its timeout.
func largeManifest(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d","services":[%s],%s,"virtual_hosts":[{"hostname":"motifs.example","paths":[`, version, service("motif-index"), limits)
	fmt.Fprintf(&b, `{"name":"r-changes","path_prefix":"/changes/","route_type":"idempotent","timeout":"%dms","target_latency":"300ms","priority":2,"service":"motif-index","attempts":2}`, 1000+version)
	for i := range manyRoutes {
		fmt.Fprintf(&b, `,{"name":"r-more%06d","path_prefix":"/more%06d/part/","route_type":"idempotent","timeout":"1500ms","target_latency":"300ms","priority":2,"service":"motif-index","attempts":2}`, i, i)
	}
	b.WriteString(`]}]}`)
	return []byte(b.String())
}

// platform keeps the processes of core machines within their memory, and starts again those that have ended.
type platform struct {
	d     *deployment
	mu    sync.Mutex
	kills int
}

// residentMB returns the memory of a process in use.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// run watches until the context ends.
func (p *platform) run(ctx context.Context) {
	endedAt := make(map[*machine]time.Time)
	for ctx.Err() == nil {
		for _, m := range p.d.cores {
			if m.hasEnded() {
				switch at, known := endedAt[m]; {
				case !known:
					endedAt[m] = time.Now()
				case time.Since(at) > 500*time.Millisecond:
					delete(endedAt, m)
					p.d.record.add("platform: %s is started again", m.name)
					_ = p.d.start(m) // it is tried again
				}
				continue
			}
			if mb := residentMB(m.command.Process.Pid); mb > memoryMB {
				p.d.record.add("platform: %s uses %d MB of %d and is killed", m.name, mb, memoryMB)
				m.signal(syscall.SIGKILL)
				p.mu.Lock()
				p.kills++
				p.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// playJournal changes a large manifest many times, and has all processes of the core killed at once.
func playJournal(ctx context.Context, s *stage) error {
	d, controls, err := small(ctx, s, 1, baseTerms, string(largeManifest(1)))
	if err != nil {
		return err
	}
	defer d.close()
	watching, stopWatching := context.WithCancel(ctx)
	p := &platform{d: d}
	var watcher sync.WaitGroup
	watcher.Go(func() { p.run(watching) })
	defer watcher.Wait()
	defer stopWatching()
	if err := changeManyTimes(ctx, s, controls); err != nil {
		return err
	}
	for _, m := range d.cores {
		s.record.add("%s uses %d MB", m.name, residentMB(m.command.Process.Pid))
	}
	if s.trouble {
		s.record.add("all processes of the core are killed")
		for _, m := range d.cores {
			m.signal(syscall.SIGKILL)
		}
	}
	version, err := readBack(ctx, s, controls, 30*time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.record.add("processes of the core that exceeded their memory: %d times", p.kills)
	switch {
	case err != nil:
		return fmt.Errorf("%w: CONFIG: the manifest can't be read back, version r%d was acknowledged (%d kills for memory)", errBroken, manyChanges+1, p.kills)
	case version != manyChanges+1:
		return fmt.Errorf("%w: CONFIG: version r%d is read back, r%d was acknowledged", errBroken, version, manyChanges+1)
	}
	return nil
}

// changeManyTimes sends the versions in order, a few at a time. The last one is acknowledged alone.
func changeManyTimes(ctx context.Context, s *stage, controls []string) error {
	free := make(chan struct{}, inProgress)
	failed := make(chan error, manyChanges)
	var group sync.WaitGroup
	send := func(version int) {
		nodes := append(append([]string{}, controls[version%len(controls):]...), controls[:version%len(controls)]...)
		if _, err := order(ctx, s.record, nodes, "/api/Config.Replace", largeManifest(version), 20*time.Second); err != nil {
			failed <- err
		}
	}
	for version := 2; version <= manyChanges; version++ {
		free <- struct{}{}
		group.Go(func() {
			defer func() { <-free }()
			send(version)
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	send(manyChanges + 1)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

var errNotRead = errors.New("no node returns the manifest")

// readBack reads the manifest from one node after the other until one returns it.
func readBack(ctx context.Context, s *stage, controls []string, limit time.Duration) (int, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		for _, node := range controls {
			response, err := controlClient.Get("http://" + node + "/api/Config.Read")
			if err != nil {
				continue
			}
			data, err := io.ReadAll(response.Body)
			_ = response.Body.Close() // it has been read
			var manifest struct{ Version string }
			if err != nil || response.StatusCode != 200 || json.Unmarshal(data, &manifest) != nil {
				continue
			}
			s.record.add("operator: %s returns version %s", node, manifest.Version)
			return strconv.Atoi(strings.TrimPrefix(manifest.Version, "r"))
		}
	}
	s.record.add("operator: no node has returned the manifest for %s", limit)
	return 0, errNotRead
}
