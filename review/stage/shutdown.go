package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenes["shutdown"] = shutdown }

const shutdownManifest = `{"version":"r7","services":[{"name":"packdocs","health_check":"/health","max_connections":260,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"rounds.example","paths":[
{"name":"r-guide","path_prefix":"/guide/","route_type":"idempotent","timeout":"1200ms","target_latency":"400ms","priority":2,"service":"packdocs","attempts":2},
{"name":"r-archive","path_prefix":"/archive/","route_type":"idempotent","timeout":"8000ms","target_latency":"1500ms","priority":2,"service":"packdocs","attempts":2}]}]}`

// Times of the case, from SIGTERM on.
const (
	// latestExcused is until when a request must have been sent so that a cut in the last sixth
	// of the grace time isn't counted.
	latestExcused = 3 * time.Second
	archiveLimit  = 8 * time.Second
)

// sending is one request at the machine that stops.
type sending struct {
	id          string
	sentAt, end time.Time
	complete    bool
	status      int
}

// shutdown stops one entry while requesters with kept connections go on. Their requests come at
// random moments.
func shutdown(record *Record, trouble bool) (int, error) {
	const backends, entries, kept = 12, 3, 200
	d, err := NewDeployment(record, 3, entries, DefaultTerms)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return 0, err
	}
	if err := d.PutManifest(shutdownManifest, 10*time.Second); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	passedOn := map[string]bool{}
	for i := range backends {
		next := rand.IntN(len(d.Cores))
		b := &Backend{d: d, Service: "packdocs", ID: fmt.Sprintf("i-%02d", i+1), Address: fmt.Sprintf("%s:%d", d.IP(3, i), d.ports.backend),
			Zone: fmt.Sprintf("zone-%c", 'a'+i%3), Slots: 30, TellsLoad: true,
			Work: shutdownWork, Node: func() int { next++; return next },
			Arrived: func(_ *Backend, r *http.Request, _ time.Time) {
				mu.Lock()
				defer mu.Unlock()
				passedOn[r.Header.Get("X-Attempt-Id")] = true
			}}
		if err := StartBackend(b); err != nil {
			return 0, err
		}
		defer b.Exit()
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	entry := d.Entries[0]
	connections := make([]*Connection, 0, kept)
	for range kept {
		c, err := Connect(d.Front(entry))
		if err != nil {
			return 0, err
		}
		s := request(d, c, entry, "/guide/1", 1200*time.Millisecond)
		if s.status != http.StatusOK {
			return 0, fmt.Errorf("a request before the stop got status %d", s.status)
		}
		connections = append(connections, c)
	}
	stoppedAt := time.Now()
	if trouble {
		d.Signal(entry, syscall.SIGTERM)
		go func() {
			time.Sleep(d.terms.Grace)
			if !entry.Exited() {
				d.Signal(entry, syscall.SIGKILL)
			}
		}()
	}
	var group sync.WaitGroup
	sendings := make([]sending, kept)
	for i, c := range connections {
		group.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(d.terms.Grace))))
			sendings[i] = request(d, c, entry, "/archive/1", archiveLimit)
			_ = c.Close()
		})
	}
	group.Wait()
	breaks, answered, excused := 0, 0, 0
	for _, s := range sendings {
		switch {
		case s.complete:
			answered++
		case !passedOn[s.id]:
		case s.sentAt.Sub(stoppedAt) <= latestExcused && s.end.Sub(stoppedAt) >= d.terms.Grace*5/6, s.end.Sub(s.sentAt) >= archiveLimit:
			excused++
		default:
			breaks++
			record.Printf("BROKEN: %s was sent %s after the signal, passed on to a backend, and cut %s after the signal", s.id, s.sentAt.Sub(stoppedAt).Round(time.Millisecond), s.end.Sub(stoppedAt).Round(time.Millisecond))
		}
	}
	record.Say("%d requests after the signal: %d answered, %d cut that are excused, %d cut that are not", kept, answered, excused, breaks)
	return breaks, nil
}

// shutdownWork is the work time of a request.
func shutdownWork(r *http.Request) time.Duration {
	if r.URL.Path == "/guide/1" {
		return time.Duration(20+rand.IntN(40)) * time.Millisecond
	}
	return time.Duration(1000+rand.IntN(4000)) * time.Millisecond
}

// request sends one request over a kept connection and waits for its answer.
func request(d *Deployment, c *Connection, entry *Machine, path string, deadline time.Duration) sending {
	s := sending{id: NewID(), sentAt: time.Now()}
	err := c.Send("GET", "rounds.example", path, s.id, deadline, "")
	var a Answer
	if err == nil {
		a, err = c.Receive("GET", deadline+time.Second)
	}
	s.end = time.Now()
	s.complete = err == nil
	s.status = a.Status
	d.record.Printf("requester: %s %s at %s, sent %s before: %d %v", s.id, path, entry.Name, s.end.Sub(s.sentAt).Round(time.Millisecond), a.Status, err)
	return s
}
