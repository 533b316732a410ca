// Program control is a replica that keeps the configuration and the claims on
// once-only requests, and serves entries and operators.
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

// memoryLimit is where collections become more frequent, so that garbage of bursts and
// snapshots does not take a replica beyond the 128 MB that it may use.
const memoryLimit = 100 << 20

// threads bounds the threads that run at once: a replica sleeps most of the time, and
// waking more of them costs more than it gains.
const threads = 2

func run() int {
	settings, err := parse(os.Args[1:])
	if err != nil {
		return configurer.Exit("control", err)
	}
	settings.Logging.SetDefault(os.Stderr, "control", settings.Name)
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(threads, runtime.NumCPU()))
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := runner.New(settings.runner()).Run(stop); err != nil {
		slog.Error("control failed", "error", err)
		return 1
	}
	return 0
}
