// Package console serves the operators' web console. Its forms work without scripts. Each form
// edits a draft of the configuration document, which the page itself contains, and the draft is
// applied or refused as a whole.
package console

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"comfreyplank.org/control/operator"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
)

const (
	readTimeout  = 3 * time.Second
	maxFormBytes = 2 * validator.MaxDocumentBytes
	// maxShownEvents is the maximum number of events on the page.
	maxShownEvents = 30
)

// Backend is the replica whose configuration and status the console shows.
type Backend interface {
	ReadDocument(ctx context.Context) (controller.DocumentReply, error)
	Status() controller.Status
}

// Applier applies a document and returns the HTTP status and the result.
type Applier interface {
	Apply(ctx context.Context, document []byte) (int, operator.Result)
}

// EventSource provides the events of the replica.
type EventSource interface {
	Select(f recorder.Filter) []recorder.Event
}

// Console serves the web console of a replica.
type Console struct {
	backend Backend
	applier Applier
	events  EventSource
	key     string
}

// New returns a console. If key is not empty, a draft is applied only if the form contains it.
func New(b Backend, a Applier, e EventSource, key string) *Console {
	return &Console{backend: b, applier: a, events: e, key: key}
}

// Register adds the routes of the console to a router. They refuse cross-origin POST requests.
func (c *Console) Register(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(http.NewCrossOriginProtection().Handler)
		r.Use(setSecurityHeaders)
		r.Get("/", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/console", http.StatusFound) })
		r.Get("/console", c.show)
		r.Post("/console/edit", c.edit)
		r.Post("/console/apply", c.apply)
	})
}

// setSecurityHeaders is a middleware that forbids scripts in the pages, and the framing and
// caching of the pages.
func setSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// page is the data of the template.
type page struct {
	Current    controller.DocumentReply
	Status     controller.Status
	Draft      validator.Document
	DraftText  string
	Problems   []validator.Problem
	Difference []string
	// Overtaken is set if the draft is based on another revision than the current one.
	Overtaken bool
	Message   string
	Failed    bool
	NeedsKey  bool
	Events    []recorder.Event
}

func (c *Console) current(ctx context.Context) controller.DocumentReply {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := c.backend.ReadDocument(ctx)
	if err != nil {
		return controller.DocumentReply{}
	}
	return reply
}

func (c *Console) show(w http.ResponseWriter, r *http.Request) {
	current := c.current(r.Context())
	c.render(w, http.StatusOK, current, newDraft(current), page{})
}

// newDraft returns a draft based on the current configuration. It gets its change ID here, so
// that a draft that is sent twice is applied once.
func newDraft(current controller.DocumentReply) validator.Document {
	return current.Document.WithBase(current.Revision, uuid.NewString())
}

func (c *Console) render(w http.ResponseWriter, status int, current controller.DocumentReply, draft validator.Document, p page) {
	p.Current = current
	p.Status = c.backend.Status()
	p.Draft = draft
	text, err := json.MarshalIndent(draft, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.DraftText = string(text)
	p.Difference = describeChanges(current.Document, draft)
	p.Overtaken = draft.BaseRevision != current.Revision
	p.NeedsKey = c.key != ""
	p.Events = latest(c.events.Select(recorder.Filter{}))
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, p); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = out.WriteTo(w) // the client may have disconnected
}

func latest(events []recorder.Event) []recorder.Event {
	return events[max(0, len(events)-maxShownEvents):]
}

// parseForm returns the fields of a POST request and the draft among them. If it can't, it
// responds with an error and returns false.
func parseForm(w http.ResponseWriter, r *http.Request) (url.Values, validator.Document, bool) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	var draft validator.Document
	if err := r.ParseForm(); err != nil {
		http.Error(w, "the form could not be read", http.StatusBadRequest)
		return nil, draft, false
	}
	if err := json.Unmarshal([]byte(r.PostForm.Get("draft")), &draft); err != nil {
		http.Error(w, "the draft could not be read", http.StatusBadRequest)
		return nil, draft, false
	}
	return r.PostForm, draft, true
}

func (c *Console) edit(w http.ResponseWriter, r *http.Request) {
	fields, draft, ok := parseForm(w, r)
	if !ok {
		return
	}
	next, problems := applyForm(draft, fields)
	if len(problems) == 0 {
		problems = validate(next)
	}
	c.render(w, http.StatusOK, c.current(r.Context()), next, page{Problems: problems, Message: "The draft has been changed. Nothing is in force until it is applied."})
}

// validate returns the problems for which the system would refuse a draft.
func validate(draft validator.Document) []validator.Problem {
	data, err := json.Marshal(draft)
	if err != nil {
		return []validator.Problem{{Path: "document", Detail: err.Error()}}
	}
	_, problems := validator.Parse(data)
	return problems
}

func (c *Console) apply(w http.ResponseWriter, r *http.Request) {
	fields, draft, ok := parseForm(w, r)
	if !ok {
		return
	}
	if c.key != "" && fields.Get("key") != c.key {
		c.render(w, http.StatusForbidden, c.current(r.Context()), draft, page{Failed: true, Message: "The operator key is wrong. Nothing was changed."})
		return
	}
	data, err := json.Marshal(draft)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, result := c.applier.Apply(r.Context(), data)
	p := page{Problems: result.Problems, Failed: status != http.StatusOK, Message: result.Status + ": " + result.Detail}
	current := c.current(r.Context())
	if status == http.StatusOK || status == http.StatusAccepted {
		draft = newDraft(current)
	}
	c.render(w, status, current, draft, p)
}
