// Package console serves the operators' forms. They work without script, and their
// only output is one validated document: each form edits a draft that the page
// itself carries, and the draft is applied whole or refused whole.
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
	// maxShownEvents is how many events the page shows.
	maxShownEvents = 30
)

// Backend is what the console needs of its replica.
type Backend interface {
	ReadDocument(ctx context.Context) (controller.DocumentReply, error)
	Status() controller.Status
}

// Applier applies a document.
type Applier interface {
	Apply(ctx context.Context, document []byte) (int, operator.Result)
}

// EventSource gives the replica's part of the time line.
type EventSource interface {
	Select(f recorder.Filter) []recorder.Event
}

// Console serves the forms.
type Console struct {
	backend Backend
	applier Applier
	events  EventSource
	key     string
}

// New returns a console. With a key, a draft is applied only with it.
func New(b Backend, c Applier, e EventSource, key string) *Console {
	return &Console{backend: b, applier: c, events: e, key: key}
}

// Register adds the console's paths to a router. Posts from other sites are
// refused.
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

// setSecurityHeaders keeps the pages out of frames and free of script.
func setSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// page is what the template shows.
type page struct {
	Current    controller.DocumentReply
	Status     controller.Status
	Draft      validator.Document
	DraftText  string
	Problems   []validator.Problem
	Difference []string
	// Overtaken is set when the draft was begun on an older revision.
	Overtaken bool
	Message   string
	Failed    bool
	NeedsKey  bool
	Events    []recorder.Event
}

func (c *Console) current(ctx context.Context) controller.DocumentReply {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answer, err := c.backend.ReadDocument(ctx)
	if err != nil {
		return controller.DocumentReply{}
	}
	return answer
}

func (c *Console) show(w http.ResponseWriter, r *http.Request) {
	current := c.current(r.Context())
	c.render(w, http.StatusOK, current, newDraft(current), page{})
}

// newDraft begins a draft on the configuration in force. Its identity is made now,
// so that sending it twice changes nothing twice.
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
	_, _ = out.WriteTo(w) // the operator may have gone
}

func latest(events []recorder.Event) []recorder.Event {
	return events[max(0, len(events)-maxShownEvents):]
}

// parseForm reads the fields of a post and the draft that it carries.
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

// validate validates a draft as the system will.
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
