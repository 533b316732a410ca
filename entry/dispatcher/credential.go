package dispatcher

import (
	"net/http"
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
	problemKeyUnconfirmed = keyProblem{reason: "unconfirmed", status: http.StatusServiceUnavailable, detail: "this instance can't tell whether the key is new", retryAfter: balancer.RetryAfter}
)

// authenticate decides by its key whether a request may go on, and who has sent it. It never guesses: what is not
// exactly one key of a workspace is refused. Without standing, which is the configuration lease, the entry is not sure to
// know the newest document.
func (d *Dispatcher) authenticate(r *http.Request, config *activeConfig, match router.Match, standing bool) (sender, *translator.Refusal) {
	from := sender{priority: match.Route.Priority}
	if !config.authenticator.Enabled() {
		return from, nil
	}
	from.reserved = true
	workspace, verdict := config.authenticator.Authenticate(r.Header[d.deps.Callers.KeyHeader], match.Route.Public)
	switch verdict {
	case authenticator.VerdictKnown:
		from.workspace = workspace
		from.priority = workspace.Priority(from.priority)
	case authenticator.VerdictMissing:
		return from, d.refuseKey(problemKeyMissing)
	case authenticator.VerdictAmbiguous:
		return from, d.refuseKey(problemKeyAmbiguous)
	case authenticator.VerdictUnknown:
		if !standing { // a newer document may have the key
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

// holdsConfigLease reports whether the entry holds its configuration lease, so that it knows the newest document.
func (d *Dispatcher) holdsConfigLease() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.deps.Now().Before(d.configLease.Until)
}

// removeFields removes header fields in every spelling that an endpoint may take for one of the names: endpoints that
// pass fields in variables don't tell dashes from underscores.
func removeFields(h http.Header, names ...string) {
	for field := range h {
		for _, name := range names {
			if sameField(field, name) {
				delete(h, field)
			}
		}
	}
}

func sameField(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if foldByte(a[i]) != foldByte(b[i]) {
			return false
		}
	}
	return true
}

func foldByte(c byte) byte {
	switch {
	case 'A' <= c && c <= 'Z':
		return c + ('a' - 'A')
	case c == '_':
		return '-'
	}
	return c
}
