package translator

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/pauser"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/reporter"
)

// Header fields of the product's own protocols.
const (
	TimeoutHeader = "Comfreyplank-Timeout-Ms"
	AttemptHeader = "Comfreyplank-Attempt"
	RequestHeader = "Comfreyplank-Request-Id"
	LoadHeader    = "Endpoint-Load-Metrics"
	// KeyHeader is the caller's key, and WorkspaceHeader the workspace that holds it.
	KeyHeader       = "Comfreyplank-Key"
	WorkspaceHeader = "Comfreyplank-Workspace"
	// ProbePath is the path that endpoints answer with a LoadHeader.
	ProbePath = "/comfreyplank/v1/probe"
)

// ErrInvalidTimeout is returned for a timeout that can't be parsed.
var ErrInvalidTimeout = errors.New(TimeoutHeader + " must be a whole number of milliseconds")

// NativeCallers returns the product's own protocol with callers.
func NativeCallers() Callers {
	return Callers{
		ParseRequest: parseNativeRequest, Refuse: writeNativeRefusal, PrepareResponse: prepareNativeResponse, PrepareForward: prepareNativeForward,
		KeyHeader: KeyHeader, WorkspaceHeader: WorkspaceHeader,
	}
}

// NativeEndpoints returns the product's own protocol with endpoints.
func NativeEndpoints() Endpoints {
	return Endpoints{
		PrepareAttempt:   prepareNativeAttempt,
		ClassifyResponse: classifyNativeResponse,
		Report:           nativeReport,
		ClassifyProbe:    classifyNativeProbe,
	}
}

func parseNativeRequest(h http.Header) (Request, error) {
	r := Request{Timeout: -1}
	if id := h.Get(RequestHeader); validator.ValidName(id) {
		r.ID = id
	}
	if n, err := strconv.Atoi(h.Get(AttemptHeader)); err == nil {
		r.Chained = n > 1
	}
	if text := h.Get(TimeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return r, ErrInvalidTimeout
		}
		r.Timeout = time.Duration(min(ms, validator.MaxDeadlineMs)) * time.Millisecond
	}
	return r, nil
}

func writeNativeRefusal(w http.ResponseWriter, r Refusal) {
	outcome := reporter.OutcomeNotRun
	if r.Outcome == balancer.OutcomeUnknown {
		outcome = reporter.OutcomeUnknown
	}
	if r.RetryAfter > 0 {
		// Retry-After takes whole seconds; round up.
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	reporter.Problem{Status: r.Status, Detail: r.Detail, Request: r.Request}.Write(w, outcome)
}

func prepareNativeResponse(h http.Header, id string) {
	h.Del(LoadHeader)
	h.Del(reporter.OutcomeHeader)
	h.Set(RequestHeader, id)
}

func prepareNativeForward(h http.Header, r *http.Request, id string) {
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = []string{strings.Join(append(r.Header.Values("X-Forwarded-For"), ip), ", ")}
	}
	h.Set(RequestHeader, id)
}

func prepareNativeAttempt(h http.Header, a Attempt) {
	h.Set(TimeoutHeader, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(AttemptHeader, strconv.Itoa(a.Number))
}

// classifyNativeResponse recognises responses by which an endpoint refuses a request.
func classifyNativeResponse(_ http.Header, response *http.Response) balancer.Ending {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(reporter.OutcomeHeader) == reporter.OutcomeNotRun {
		return balancer.EndingRefused
	}
	return balancer.EndingComplete
}

func classifyNativeProbe(_ string, response *http.Response) balancer.Ending {
	if response.StatusCode >= http.StatusInternalServerError {
		return balancer.EndingRefused
	}
	return balancer.EndingComplete
}

// nativeReport reads the load header, and how long an endpoint without room wants no requests.
func nativeReport(_ http.Header, response *http.Response) balancer.Report {
	report := ParseLoad(strings.Join(response.Header.Values(LoadHeader), ","))
	if response.StatusCode == http.StatusServiceUnavailable {
		report.Pause = pauser.Parse(response.Header.Values("Retry-After"))
	}
	return report
}

// ParseLoad parses a load header such as "load=3, state=serving, limit=2.5, warm-up-ms=800, incarnation=7". Missing or invalid
// parts are left unknown.
func ParseLoad(value string) balancer.Report {
	report := balancer.NoReport
	var limits, warmUps []string
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "load":
			if n, err := strconv.Atoi(text); err == nil && n >= 0 && n <= registrar.MaxLoad {
				report.Load = n
			}
		case "state":
			report.State = parseState(text)
			report.Leaving = text == stateLeaving
		case "incarnation":
			if n, err := strconv.ParseUint(text, 10, 64); err == nil {
				report.Incarnation = n
			}
		case "limit":
			limits = append(limits, text)
		case "warm-up-ms":
			warmUps = append(warmUps, text)
		}
	}
	report.Limit = throttler.ParseStatement(limits)
	report.WarmUp = throttler.ParseWarmUp(warmUps)
	return report
}

// stateLeaving is the state of an endpoint that gets no new requests until it restarts. One that is
// draining may announce that it serves again.
const stateLeaving = "leaving"

func parseState(text string) registrar.State {
	switch s := registrar.State(text); s {
	case registrar.StateStarting, registrar.StateServing, registrar.StateDraining:
		return s
	}
	return ""
}
