// Program entry accepts callers' requests, forwards each to an endpoint, and
// takes endpoints' announcements.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"comfreyplank.org/shell/configurer"
)

func main() { os.Exit(run()) }

func run() int {
	settings, err := parse(os.Args[1:])
	if err != nil {
		return configurer.Exit("entry", err)
	}
	settings.Logging.Start(os.Stderr, "entry", settings.Name)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := newInstance(settings).run(stop); err != nil {
		slog.Error("entry failed", "error", err)
		return 1
	}
	return 0
}
