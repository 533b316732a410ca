package validator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Problem describes one error in a document.
type Problem struct {
	// Path locates the error in the document, such as services[2].routes[0].class.
	Path string `json:"path"`
	// Detail describes the error.
	Detail string `json:"detail"`
}

// String formats the problem as one line.
func (p Problem) String() string { return p.Path + ": " + p.Detail }

// Parse decodes and validates a document. It returns either the document or the problems that
// were found in it.
func Parse(data []byte) (Document, []Problem) {
	if len(data) > MaxDocumentBytes {
		return Document{}, []Problem{{"document", fmt.Sprintf("is larger than %d bytes", MaxDocumentBytes)}}
	}
	tree, err := decode(data)
	if err != nil {
		return Document{}, []Problem{{"document", err.Error()}}
	}
	var c checker
	c.object("", tree, Schema())
	if len(c.problems) > 0 {
		return Document{}, c.problems
	}
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, []Problem{{"document", err.Error()}}
	}
	if problems := Check(doc); len(problems) > 0 {
		return Document{}, problems
	}
	return doc, nil
}

func decode(data []byte) (any, error) {
	if !utf8.Valid(data) {
		return nil, fmt.Errorf("is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("is not JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("has data after its end")
	}
	return tree, nil
}

// checker compares a decoded JSON tree to the schema and collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	if path == "" {
		path = "document"
	}
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

func (c *checker) object(path string, value any, fields []Field) {
	object, ok := value.(map[string]any)
	if !ok {
		c.add(path, "must be an object")
		return
	}
	c.unknownKeys(path, object, fields)
	for _, f := range fields {
		child, present := object[f.Name]
		switch {
		case present:
			c.value(join(path, f.Name), child, f)
		case f.Required:
			c.add(join(path, f.Name), "is missing")
		}
	}
}

func (c *checker) unknownKeys(path string, object map[string]any, fields []Field) {
	var names []string
	for name := range object {
		known := slices.ContainsFunc(fields, func(f Field) bool { return f.Name == name })
		if !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		c.add(join(path, name), "is not a known key")
	}
}

func (c *checker) value(path string, value any, f Field) {
	switch f.Kind {
	case KindInteger:
		c.integer(path, value, f)
	case KindNumber:
		c.number(path, value, f)
	case KindBoolean:
		if _, ok := value.(bool); !ok {
			c.add(path, "must be true or false")
		}
	case KindString:
		c.text(path, value, f)
	case KindTime:
		c.time(path, value)
	case KindObjects:
		c.list(path, value, f, func(p string, v any) { c.object(p, v, f.Fields) })
	case KindStrings:
		c.list(path, value, f, func(p string, v any) { c.text(p, v, f.elementField()) })
	case KindObject:
		c.object(path, value, f.Fields)
	}
}

// elementField returns the definition of an element of a list of strings.
func (f Field) elementField() Field {
	return Field{Name: f.Name, Kind: KindString, Min: 1, Max: cmp.Or(f.MaxElement, MaxNameLength), IsName: f.IsName}
}

func (c *checker) list(path string, value any, f Field, each func(string, any)) {
	items, ok := value.([]any)
	if !ok {
		c.add(path, "must be a list")
		return
	}
	if int64(len(items)) > f.Max || int64(len(items)) < f.Min {
		c.add(path, "must have %d to %d items", f.Min, f.Max)
		return
	}
	for i, item := range items {
		each(fmt.Sprintf("%s[%d]", path, i), item)
	}
}

func (c *checker) integer(path string, value any, f Field) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(path, "must be a whole number")
		return
	}
	n, err := number.Int64()
	if err != nil {
		c.add(path, "must be a whole number")
		return
	}
	if n < f.Min || n > f.Max {
		c.add(path, "must be from %d to %d", f.Min, f.Max)
	}
}

func (c *checker) number(path string, value any, f Field) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(path, "must be a number")
		return
	}
	n, err := number.Float64()
	if err != nil || n < float64(f.Min) || n > float64(f.Max) {
		c.add(path, "must be from %d to %d", f.Min, f.Max)
	}
}

func (c *checker) text(path string, value any, f Field) {
	s, ok := value.(string)
	if !ok {
		c.add(path, "must be a string")
		return
	}
	if len(f.Choices) > 0 {
		if !slices.Contains(f.Choices, s) {
			c.add(path, "must be one of %s", strings.Join(f.Choices, ", "))
		}
		return
	}
	if int64(len(s)) < f.Min || int64(len(s)) > f.Max {
		c.add(path, "must have %d to %d bytes", f.Min, f.Max)
		return
	}
	if f.IsName && !ValidName(s) {
		c.add(path, "may hold letters, digits, dot, dash and underscore only")
	}
}

func (c *checker) time(path string, value any) {
	s, ok := value.(string)
	if !ok {
		c.add(path, "must be a time such as 2027-01-31T18:00:00Z")
		return
	}
	if _, err := time.Parse(time.RFC3339, s); err != nil {
		c.add(path, "must be a time such as 2027-01-31T18:00:00Z")
	}
}

// ValidName reports whether s is a valid name of a service, an endpoint or a change.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for _, r := range s {
		if !isNameRune(r) {
			return false
		}
	}
	return s != "." && s != ".."
}

func isNameRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}

// Check returns the problems that the schema can't express, such as invalid references between
// fields and invalid path prefixes.
func Check(doc Document) []Problem {
	var c checker
	c.services(doc)
	c.stops(doc)
	c.workspaces(doc)
	return c.problems
}

type matchKey struct {
	host   string
	prefix string
}

func (c *checker) services(doc Document) {
	names := make(map[string]int, len(doc.Services))
	routes := make(map[matchKey]string)
	for i, s := range doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		if first, ok := names[s.Name]; ok {
			c.add(path+".name", "repeats services[%d].name", first)
		}
		names[s.Name] = i
		for j, r := range s.Routes {
			routePath := fmt.Sprintf("%s.routes[%d]", path, j)
			c.route(routePath, r, routes)
			c.split(routePath+".split", doc, r.Split)
		}
	}
}

func (c *checker) split(path string, doc Document, parts []WeightedService) {
	sum := 0
	for i, p := range parts {
		if _, ok := doc.Service(p.Service); !ok {
			c.add(fmt.Sprintf("%s[%d].service", path, i), "names no service of this document")
		}
		sum += p.Weight
	}
	if len(parts) > 0 && sum == 0 {
		c.add(path, "must have a weight above 0")
	}
}

func (c *checker) route(path string, r Route, seen map[matchKey]string) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(path+".path-prefix", "must start with a slash")
	}
	if strings.HasPrefix(r.PathPrefix, "/comfreyplank") {
		c.add(path+".path-prefix", "is reserved for the system")
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		c.add(path+".host", "must be a host in lower case without port")
	}
	key := matchKey{r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
	if first, ok := seen[key]; ok {
		c.add(path, "repeats the host and path prefix of %s", first)
		return
	}
	seen[key] = path
}

// workspaces checks that names and keys tell workspaces apart. The problems don't contain the keys.
func (c *checker) workspaces(doc Document) {
	names := make(map[string]int, len(doc.Workspaces))
	holders := make(map[string]int)
	for i, w := range doc.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if first, ok := names[w.Name]; ok {
			c.add(path+".name", "repeats workspaces[%d].name", first)
		}
		names[w.Name] = i
		for j, key := range w.Keys {
			if first, ok := holders[key]; ok && first != i {
				c.add(fmt.Sprintf("%s.keys[%d]", path, j), "is a key of workspaces[%d] too", first)
				continue
			}
			holders[key] = i
		}
	}
}

func (c *checker) stops(doc Document) {
	for i, s := range doc.Stops {
		if _, ok := doc.Service(s.Service); !ok {
			c.add(fmt.Sprintf("stops[%d].service", i), "names no service of this document")
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
