package main

import (
	"time"

	"comfreyplank.org/entry/runner"
	"comfreyplank.org/shell/configurer"
)

// settings are the flags of the entry program.
type settings struct {
	Name        string             `long:"name" env:"COMFREYPLANK_NAME" required:"true" description:"name of this instance, unique in the system"`
	DataCentre  string             `long:"data-centre" env:"COMFREYPLANK_DATA_CENTRE" required:"true" description:"data centre of this instance"`
	Listen      string             `long:"listen" env:"COMFREYPLANK_LISTEN" default:"127.0.0.1:8080" description:"IP address and port for callers, endpoints and the platform"`
	Admin       string             `long:"admin" env:"COMFREYPLANK_ADMIN" default:"127.0.0.1:8081" description:"IP address and port for metrics and the time line"`
	Control     []string           `long:"control" env:"COMFREYPLANK_CONTROL" env-delim:"," required:"true" description:"IP address and port of a control replica; may be repeated"`
	AnnounceKey string             `long:"announce-key" env:"COMFREYPLANK_ANNOUNCE_KEY" description:"key that endpoints send with announcements; empty asks for none"`
	Notice      time.Duration      `long:"notice" env:"COMFREYPLANK_NOTICE" default:"5s" description:"how long to serve on after a stop signal, until the platform's balancer has noticed"`
	Grace       time.Duration      `long:"grace" env:"COMFREYPLANK_GRACE" default:"10m" description:"longest wait for requests in flight when stopping"`
	Logging     configurer.Logging `group:"Log"`
}

func parse(args []string) (settings, error) {
	var s settings
	if err := configurer.Parse(&s, args, "[options]"); err != nil {
		return s, err
	}
	return s, s.check()
}

func (s settings) runner() runner.Settings {
	return runner.Settings{
		Name: s.Name, DataCentre: s.DataCentre, Listen: s.Listen, Admin: s.Admin, Control: s.Control,
		AnnounceKey: s.AnnounceKey, ShutdownNotice: s.Notice, Grace: s.Grace,
	}
}

func (s settings) check() error {
	var c configurer.Checker
	c.Name("name", s.Name)
	c.Name("data-centre", s.DataCentre)
	c.Address("listen", s.Listen)
	c.Address("admin", s.Admin)
	c.Addresses("control", s.Control)
	if s.Notice < 0 {
		c.Add("notice", "must not be negative")
	}
	if s.Grace <= 0 {
		c.Add("grace", "must be positive")
	}
	return c.Err()
}
