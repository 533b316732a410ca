// Program control runs a control replica. Control replicas store the configuration and the claims
// on once-only requests, and serve entries and operators.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/pkg/errors"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/journaler"
	"comfreyplank.org/control/runner"
	"comfreyplank.org/shell/configurer"
)

func main() { os.Exit(run()) }

// memoryLimit is the default of GOMEMLIMIT, close to which the garbage collector runs more often, for a replica with much memory. It
// keeps the garbage of bursts and snapshots within what a replica may use.
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
	configurer.LimitMemory(min(memoryLimit, configurer.MemoryShare(settings.MemoryMB<<20)))
	if settings.SetAside {
		return setAside(settings.Data)
	}
	signal.Ignore(syscall.SIGHUP) // all settings are flags, there is nothing to reload
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := runner.New(settings.runner(), settings.options()...).Run(stop); err != nil {
		slog.Error("control failed", "error", err)
		if errors.Is(err, journaler.ErrDamaged) {
			slog.Error("while a majority of the other replicas is up, run control again with --set-aside-damaged, then start it as before: it joins as an empty replica", "data", settings.Data)
		}
		return 1
	}
	return 0
}

// setAside moves the damaged state out of the data folder.
func setAside(folder string) int {
	aside, err := driver.SetAside(folder)
	if err != nil {
		slog.Error("nothing was set aside", "data", folder, "error", err)
		return 1
	}
	slog.Info("the damaged state was set aside; the next start joins as an empty replica", "folder", aside)
	return 0
}
