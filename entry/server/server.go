// Package server serves an entry's two addresses: one for callers, endpoints and the platform,
// and one for administration.
package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/translator"
	"comfreyplank.org/shell/publisher"
	"comfreyplank.org/shell/reporter"
)

const maxAnnouncementBytes = 16 << 10

// Entry is the part of the entry that the server depends on.
type Entry interface {
	Announce(a registrar.Announcement)
	Ready() bool
	MayHaveService(service string) bool
	Revision() uint64
}

// Server responds to the requests that are addressed to the system itself.
type Server struct {
	entry       Entry
	announceKey string
	stopping    atomic.Bool
}

// New returns a server. If announceKey is not empty, announcements must carry it.
func New(entry Entry, announceKey string) *Server {
	return &Server{entry: entry, announceKey: announceKey}
}

// Stop makes the readiness check fail.
func (s *Server) Stop() { s.stopping.Store(true) }

// Public returns the handler for callers, endpoints and the platform. Requests that are not for
// the system itself go to calls.
func (s *Server) Public(calls http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Use(s.closeWhenStopping, limitHeader)
	r.Get("/comfreyplank/ready", s.ready)
	r.Get("/comfreyplank/live", live)
	r.Put("/comfreyplank/v1/services/{service}/endpoints/{endpoint}", s.announce)
	r.Delete("/comfreyplank/v1/services/{service}/endpoints/{endpoint}", s.deregister)
	r.NotFound(calls.ServeHTTP)
	r.MethodNotAllowed(methodNotAllowed)
	return r
}

// Calls returns the handler for an address that serves callers only.
func (s *Server) Calls(calls http.Handler) http.Handler {
	return s.closeWhenStopping(limitHeader(calls))
}

// Ready reports whether callers should be sent to this instance.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.entry.Ready() }

// closeWhenStopping asks callers to reconnect, so that the platform gives their next connection
// to another instance.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// MaxHeaderBytes limits the header of a caller's request.
const MaxHeaderBytes = 64 << 10

// limitHeader refuses an oversized header with a problem response that says so; the far higher
// limit of the HTTP server can only cut the connection.
func limitHeader(next http.Handler) http.Handler {
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

// readinessReply is the reply to the platform's readiness check.
type readinessReply struct {
	Ready    bool   `json:"ready"`
	Detail   string `json:"detail"`
	Revision uint64 `json:"revision"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reply := readinessReply{Ready: true, Detail: "in standing", Revision: s.entry.Revision()}
	switch {
	case s.stopping.Load():
		reply.Ready = false
		reply.Detail = "stopping"
	case !s.entry.Ready():
		reply.Ready = false
		reply.Detail = "not in standing"
	}
	status := http.StatusOK
	if !reply.Ready {
		status = http.StatusServiceUnavailable
	}
	reporter.JSON(w, status, reply)
}

func (s *Server) keyMatches(r *http.Request) bool {
	return s.announceKey == "" || r.Header.Get("Authorization") == "Bearer "+s.announceKey
}

// announcementReply is the reply to an announcement.
type announcementReply struct {
	LeaseMs   int64 `json:"lease-ms"`
	RenewalMs int64 `json:"renewal-ms"`
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	s.handleAnnouncement(w, r, false)
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.handleAnnouncement(w, r, true)
}

func (s *Server) handleAnnouncement(w http.ResponseWriter, r *http.Request, deregistering bool) {
	if !s.keyMatches(r) {
		reporter.Problem{Status: http.StatusForbidden, Detail: "the announcement key is wrong"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	a, problems := decodeAnnouncement(r)
	if len(problems) == 0 {
		a, problems = check(a, deregistering)
	}
	if len(problems) > 0 {
		reporter.Problem{Status: http.StatusBadRequest, Detail: "the announcement is not valid", Errors: problems}.Write(w, reporter.OutcomeNotRun)
		return
	}
	if !s.entry.MayHaveService(a.Service) {
		reporter.Problem{Status: http.StatusNotFound, Detail: "the configuration has no such service"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	s.entry.Announce(a)
	if !s.entry.Ready() {
		problem := reporter.Problem{Status: http.StatusServiceUnavailable, Detail: "this instance has no standing; tell another one too"}
		problem.Write(w, reporter.OutcomeNotRun)
		return
	}
	reporter.JSON(w, http.StatusOK, announcementReply{LeaseMs: registrar.Lease.Milliseconds(), RenewalMs: registrar.RenewalInterval.Milliseconds()})
}

// check returns the problems of an announcement. Of a deregistration, only what identifies the endpoint is used.
func check(a registrar.Announcement, deregistering bool) (registrar.Announcement, []validator.Problem) {
	if !deregistering {
		return a, a.Check()
	}
	departure := registrar.Announcement{Name: a.Name, State: registrar.StateDraining, Incarnation: a.Incarnation, Sequence: a.Sequence, Deregistered: true}
	problems := departure.CheckDeparture()
	if departure.Incarnation == 0 {
		problems = append(problems, validator.Problem{Path: "incarnation", Detail: "must be greater than 0"})
	}
	return departure, problems
}

// announcementBody is an announcement as endpoints send it.
type announcementBody struct {
	Address     string          `json:"address"`
	DataCentre  string          `json:"data-centre"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	State       registrar.State `json:"state"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Load        int             `json:"load"`
	WarmUpMs    int64           `json:"warm-up-ms"`
}

// warmUp returns the remaining warm-up. A time out of bounds stays out of bounds, also where it can't be represented.
func (b announcementBody) warmUp() time.Duration {
	limit := 2 * throttler.MaxWarmUp.Milliseconds()
	return time.Duration(max(-1, min(b.WarmUpMs, limit))) * time.Millisecond
}

func decodeAnnouncement(r *http.Request) (registrar.Announcement, []validator.Problem) {
	var b announcementBody
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
		State: b.State, Incarnation: b.Incarnation, Sequence: b.Sequence, Load: b.Load, WarmUp: b.warmUp(),
	}, nil
}
