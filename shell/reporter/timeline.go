package reporter

import (
	"net/http"
	"strconv"

	"comfreyplank.org/core/recorder"
	"comfreyplank.org/shell/publisher"
)

// Timeline is the response of a process to a query of its events.
type Timeline struct {
	Events []recorder.Event `json:"events"`
	// Dropped counts the events that were never stored, and Overwritten those that were
	// removed to store newer ones.
	Dropped     uint64 `json:"lost"`
	Overwritten uint64 `json:"overwritten"`
}

// TimelineHandler returns a handler that serves the events of a process.
func TimelineHandler(p *publisher.Publisher) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		JSON(w, http.StatusOK, Timeline{Events: p.Select(ParseFilter(r)), Dropped: p.Dropped(), Overwritten: p.Overwritten()})
	}
}

// ParseFilter returns the event filter that the query parameters of a request describe.
func ParseFilter(r *http.Request) recorder.Filter {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after-ms"), 10, 64)
	count, _ := strconv.ParseUint(query.Get("after-count"), 10, 32)
	return recorder.Filter{
		After:    recorder.Stamp{Wall: after, Count: uint32(count)},
		Instance: query.Get("instance"),
		Kind:     recorder.Kind(query.Get("kind")),
		Service:  query.Get("service"),
		Endpoint: query.Get("endpoint"),
		Request:  query.Get("request"),
	}
}
