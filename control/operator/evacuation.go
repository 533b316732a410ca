package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/shell/dater"
	"comfreyplank.org/shell/reporter"
)

const (
	// evacuationTimeout is how long an order waits until a quorum has stored it: several elections of a leader.
	evacuationTimeout = 3 * time.Second
	// evacuationEffectTimeout is how long after its arrival a stored order waits to be in effect at every entry.
	evacuationEffectTimeout = 400 * time.Millisecond
)

// evacuate returns the handler that begins or finishes the evacuation of a data centre.
func (o *Operator) evacuate(active bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !o.authorized(w, r) {
			return
		}
		dater.CloseAfterResponse(w)
		ctx, cancel := context.WithTimeout(r.Context(), evacuationTimeout+replyMargin)
		defer cancel()
		reply, err := o.driver.Evacuate(ctx, controller.Evacuate{
			DataCentre: chi.URLParam(r, "data-centre"), Active: active, MustBeKnown: true,
			Timeout: evacuationTimeout, EffectTimeout: evacuationEffectTimeout,
			Since: dater.Since(r), CurrentFor: evacuationTimeout,
		})
		if err != nil {
			reply.Status = controller.ApplyUnknown
		}
		status, result := describeEvacuation(reply.Status)
		reporter.JSON(w, status, result)
	}
}

// describeEvacuation returns the HTTP status and the result of an order.
func describeEvacuation(status controller.ApplyStatus) (int, Result) {
	switch status {
	case controller.ApplyInEffect:
		return http.StatusOK, Result{Status: "in-force", Detail: "accepted, and in force at every entry in standing"}
	case controller.ApplyNotInEffect:
		return http.StatusOK, Result{Status: "accepted", Detail: "accepted for good; not yet known to be in force everywhere"}
	case controller.ApplyRefused:
		return http.StatusNotFound, Result{Status: "refused", Detail: "no endpoint or entry is known in this data centre; nothing was changed"}
	case controller.ApplyNotProposed:
		return http.StatusServiceUnavailable, Result{Status: "not-taken", Detail: "this replica hears no leader; nothing was changed"}
	}
	return http.StatusServiceUnavailable, Result{Status: "unknown", Detail: "no majority of replicas could be asked; send the same order again to learn"}
}
