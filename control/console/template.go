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

// inputField is a labelled input of a form.
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

// routeRow is a route of a form. Path is its path in the document, as used in problems.
type routeRow struct {
	Path     string
	Route    validator.Route
	Problems []validator.Problem
}

func newRouteRow(problems []validator.Problem, path string, route validator.Route) routeRow {
	return routeRow{Path: path, Route: route, Problems: problems}
}

// problemAt returns the detail of the first problem at a path, or an empty string.
func problemAt(problems []validator.Problem, path string) string {
	for _, p := range problems {
		if p.Path == path {
			return p.Detail
		}
	}
	return ""
}

// stopTime describes when an endpoint is to stop. It is empty for an endpoint without a stop.
func stopTime(d validator.Document, service, endpoint string) string {
	for _, s := range d.Stops {
		if s.Service == service && s.Endpoint == endpoint {
			return formatStopTime(s.At)
		}
	}
	return ""
}

func formatTime(s recorder.Stamp) string { return time.UnixMilli(s.Wall).UTC().Format("15:04:05.000") }

// withEmptyRoute appends a route with default settings, which the page shows as the row for a new
// route.
func withEmptyRoute(routes []validator.Route) []validator.Route {
	return append(append([]validator.Route(nil), routes...), validator.Route{DeadlineMs: 1000, Class: validator.ClassInteractive})
}
