// Package operator serves operators: the documents' interface that ctl uses, the
// status, the time line and the metrics.
package operator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/publisher"
	"comfreyplank.org/shell/reporter"
)

// answerMargin is how much longer than the machine an operator's request waits.
const answerMargin = 2 * time.Second

// Operator serves the operators of a replica.
type Operator struct {
	driver    *driver.Driver
	publisher *publisher.Publisher
	key       string
}

// New returns the operators' server. With a key, every change must carry it.
func New(d *driver.Driver, p *publisher.Publisher, key string) *Operator {
	return &Operator{driver: d, publisher: p, key: key}
}

// Register adds the operators' paths to a router.
func (o *Operator) Register(r chi.Router) {
	r.Get("/comfreyplank/live", o.live)
	r.Get("/comfreyplank/ready", o.ready)
	r.Get("/comfreyplank/v1/status", o.status)
	r.Get("/comfreyplank/v1/timeline", reporter.TimelineHandler(o.publisher))
	r.Get("/comfreyplank/v1/document", o.document)
	r.Post("/comfreyplank/v1/validate", o.validate)
	r.Post("/comfreyplank/v1/document", o.apply)
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

// Document is the configuration as it is read.
type Document struct {
	Revision uint64 `json:"revision"`
	// Confirmed is false when no majority could be asked: it may be behind.
	Confirmed bool               `json:"confirmed"`
	Document  validator.Document `json:"document"`
}

func (o *Operator) document(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), controller.ApplyTimeout)
	defer cancel()
	answer, err := o.driver.ReadDocument(ctx)
	if err != nil {
		reporter.Problem{Status: http.StatusServiceUnavailable, Detail: "no majority of replicas could be asked"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	status := http.StatusOK
	if !answer.Confirmed {
		status = http.StatusServiceUnavailable
	}
	reporter.JSON(w, status, Document{Revision: answer.Revision, Confirmed: answer.Confirmed, Document: answer.Document})
}

// Result is the answer to a change.
type Result struct {
	// Status is in-force, accepted, superseded, refused, unknown or not-taken.
	Status   string              `json:"status"`
	Detail   string              `json:"detail"`
	Answer   committer.Answer    `json:"answer,omitzero"`
	Problems []validator.Problem `json:"problems,omitempty"`
}

func readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, validator.MaxDocumentBytes+1))
	if err != nil {
		reporter.Problem{Status: http.StatusRequestEntityTooLarge, Detail: "the document is too large"}.Write(w, reporter.OutcomeNotRun)
		return nil, false
	}
	return data, true
}

func (o *Operator) validate(w http.ResponseWriter, r *http.Request) {
	data, ok := readDocument(w, r)
	if !ok {
		return
	}
	if _, problems := validator.Parse(data); len(problems) > 0 {
		reporter.JSON(w, http.StatusUnprocessableEntity, Result{Status: "refused", Detail: "the document is not valid", Problems: problems})
		return
	}
	reporter.JSON(w, http.StatusOK, Result{Status: "valid", Detail: "the document is valid"})
}

func (o *Operator) apply(w http.ResponseWriter, r *http.Request) {
	if o.key != "" && r.Header.Get("Authorization") != "Bearer "+o.key {
		reporter.Problem{Status: http.StatusForbidden, Detail: "the operator key is wrong"}.Write(w, reporter.OutcomeNotRun)
		return
	}
	data, ok := readDocument(w, r)
	if !ok {
		return
	}
	status, result := o.Apply(r.Context(), data)
	reporter.JSON(w, status, result)
}

// Apply makes a change and describes what became of it.
func (o *Operator) Apply(ctx context.Context, data []byte) (int, Result) {
	ctx, cancel := context.WithTimeout(ctx, controller.ApplyTimeout+answerMargin)
	defer cancel()
	answer, err := o.driver.Apply(ctx, controller.Apply{Document: data})
	if err != nil {
		answer.Status = controller.ApplyUnknown
	}
	return describe(answer)
}

func describe(a controller.ApplyReply) (int, Result) {
	result := Result{Answer: a.Answer, Problems: a.Problems}
	switch a.Status {
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
		result.Detail = "this replica hears no leader; nothing was changed"
		return http.StatusServiceUnavailable, result
	case controller.ApplyRefused:
		return describeRefusal(a, result)
	}
	result.Status = "unknown"
	result.Detail = "it may yet be accepted; send the same document again to learn"
	return http.StatusGatewayTimeout, result
}

func describeRefusal(a controller.ApplyReply, result Result) (int, Result) {
	result.Status = "refused"
	switch {
	case len(a.Problems) > 0:
		result.Detail = "the document is not valid"
		return http.StatusUnprocessableEntity, result
	case a.Answer.Verdict == committer.VerdictChangeIDReused:
		result.Detail = "the change-id was used for another document"
		return http.StatusConflict, result
	}
	result.Detail = "change " + a.Answer.CurrentChangeID + " came first"
	return http.StatusConflict, result
}
