package dispatcher

import (
	"net/http"
	"strings"
	"time"

	"comfreyplank.org/core/authenticator"
	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/router"
	"comfreyplank.org/entry/translator"
)

// sender is what the entry knows of the sender of a request by its key.
type sender struct {
	// workspace is the one that holds the key; nil without one.
	workspace *authenticator.Workspace
	// priority is that of the workspace or the route.
	priority int
	// reserved is set if the document lists workspaces: the header fields of keys and workspaces are then the
	// system's own.
	reserved bool
	// needsKeyLease is set if the request may run only under the key lease.
	needsKeyLease bool
}

// name returns the name of the sender's workspace; empty without one.
func (s sender) name() string {
	if s.workspace == nil {
		return ""
	}
	return s.workspace.Name
}

// keyProblem is a reason to refuse a request because of its key.
type keyProblem struct {
	// reason is the label in the metrics.
	reason     string
	status     int
	detail     string
	retryAfter time.Duration
}

// The reasons. None of them tells the key.
var (
	problemKeyMissing     = keyProblem{reason: "missing", status: http.StatusUnauthorized, detail: "the request needs a key"}
	problemKeyAmbiguous   = keyProblem{reason: "repeated", status: http.StatusBadRequest, detail: "the request has more than one key"}
	problemKeyUnknown     = keyProblem{reason: "unknown", status: http.StatusUnauthorized, detail: "the key is not valid"}
	problemKeyLease       = keyProblem{reason: "lease", status: http.StatusServiceUnavailable, detail: string(balancer.ReasonNoKeyLease), retryAfter: balancer.RetryAfter}
	problemKeyUnconfirmed = keyProblem{reason: "unconfirmed", status: http.StatusServiceUnavailable, detail: "this instance can't tell whether the key is new", retryAfter: balancer.RetryAfter}
)

// authenticate decides by its key whether a request may go on, and who has sent it. It never guesses: what is not
// exactly one key of a workspace is refused. Without its leases, the entry is not sure to know the newest document.
func (d *Dispatcher) authenticate(r *http.Request, config *activeConfig, match router.Match, held leases) (sender, *translator.Refusal) {
	from := sender{priority: match.Route.Priority}
	if !config.authenticator.Enabled() {
		return from, nil
	}
	from.reserved = true
	workspace, verdict := config.authenticator.Authenticate(r.Header[d.deps.Callers.KeyHeader], match.Route.Public)
	switch verdict {
	case authenticator.VerdictKnown:
		from.needsKeyLease = d.fence.required && !match.Route.Public
		if from.needsKeyLease && !held.key {
			return from, d.refuseKey(problemKeyLease)
		}
		from.workspace = workspace
		from.priority = workspace.Priority(from.priority)
	case authenticator.VerdictMissing:
		return from, d.refuseKey(problemKeyMissing)
	case authenticator.VerdictAmbiguous:
		return from, d.refuseKey(problemKeyAmbiguous)
	case authenticator.VerdictUnknown:
		if !held.config || !held.key { // a newer document may have the key
			return from, d.refuseKey(problemKeyUnconfirmed)
		}
		return from, d.refuseKey(problemKeyUnknown)
	}
	return from, nil
}

func (d *Dispatcher) refuseKey(p keyProblem) *translator.Refusal {
	d.deps.Counter.KeyRefused(p.reason)
	return &translator.Refusal{Status: p.status, Outcome: balancer.OutcomeNotRun, Detail: p.detail, RetryAfter: p.retryAfter}
}

// leases tells which leases the entry holds. The key lease counts as held while none is required.
type leases struct{ config, key bool }

// heldLeases returns the leases that the entry holds now.
func (d *Dispatcher) heldLeases() leases {
	held := leases{key: true}
	var now time.Time
	if d.fence.required {
		var end time.Time
		end, now = d.fence.measure()
		held.key = now.Before(end)
	} else {
		now = d.deps.Now()
	}
	end := d.configLeaseUntil.Load()
	held.config = end != nil && now.Before(*end)
	return held
}

// spellings returns the canonical header fields that an endpoint may take for the given one: endpoints that pass fields
// in variables don't tell dashes from underscores. The server brings the fields of requests into canonical form.
func spellings(field string) []string {
	all := []string{""}
	for part := range strings.SplitSeq(field, "-") {
		next := make([]string, 0, 2*len(all))
		for _, beginning := range all {
			if beginning == "" {
				next = append(next, part)
				continue
			}
			next = append(next, beginning+"-"+part, beginning+"_"+part)
		}
		all = next
	}
	for i := range all {
		all[i] = http.CanonicalHeaderKey(all[i])
	}
	return all
}
