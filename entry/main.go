// Program entry is the proxy: it accepts callers' requests, forwards each to an endpoint, and
// receives the announcements of endpoints.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"comfreyplank.org/entry/runner"
	"comfreyplank.org/shell/configurer"
)

func main() { os.Exit(run()) }

// gcPercent lets the heap of an entry, a few megabytes, grow to five times its live size:
// garbage collections cost latency, and memory is plentiful.
const gcPercent = 400

func run() int {
	settings, err := parse(os.Args[1:])
	if err != nil {
		return configurer.Exit("entry", err)
	}
	settings.Logging.SetDefault(os.Stderr, "entry", settings.Name)
	configurer.SetCollector(gcPercent)
	signal.Ignore(syscall.SIGHUP) // all settings are flags, there is nothing to reload
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := runner.New(settings.runner(), settings.options()...).Run(stop); err != nil {
		slog.Error("entry failed", "error", err)
		return 1
	}
	return 0
}
