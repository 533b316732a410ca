// Program ctl is the command-line client for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"comfreyplank.org/ctl/client"
)

// Exit codes of ctl.
const (
	exitFailed  = 1 // no replica responded, or another error occurred
	exitUsage   = 2
	exitRefused = 3 // the change was refused and will never take effect
	exitUnknown = 4 // the change may still take effect, or isn't in effect everywhere yet
)

// exitError is the exit code of a command that has already printed the reason.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// global holds the flags that all commands share.
type global struct {
	Control     []string `long:"control" env:"COMFREYPLANK_CONTROL_ADMIN" env-delim:"," default:"127.0.0.1:7081" description:"operators' IP address and port of a control replica; may be repeated"`
	OperatorKey string   `long:"operator-key" env:"COMFREYPLANK_OPERATOR_KEY" description:"key that changes carry"`
	Output      string   `long:"output" short:"o" env:"COMFREYPLANK_OUTPUT" default:"table" choice:"table" choice:"json" description:"form of the output"`
}

// environment holds the state that all commands share.
type environment struct {
	global global
	ctx    context.Context //nolint:containedctx // the lifetime of the process
}

func (e *environment) client() *client.Client {
	return client.New(e.global.Control, e.global.OperatorKey)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	env := &environment{ctx: ctx}
	parser := flags.NewParser(&env.global, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "ctl"
	parser.LongDescription = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the change was refused, 4 the outcome is not known yet."
	for _, c := range commands(env) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.commander); err != nil {
			panic(err) // a fault in the command definitions
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var code exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, "ctl:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "ctl:", err)
	return exitFailed
}
