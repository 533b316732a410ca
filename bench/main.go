// Program bench measures the system: it sends loads, compares load-balancing policies, and
// measures the control replicas.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// errBoundExceeded is returned if a result exceeds its bound or violates a guarantee.
var errBoundExceeded = errors.New("a bound was exceeded or a guarantee violated")

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	mustAdd(parser, "load", "Send an open-loop load", &loadCommand{ctx: ctx})
	mustAdd(parser, "compare", "Compare ways to choose endpoints, in virtual time", &compareCommand{})
	mustAdd(parser, "control", "Measure the control replicas with real processes", &controlCommand{})
	mustAdd(parser, "limit", "Measure endpoints that name a limit, with real processes", &limitCommand{ctx: ctx})
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "bench:", usage.Message)
		return 2
	}
	fmt.Fprintln(os.Stderr, "bench:", err)
	return 1
}

func mustAdd(p *flags.Parser, name, text string, data any) {
	if _, err := p.AddCommand(name, text, text, data); err != nil {
		panic(err) // the commands are hard-coded
	}
}
