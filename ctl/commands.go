package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/ctl/client"
)

const pollInterval = 200 * time.Millisecond

// command describes one command. The commander implements flags.Commander and holds the command's
// options.
type command struct {
	name, short, long string
	commander         any
}

func commands(env *environment) []command {
	return []command{
		{"apply", "Put a document in force", "Sends a document to the system. It takes effect whole or is refused whole. Sending the same document again is safe: it gets the first answer.", &applyCommand{env: env}},
		{"validate", "Check a document", "Checks a document without a replica and lists every error with its path.", &validateCommand{env: env}},
		{"document", "Print the document in force", "Prints the document in force, prepared as a change to the present revision.", &documentCommand{env: env}},
		{"status", "Show replicas, entries and endpoints", "Shows what every replica that answers knows.", &statusCommand{env: env}},
		{"timeline", "Show events of all processes", "Merges the events of all replicas and entries.", &timelineCommand{env: env}},
		{"drain", "Take an endpoint out of service", "Adds a stop to the document: the endpoint gets no new work, and what is in flight ends.", &drainCommand{env: env}},
		{"evacuate", "Send no requests to a data centre", "Begins the evacuation of a data centre: its endpoints get no new work, and what is in flight there ends. It lasts until --finish, whatever documents are applied.", &evacuateCommand{env: env}},
		{"reference", "Print the document's reference", "Prints the reference page of the document.", &referenceCommand{}},
		{"admit", "Take a stopped endpoint back", "Removes the endpoint's stop from the document.", &admitCommand{env: env}},
	}
}

type referenceCommand struct{}

// Execute implements flags.Commander.
func (c *referenceCommand) Execute([]string) error {
	_, err := os.Stdout.WriteString(validator.Reference())
	return errors.Wrap(err, "print")
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"the document; - for standard input"`
}

func (f fileArgument) read() ([]byte, error) {
	if f.File == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Wrap(err, "read document")
	}
	data, err := os.ReadFile(f.File)
	return data, errors.Wrap(err, "read document")
}

type applyCommand struct {
	env  *environment
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	return c.env.apply(data)
}

// apply sends a document and prints the result.
func (e *environment) apply(data []byte) error {
	result, err := e.client().Apply(e.ctx, data)
	if err != nil {
		return err
	}
	e.showResult(result)
	return resultError(result)
}

// resultError returns the exit code for a result, or nil if the command succeeded.
func resultError(result client.Result) error {
	switch result.Status {
	case "in-force", "valid":
		return nil
	case "refused":
		return exitError(exitRefused)
	case "not-taken":
		return exitError(exitFailed)
	}
	return exitError(exitUnknown)
}

type validateCommand struct {
	env  *environment
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	result := client.Result{Status: "valid", Detail: "the document is valid"}
	if _, problems := validator.Parse(data); len(problems) > 0 {
		result = client.Result{Status: "refused", Detail: "the document is not valid", Problems: problems}
	}
	c.env.showResult(result)
	return resultError(result)
}

type documentCommand struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *documentCommand) Execute([]string) error {
	current, err := c.env.client().Read(c.env.ctx)
	if err != nil {
		return err
	}
	return printJSON(current.Document.WithBase(current.Revision, uuid.NewString()))
}

type statusCommand struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	statuses, err := c.env.client().Status(c.env.ctx)
	if err != nil {
		return err
	}
	if c.env.global.Output == "json" {
		return printJSON(statuses)
	}
	showStatus(os.Stdout, statuses)
	return nil
}

type timelineCommand struct {
	env      *environment
	Follow   bool          `long:"follow" short:"f" description:"go on showing new events"`
	Since    time.Duration `long:"since" default:"1h" description:"how far back to begin"`
	Instance string        `long:"instance" description:"only events of this process"`
	Kind     string        `long:"kind" description:"only events of this kind"`
	Service  string        `long:"service" description:"only events of this service"`
	Endpoint string        `long:"endpoint" description:"only events of this endpoint"`
	Request  string        `long:"request" description:"only events of this request id"`
}

func (c *timelineCommand) filter() recorder.Filter {
	return recorder.Filter{
		After:    recorder.Stamp{Wall: time.Now().Add(-c.Since).UnixMilli()},
		Instance: c.Instance, Kind: recorder.Kind(c.Kind), Service: c.Service, Endpoint: c.Endpoint, Request: c.Request,
	}
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	filter := c.filter()
	for {
		timeline := c.env.client().Timeline(c.env.ctx, filter)
		if err := c.env.showTimeline(timeline); err != nil {
			return err
		}
		if !c.Follow || c.env.ctx.Err() != nil {
			return nil
		}
		if n := len(timeline.Events); n > 0 {
			filter.After = timeline.Events[n-1].At
		}
		time.Sleep(pollInterval)
	}
}

type endpointArguments struct {
	Service  string `positional-arg-name:"SERVICE"`
	Endpoint string `positional-arg-name:"ENDPOINT"`
}

type drainCommand struct {
	env  *environment
	At   string            `long:"at" description:"when new work ends, RFC 3339; at once without it"`
	Wait time.Duration     `long:"wait" description:"how long to wait until nothing is in flight there"`
	Args endpointArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	stop := validator.Stop{Service: c.Args.Service, Endpoint: c.Args.Endpoint}
	if c.At != "" {
		at, err := time.Parse(time.RFC3339, c.At)
		if err != nil {
			return errors.Wrap(err, "--at")
		}
		stop.At = at
	}
	err := c.env.edit(func(d validator.Document) validator.Document { return d.WithStop(stop) })
	if err != nil || c.Wait == 0 {
		return err
	}
	return c.env.waitForStop(stop, c.Wait)
}

type admitCommand struct {
	env  *environment
	Args endpointArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *admitCommand) Execute([]string) error {
	return c.env.edit(func(d validator.Document) validator.Document {
		return d.WithoutStop(c.Args.Service, c.Args.Endpoint)
	})
}

type evacuateCommand struct {
	env    *environment
	Finish bool `long:"finish" description:"finish the evacuation"`
	Args   struct {
		DataCentre string `positional-arg-name:"DATA-CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	result, err := c.env.client().Evacuate(c.env.ctx, c.Args.DataCentre, !c.Finish)
	if err != nil {
		return err
	}
	c.env.showResult(result)
	return resultError(result)
}

// edit reads the current document, changes it and applies the new one.
func (e *environment) edit(change func(validator.Document) validator.Document) error {
	current, err := e.client().Read(e.ctx)
	if err != nil {
		return err
	}
	changed := change(current.Document).WithBase(current.Revision, uuid.NewString())
	data, err := json.Marshal(changed)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	return e.apply(data)
}

// waitForStop waits until every entry that holds its configuration lease reports that it has
// nothing in flight at the endpoint.
func (e *environment) waitForStop(stop validator.Stop, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		statuses, err := e.client().Status(e.ctx)
		if err == nil && stopComplete(statuses, stop) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s of %s still has work in flight", stop.Endpoint, stop.Service)
}
