package registrar

import (
	"fmt"
	"net/netip"
	"time"

	"comfreyplank.org/core/validator"
)

const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
	// maxWarmUp is longer than any endpoint takes to warm up.
	maxWarmUp = time.Hour
)

// MaxLoad is the highest number of requests that an endpoint may say run or wait at it.
const MaxLoad = 10_000_000

// Check returns all validation problems of an announcement.
func (a Announcement) Check() []validator.Problem {
	return a.check(1)
}

// CheckOptionalConnections is like Check but allows an announcement without a number of
// connections, which the document then specifies.
func (a Announcement) CheckOptionalConnections() []validator.Problem {
	return a.check(0)
}

// CheckDeparture returns all validation problems of a deregistration. It may leave out the service and the
// incarnation where the registry completes it.
func (a Announcement) CheckDeparture() []validator.Problem {
	var problems []validator.Problem
	if a.Service != "" && !validator.ValidName(a.Service) {
		problems = append(problems, validator.Problem{Path: "service", Detail: "must be a name"})
	}
	if !validator.ValidName(a.Endpoint) {
		problems = append(problems, validator.Problem{Path: "endpoint", Detail: "must be a name"})
	}
	return problems
}

// Valid reports whether an announcement that another process has passed on can be used. A message with
// an invalid one is used without it.
func (a Announcement) Valid() bool {
	if a.Deregistered {
		return a.Service != "" && len(a.CheckDeparture()) == 0
	}
	return len(a.CheckOptionalConnections()) == 0
}

// validAddress reports whether an address is that of one endpoint: a connection to no port or to all
// addresses reaches none.
func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return false
	}
	ip := address.Addr()
	return !ip.IsUnspecified() && !ip.IsMulticast() && (ip.Zone() == "" || validator.ValidName(ip.Zone()))
}

func (a Announcement) check(minConnections int) []validator.Problem {
	var problems []validator.Problem
	add := func(path, detail string) {
		problems = append(problems, validator.Problem{Path: path, Detail: detail})
	}
	if !validator.ValidName(a.Service) {
		add("service", "must be a name")
	}
	if !validator.ValidName(a.Endpoint) {
		add("endpoint", "must be a name")
	}
	if !validAddress(a.Address) {
		add("address", "must be the IP address and port of one endpoint")
	}
	if !validator.ValidName(a.DataCentre) {
		add("data-centre", "must be a name")
	}
	inRange(add, "slots", a.Slots, 1, maxSlots)
	inRange(add, "connections", a.Connections, minConnections, maxConnections)
	inRange(add, "load", a.Load, 0, MaxLoad)
	if a.WarmUp < 0 || a.WarmUp > maxWarmUp {
		add("warm-up", "must be from 0 to "+maxWarmUp.String())
	}
	switch a.State {
	case StateStarting, StateServing, StateDraining:
	default:
		add("state", "must be one of starting, serving, draining")
	}
	if a.Incarnation == 0 {
		add("incarnation", "must be greater than 0")
	}
	return problems
}

func inRange(add func(path, detail string), path string, n, low, high int) {
	if n < low || n > high {
		add(path, fmt.Sprintf("must be from %d to %d", low, high))
	}
}
