package registrar

import (
	"fmt"
	"net/netip"

	"comfreyplank.org/core/validator"
)

const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxLoad        = 10_000_000
)

// Check returns every problem of an announcement.
func (a Announcement) Check() []validator.Problem {
	return a.check(1)
}

// CheckOptionalConnections returns every problem of an announcement that leaves it to the
// document how many connections the endpoint accepts.
func (a Announcement) CheckOptionalConnections() []validator.Problem {
	return a.check(0)
}

func (a Announcement) check(leastConnections int) []validator.Problem {
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
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		add("address", "must be an IP address and a port")
	}
	if !validator.ValidName(a.DataCentre) {
		add("data-centre", "must be a name")
	}
	inRange(add, "slots", a.Slots, 1, maxSlots)
	inRange(add, "connections", a.Connections, leastConnections, maxConnections)
	inRange(add, "load", a.Load, 0, maxLoad)
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
