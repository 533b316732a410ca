package main

import (
	"time"

	"comfreyplank.org/core/admitter"
	"comfreyplank.org/entry/regulator"
	"comfreyplank.org/entry/runner"
	"comfreyplank.org/shell/configurer"
)

// settings holds the values of the entry's flags.
type settings struct {
	Name           string             `long:"name" env:"COMFREYPLANK_NAME" required:"true" description:"name of this instance, unique in the system"`
	DataCentre     string             `long:"data-centre" env:"COMFREYPLANK_DATA_CENTRE" required:"true" description:"data centre of this instance"`
	Listen         string             `long:"listen" env:"COMFREYPLANK_LISTEN" default:"127.0.0.1:8080" description:"IP address and port for callers, endpoints and the platform"`
	Admin          string             `long:"admin" env:"COMFREYPLANK_ADMIN" default:"127.0.0.1:8081" description:"IP address and port for metrics and the time line"`
	Control        []string           `long:"control" env:"COMFREYPLANK_CONTROL" env-delim:"," required:"true" description:"IP address and port of a control replica; may be repeated"`
	AnnounceKey    string             `long:"announce-key" env:"COMFREYPLANK_ANNOUNCE_KEY" description:"key that endpoints send with announcements; empty asks for none"`
	ShutdownNotice time.Duration      `long:"notice" env:"COMFREYPLANK_NOTICE" default:"5s" description:"how long to serve on after a stop signal, until the platform's balancer has noticed"`
	Grace          time.Duration      `long:"grace" env:"COMFREYPLANK_GRACE" default:"10m" description:"longest wait for requests in flight when stopping"`
	ShedByPriority bool               `long:"shed-by-priority" env:"COMFREYPLANK_SHED_BY_PRIORITY" description:"count calls by service and priority, so that control can have the least urgent ones refused while a service lacks room; set it at all entries and replicas"`
	Logging        configurer.Logging `group:"Log"`
}

func parse(args []string) (settings, error) {
	var s settings
	if err := configurer.Parse(&s, args, "[options]"); err != nil {
		return s, err
	}
	return s, s.validate()
}

func (s settings) runner() runner.Settings {
	return runner.Settings{
		Name: s.Name, DataCentre: s.DataCentre, Listen: s.Listen, Admin: s.Admin, Control: s.Control,
		AnnounceKey: s.AnnounceKey, ShutdownNotice: s.ShutdownNotice, Grace: s.Grace,
	}
}

// options returns the options of the entry that the flags ask for.
func (s settings) options() []runner.Option {
	if !s.ShedByPriority {
		return nil
	}
	return []runner.Option{runner.WithRegulatorOptions(regulator.WithAdmitterOptions(admitter.WithServiceUsage()))}
}

func (s settings) validate() error {
	var c configurer.Checker
	c.Name("name", s.Name)
	c.Name("data-centre", s.DataCentre)
	c.Address("listen", s.Listen)
	c.Address("admin", s.Admin)
	c.Addresses("control", s.Control)
	if s.ShutdownNotice < 0 {
		c.Add("notice", "must not be negative")
	}
	if s.Grace <= 0 {
		c.Add("grace", "must be positive")
	}
	return c.Err()
}
