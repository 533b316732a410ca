package translator

import (
	"net/http"
	"strings"
)

// Target returns the target of a request as endpoints get it: the path and the query byte for byte as the caller sent
// them. Of a target that names the host too, only these are left.
func Target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.URL.Host == "" {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// Path returns the path of a request byte for byte as the caller sent it. It reports false for a target that has none: one that is
// neither a path nor an absolute URL with a host, or that has a fragment, which no target may have (RFC 9112, 3.2) and readers take
// for the end of the path or for a part of it.
func Path(r *http.Request) (string, bool) {
	path, _, _ := strings.Cut(Target(r), "?")
	if !strings.HasPrefix(path, "/") || strings.Contains(r.RequestURI, "#") {
		return "", false
	}
	return path, true
}
