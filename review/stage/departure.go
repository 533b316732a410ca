package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenes["departure"] = departure }

const (
	// drainBound is the bound drain of the settings.
	drainBound = 2 * time.Second
	// servesOn is how long a backend serves after its leave was confirmed.
	servesOn = 5 * time.Second
	// releasePause is the longest pause between two replacements.
	releasePause = 1400 * time.Millisecond
)

// manifest has a route for reads and one for claims, which aren't idempotent.
const manifest = `{"version":"r7","services":[{"name":"roster","health_check":"/health","max_connections":260,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"rounds.example","paths":[
{"name":"r-read","path_prefix":"/read/","route_type":"idempotent","timeout":"1200ms","target_latency":"400ms","priority":2,"service":"roster","attempts":2},
{"name":"r-claim","path_prefix":"/claim/","route_type":"non_idempotent","timeout":"1500ms","target_latency":"500ms","priority":1,"service":"roster","attempts":2}]}]}`

// departure replaces the backends of a service one after the other under constant traffic. The
// backends don't tell their load. With trouble those that leave deregister first; otherwise they
// report that they drain first.
func departure(record *Record, trouble bool) (int, error) {
	const backends, replacements, entries, requesters = 12, 45, 8, 32
	d, err := NewDeployment(record, 5, entries, DefaultTerms)
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
	var breaks atomic.Int64
	arrived := func(b *Backend, r *http.Request, at time.Time) {
		if confirmed := b.ConfirmedAt(); !confirmed.IsZero() && at.Sub(confirmed) > drainBound {
			breaks.Add(1)
			record.Printf("BROKEN: %s reaches %s %s after its leave was confirmed", r.Header.Get("X-Attempt-Id"), b.ID, at.Sub(confirmed).Round(time.Millisecond))
		}
	}
	var list []*Backend
	start := func() error {
		i := len(list)
		next := rand.IntN(len(d.Cores))
		b := &Backend{d: d, Service: "roster", ID: fmt.Sprintf("i-%02d", i+1), Address: fmt.Sprintf("%s:%d", d.IP(3, i), d.ports.backend),
			Zone: fmt.Sprintf("zone-%c", 'a'+i%3), Slots: 6, Arrived: arrived,
			Work: func(*http.Request) time.Duration { return time.Duration(40+rand.IntN(80)) * time.Millisecond },
			Node: func() int { next++; return next }}
		list = append(list, b)
		return StartBackend(b)
	}
	defer func() {
		for _, b := range list {
			b.Exit()
		}
	}()
	for range backends {
		if err := start(); err != nil {
			return 0, err
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var counts trafficCounts
	for i := range requesters {
		group.Go(func() { traffic(d, d.Entries[i%entries], stop, &counts) })
	}
	for i := range replacements {
		if err := start(); err != nil {
			return 0, err
		}
		b := list[i]
		group.Go(func() { leaveService(b, trouble) })
		time.Sleep(releasePause/2 + time.Duration(rand.Int64N(int64(releasePause/2))))
	}
	time.Sleep(servesOn + time.Second)
	close(stop)
	group.Wait()
	record.Say("%d requests, %d served, %d without an answer; %d backends replaced", counts.sent.Load(), counts.served.Load(), counts.unknown.Load(), replacements)
	return int(breaks.Load()), nil
}

// leaveService lets a backend leave: it serves on for a while after the confirmation, and exits.
func leaveService(b *Backend, deregistersFirst bool) {
	if deregistersFirst {
		b.Deregister()
		time.Sleep(servesOn)
	} else {
		b.Drain()
		time.Sleep(servesOn)
		b.Deregister()
	}
	b.Exit()
}

// trafficCounts counts requests and how they ended; unknown counts 502, 504 and closed
// connections.
type trafficCounts struct{ sent, served, unknown atomic.Int64 }

// traffic sends one request after the other over a kept connection.
func traffic(d *Deployment, entry *Machine, stop <-chan struct{}, counts *trafficCounts) {
	var c *Connection
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rand.IntN(100)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = Connect(d.Front(entry)); err != nil {
				c = nil
				continue
			}
		}
		id := NewID()
		method, path, body := "GET", "/read/1", ""
		if rand.IntN(2) == 0 {
			method, path, body = "POST", "/claim/1", "a claim"
		}
		counts.sent.Add(1)
		err := c.Send(method, "rounds.example", path, id, 1200*time.Millisecond, body)
		var a Answer
		if err == nil {
			a, err = c.Receive(method, 2*time.Second)
		}
		d.record.Printf("requester: %s %s at %s: %d %v", id, path, entry.Name, a.Status, err)
		switch {
		case err == nil && a.Status == http.StatusOK:
			counts.served.Add(1)
		case err != nil, a.Status == http.StatusBadGateway, a.Status == http.StatusGatewayTimeout:
			counts.unknown.Add(1)
		}
		if err != nil || c.Closing {
			_ = c.Close()
			c = nil
		}
	}
}
