package reporter

import (
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
)

// RegisterProfiles adds the handlers of CPU, memory and other runtime profiles to a router.
func RegisterProfiles(r chi.Router) {
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
}
