package translator

import "net/http"

// HeaderBytes returns the size of a request's header: its target, field names and values.
func HeaderBytes(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
