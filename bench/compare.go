package main

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/bench/experimenter"
	"comfreyplank.org/core/picker"
)

// compareCommand simulates every policy in every scenario and prints a table of results.
type compareCommand struct {
	Deployment string        `long:"deployment" default:"co-op" choice:"co-op" choice:"registry" description:"whose sizes of today to take"`
	Scenarios  []string      `long:"scenario" description:"only these scenarios; may be repeated"`
	Loads      []float64     `long:"load" description:"share of the slots in percent; may be repeated" default:"50" default:"70" default:"85" default:"95"`
	Duration   time.Duration `long:"duration" default:"20s" description:"virtual length of a run"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of all runs"`
	Retry      int           `long:"retry-percent" default:"10" description:"budget for retries and hedges"`
}

// deployment returns the current size of a user's service.
func deployment(name string) experimenter.Deployment {
	if name == "registry" {
		return experimenter.Deployment{Name: name, Endpoints: 10, Slots: 4, Entries: 16, Service: 6 * time.Millisecond, Network: 250 * time.Microsecond}
	}
	return experimenter.Deployment{Name: name, Endpoints: 12, Slots: 6, Entries: 16, Service: 6 * time.Millisecond, Network: 250 * time.Microsecond}
}

func scenarios() []experimenter.Scenario {
	return []experimenter.Scenario{
		{Name: "calm"},
		{Name: "straggler", Slow: 1, SlowFactor: 10},
		{Name: "shifting", Shifting: true},
		{Name: "stale-and-lying", ReportDelay: 200 * time.Millisecond, Misreporting: 1},
		{Name: "cold-start", Cold: 1, ColdFactor: 5},
		{Name: "failing-fast", Failing: 2},
	}
}

func policies() []picker.Policy {
	return []picker.Policy{picker.Adaptive{}, picker.Random{}, picker.RoundRobin{}, picker.LeastInFlight{}}
}

// row is one line of the printed table.
type row struct {
	run    experimenter.Run
	result experimenter.Result
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	rows := c.plan()
	if len(rows) == 0 {
		return errors.New("no such scenario")
	}
	runAll(rows)
	fmt.Println("scenario         load  policy           p50       p99       p99.9     answered  refused  unknown  failed  attempts/call")
	for _, k := range rows {
		r := k.result
		calls := r.Answered + r.Refused + r.Unknown + r.Failed
		fmt.Printf("%-16s %3.0f%%  %-15s %9s %9s %9s  %8d %8d %8d %7d  %.3f\n", k.run.Scenario.Name, k.run.Load*100,
			experimenter.PolicyName(k.run.Policy), roundLatency(r.Quantile(50)), roundLatency(r.Quantile(99)), roundLatency(r.Quantile(99.9)),
			r.Answered, r.Refused, r.Unknown, r.Failed, float64(r.Attempts)/float64(max(1, calls)))
	}
	return nil
}

func roundLatency(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func (c *compareCommand) plan() []*row {
	var list []*row
	for _, s := range scenarios() {
		if len(c.Scenarios) > 0 && !strings.Contains(strings.Join(c.Scenarios, " "), s.Name) {
			continue
		}
		for _, load := range c.Loads {
			for _, p := range policies() {
				list = append(list, &row{run: experimenter.Run{
					Deployment: deployment(c.Deployment), Scenario: s, Policy: p, Load: load / 100,
					Duration: c.Duration, Seed: c.Seed, RetryPercent: c.Retry,
				}})
			}
		}
	}
	return list
}

// runAll carries out the runs, several in parallel.
func runAll(rows []*row) {
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()-1))
	for _, k := range rows {
		slots <- struct{}{}
		group.Go(func() {
			k.result = experimenter.Simulate(k.run)
			<-slots
		})
	}
	group.Wait()
}
