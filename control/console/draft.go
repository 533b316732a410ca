package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"comfreyplank.org/core/validator"
)

// formEditor applies the fields of one form to a draft, and collects the problems of the fields.
type formEditor struct {
	fields   url.Values
	problems []validator.Problem
}

// applyForm returns the draft with the change that a form requests, and the problems of the
// form's fields.
func applyForm(draft validator.Document, fields url.Values) (validator.Document, []validator.Problem) {
	e := &formEditor{fields: fields}
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
		e.addProblem("document", "the form asks for nothing known")
	}
	return draft, e.problems
}

func (e *formEditor) addProblem(path, detail string) {
	e.problems = append(e.problems, validator.Problem{Path: path, Detail: detail})
}

func (e *formEditor) text(field string) string { return strings.TrimSpace(e.fields.Get(field)) }

func (e *formEditor) number(field, path string) int {
	n, err := strconv.Atoi(e.text(field))
	if err != nil {
		e.addProblem(path, "must be a whole number")
	}
	return n
}

// service adds or replaces the service in the form.
func (e *formEditor) service(draft validator.Document) validator.Document {
	name := e.text("name")
	path := fmt.Sprintf("services[%d]", serviceIndex(draft, name))
	s, _ := draft.Service(name) // settings that are not in the form stay
	s.Name = name
	s.Admitted = e.list("admitted")
	s.QueueLimit = e.number("queue-limit", path+".queue-limit")
	s.RetryPercent = e.number("retry-percent", path+".retry-percent")
	s.ProbeMsPerSecond = e.number("probe-ms-per-second", path+".probe-ms-per-second")
	s.ProbeBytesPerSecond = e.number("probe-bytes-per-second", path+".probe-bytes-per-second")
	s.Routes = e.routes(path, s.Routes)
	return draft.WithService(s)
}

// serviceIndex returns the index of a service in the draft, or the index at which it will be
// added.
func serviceIndex(draft validator.Document, name string) int {
	for i, s := range draft.Services {
		if s.Name == name {
			return i
		}
	}
	return len(draft.Services)
}

func (e *formEditor) list(field string) []string {
	return strings.FieldsFunc(e.fields.Get(field), func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' })
}

// previousRoute returns the route with a host and a path prefix, which has the settings that are
// not in the form. If there is none, it returns a new route.
func previousRoute(previous []validator.Route, host, prefix string) validator.Route {
	route := validator.Route{Host: host, PathPrefix: prefix}
	for _, r := range previous {
		if r.SameMatch(route) {
			return r
		}
	}
	return route
}

// routes returns the routes in the form. It skips rows without a path prefix.
func (e *formEditor) routes(path string, previous []validator.Route) []validator.Route {
	routes := []validator.Route{}
	for row := range e.fields["route-path-prefix"] {
		prefix := e.row("route-path-prefix", row)
		if prefix == "" {
			continue
		}
		deadline, err := strconv.Atoi(e.row("route-deadline-ms", row))
		if err != nil {
			e.addProblem(fmt.Sprintf("%s.routes[%d].deadline-ms", path, len(routes)), "must be a whole number")
		}
		route := previousRoute(previous, e.row("route-host", row), prefix)
		route.Execution = validator.Execution(e.row("route-execution", row))
		route.DeadlineMs = deadline
		route.Class = validator.Class(e.row("route-class", row))
		routes = append(routes, route)
	}
	return routes
}

func (e *formEditor) row(field string, row int) string {
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

// stop adds the stop in the form to the draft. Without a time, the stop takes effect at once.
func (e *formEditor) stop(draft validator.Document) validator.Document {
	s := validator.Stop{Service: e.text("service"), Endpoint: e.text("endpoint")}
	if at := e.text("at"); at != "" {
		parsed, err := time.Parse(time.RFC3339, at)
		if err != nil {
			e.addProblem("stops", "the time must be such as 2027-01-31T18:00:00Z")
			return draft
		}
		s.At = parsed
	}
	return draft.WithStop(s)
}
