package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenes["leave"] = leave }

// leaveWork is how long a request runs, leaveAfter how soon a requester gives up at the latest:
// half of the response-time goal.
const (
	leaveWork  = 350 * time.Millisecond
	leaveAfter = 250 * time.Millisecond
)

// leave lets a fifth of the requesters give up: they close their side of the connection and read
// until the machine has closed its own.
func leave(record *Record, trouble bool) (int, error) {
	const backends, entries, requesters, rounds = 6, 3, 30, 20
	d, err := NewDeployment(record, 3, entries, DefaultTerms)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return 0, err
	}
	if err := d.PutManifest(manifest, 10*time.Second); err != nil {
		return 0, err
	}
	for i := range backends {
		next := i
		b := &Backend{d: d, Service: "roster", ID: fmt.Sprintf("i-%02d", i+1), Address: fmt.Sprintf("%s:%d", d.IP(3, i), d.ports.backend),
			Zone: "zone-a", Slots: 12, TellsLoad: true,
			Work: func(*http.Request) time.Duration { return leaveWork },
			Node: func() int { next++; return next }}
		if err := StartBackend(b); err != nil {
			return 0, err
		}
		defer b.Exit()
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var breaks, left, answered atomic.Int64
	var group sync.WaitGroup
	for i := range requesters {
		group.Go(func() {
			for range rounds {
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				gives := trouble && rand.IntN(5) == 0
				a, id, err := claim(d, d.Entries[i%entries], gives)
				record.Printf("requester: %s, gives up %t: %d %q %v", id, gives, a.Status, a.Body, err)
				if gives {
					left.Add(1)
				}
				if err != nil {
					continue
				}
				answered.Add(1)
				if a.Status >= 200 && a.Status < 300 && a.Header.Get("X-Response-Seal") == "" {
					breaks.Add(1)
					record.Printf("BROKEN: %s gets %d without a backend's X-Response-Seal, with a body of %d bytes", id, a.Status, len(a.Body))
				}
			}
		})
	}
	group.Wait()
	record.Say("%d requests, %d requesters gave up, %d answers", requesters*rounds, left.Load(), answered.Load())
	return int(breaks.Load()), nil
}

// claim sends a request that isn't idempotent. A requester that gives up closes its side of the
// connection, and takes what still comes.
func claim(d *Deployment, entry *Machine, gives bool) (Answer, string, error) {
	id := NewID()
	c, err := Connect(d.Front(entry))
	if err != nil {
		return Answer{}, id, err
	}
	defer func() { _ = c.Close() }()
	if err := c.Send("POST", "rounds.example", "/claim/1", id, 1500*time.Millisecond, "a claim"); err != nil {
		return Answer{}, id, err
	}
	if gives {
		time.Sleep(time.Duration(50+rand.IntN(int(leaveAfter.Milliseconds())-50)) * time.Millisecond)
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	a, err := c.Receive("POST", 3*time.Second)
	if gives && err == nil {
		_, _ = io.Copy(io.Discard, c.reader)
	}
	return a, id, err
}
