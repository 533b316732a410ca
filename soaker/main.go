// Program soaker runs the real programs on loopback, injects faults, planned stops and
// configuration changes, and checks the system's guarantees meanwhile. The seed of a run
// determines its plan.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"comfreyplank.org/soaker/planner"
	"comfreyplank.org/soaker/runner"
)

// settings holds the command-line flags.
type settings struct {
	Bin       string        `long:"bin" env:"COMFREYPLANK_SOAK_BIN" default:"bin" description:"folder of the programs entry and control"`
	Keep      string        `long:"keep" env:"COMFREYPLANK_SOAK_KEEP" description:"folder for the logs of runs that broke a promise; the system's folder for temporary files if empty"`
	Seed      uint64        `long:"seed" env:"COMFREYPLANK_SOAK_SEED" description:"seed of the first run; 0 draws one"`
	Runs      int           `long:"runs" default:"1" description:"runs, one after the other, on seeds that follow each other"`
	Length    time.Duration `long:"length" default:"20s" description:"time in which things happen, in each run"`
	Controls  int           `long:"controls" default:"3" description:"control replicas"`
	Entries   int           `long:"entries" default:"3" description:"entries"`
	Endpoints int           `long:"endpoints" default:"4" description:"endpoints"`
	Callers   int           `long:"callers" default:"8" description:"callers"`
	Verbose   bool          `long:"verbose" short:"v" description:"print each step"`
}

func main() { os.Exit(run()) }

func run() int {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		return 2
	}
	if s.Verbose {
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	if s.Controls < 1 || s.Entries < 1 || s.Endpoints < 1 || s.Callers < 1 || s.Runs < 1 || s.Length <= 0 {
		fmt.Fprintln(os.Stderr, "soaker: counts must be at least 1, and the length must be positive")
		return 2
	}
	if s.Seed == 0 {
		s.Seed = uint64(rand.Uint32())
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	failed := 0
	for i := range s.Runs {
		if ctx.Err() == nil && !s.soak(ctx, s.Seed+uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d of %d runs broke a promise\n", failed, s.Runs)
	if failed > 0 {
		return 1
	}
	return 0
}

// soak runs one seed and reports whether every guarantee held. If one was violated, the
// run's folder is kept.
func (s settings) soak(ctx context.Context, seed uint64) bool {
	folder, err := os.MkdirTemp(s.Keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, "soaker:", err)
		return false
	}
	bin, err := filepath.Abs(s.Bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soaker:", err)
		return false
	}
	r, err := runner.Run(ctx, runner.Settings{
		Bin: bin, Work: folder, Seed: seed, Length: s.Length, Callers: s.Callers,
		Size: planner.Size{Controls: s.Controls, Entries: s.Entries, Endpoints: s.Endpoints},
	})
	fmt.Printf("seed %d: %d steps, revision %d, answered %d, not run %d, unknown %d, broken %d, violations %d\n",
		seed, r.Steps, r.Revision, r.Answered, r.NotRun, r.Unknown, r.Broken, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	if err == nil && len(r.Violations) == 0 {
		_ = os.RemoveAll(folder) // leftover files do no harm
		return true
	}
	fmt.Println("   logs:", folder, "error:", err)
	return false
}
