// Package operator implements the operators' HTTP interface, which ctl uses: the configuration
// document, evacuations, the status, the event timeline and the metrics.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/sequencer"
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/publisher"
	"comfreyplank.org/shell/reporter"
)

// replyMargin is how much longer an operator's request waits than the state machine does.
const replyMargin = 2 * time.Second

// Operator serves the operators' HTTP interface of one replica.
type Operator struct {
	driver    *driver.Driver
	publisher *publisher.Publisher
	key       string
	documents *sequencer.Sequencer
}

// New returns the operators' HTTP interface of a replica. If key is not empty, every change must
// carry it.
func New(d *driver.Driver, p *publisher.Publisher, key string) *Operator {
	return &Operator{driver: d, publisher: p, key: key, documents: sequencer.New(sequencer.Documents)}
}

// Register adds the routes of the interface to a router.
func (o *Operator) Register(r chi.Router) {
	r.Get("/comfreyplank/live", o.live)
	r.Get("/comfreyplank/ready", o.ready)
	r.Get("/comfreyplank/v1/status", o.status)
	r.Get("/comfreyplank/v1/timeline", reporter.TimelineHandler(o.publisher))
	r.Get("/comfreyplank/v1/document", o.document)
	r.Post("/comfreyplank/v1/validate", o.documents.Handler(o.validate, refuseUnread))
	r.Post("/comfreyplank/v1/document", o.documents.Handler(o.apply, refuseUnread))
	r.Put("/comfreyplank/v1/evacuations/{data-centre}", o.evacuate(true))
	r.Delete("/comfreyplank/v1/evacuations/{data-centre}", o.evacuate(false))
	r.Handle("/metrics", promhttp.Handler())
	reporter.RegisterProfiles(r)
}

func (o *Operator) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (o *Operator) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !o.driver.Status().InContactWithQuorum {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (o *Operator) status(w http.ResponseWriter, _ *http.Request) {
	reporter.JSON(w, http.StatusOK, o.driver.Status())
}

// Document is the response to a read of the configuration.
type Document struct {
	Revision uint64 `json:"revision"`
	// Confirmed is false if no quorum confirmed the read, so that the document may be out of
	// date.
	Confirmed bool               `json:"confirmed"`
	Document  validator.Document `json:"document"`
}

func (o *Operator) document(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), controller.ApplyTimeout)
	defer cancel()
	reply, err := o.driver.ReadDocument(ctx)
	if err != nil {
		reporter.Problem{Status: http.StatusServiceUnavailable, Detail: "no majority of replicas could be asked"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	if len(reply.Document.Workspaces) > 0 && !o.authorized(w, r) { // the document holds the keys of callers
		return
	}
	status := http.StatusOK
	if !reply.Confirmed {
		status = http.StatusServiceUnavailable
	}
	reporter.JSON(w, status, Document{Revision: reply.Revision, Confirmed: reply.Confirmed, Document: reply.Document})
}

// Result is the response to a change.
type Result struct {
	// Status is in-force, accepted, superseded, refused, unknown or not-taken for a change, and
	// valid or refused for a validation.
	Status   string              `json:"status"`
	Detail   string              `json:"detail"`
	Answer   committer.Answer    `json:"answer,omitzero"`
	Problems []validator.Problem `json:"problems,omitempty"`
}

func readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := sequencer.ReadDocument(w, r, validator.MaxDocumentBytes+1)
	if err != nil {
		reporter.Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the document is too large or did not come in time"}.Write(w, reporter.OutcomeNotRun)
		return nil, false
	}
	return data, true
}

// tooMany is the result of a change that came while too many were on their way.
var tooMany = Result{Status: "not-taken", Detail: "too many changes wait; nothing was changed"}

func refuseUnread(w http.ResponseWriter, _ *http.Request) {
	reporter.JSON(w, http.StatusServiceUnavailable, tooMany)
}

func (o *Operator) validate(w http.ResponseWriter, r *http.Request) {
	data, ok := readDocument(w, r)
	if !ok {
		return
	}
	end, err := o.documents.Take(r.Context())
	if err != nil {
		return // the caller has left
	}
	defer end()
	if _, problems := validator.Parse(data); len(problems) > 0 {
		reporter.JSON(w, http.StatusUnprocessableEntity, Result{Status: "refused", Detail: "the document is not valid", Problems: problems})
		return
	}
	reporter.JSON(w, http.StatusOK, Result{Status: "valid", Detail: "the document is valid"})
}

// authorized reports whether a request carries the operator key. Otherwise it responds with an error.
func (o *Operator) authorized(w http.ResponseWriter, r *http.Request) bool {
	if o.key != "" && r.Header.Get("Authorization") != "Bearer "+o.key {
		reporter.Problem{Status: http.StatusForbidden, Detail: "the operator key is wrong"}.Write(w, reporter.OutcomeNotRun)
		return false
	}
	return true
}

func (o *Operator) apply(w http.ResponseWriter, r *http.Request) {
	if !o.authorized(w, r) {
		return
	}
	data, ok := readDocument(w, r)
	if !ok {
		return
	}
	status, result := o.propose(r.Context(), data)
	reporter.JSON(w, status, result)
}

// Apply proposes a change that was read elsewhere, if there is room for it, and waits for its outcome. It returns the HTTP status
// and the result.
func (o *Operator) Apply(ctx context.Context, data []byte) (int, Result) {
	leave, err := o.documents.Admit()
	if err != nil {
		return http.StatusServiceUnavailable, tooMany
	}
	defer leave()
	return o.propose(ctx, data)
}

func (o *Operator) propose(ctx context.Context, data []byte) (int, Result) {
	ctx, cancel := context.WithTimeout(ctx, controller.ApplyTimeout+replyMargin)
	defer cancel()
	reply, err := o.driver.Apply(ctx, controller.Apply{Document: data})
	if err != nil {
		reply.Status = controller.ApplyUnknown
	}
	return describe(reply)
}

func describe(reply controller.ApplyReply) (int, Result) {
	result := Result{Answer: reply.Answer, Problems: reply.Problems}
	switch reply.Status {
	case controller.ApplyInEffect:
		result.Status = "in-force"
		result.Detail = "accepted, and in force at every entry in standing"
		return http.StatusOK, result
	case controller.ApplySuperseded:
		result.Status = "superseded"
		result.Detail = "a document of the same or a higher generation is held; nothing was changed"
		return http.StatusOK, result
	case controller.ApplyNotInEffect:
		result.Status = "accepted"
		result.Detail = "accepted for good; not yet known to be in force everywhere"
		return http.StatusAccepted, result
	case controller.ApplyNotProposed:
		result.Status = "not-taken"
		result.Detail = "this replica hears no leader, or too many changes wait; nothing was changed"
		return http.StatusServiceUnavailable, result
	case controller.ApplyRefused:
		return describeRefusal(reply, result)
	}
	result.Status = "unknown"
	result.Detail = "it may yet be accepted; send the same document again to learn"
	return http.StatusGatewayTimeout, result
}

func describeRefusal(reply controller.ApplyReply, result Result) (int, Result) {
	result.Status = "refused"
	switch {
	case len(reply.Problems) > 0:
		result.Detail = "the document is not valid"
		return http.StatusUnprocessableEntity, result
	case reply.Answer.Verdict == committer.VerdictChangeIDReused:
		result.Detail = "the change-id was used for another document"
		return http.StatusConflict, result
	}
	result.Detail = "change " + reply.Answer.CurrentChangeID + " came first"
	return http.StatusConflict, result
}
