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
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"path":     fmt.Sprintf,
	"join":     strings.Join,
	"stopped":  stopTime,
	"clock":    formatTime,
	"extended": withEmptyRoute,
	"field":    newInputField,
	"routes":   newRouteRow,
}).Parse(pageSource))

// inputField is one labelled input.
type inputField struct {
	ID, Name, Label string
	Value           any
	Problem         string
	Numeric         bool
}

func newInputField(problems []validator.Problem, path, name, label string, value any) inputField {
	_, numeric := value.(int)
	return inputField{ID: path, Name: name, Label: label, Value: value, Problem: problemAt(problems, path), Numeric: numeric}
}

// routeRow is one route with the place that its problems name.
type routeRow struct {
	Path     string
	Route    validator.Route
	Problems []validator.Problem
}

func newRouteRow(problems []validator.Problem, path string, route validator.Route) routeRow {
	return routeRow{Path: path, Route: route, Problems: problems}
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

// stopTime returns the stop of an endpoint in words, or nothing.
func stopTime(d validator.Document, service, endpoint string) string {
	for _, s := range d.Stops {
		if s.Service == service && s.Endpoint == endpoint {
			return formatStopTime(s.At)
		}
	}
	return ""
}

func formatTime(s recorder.Stamp) string { return time.UnixMilli(s.Wall).UTC().Format("15:04:05.000") }

// withEmptyRoute returns the routes with an empty row for a new one.
func withEmptyRoute(routes []validator.Route) []validator.Route {
	return append(append([]validator.Route(nil), routes...), validator.Route{DeadlineMs: 1000, Class: validator.ClassInteractive})
}
