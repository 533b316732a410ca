package router

// index finds routes by their prefixes in one form. Its time depends on the length of a path, up to that of the longest prefix, and
// not on the number of routes.
type index struct {
	// positions holds the positions of routes by their prefixes, the more specific route first.
	positions map[string][]int
	// longest is the length of the longest prefix.
	longest int
}

func newIndex(routes []Match, f form) index {
	x := index{positions: make(map[string][]int, len(routes))}
	for i, m := range routes {
		p := f.of(m.Route.PathPrefix)
		x.positions[p] = append(x.positions[p], i)
		x.longest = max(x.longest, len(p))
	}
	return x
}

// find returns the route with the longest prefix whose segments a path starts with.
func (x index) find(routes []Match, host, path string) (Match, bool) {
	for end := min(len(path), x.longest); end >= 0; end-- {
		if !endsSegment(path, end) {
			continue
		}
		for _, i := range x.positions[path[:end]] {
			if m := &routes[i]; m.hasHost(host) {
				return *m, true
			}
		}
	}
	return Match{}, false
}

// endsSegment reports whether a path's segments, the empty one before the first slash among them, are whole up to a position.
func endsSegment(path string, end int) bool {
	return end == len(path) || path[end] == '/' || end > 0 && path[end-1] == '/'
}
