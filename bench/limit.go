package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/bench/loader"
	"comfreyplank.org/bench/rater"
	"comfreyplank.org/bench/stager"
	"comfreyplank.org/standin/responder"
)

// limitCommand measures what endpoints receive that name a limit for all entries together, and
// how many calls are served meanwhile.
type limitCommand struct {
	ctx       context.Context //nolint:containedctx // ends with the process
	Bin       string          `long:"bin" default:"bin" description:"folder of the programs"`
	Replicas  int             `long:"replicas" default:"3" description:"control replicas"`
	Entries   int             `long:"entries" default:"17" description:"entries"`
	Endpoints int             `long:"endpoints" default:"13" description:"endpoints"`
	Limited   int             `long:"limited" default:"1" description:"endpoints that name the limit"`
	Limit     float64         `long:"limit" default:"2.6" description:"limit of each of them, in requests a second"`
	Rate      float64         `long:"rate" default:"112" description:"calls a second, spread over the entries"`
	Duration  time.Duration   `long:"duration" default:"15s" description:"how long the limit is named"`
}

// limitWarmup is the time with calls before the limit is named.
const limitWarmup = 3 * time.Second

// arrivals collects the times at which requests reach an endpoint. It is safe for concurrent use.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// Write implements io.Writer; each line is one request.
func (a *arrivals) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	return len(line), nil
}

// after returns the times of the requests that came after a time.
func (a *arrivals) after(start time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := slices.IndexFunc(a.times, func(at time.Time) bool { return !at.Before(start) })
	if first < 0 {
		return nil
	}
	return slices.Clone(a.times[first:])
}

// limitedEndpoint is a stand-in endpoint in this process.
type limitedEndpoint struct {
	*responder.Responder
	arrivals *arrivals
}

// Execute implements flags.Commander.
func (c *limitCommand) Execute([]string) error {
	if c.Limited > c.Endpoints {
		return errors.Errorf("%d endpoints can't name a limit, there are %d", c.Limited, c.Endpoints)
	}
	s, remove, err := newStage(c.Bin, c.Replicas, c.Entries)
	if err != nil {
		return err
	}
	defer remove()
	if err := s.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	endpoints, err := c.startEndpoints(ctx, &group, s)
	if err != nil {
		return err
	}
	m := &measurement{stage: s}
	if err := m.awaitReady(); err != nil {
		return err
	}
	if err := m.awaitEndpoints(c.Endpoints); err != nil {
		return err
	}
	return c.measure(s, endpoints)
}

func (c *limitCommand) startEndpoints(ctx context.Context, group *sync.WaitGroup, s *stager.Stage) ([]limitedEndpoint, error) {
	entries := listenAddresses(s.Entries)
	endpoints := make([]limitedEndpoint, 0, c.Endpoints)
	for i := range c.Endpoints {
		e := limitedEndpoint{arrivals: &arrivals{}}
		var err error
		e.Responder, err = responder.New(responder.Settings{
			Service: "rounds", Endpoint: fmt.Sprint("rounds-", i+1), Address: "127.0.0.1:0", DataCentre: "dc-1", Slots: 6, Connections: 1000,
			Entries: entries, Behaviour: responder.Default(), Record: e.arrivals,
		})
		if err != nil {
			return nil, err
		}
		group.Go(func() { e.Run(ctx) })
		endpoints = append(endpoints, e)
	}
	return endpoints, nil
}

func listenAddresses(processes []*stager.Process) []string {
	addresses := make([]string, 0, len(processes))
	for _, p := range processes {
		addresses = append(addresses, p.Listen)
	}
	return addresses
}

// measure sends the load, lets the endpoints name their limits, and prints what they received.
func (c *limitCommand) measure(s *stager.Stage, endpoints []limitedEndpoint) error {
	plan := loader.Plan{Targets: listenAddresses(s.Entries), Path: "/rounds/limit", Rate: c.Rate, Duration: c.Duration, Warmup: limitWarmup, Timeout: 10 * time.Second}
	var results *loader.Results
	var load sync.WaitGroup
	load.Go(func() { results = loader.New(plan).Run(c.ctx) })
	time.Sleep(limitWarmup)
	named := time.Now()
	for _, e := range endpoints[:c.Limited] {
		e.SetLimit(strconv.FormatFloat(c.Limit, 'f', -1, 64))
	}
	load.Wait()
	printResults(results)
	allowed := rater.Allowed(c.Limit)
	total, worst := 0, 0
	for _, e := range endpoints[:c.Limited] {
		times := e.arrivals.after(named)
		total += len(times)
		_, busiest := rater.Busiest(times, named)
		worst = max(worst, busiest)
	}
	fmt.Printf("%d endpoints name %v requests a second: %.2f a second each, at most %d in %s (allowed %d)\n",
		c.Limited, c.Limit, float64(total)/c.Duration.Seconds()/float64(c.Limited), worst, rater.Window, allowed)
	if worst > allowed {
		return errBoundExceeded
	}
	return nil
}
