package translator

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/reporter"
)

// Headers of the product's own protocols.
const (
	TimeoutHeader = "Comfreyplank-Timeout-Ms"
	AttemptHeader = "Comfreyplank-Attempt"
	RequestHeader = "Comfreyplank-Request-Id"
	LoadHeader    = "Endpoint-Load-Metrics"
	// ProbePath answers a probe with a LoadHeader.
	ProbePath = "/comfreyplank/v1/probe"
)

// ErrTimeout is returned for a timeout that can't be read.
var ErrTimeout = errors.New(TimeoutHeader + " must be a whole number of milliseconds")

// NativeCallers returns the product's own protocol with callers.
func NativeCallers() Callers {
	return Callers{ParseRequest: readNative, Refuse: refuseNative, PrepareResponse: answerNative, PrepareForward: onwardNative}
}

// NativeEndpoints returns the product's own protocol with endpoints.
func NativeEndpoints() Endpoints {
	return Endpoints{
		PrepareAttempt:   prepareNative,
		ClassifyResponse: judgeNative,
		Report:           func(h http.Header) balancer.Report { return ParseLoad(h.Get(LoadHeader)) },
		ClassifyProbe:    probedNative,
	}
}

func readNative(h http.Header) (Request, error) {
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
			return r, ErrTimeout
		}
		r.Timeout = time.Duration(min(ms, validator.MaxDeadlineMs)) * time.Millisecond
	}
	return r, nil
}

func refuseNative(w http.ResponseWriter, r Refusal) {
	outcome := reporter.OutcomeNotRun
	if r.Outcome == balancer.OutcomeUnknown {
		outcome = reporter.OutcomeUnknown
	}
	if r.RetryAfter > 0 {
		// Whole seconds, rounded up: the header takes no fraction.
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	reporter.Problem{Status: r.Status, Detail: r.Detail, Request: r.Request}.Write(w, outcome)
}

func answerNative(h http.Header, id string) {
	h.Del(LoadHeader)
	h.Del(reporter.OutcomeHeader)
	h.Set(RequestHeader, id)
}

func onwardNative(h http.Header, r *http.Request, id string) {
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = []string{strings.Join(append(r.Header.Values("X-Forwarded-For"), ip), ", ")}
	}
	h.Set(RequestHeader, id)
}

func prepareNative(h http.Header, a Attempt) {
	h.Set(TimeoutHeader, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(AttemptHeader, strconv.Itoa(a.Number))
}

// judgeNative takes an explicit refusal for what it is.
func judgeNative(_ http.Header, answer *http.Response) balancer.Ending {
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(reporter.OutcomeHeader) == reporter.OutcomeNotRun {
		return balancer.EndingRefused
	}
	return balancer.EndingComplete
}

func probedNative(_ string, answer *http.Response) balancer.Ending {
	if answer.StatusCode >= http.StatusInternalServerError {
		return balancer.EndingRefused
	}
	return balancer.EndingComplete
}

// ParseLoad reads a load header such as "load=3, state=serving". What is missing
// or wrong is unknown.
func ParseLoad(value string) balancer.Report {
	report := balancer.NoReport
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "load":
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				report.Load = n
			}
		case "state":
			report.State = stateOf(text)
		}
	}
	return report
}

func stateOf(text string) registrar.State {
	switch s := registrar.State(text); s {
	case registrar.StateStarting, registrar.StateServing, registrar.StateDraining:
		return s
	}
	return ""
}
