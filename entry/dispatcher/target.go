package dispatcher

import (
	"net/http"
	"strings"
)

// target returns the target of a request as endpoints get it: the path and the query byte for byte as the caller sent
// them. Of a target that names the host too, only these are left.
func target(r *http.Request) string {
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

// routedPath returns the path by which the route of a request is sought: the caller's with its percent-encodings
// decoded once, and nothing else changed.
func routedPath(r *http.Request) string {
	if r.URL.Path == "" {
		return "/"
	}
	return r.URL.Path
}
