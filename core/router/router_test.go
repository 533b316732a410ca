package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

func route(host, prefix string) validator.Service {
	return validator.Service{Name: host + prefix, Routes: []validator.Route{{Host: host, PathPrefix: prefix}}}
}

func TestMatchReturnsMostSpecificRoute(t *testing.T) {
	r := New(validator.Document{Services: []validator.Service{
		route("", "/a"), route("", "/a/b"), route("h.example", "/a"), route("", "/slash/"),
	}})
	tests := []struct{ host, path, want string }{
		{"x", "/a", "/a"},
		{"x", "/a/c", "/a"},
		{"x", "/a/b/c", "/a/b"},
		{"x", "/ab", ""},
		{"h.example:8080", "/a/x", "h.example/a"},
		{"H.Example", "/a", "h.example/a"},
		{"h.example", "/a/b", "/a/b"},
		{"x", "/slash/y", "/slash/"},
		{"x", "/", ""},
	}
	for _, tt := range tests {
		m, ok := r.Match(tt.host, tt.path)
		assert.Equal(t, m.Service, tt.want, "%s%s", tt.host, tt.path)
		assert.Equal(t, ok, tt.want != "")
	}
}

// TestEncodedPrefixesMatch guards against routes that no request reaches, as their prefix holds a percent sign. Paths are as the
// caller wrote them.
func TestEncodedPrefixesMatch(t *testing.T) {
	r := New(validator.Document{Services: []validator.Service{
		route("", "/"), route("", "/a%20b/"), route("", "/a%20b/c%2Fd"), route("", "/100%/"), route("", "/%C3%A4"),
	}})
	tests := []struct{ path, want string }{
		{"/a b/", "/a%20b/"},
		{"/a%20b/", "/a%20b/"},
		{"/a%20b/c", "/a%20b/"},
		{"/a%20b/c%2Fd", "/a%20b/c%2Fd"},
		{"/a%20b/c%2fd/e", "/a%20b/c%2Fd"},
		{"/a%20b/c/d", "/a%20b/"}, // an encoded slash is no slash
		{"/a%2520b/", "/"},        // the caller has encoded the percent sign
		{"/100%25/x", "/100%/"},
		{"/100%/x", "/100%/"},
		{"/ä/x", "/%C3%A4"},
		{"/%c3%a4/x", "/%C3%A4"},
		{"/a%20b/../x", "/a%20b/"},
		{"//a%20b/", "/"},
	}
	for _, tt := range tests {
		m, ok := r.Match("x", tt.path)
		assert.Assert(t, ok)
		assert.Equal(t, m.Service, tt.want, tt.path)
	}
}

func TestExecutionDependsOnRouteAndMethod(t *testing.T) {
	tests := []struct {
		setting validator.Execution
		method  string
		want    Execution
	}{
		{"", "GET", Repeatable},
		{"", "PUT", Repeatable},
		{"", "POST", SingleAttempt},
		{"", "PATCH", SingleAttempt},
		{"", "ODD", SingleAttempt},
		{validator.ExecutionRepeatable, "POST", Repeatable},
		{validator.ExecutionOnceOnly, "POST", OnceOnly},
		{validator.ExecutionOnceOnly, "PUT", OnceOnly},
		{validator.ExecutionOnceOnly, "GET", Repeatable},
	}
	for _, tt := range tests {
		m := Match{Route: validator.Route{Execution: tt.setting}}
		assert.Equal(t, m.Execution(tt.method), tt.want, "%s %s", tt.setting, tt.method)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	m := Match{Service: "a", Route: validator.Route{Split: []validator.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}, {Service: "c", Weight: 3}}}}
	tests := []struct {
		draw float64
		want string
	}{{0, "a"}, {0.249, "a"}, {0.25, "c"}, {0.999, "c"}}
	for _, tt := range tests {
		assert.Equal(t, m.PickService(tt.draw), tt.want)
	}
	assert.Equal(t, Match{Service: "a"}.PickService(0.5), "a")
}

// TestRoutesAreFoundAsByASearchOfAll compares the index of prefixes with a search of all routes from the most to the least specific.
func TestRoutesAreFoundAsByASearchOfAll(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	parts := []string{"/", "a", "b", "/a", "/b/", "//", "%2F", "a/"}
	hosts := []string{"", "h", "longer.example"}
	draw := func() string {
		path := "/"
		for range random.IntN(5) {
			path += parts[random.IntN(len(parts))]
		}
		return path
	}
	for range 300 {
		var doc validator.Document
		for i := range 1 + random.IntN(20) {
			service := route(hosts[random.IntN(len(hosts))], draw())
			service.Name = fmt.Sprint(i)
			doc.Services = append(doc.Services, service)
		}
		r := New(doc)
		for range 100 {
			host, path := hosts[random.IntN(len(hosts))], normalForm(draw())
			want := slices.IndexFunc(r.routes, func(m Match) bool {
				p := m.prefix
				return m.hasHost(host) && strings.HasPrefix(path, p) && (path == p || strings.HasSuffix(p, "/") || path[len(p)] == '/')
			})
			found, ok := r.indexes[formNormal].find(r.routes, host, path)
			assert.Equal(t, ok, want >= 0)
			if ok {
				assert.Equal(t, found.Service, r.routes[want].Service, "%q %q", host, path)
			}
		}
	}
}

// BenchmarkMatch measures the search among numbers of routes, for a path that only the shortest prefix begins.
func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{1, 20, 400, 3000} {
		for _, path := range []string{"/more/part/one/7", "/more/part%2Fone/7"} {
			benchmarkMatch(b, routes, path)
		}
	}
}

func benchmarkMatch(b *testing.B, routes int, path string) {
	b.Run(fmt.Sprint("routes_", routes, " ", path), func(b *testing.B) {
		doc := validator.Document{Services: []validator.Service{route("", "/")}}
		for i := range routes - 1 {
			doc.Services = append(doc.Services, route("h.example", fmt.Sprintf("/more%06d/part/", i)))
		}
		r := New(doc)
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := r.Match("h.example", path); !ok {
				b.Fatal("no route")
			}
		}
	})
}
