package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/bench/loader"
)

// loadCommand sends a load and checks the results against bounds and guarantees.
type loadCommand struct {
	ctx         context.Context //nolint:containedctx // ends with the process
	Targets     []string        `long:"target" required:"true" description:"address that calls go to; may be repeated"`
	Records     []string        `long:"record" description:"file with the runs of a stand-in, to be checked; may be repeated"`
	Path        string          `long:"path" default:"/rounds/load" description:"path of repeatable calls"`
	OncePath    string          `long:"once-path" default:"/pledges/load" description:"path of once-only calls"`
	OncePercent int             `long:"once-percent" default:"0" description:"share of once-only calls"`
	Rate        float64         `long:"rate" default:"100" description:"calls a second"`
	Duration    time.Duration   `long:"duration" default:"10s" description:"length of the run"`
	Warmup      time.Duration   `long:"warmup" default:"1s" description:"time before figures count"`
	Timeout     time.Duration   `long:"timeout" default:"10s" description:"longest wait for an answer"`
	MaxP99      time.Duration   `long:"max-p99" description:"bound of the 99th percentile"`
	MaxRefused  float64         `long:"max-refused-percent" default:"100" description:"bound of calls told not-run, in percent"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	results := loader.New(loader.Plan{
		Targets: c.Targets, Path: c.Path, OncePath: c.OncePath, OncePercent: c.OncePercent,
		Rate: c.Rate, Duration: c.Duration, Warmup: c.Warmup, Timeout: c.Timeout,
	}).Run(c.ctx)
	printResults(results)
	problems := c.findProblems(results)
	runs, err := c.checkRuns(results)
	if err != nil {
		return err
	}
	problems = append(problems, runs...)
	for _, p := range problems {
		fmt.Println("BROKEN:", p)
	}
	if len(problems) > 0 {
		return errBoundExceeded
	}
	fmt.Println("every promise was kept")
	return nil
}

func printResults(f *loader.Results) {
	fmt.Printf("calls %d, late starts %d\n", f.Total(), f.Late)
	for o, n := range f.Count {
		fmt.Printf("  %-13s %d\n", loader.Outcome(o), n)
	}
	for _, q := range []float64{50, 90, 99, 99.9} {
		fmt.Printf("  p%-5v %v\n", q, f.Quantile(q))
	}
}

// findProblems returns the bounds that were exceeded and the guarantees that were violated
// from the callers' point of view.
func (c *loadCommand) findProblems(f *loader.Results) []string {
	var problems []string
	if n := f.Count[loader.OutcomeWrongResponse]; n > 0 {
		problems = append(problems, fmt.Sprintf("%d callers got part of an answer or someone else's", n))
	}
	if n := f.Count[loader.OutcomeBroken]; n > 0 {
		problems = append(problems, fmt.Sprintf("%d connections broke", n))
	}
	if p99 := f.Quantile(99); c.MaxP99 > 0 && p99 > c.MaxP99 {
		problems = append(problems, fmt.Sprintf("p99 is %v, the bound %v", p99, c.MaxP99))
	}
	if refused := 100 * float64(f.Count[loader.OutcomeNotRun]) / float64(max(1, f.Total())); refused > c.MaxRefused {
		problems = append(problems, fmt.Sprintf("%.2f%% were refused, the bound is %.2f%%", refused, c.MaxRefused))
	}
	return problems
}

// checkRuns compares the outcomes that callers received for once-only calls with the runs
// that the endpoints recorded.
func (c *loadCommand) checkRuns(f *loader.Results) ([]string, error) {
	if len(c.Records) == 0 {
		return nil, nil
	}
	runs := make(map[string]int)
	for _, path := range c.Records {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read runs")
		}
		for _, key := range strings.Fields(string(data)) {
			if !loader.IsMark(key) {
				runs[key]++
			}
		}
	}
	var problems []string
	for key, n := range runs {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for _, key := range f.AnsweredKeys {
		if runs[key] != 1 {
			problems = append(problems, fmt.Sprintf("key %s was answered and ran %d times", key, runs[key]))
		}
	}
	for _, key := range f.NotRunKeys {
		if runs[key] != 0 {
			problems = append(problems, fmt.Sprintf("key %s was told not run and ran", key))
		}
	}
	fmt.Printf("once-only: %d answered, %d told not run, %d keys ran\n", len(f.AnsweredKeys), len(f.NotRunKeys), len(runs))
	return problems, nil
}
