// Package loader sends an open-loop load: calls start when they are due, whether or not
// earlier ones have ended, and latency is measured from when a call was due.
package loader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Plan holds the parameters of a load.
type Plan struct {
	// Targets are the addresses that calls are sent to, round-robin.
	Targets []string
	// Path is the path of repeatable calls.
	Path string
	// OncePath is the path of once-only calls, and OncePercent their share.
	OncePath    string
	OncePercent int
	// Rate is the mean number of calls per second.
	Rate     float64
	Duration time.Duration
	// Warmup is the time at the start whose calls are not counted.
	Warmup  time.Duration
	Timeout time.Duration
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes of a call.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
	OutcomeOtherStatus   // a response with a status other than 200
	OutcomeBroken        // the connection broke
	OutcomeWrongResponse // a response to another request, or an incomplete one
	outcomeCount
)

// String returns the outcome as it is printed in results.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "other-status", "broken", "wrong-answer"}[o]
}

// Results holds the results of a run.
type Results struct {
	// Latency holds the latencies of answered calls, in microseconds.
	Latency *hdrhistogram.Histogram
	Count   [outcomeCount]int64
	// Late is the number of calls that started more than a millisecond after they were due.
	Late int64
	// AnsweredKeys and NotRunKeys hold the keys of once-only calls with these outcomes,
	// including the calls during the warmup.
	AnsweredKeys []string
	NotRunKeys   []string
}

// Quantile returns a quantile of the latency.
func (f *Results) Quantile(q float64) time.Duration {
	return time.Duration(f.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Total returns the number of calls.
func (f *Results) Total() int64 {
	var n int64
	for _, c := range f.Count {
		n += c
	}
	return n
}

const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	lateThreshold     = time.Millisecond
	// minSleep is the shortest sleep before a call: calls that are due sooner start at once.
	minSleep = 200 * time.Microsecond
)

// Loader carries out a plan.
type Loader struct {
	plan   Plan
	client *http.Client

	mu      sync.Mutex
	results Results
}

// New returns a loader for a plan.
func New(p Plan) *Loader {
	dialer := net.Dialer{Timeout: p.Timeout}
	return &Loader{
		plan: p,
		client: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4096, MaxIdleConns: 65536, DisableCompression: true},
			Timeout:   p.Timeout,
		},
		results: Results{Latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)},
	}
}

// Run sends the load and returns the results. The times between calls are exponentially
// distributed.
func (l *Loader) Run(ctx context.Context) *Results {
	start := time.Now()
	due := start
	end := start.Add(l.plan.Warmup + l.plan.Duration)
	var group sync.WaitGroup
	for n := 0; due.Before(end) && ctx.Err() == nil; n++ {
		if wait := time.Until(due); wait > minSleep {
			time.Sleep(wait)
		}
		at := due
		group.Go(func() { l.call(ctx, n, at, at.Sub(start) >= l.plan.Warmup) })
		due = due.Add(time.Duration(rand.ExpFloat64() / l.plan.Rate * float64(time.Second)))
	}
	group.Wait()
	return &l.results
}

func (l *Loader) call(ctx context.Context, n int, due time.Time, measured bool) {
	late := time.Since(due) > lateThreshold
	once := n%100 < l.plan.OncePercent
	mark := markPrefix + strconv.Itoa(n)
	key := ""
	method, path, body := http.MethodGet, l.plan.Path, ""
	if once {
		key = uuid.Must(uuid.NewV7()).String()
		method, path, body = http.MethodPost, l.plan.OncePath, "b"+strconv.Itoa(n)
	}
	target := l.plan.Targets[n%len(l.plan.Targets)]
	outcome := l.send(ctx, method, "http://"+target+path, body, mark, key)
	l.record(outcome, time.Since(due), late, measured, key)
}

// markPrefix is the prefix of the marks of calls. The key of a once-only call is a UUID, which
// never starts with it.
const markPrefix = "m"

// IsMark reports whether a recorded run names the mark of a repeatable call rather than the
// key of a once-only call.
func IsMark(run string) bool { return strings.HasPrefix(run, markPrefix) }

func (l *Loader) send(ctx context.Context, method, url, body, mark, key string) Outcome {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return OutcomeBroken
	}
	request.Header.Set("X-Mark", mark)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return OutcomeBroken
	}
	defer func() { _ = response.Body.Close() }()
	text, err := ReadBody(response)
	if err != nil {
		return OutcomeBroken
	}
	return classify(response, string(text), mark, body)
}

// errUnframed is returned for a response whose end can't be told from that of its connection.
var errUnframed = errors.New("the response has neither a length nor chunks")

// ReadBody reads the whole body of a response. Where only the end of the connection ends it, a part can't be told from
// the whole: a reset may look like a normal end if the request is still sent.
func ReadBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errUnframed
	}
	text, err := io.ReadAll(response.Body)
	return text, errors.Wrap(err, "read response")
}

// classify returns the outcome of a call. A successful response must be complete and echo the
// mark and body of the call.
func classify(response *http.Response, text, mark, body string) Outcome {
	switch response.Header.Get("Comfreyplank-Outcome") {
	case "not-run":
		return OutcomeNotRun
	case "unknown":
		return OutcomeUnknown
	}
	if response.StatusCode != http.StatusOK {
		return OutcomeOtherStatus
	}
	if !strings.HasSuffix(strings.TrimRight(text, "x"), fmt.Sprintf(" %s %s\n", mark, body)) {
		return OutcomeWrongResponse
	}
	return OutcomeAnswered
}

func (l *Loader) record(outcome Outcome, latency time.Duration, late, measured bool, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case key == "":
	case outcome == OutcomeAnswered:
		l.results.AnsweredKeys = append(l.results.AnsweredKeys, key)
	case outcome == OutcomeNotRun:
		l.results.NotRunKeys = append(l.results.NotRunKeys, key)
	}
	if !measured {
		return
	}
	l.results.Count[outcome]++
	if late {
		l.results.Late++
	}
	if outcome == OutcomeAnswered {
		_ = l.results.Latency.RecordValue(max(1, latency.Microseconds())) // the timeout keeps it within the range
	}
}
