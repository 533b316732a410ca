// Package runner runs soaks of the system: it starts the real programs as separate processes
// on loopback, carries out the steps of a plan, and checks the system's guarantees meanwhile
// from the observations of callers, endpoints and operators.
package runner

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/bench/stager"
	"comfreyplank.org/soaker/checker"
	"comfreyplank.org/soaker/planner"
	"comfreyplank.org/soaker/relayer"
	"comfreyplank.org/standin/responder"
)

const service = "rounds"

// Durations of the phases at the end of a soak.
const (
	// recoveryTimeout is how long the system may take to recover after the last fault. It
	// also bounds the start.
	recoveryTimeout = 60 * time.Second
	// stableTime is how long callers go on after the recovery, and settleTime how long
	// endpoints then have to complete their work.
	stableTime = time.Second
	settleTime = 3 * time.Second
)

// ErrNoProgress is returned if the system doesn't start or recover in time.
var ErrNoProgress = errors.New("the system did not recover in time")

// Settings holds the parameters of a soak.
type Settings struct {
	// Bin is the folder of the programs, and Work the folder of their data and logs.
	Bin, Work string
	Seed      uint64
	Length    time.Duration
	Size      planner.Size
	Callers   int
}

// Report holds the results of a soak.
type Report struct {
	Steps                             int
	Answered, NotRun, Unknown, Broken int
	Revision                          uint64
	// Violations describes each violated guarantee.
	Violations []string
}

// Soak is a soak in progress.
type Soak struct {
	settings  Settings
	stage     *stager.Stage
	check     *checker.Checker
	operator  *operator
	controls  []*host
	entries   []*host
	endpoints []*endpoint
	group     sync.WaitGroup
}

// endpoint is a stand-in endpoint that runs in this process, behind a relay.
type endpoint struct {
	*responder.Responder
	name  string
	relay *relayer.Relay
	// behaviourMu serialises temporary changes of behaviour, limitMu limits, and wishMu what is said of new requests.
	behaviourMu sync.Mutex
	limitMu     sync.Mutex
	wishMu      sync.Mutex
}

// Run carries out one soak.
func Run(ctx context.Context, s Settings) (Report, error) {
	soak := &Soak{settings: s, check: checker.New()}
	if err := soak.setUp(); err != nil {
		return Report{}, err
	}
	defer soak.cleanUp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := soak.begin(ctx); err != nil {
		return Report{}, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	soak.startLoad(callCtx, &callers)
	steps := planner.Plan(s.Seed, s.Size, s.Length)
	limits := planner.Limits(s.Seed, s.Size, s.Length)
	statements := planner.Statements(s.Seed, s.Size, s.Length)
	var besides sync.WaitGroup
	besides.Go(func() { soak.runSteps(ctx, limits) })
	besides.Go(func() { soak.runSteps(ctx, statements) })
	soak.runSteps(ctx, steps)
	besides.Wait()
	err := soak.awaitRecovery(ctx)
	time.Sleep(stableTime)
	stopCalls()
	callers.Wait()
	time.Sleep(settleTime)
	soak.checkLogs()
	report := soak.report(len(steps) + len(limits) + len(statements))
	if err != nil || len(report.Violations) > 0 {
		soak.keepTimelines()
	}
	return report, err
}

func (s *Soak) report(steps int) Report {
	return Report{
		Steps: steps, Answered: s.check.Count(checker.Answered), NotRun: s.check.Count(checker.NotRun),
		Unknown: s.check.Count(checker.Unknown), Broken: s.check.Count(checker.Broken),
		Revision: s.check.NewestRevision(), Violations: s.check.Finish(),
	}
}

// setUp prepares the processes, with a relay in front of each replica and endpoint.
func (s *Soak) setUp() error {
	stage, err := stager.New(s.settings.Bin, s.settings.Work, s.settings.Size.Controls, s.settings.Size.Entries)
	if err != nil {
		return err
	}
	s.stage = stage
	var peerArgs, controlArgs []string
	for _, p := range stage.Controls {
		relay, err := relayer.New(p.Listen)
		if err != nil {
			return err
		}
		s.controls = append(s.controls, &host{stage: stage, process: p, check: s.check, relay: relay})
		peerArgs = append(peerArgs, "--peer", p.Name+"="+relay.Address())
		controlArgs = append(controlArgs, "--control", relay.Address())
	}
	for _, h := range s.controls {
		p := h.process
		p.Args = append([]string{"--name", p.Name, "--listen", p.Listen, "--advertise", h.relay.Address(), "--admin", p.Admin, "--data", p.Data}, peerArgs...)
	}
	for _, p := range stage.Entries {
		p.Args = append([]string{"--name", p.Name, "--data-centre", "dc-1", "--listen", p.Listen, "--admin", p.Admin, "--notice", "300ms"}, controlArgs...)
		s.entries = append(s.entries, &host{stage: stage, process: p, check: s.check})
	}
	s.operator = &operator{controls: s.controls, entries: s.entries, check: s.check}
	for i := range s.settings.Size.Endpoints {
		if err := s.addEndpoint(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) addEndpoint(i int) error {
	address, err := stager.Address()
	if err != nil {
		return err
	}
	relay, err := relayer.New(address)
	if err != nil {
		return err
	}
	e := &endpoint{name: fmt.Sprint(service, "-", i+1), relay: relay}
	var entries []string
	for _, h := range s.entries {
		entries = append(entries, h.process.Listen)
	}
	e.Responder, err = responder.New(responder.Settings{
		Service: service, Endpoint: e.name, Address: address, Advertise: relay.Address(), DataCentre: "dc-1",
		Slots: 6, Connections: 250, Entries: entries, Behaviour: responder.Default(), Record: executionWriter{s.check, e.name},
		Arrived: func(request string, pause time.Duration) { s.check.Arrived(time.Now(), e.name, request, pause) },
	})
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, e)
	return nil
}

// executionWriter reports the executions that an endpoint records to the checker.
type executionWriter struct {
	check    *checker.Checker
	endpoint string
}

// Write implements io.Writer; line is one record of the endpoint.
func (r executionWriter) Write(line []byte) (int, error) {
	var callID, requestID, kind string
	_, _ = fmt.Sscan(string(line), &callID, &requestID, &kind) // the last fields may be empty
	r.check.Ran(time.Now(), r.endpoint, callID, requestID)
	if kind != "" {
		r.check.RecordEndless(r.endpoint, requestID)
	}
	return len(line), nil
}

// begin starts all processes and endpoints, applies the first document, and waits until the
// system is ready.
func (s *Soak) begin(ctx context.Context) error {
	for _, h := range slices.Concat(s.controls, s.entries) {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, e := range s.endpoints {
		s.group.Go(func() { e.Run(ctx) })
	}
	if !s.operator.firstChange(ctx) {
		return errors.Wrap(ErrNoProgress, "first document")
	}
	return s.awaitReady()
}

// Numbers of the random streams that are derived from one seed. The planner uses stream 1.
const (
	operatorStream    = 2
	firstCallerStream = 100
)

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// startLoad starts the callers, the operator's changes, and the polling of entries and
// replicas.
func (s *Soak) startLoad(ctx context.Context, group *sync.WaitGroup) {
	for i := range s.settings.Callers {
		c := newCaller(fmt.Sprint("call-", i), s.entries, s.check, newRand(s.settings.Seed, firstCallerStream+uint64(i)))
		group.Go(func() { c.run(ctx) })
	}
	group.Go(func() { s.operator.run(ctx, newRand(s.settings.Seed, operatorStream)) })
	group.Go(func() { s.operator.poll(ctx) })
}

// awaitReady waits until every entry is ready and every replica knows all endpoints.
func (s *Soak) awaitReady() error {
	err := stager.WaitUntil(recoveryTimeout, func() bool {
		for _, h := range s.entries {
			if !h.process.Ready() {
				return false
			}
		}
		for _, h := range s.controls {
			if !h.process.KnowsEndpoints(len(s.endpoints)) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(ErrNoProgress, "readiness")
	}
	return nil
}

// awaitRecovery ends all faults, and checks that the system recovers, applies a change, and
// confirms a read at every replica.
func (s *Soak) awaitRecovery(ctx context.Context) error {
	for _, h := range s.controls {
		h.relay.Set(relayer.Fault{})
	}
	for _, e := range s.endpoints {
		e.relay.Set(relayer.Fault{})
		e.Set(ctx, responder.Default())
		s.check.Returned(e.name)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	changed := stager.WaitUntil(recoveryTimeout, func() bool { return s.operator.change(ctx, 0) })
	if changed != nil {
		return errors.Wrap(ErrNoProgress, "a change")
	}
	for _, h := range s.controls {
		if stager.WaitUntil(recoveryTimeout, func() bool { return s.operator.readDocument(h) }) != nil {
			return errors.Wrap(ErrNoProgress, "a read")
		}
	}
	return nil
}

// checkLogs searches the logs for crashes, data races and failures of the processes.
func (s *Soak) checkLogs() {
	for _, h := range slices.Concat(s.controls, s.entries) {
		data, err := os.ReadFile(filepath.Join(s.settings.Work, h.process.Name+".log"))
		if err != nil {
			s.check.AddViolation("the log of %s can't be read: %v", h.process.Name, err)
		}
		for _, marker := range []string{"panic:", "fatal error:", "WARNING: DATA RACE", "ended\" error", "failed\" error"} {
			if at := bytes.Index(data, []byte(marker)); at >= 0 {
				s.check.AddViolation("%s ended by itself: %.300s", h.process.Name, data[at:])
			}
		}
	}
}

// keepTimelines writes the event timeline of each process beside its log, for a run that broke a promise.
func (s *Soak) keepTimelines() {
	for _, h := range slices.Concat(s.controls, s.entries) {
		if err := h.process.KeepPage(s.settings.Work, "timeline"); err != nil {
			slog.Warn("a timeline was not kept", "process", h.process.Name, "error", err)
		}
	}
}

// cleanUp ends all processes and relays of the soak.
func (s *Soak) cleanUp() {
	s.stage.Stop()
	for _, h := range s.controls {
		h.relay.Close()
	}
	for _, e := range s.endpoints {
		e.relay.Close()
	}
	slog.Debug("ended all processes of the soak", "seed", s.settings.Seed)
}
