package reporter

import (
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
)

// RegisterProfiles adds the processor and memory profiles to an administration
// address.
func RegisterProfiles(r chi.Router) {
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
}
