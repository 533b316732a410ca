// Package runner soaks the system: it runs the real programs as processes of their own on
// loopback, lets the steps of a plan happen to them, and checks the promises meanwhile,
// from what callers, endpoints and operators see.
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

// Waits of a soak.
const (
	// recoveryTimeout is how long the system may take to be whole once nothing happens to it.
	recoveryTimeout = 60 * time.Second
	// stableTime is how long callers go on after that, and settle what endpoints then get to end
	// their work.
	stableTime = time.Second
	settleTime = 3 * time.Second
)

// ErrNoProgress is returned when the system does not become whole again.
var ErrNoProgress = errors.New("the system did not become whole again")

// Settings say what a soak is made of.
type Settings struct {
	// Bin is the folder of the programs, Work that of data and logs.
	Bin, Work string
	Seed      uint64
	Length    time.Duration
	Size      planner.Size
	Callers   int
}

// Report is what came of a soak.
type Report struct {
	Steps                             int
	Answered, NotRun, Unknown, Broken int
	Revision                          uint64
	// Violations are the broken promises.
	Violations []string
}

// Soak is one run.
type Soak struct {
	settings  Settings
	stage     *stager.Stage
	checker   *checker.Checker
	operator  *operator
	controls  []*host
	entries   []*host
	endpoints []*endpoint
	group     sync.WaitGroup
}

// endpoint is a stand-in endpoint in this process.
type endpoint struct {
	*responder.Responder
	name  string
	relay *relayer.Relay
	// behaviourMu lets one change of behaviour end before the next.
	behaviourMu sync.Mutex
}

// Run runs one soak to its end.
func Run(ctx context.Context, s Settings) (Report, error) {
	soak := &Soak{settings: s, checker: checker.New()}
	if err := soak.setUp(); err != nil {
		return Report{}, err
	}
	defer soak.cleanUp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := soak.start(ctx); err != nil {
		return Report{}, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	soak.startLoad(callCtx, &callers)
	steps := planner.Plan(s.Seed, s.Size, s.Length)
	soak.runSteps(ctx, steps)
	err := soak.awaitRecovery(ctx)
	time.Sleep(stableTime)
	stopCalls()
	callers.Wait()
	time.Sleep(settleTime)
	soak.checkLogs()
	return soak.report(len(steps)), err
}

func (s *Soak) report(steps int) Report {
	return Report{
		Steps: steps, Answered: s.checker.Count(checker.Answered), NotRun: s.checker.Count(checker.NotRun),
		Unknown: s.checker.Count(checker.Unknown), Broken: s.checker.Count(checker.Broken),
		Revision: s.checker.NewestRevision(), Violations: s.checker.Finish(),
	}
}

// setUp makes the processes, with a relay before each replica and endpoint.
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
		s.controls = append(s.controls, &host{stage: stage, process: p, check: s.checker, relay: relay})
		peerArgs = append(peerArgs, "--peer", p.Name+"="+relay.Address())
		controlArgs = append(controlArgs, "--control", relay.Address())
	}
	for _, h := range s.controls {
		p := h.process
		p.Args = append([]string{"--name", p.Name, "--listen", p.Listen, "--advertise", h.relay.Address(), "--admin", p.Admin, "--data", p.Data}, peerArgs...)
	}
	for _, p := range stage.Entries {
		p.Args = append([]string{"--name", p.Name, "--data-centre", "dc-1", "--listen", p.Listen, "--admin", p.Admin, "--notice", "300ms"}, controlArgs...)
		s.entries = append(s.entries, &host{stage: stage, process: p, check: s.checker})
	}
	s.operator = &operator{controls: s.controls, entries: s.entries, check: s.checker}
	for i := range s.settings.Size.Endpoints {
		if err := s.addEndpoint(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) addEndpoint(i int) error {
	address, err := stager.FreeAddress()
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
		Slots: 6, Connections: 250, Entries: entries, Behaviour: responder.Default(), Record: executionWriter{s.checker, e.name},
	})
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, e)
	return nil
}

// executionWriter tells the checker of each run that an endpoint records.
type executionWriter struct {
	check    *checker.Checker
	endpoint string
}

// Write is part of io.Writer.
func (r executionWriter) Write(line []byte) (int, error) {
	var id, sending, kind string
	_, _ = fmt.Sscan(string(line), &id, &sending, &kind) // the fields at the end may be empty
	r.check.RecordExecution(time.Now(), r.endpoint, id, sending)
	if kind != "" {
		r.check.RecordEndless(sending)
	}
	return len(line), nil
}

// start starts everything and waits until it works.
func (s *Soak) start(ctx context.Context) error {
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

// Streams of random numbers of one seed.
const (
	operatorStream    = 2
	firstCallerStream = 100
)

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// startLoad starts callers, an operator, and those who watch.
func (s *Soak) startLoad(ctx context.Context, group *sync.WaitGroup) {
	for i := range s.settings.Callers {
		c := newCaller(fmt.Sprint("call-", i), s.entries, s.checker, newRand(s.settings.Seed, firstCallerStream+uint64(i)))
		group.Go(func() { c.run(ctx) })
	}
	group.Go(func() { s.operator.run(ctx, newRand(s.settings.Seed, operatorStream)) })
	group.Go(func() { s.operator.poll(ctx) })
}

// awaitReady waits until every process serves and every endpoint is known.
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

// awaitRecovery undoes all faults, and asserts that the system becomes whole and takes a change.
func (s *Soak) awaitRecovery(ctx context.Context) error {
	for _, h := range s.controls {
		h.relay.SetFault(relayer.Fault{})
	}
	for _, e := range s.endpoints {
		e.relay.SetFault(relayer.Fault{})
		e.SetBehaviour(ctx, responder.Default())
		s.checker.RecordReturn(e.name)
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

// checkLogs looks for processes that ended by a fault of their own.
func (s *Soak) checkLogs() {
	for _, h := range slices.Concat(s.controls, s.entries) {
		data, err := os.ReadFile(filepath.Join(s.settings.Work, h.process.Name+".log"))
		if err != nil {
			s.checker.AddViolation("the log of %s can't be read: %v", h.process.Name, err)
		}
		for _, marker := range []string{"panic:", "fatal error:", "WARNING: DATA RACE", "ended\" error", "failed\" error"} {
			if at := bytes.Index(data, []byte(marker)); at >= 0 {
				s.checker.AddViolation("%s ended by itself: %.300s", h.process.Name, data[at:])
			}
		}
	}
}

// cleanUp ends every process that the soak has started.
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
