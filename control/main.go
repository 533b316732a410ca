// Program control runs a control replica. Control replicas store the configuration and the claims
// on once-only requests, and serve entries and operators.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"comfreyplank.org/control/runner"
	"comfreyplank.org/shell/configurer"
)

func main() { os.Exit(run()) }

// memoryLimit is the default of GOMEMLIMIT, close to which the garbage collector runs more often.
// It keeps the garbage of bursts and snapshots within the 128 MB that a replica may use.
const memoryLimit = 100 << 20

// maxProcs limits GOMAXPROCS, unless the environment sets it. A replica sleeps most of the time,
// and waking more threads costs more than it gains.
const maxProcs = 2

func run() int {
	settings, err := parse(os.Args[1:])
	if err != nil {
		return configurer.Exit("control", err)
	}
	settings.Logging.SetDefault(os.Stderr, "control", settings.Name)
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU()))
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	signal.Ignore(syscall.SIGHUP) // all settings are flags, there is nothing to reload
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := runner.New(settings.runner()).Run(stop); err != nil {
		slog.Error("control failed", "error", err)
		return 1
	}
	return 0
}
