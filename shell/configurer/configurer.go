// Package configurer reads and validates the settings of a program. Every setting can be given
// as a flag or as an environment variable.
package configurer

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"comfreyplank.org/core/validator"
)

// ExitUsage is the exit code for invalid settings.
const ExitUsage = 2

// ErrHelp is returned after the help text was requested and printed.
var ErrHelp = errors.New("help requested")

// Logging holds the settings of the log.
type Logging struct {
	Level  string `long:"log-level" env:"COMFREYPLANK_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	Format string `long:"log-format" env:"COMFREYPLANK_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"form of the log"`
}

// SetDefault replaces the default logger of the process by one with these settings.
func (l Logging) SetDefault(w io.Writer, program, name string) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // every choice of the flag is a valid level
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if l.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	slog.SetDefault(slog.New(handler).With("program", program, "instance", name))
}

// Parse sets the fields of settings from the arguments and the environment.
func Parse(settings any, args []string, usage string) error {
	parser := flags.NewParser(settings, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = usage
	rest, err := parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(os.Stdout, flagError.Message)
		return ErrHelp
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	return err
}

// Checker validates settings and collects the errors.
type Checker struct {
	errs []string
}

// Add adds an error about a flag.
func (c *Checker) Add(flag, detail string) {
	c.errs = append(c.errs, fmt.Sprintf("--%s: %s", flag, detail))
}

// Name checks that a value is a valid name of an instance or a data centre.
func (c *Checker) Name(flag, value string) {
	if !validator.ValidName(value) {
		c.Add(flag, fmt.Sprintf("%q may hold letters, digits, dot, dash and underscore only", value))
	}
}

// Address checks that a value consists of an IP address and a port.
func (c *Checker) Address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(flag, fmt.Sprintf("%q is not an IP address and a port", value))
	}
}

// Addresses checks every value like Address.
func (c *Checker) Addresses(flag string, values []string) {
	for _, v := range values {
		c.Address(flag, v)
	}
}

// Err returns an error with one line for each collected error, or nil if there is none.
func (c *Checker) Err() error {
	if len(c.errs) == 0 {
		return nil
	}
	return errors.New(strings.Join(c.errs, "\n"))
}

// Exit prints an error of Parse or a Checker to standard error and returns the exit code for it.
// For ErrHelp it prints nothing.
func Exit(program string, err error) int {
	if errors.Is(err, ErrHelp) {
		return 0
	}
	for line := range strings.Lines(err.Error()) {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", program, strings.TrimSpace(line))
	}
	return ExitUsage
}
