// Package server serves an entry's two addresses: one for callers, endpoints and
// the platform, one for administration.
package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/translator"
	"comfreyplank.org/shell/publisher"
	"comfreyplank.org/shell/reporter"
)

const maxAnnouncementBytes = 16 << 10

// Entry is what the server needs of the entry.
type Entry interface {
	Announce(a registrar.Announcement)
	Ready() bool
	Knows(service string) bool
	Revision() uint64
}

// Server answers the requests that are for the system itself.
type Server struct {
	entry    Entry
	key      string
	stopping atomic.Bool
}

// New returns a server. With a key, announcements must carry it.
func New(entry Entry, key string) *Server { return &Server{entry: entry, key: key} }

// Stop makes the readiness check fail.
func (s *Server) Stop() { s.stopping.Store(true) }

// Public returns the handler for callers, endpoints and the platform. What is not
// for the system itself goes to calls.
func (s *Server) Public(calls http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Use(s.closeWhenStopping, boundHeader)
	r.Get("/comfreyplank/ready", s.ready)
	r.Get("/comfreyplank/live", live)
	r.Put("/comfreyplank/v1/services/{service}/endpoints/{endpoint}", s.announce)
	r.Delete("/comfreyplank/v1/services/{service}/endpoints/{endpoint}", s.goodbye)
	r.NotFound(calls.ServeHTTP)
	r.MethodNotAllowed(methodNotAllowed)
	return r
}

// Calls returns the handler for callers only, at an address that takes nothing else.
func (s *Server) Calls(calls http.Handler) http.Handler {
	return s.closeWhenStopping(boundHeader(calls))
}

// Ready reports whether callers should be sent to this instance.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.entry.Ready() }

// closeWhenStopping asks callers to come back on another connection, which the
// platform gives to another instance.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// MaxHeaderBytes bounds the header of a caller's request.
const MaxHeaderBytes = 64 << 10

// boundHeader refuses a header that is too large with a problem that says so; the
// listener's own bound, far above, can only cut the connection.
func boundHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if translator.HeaderBytes(r) > MaxHeaderBytes {
			problem := reporter.Problem{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is limited to 64 KiB"}
			problem.Write(w, reporter.OutcomeNotRun)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Admin returns the handler for administration.
func (s *Server) Admin(p *publisher.Publisher) http.Handler {
	r := chi.NewRouter()
	r.Get("/comfreyplank/ready", s.ready)
	r.Get("/comfreyplank/live", live)
	r.Get("/comfreyplank/v1/timeline", reporter.TimelineHandler(p))
	r.Handle("/metrics", promhttp.Handler())
	reporter.RegisterProfiles(r)
	return r
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	reporter.Problem{Status: http.StatusMethodNotAllowed}.Write(w, reporter.OutcomeNotRun)
}

func live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// readiness is the answer to the platform's readiness check.
type readiness struct {
	Ready    bool   `json:"ready"`
	Detail   string `json:"detail"`
	Revision uint64 `json:"revision"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	answer := readiness{Ready: true, Detail: "in standing", Revision: s.entry.Revision()}
	switch {
	case s.stopping.Load():
		answer.Ready = false
		answer.Detail = "stopping"
	case !s.entry.Ready():
		answer.Ready = false
		answer.Detail = "not in standing"
	}
	status := http.StatusOK
	if !answer.Ready {
		status = http.StatusServiceUnavailable
	}
	reporter.JSON(w, status, answer)
}

func (s *Server) allowed(r *http.Request) bool {
	return s.key == "" || r.Header.Get("Authorization") == "Bearer "+s.key
}

// lease is the answer to an announcement.
type lease struct {
	LeaseMs   int64 `json:"lease-ms"`
	RenewalMs int64 `json:"renewal-ms"`
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	s.take(w, r, false)
}

func (s *Server) goodbye(w http.ResponseWriter, r *http.Request) {
	s.take(w, r, true)
}

func (s *Server) take(w http.ResponseWriter, r *http.Request, gone bool) {
	if !s.allowed(r) {
		reporter.Problem{Status: http.StatusForbidden, Detail: "the announcement key is wrong"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	a, problems := read(r)
	a.Deregistered = gone
	if len(problems) == 0 && !gone {
		problems = a.Check()
	}
	if len(problems) > 0 {
		reporter.Problem{Status: http.StatusBadRequest, Detail: "the announcement is not valid", Errors: problems}.Write(w, reporter.OutcomeNotRun)
		return
	}
	if !s.entry.Knows(a.Service) {
		reporter.Problem{Status: http.StatusNotFound, Detail: "the configuration has no such service"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	s.entry.Announce(a)
	if !s.entry.Ready() {
		problem := reporter.Problem{Status: http.StatusServiceUnavailable, Detail: "this instance has no standing; tell another one too"}
		problem.Write(w, reporter.OutcomeNotRun)
		return
	}
	reporter.JSON(w, http.StatusOK, lease{LeaseMs: registrar.Lease.Milliseconds(), RenewalMs: registrar.RenewalInterval.Milliseconds()})
}

// body is an announcement as endpoints send it.
type body struct {
	Address     string          `json:"address"`
	DataCentre  string          `json:"data-centre"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	State       registrar.State `json:"state"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Load        int             `json:"load"`
}

func read(r *http.Request) (registrar.Announcement, []validator.Problem) {
	var b body
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return registrar.Announcement{}, []validator.Problem{{Path: "body", Detail: strings.TrimPrefix(err.Error(), "json: ")}}
	}
	if _, err := d.Token(); err != io.EOF {
		return registrar.Announcement{}, []validator.Problem{{Path: "body", Detail: "has data after its end"}}
	}
	return registrar.Announcement{
		Name:    registrar.Name{Service: chi.URLParam(r, "service"), Endpoint: chi.URLParam(r, "endpoint")},
		Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots, Connections: b.Connections,
		State: b.State, Incarnation: b.Incarnation, Sequence: b.Sequence, Load: b.Load,
	}, nil
}
