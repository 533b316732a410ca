package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"comfreyplank.org/core/validator"
)

// editor changes a draft by the fields of one form.
type editor struct {
	fields   url.Values
	problems []validator.Problem
}

// edited returns the draft with the change that a form asks for, and the problems
// of its fields.
func edited(draft validator.Document, fields url.Values) (validator.Document, []validator.Problem) {
	e := &editor{fields: fields}
	switch fields.Get("action") {
	case "system":
		draft.Entries = e.number("entries", "entries")
	case "service":
		draft = e.service(draft)
	case "remove-service":
		draft = withoutService(draft, fields.Get("service"))
	case "stop":
		draft = e.stop(draft)
	case "admit":
		draft = draft.WithoutStop(fields.Get("service"), fields.Get("endpoint"))
	default:
		e.add("document", "the form asks for nothing known")
	}
	return draft, e.problems
}

func (e *editor) add(path, detail string) {
	e.problems = append(e.problems, validator.Problem{Path: path, Detail: detail})
}

func (e *editor) text(field string) string { return strings.TrimSpace(e.fields.Get(field)) }

func (e *editor) number(field, path string) int {
	n, err := strconv.Atoi(e.text(field))
	if err != nil {
		e.add(path, "must be a whole number")
	}
	return n
}

// service adds or replaces a service.
func (e *editor) service(draft validator.Document) validator.Document {
	name := e.text("name")
	path := fmt.Sprintf("services[%d]", position(draft, name))
	s, _ := draft.Service(name) // what the form doesn't show stays
	s.Name = name
	s.Admitted = e.list("admitted")
	s.QueueLimit = e.number("queue-limit", path+".queue-limit")
	s.RetryPercent = e.number("retry-percent", path+".retry-percent")
	s.ProbeMsPerSecond = e.number("probe-ms-per-second", path+".probe-ms-per-second")
	s.ProbeBytesPerSecond = e.number("probe-bytes-per-second", path+".probe-bytes-per-second")
	s.Routes = e.routes(path, s.Routes)
	return draft.WithService(s)
}

// position returns where a service stands, or where a new one will.
func position(draft validator.Document, name string) int {
	for i, s := range draft.Services {
		if s.Name == name {
			return i
		}
	}
	return len(draft.Services)
}

func (e *editor) list(field string) []string {
	return strings.FieldsFunc(e.fields.Get(field), func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' })
}

// former returns the route of a place as it was, for what the form doesn't show.
func former(before []validator.Route, host, prefix string) validator.Route {
	route := validator.Route{Host: host, PathPrefix: prefix}
	for _, r := range before {
		if r.SameMatch(route) {
			return r
		}
	}
	return route
}

// routes reads the rows of the routes; a row without a path is left out.
func (e *editor) routes(path string, before []validator.Route) []validator.Route {
	routes := []validator.Route{}
	for row := range e.fields["route-path-prefix"] {
		prefix := e.row("route-path-prefix", row)
		if prefix == "" {
			continue
		}
		deadline, err := strconv.Atoi(e.row("route-deadline-ms", row))
		if err != nil {
			e.add(fmt.Sprintf("%s.routes[%d].deadline-ms", path, len(routes)), "must be a whole number")
		}
		route := former(before, e.row("route-host", row), prefix)
		route.Execution = validator.Execution(e.row("route-execution", row))
		route.DeadlineMs = deadline
		route.Class = validator.Class(e.row("route-class", row))
		routes = append(routes, route)
	}
	return routes
}

func (e *editor) row(field string, row int) string {
	if values := e.fields[field]; row < len(values) {
		return strings.TrimSpace(values[row])
	}
	return ""
}

func withoutService(draft validator.Document, name string) validator.Document {
	kept := make([]validator.Service, 0, len(draft.Services))
	for _, s := range draft.Services {
		if s.Name != name {
			kept = append(kept, s)
		}
	}
	draft.Services = kept
	return draft
}

// stop adds a stop; without a time it is at once.
func (e *editor) stop(draft validator.Document) validator.Document {
	s := validator.Stop{Service: e.text("service"), Endpoint: e.text("endpoint")}
	if at := e.text("at"); at != "" {
		parsed, err := time.Parse(time.RFC3339, at)
		if err != nil {
			e.add("stops", "the time must be such as 2027-01-31T18:00:00Z")
			return draft
		}
		s.At = parsed
	}
	return draft.WithStop(s)
}
