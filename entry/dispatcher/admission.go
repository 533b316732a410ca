package dispatcher

import (
	"net/http"

	"comfreyplank.org/core/admitter"
	"comfreyplank.org/core/balancer"
	"comfreyplank.org/entry/translator"
)

// Admission admits calls within the rate limits of workspaces, and within the shares of the calls to services.
type Admission interface {
	// Admit decides on a call. A workspace without a name has no rate limit.
	Admit(workspace, service string, priority int) admitter.Decision
	// GiveBack takes back an admitted call that has turned out not to have run. Overloaded is set if there was no
	// endpoint with room for it.
	GiveBack(workspace, service string, priority int, overloaded bool)
}

// admitAll admits every call.
type admitAll struct{}

func (admitAll) Admit(string, string, int) admitter.Decision { return admitter.Decision{} }
func (admitAll) GiveBack(string, string, int, bool)          {}

// admittedCall is a call that has passed the stage of rate limits and admission.
type admittedCall struct {
	admission          Admission
	workspace, service string
	priority           int
}

// giveBack takes the call back, since it has not run and never will.
func (c admittedCall) giveBack(overloaded bool) {
	c.admission.GiveBack(c.workspace, c.service, c.priority, overloaded)
}

// end gives the call back if a refusal tells that it has not run.
func (c admittedCall) end(refusal *balancer.Refuse) {
	if refusal != nil && refusal.Outcome == balancer.OutcomeNotRun {
		c.giveBack(refusal.Reason == balancer.ReasonOverload || refusal.Reason == balancer.ReasonQueueFull)
	}
}

// admit is the stage of rate limits and admission by priority. It returns a refusal if the call is beyond them.
func (d *Dispatcher) admit(workspace, service string, priority int) (admittedCall, *translator.Refusal) {
	decision := d.deps.Admission.Admit(workspace, service, priority)
	switch decision.Verdict {
	case admitter.RateLimited:
		return admittedCall{}, &translator.Refusal{
			Status: http.StatusTooManyRequests, Outcome: balancer.OutcomeNotRun,
			Detail: "the workspace has reached its rate limit", RetryAfter: decision.RetryAfter,
		}
	case admitter.Shed:
		return admittedCall{}, &translator.Refusal{
			Status: http.StatusServiceUnavailable, Outcome: balancer.OutcomeNotRun,
			Detail: "there is too little room for requests of this priority", RetryAfter: decision.RetryAfter,
		}
	}
	return admittedCall{d.deps.Admission, workspace, service, priority}, nil
}
