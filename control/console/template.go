package console

import (
	_ "embed"
	"fmt"
	"html/template"
	"strings"
	"time"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
)

//go:embed page.html
var source string

var pages = template.Must(template.New("page").Funcs(template.FuncMap{
	"path":     fmt.Sprintf,
	"join":     strings.Join,
	"stopped":  stopped,
	"clock":    clock,
	"extended": extended,
	"field":    newField,
	"routes":   newRow,
}).Parse(source))

// field is one labelled input.
type field struct {
	ID, Name, Label string
	Value           any
	Problem         string
	Numeric         bool
}

func newField(problems []validator.Problem, path, name, label string, value any) field {
	_, numeric := value.(int)
	return field{ID: path, Name: name, Label: label, Value: value, Problem: problemAt(problems, path), Numeric: numeric}
}

// row is one route with the place that its problems name.
type row struct {
	Path     string
	Route    validator.Route
	Problems []validator.Problem
}

func newRow(problems []validator.Problem, path string, route validator.Route) row {
	return row{Path: path, Route: route, Problems: problems}
}

// problemAt returns what is wrong at a path.
func problemAt(problems []validator.Problem, path string) string {
	for _, p := range problems {
		if p.Path == path {
			return p.Detail
		}
	}
	return ""
}

// stopped returns the stop of an endpoint in words, or nothing.
func stopped(d validator.Document, service, endpoint string) string {
	for _, s := range d.Stops {
		if s.Service == service && s.Endpoint == endpoint {
			return when(s.At)
		}
	}
	return ""
}

func clock(s recorder.Stamp) string { return time.UnixMilli(s.Wall).UTC().Format("15:04:05.000") }

// extended returns the routes with an empty row for a new one.
func extended(routes []validator.Route) []validator.Route {
	return append(append([]validator.Route(nil), routes...), validator.Route{DeadlineMs: 1000, Class: validator.ClassInteractive})
}
