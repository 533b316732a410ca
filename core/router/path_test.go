package router

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

// ordersRoutes has two routes of different executions, one below the other.
func ordersRoutes() Router {
	return New(validator.Document{Services: []validator.Service{
		{Name: "once", Routes: []validator.Route{{PathPrefix: "/orders/", Execution: validator.ExecutionAtMostOnce}}},
		{Name: "again", Routes: []validator.Route{
			{PathPrefix: "/orders/north/", Execution: validator.ExecutionRepeatable},
			{PathPrefix: "/open/", Execution: validator.ExecutionRepeatable},
		}},
	}})
}

// TestEachFormOfAPathHasOneRoute guards against a request that may run once and runs twice, as its path, decoded, led to a
// repeatable route; and against one that reaches another service so. The rule is that of path.go.
func TestEachFormOfAPathHasOneRoute(t *testing.T) {
	r := ordersRoutes()
	tests := []struct {
		path, service string
		want          Execution
	}{
		{"/orders/1", "once", SingleAttempt},
		{"/orders/north/1", "again", Repeatable},
		{"/open/1", "again", Repeatable},
		// An encoded slash is a part of a segment.
		{"/orders/north%2F1", "once", SingleAttempt},
		{"/orders/north%2f1", "once", SingleAttempt},
		{"/orders%2Fnorth/1", "", 0},
		{"/open/%2Forders/1", "again", Repeatable},
		{"/orders/north/a%2Fb", "again", Repeatable},
		// An encoded unreserved character is the character, in letters of either case. It isn't, literally.
		{"/orders/%6Eorth/1", "again", SingleAttempt},
		{"/orders/%6eorth/1", "again", SingleAttempt},
		{"/%6Frders/1", "once", SingleAttempt},
		{"/open%2D/1", "", 0},
		{"/orders/north/%7E", "again", Repeatable},
		{"/orders/north/a%20b", "again", Repeatable},
		{"/orders/north/a b", "again", Repeatable},
		// Segments of dots are segments. Resolved, they lead elsewhere.
		{"/open/../orders/1", "again", SingleAttempt},
		{"/open/%2e%2E/orders/1", "again", SingleAttempt},
		{"/open/..%2Forders/1", "again", SingleAttempt},
		{"/open/x/../1", "again", Repeatable},
		{"/orders/north/../1", "again", SingleAttempt},
		{"/orders/north/..", "again", SingleAttempt},
		{"/orders/./north/1", "once", SingleAttempt},
		{"/../open/1", "", 0},
		{"/open/.hidden", "again", Repeatable},
		// Empty segments are segments.
		{"//orders/1", "", 0},
		{"/orders//north/1", "once", SingleAttempt},
		{"/open//1", "again", Repeatable},
		{"/open/..//orders//1", "again", SingleAttempt},
		{"/open/x//../../../orders/1", "again", SingleAttempt},
		// A parameter is a part of its segment.
		{"/orders/north;a=b/1", "once", SingleAttempt},
		{"/orders;a/north/1", "", 0},
		{"/open/..;/orders/1", "again", SingleAttempt},
		{"/open/..;a=b/orders/1", "again", SingleAttempt},
		{"/open/1;a=b", "again", Repeatable},
		// A backslash is no slash.
		{`/orders\north\1`, "", 0},
		{`/open/..\orders\1`, "again", SingleAttempt},
		{"/open/..%5Corders%5c1", "again", SingleAttempt},
		// Bytes that are no UTF-8, and an encoded percent sign, which is decoded once.
		{"/open/\xff", "again", Repeatable},
		{"/open/%FF", "again", Repeatable},
		{"/orders/north%252F1", "once", SingleAttempt},
		{"/open/%00", "again", Repeatable},
		{"*", "", 0},
		{"", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			m, ok := r.Match("h", tt.path)
			assert.Equal(t, ok, tt.service != "")
			assert.Equal(t, m.Service, tt.service)
			if ok {
				assert.Equal(t, m.Execution(http.MethodPost), tt.want)
			}
		})
	}
}

// TestStrictestExecutionHolds checks each pair of executions of the two readings of a path, whichever of them is its route's.
func TestStrictestExecutionHolds(t *testing.T) {
	settings := []validator.Execution{"", validator.ExecutionRepeatable, validator.ExecutionAtMostOnce, validator.ExecutionOnceOnly}
	for _, chosen := range settings {
		for _, other := range settings {
			r := New(validator.Document{Services: []validator.Service{{Name: "s", Routes: []validator.Route{
				{PathPrefix: "/a/", Execution: chosen}, {PathPrefix: "/b/", Execution: other},
			}}}})
			for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
				m, ok := r.Match("h", "/a/../b/")
				assert.Assert(t, ok)
				assert.Equal(t, m.Route.Execution, chosen)
				assert.Equal(t, m.Execution(method), max(executionOf(chosen, method), executionOf(other, method)), "%q %q %s", chosen, other, method)
			}
		}
	}
}

// TestOddPrefixesAreReadLikePaths checks that a prefix in an odd form matches the paths that are equal to it, and that a plain
// path's execution is that of the strictest reading then, too.
func TestOddPrefixesAreReadLikePaths(t *testing.T) {
	r := New(validator.Document{Services: []validator.Service{
		{Name: "once", Routes: []validator.Route{{PathPrefix: "/orders/", Execution: validator.ExecutionAtMostOnce}}},
		{Name: "again", Routes: []validator.Route{{PathPrefix: "/orders/%6eorth%2fside/", Execution: validator.ExecutionRepeatable}}},
	}})
	tests := []struct {
		path, service string
		want          Execution
	}{
		{"/orders/%6eorth%2fside/1", "again", Repeatable},
		{"/orders/north%2Fside/1", "again", SingleAttempt}, // not the prefix, literally
		{"/orders/north/side/1", "once", SingleAttempt},
		{"/orders/1", "once", SingleAttempt},
	}
	for _, tt := range tests {
		m, ok := r.Match("h", tt.path)
		assert.Assert(t, ok)
		assert.Equal(t, m.Service, tt.service, tt.path)
		assert.Equal(t, m.Execution(http.MethodPost), tt.want, tt.path)
	}
}

// readers are how programs that are not ours read a path; each may be an endpoint's.
var readers = []func(string) string{
	func(p string) string { return p },
	func(p string) string { u, _ := url.ParseRequestURI(p); return u.Path },
	func(p string) string { u, _ := url.ParseRequestURI(p); return cleaned(u.Path) },
	cleaned,
	func(p string) string { u, _ := url.ParseRequestURI(p); return u.JoinPath().Path },
	func(p string) string { return cleaned(strings.ReplaceAll(p, `\`, "/")) },
}

// cleaned is what multiplexers that redirect to a clean path compare.
func cleaned(p string) string {
	c := path.Clean(p)
	if strings.HasSuffix(p, "/") && c != "/" {
		c += "/"
	}
	return c
}

// FuzzPathsNeverLoosen checks that no reader finds a route that may run once where the router finds only repeatable ones, that the
// route is the same for each equivalent spelling, and that paths in no odd form have the route of their longest prefix.
func FuzzPathsNeverLoosen(f *testing.F) {
	for _, seed := range []string{
		"/orders/north%2F1", "/open/../orders/", "/open//..//orders/1", "/open/..;/orders/", "/%6frders/north/", `/open/..\orders/`, "/open/%2e%2e/orders/x",
	} {
		f.Add(seed)
	}
	r := ordersRoutes()
	f.Fuzz(func(t *testing.T, p string) {
		if u, err := url.ParseRequestURI(p); err != nil || !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#") || u.Host != "" || strings.HasPrefix(p, "//") {
			return // not the path of a request
		}
		m, ok := r.Match("h", p)
		if ok && m.Execution(http.MethodPost) == Repeatable {
			for i, read := range readers {
				if other := read(p); strings.HasPrefix(other, "/orders/") && !strings.HasPrefix(other, "/orders/north/") {
					t.Errorf("%q is repeatable, and reader %d takes it for %q", p, i, other)
				}
			}
		}
		same, sameOK := r.Match("h", normalForm(p))
		assert.Equal(t, same.Service, m.Service)
		assert.Equal(t, sameOK, ok)
		assert.Equal(t, normalForm(normalForm(p)), normalForm(p))
		if isPlain(p) {
			want := ""
			switch {
			case strings.HasPrefix(p, "/orders/north/"), strings.HasPrefix(p, "/open/"):
				want = "again"
			case strings.HasPrefix(p, "/orders/"):
				want = "once"
			}
			assert.Equal(t, m.Service, want)
		}
	})
}
