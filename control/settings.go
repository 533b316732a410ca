package main

import (
	"fmt"
	"strings"
	"time"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/runner"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/configurer"
)

const maxReplicas = 7

// settings holds the command-line flags.
type settings struct {
	Name           string             `long:"name" env:"COMFREYPLANK_NAME" required:"true" description:"name of this replica, unique in the system; it stays when the disk is replaced"`
	Listen         string             `long:"listen" env:"COMFREYPLANK_LISTEN" default:"127.0.0.1:7080" description:"IP address and port for entries and replicas"`
	Advertise      string             `long:"advertise" env:"COMFREYPLANK_ADVERTISE" description:"IP address and port at which others reach this replica, where it isn't --listen"`
	Admin          string             `long:"admin" env:"COMFREYPLANK_ADMIN" default:"127.0.0.1:7081" description:"IP address and port for operators and metrics"`
	Data           string             `long:"data" env:"COMFREYPLANK_DATA" required:"true" description:"data folder, on a disk of this instance"`
	Peers          []string           `long:"peer" env:"COMFREYPLANK_PEERS" env-delim:"," description:"name=address of a replica of the first set, this one included; may be repeated; none for a single replica"`
	Grace          time.Duration      `long:"grace" env:"COMFREYPLANK_GRACE" default:"6s" description:"longest time that a planned stop takes"`
	OperatorKey    string             `long:"operator-key" env:"COMFREYPLANK_OPERATOR_KEY" description:"key that changes must carry; empty asks for none"`
	MemoryMB       int                `long:"memory" env:"COMFREYPLANK_MEMORY" default:"256" description:"memory that this replica may use, in MB; it refuses documents that don't fit. The same at all replicas"`
	SetAside       bool               `long:"set-aside-damaged" description:"move the state of a damaged data folder to its subfolder \"damaged\" and exit; the next start joins as an empty replica. Only while a majority of the other replicas is up"`
	ShedByPriority bool               `long:"shed-by-priority" env:"COMFREYPLANK_SHED_BY_PRIORITY" description:"have entries refuse the least urgent calls while a service lacks room; set it at all entries and replicas"`
	Logging        configurer.Logging `group:"Log"`
}

func parse(args []string) (settings, error) {
	var s settings
	if err := configurer.Parse(&s, args, "[options]"); err != nil {
		return s, err
	}
	return s, s.check()
}

func (s settings) check() error {
	var c configurer.Checker
	c.Name("name", s.Name)
	c.Address("listen", s.Listen)
	c.Address("admin", s.Admin)
	if s.Advertise != "" {
		c.Address("advertise", s.Advertise)
	}
	s.checkPeers(&c)
	if s.MemoryMB <= 0 {
		c.Add("memory", "must be positive")
	}
	if s.Grace <= 0 {
		c.Add("grace", "must be positive")
	}
	return c.Err()
}

func (s settings) checkPeers(c *configurer.Checker) {
	includesSelf := len(s.Peers) == 0
	for _, p := range s.Peers {
		name, address, ok := strings.Cut(p, "=")
		if !ok || !validator.ValidName(name) {
			c.Add("peer", fmt.Sprintf("%q is not name=address", p))
			continue
		}
		c.Address("peer", address)
		includesSelf = includesSelf || name == s.Name
	}
	if !includesSelf {
		c.Add("peer", fmt.Sprintf("%q itself is missing from the list", s.Name))
	}
	if len(s.Peers) > maxReplicas {
		c.Add("peer", fmt.Sprintf("at most %d replicas may be listed", maxReplicas))
	}
}

func (s settings) runner() runner.Settings {
	return runner.Settings{Name: s.Name, Listen: s.Listen, Advertise: s.Advertise, Admin: s.Admin, Data: s.Data, Peers: s.members(), Grace: s.Grace, OperatorKey: s.OperatorKey}
}

// options returns the options of the replica that the flags ask for.
func (s settings) options() []runner.Option {
	opts := []controller.Option{controller.WithMaxDocumentBytes(controller.MaxDocumentBytes(s.MemoryMB << 20))}
	if s.ShedByPriority {
		opts = append(opts, controller.WithShedding())
	}
	return []runner.Option{runner.WithDriverOptions(driver.WithControllerOptions(opts...))}
}

// members returns the peers as members of the replicated groups.
func (s settings) members() []replicator.Member {
	members := make([]replicator.Member, 0, len(s.Peers))
	for _, p := range s.Peers {
		name, address, _ := strings.Cut(p, "=")
		members = append(members, replicator.Member{Name: name, Address: address})
	}
	return members
}
