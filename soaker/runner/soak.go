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
	// patience is how long the system may take to be whole once nothing happens to it.
	patience = 60 * time.Second
	// calm is how long callers go on after that, and settle what endpoints then get to end
	// their work.
	calm   = time.Second
	settle = 3 * time.Second
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
	check     *checker.Checker
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
	// turns lets one change of behaviour end before the next.
	turns sync.Mutex
}

// Run runs one soak to its end.
func Run(ctx context.Context, s Settings) (Report, error) {
	soak := &Soak{settings: s, check: checker.New()}
	if err := soak.build(); err != nil {
		return Report{}, err
	}
	defer soak.clean()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := soak.begin(ctx); err != nil {
		return Report{}, err
	}
	calls, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var callers sync.WaitGroup
	soak.load(calls, &callers)
	steps := planner.Plan(s.Seed, s.Size, s.Length)
	soak.carryOut(ctx, steps)
	err := soak.heal(ctx)
	time.Sleep(calm)
	endCalls()
	callers.Wait()
	time.Sleep(settle)
	soak.readLogs()
	return soak.report(len(steps)), err
}

func (s *Soak) report(steps int) Report {
	return Report{
		Steps: steps, Answered: s.check.Count(checker.Answered), NotRun: s.check.Count(checker.NotRun),
		Unknown: s.check.Count(checker.Unknown), Broken: s.check.Count(checker.Broken),
		Revision: s.check.Newest(), Violations: s.check.Finish(),
	}
}

// build makes the processes, with a relay before each replica and endpoint.
func (s *Soak) build() error {
	stage, err := stager.New(s.settings.Bin, s.settings.Work, s.settings.Size.Controls, s.settings.Size.Entries)
	if err != nil {
		return err
	}
	s.stage = stage
	var peers, control []string
	for _, p := range stage.Controls {
		relay, err := relayer.New(p.Listen)
		if err != nil {
			return err
		}
		s.controls = append(s.controls, &host{stage: stage, process: p, check: s.check, relay: relay})
		peers = append(peers, "--peer", p.Name+"="+relay.Address())
		control = append(control, "--control", relay.Address())
	}
	for _, h := range s.controls {
		p := h.process
		p.Args = append([]string{"--name", p.Name, "--listen", p.Listen, "--advertise", h.relay.Address(), "--admin", p.Admin, "--data", p.Data}, peers...)
	}
	for _, p := range stage.Entries {
		p.Args = append([]string{"--name", p.Name, "--data-centre", "dc-1", "--listen", p.Listen, "--admin", p.Admin, "--notice", "300ms"}, control...)
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
		Slots: 6, Connections: 250, Entries: entries, Behaviour: responder.Default(), Record: runs{s.check, e.name},
	})
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, e)
	return nil
}

// runs tells the checker of each run that an endpoint records.
type runs struct {
	check    *checker.Checker
	endpoint string
}

// Write is part of io.Writer.
func (r runs) Write(line []byte) (int, error) {
	var id, sending, kind string
	_, _ = fmt.Sscan(string(line), &id, &sending, &kind) // the fields at the end may be empty
	r.check.Ran(time.Now(), r.endpoint, id, sending)
	if kind != "" {
		r.check.Unending(sending)
	}
	return len(line), nil
}

// begin starts everything and waits until it works.
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
	return s.whole()
}

// Streams of random numbers of one seed.
const (
	ofOperator  = 2
	firstCaller = 100
)

func newSource(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// load starts callers, an operator, and those who watch.
func (s *Soak) load(ctx context.Context, group *sync.WaitGroup) {
	for i := range s.settings.Callers {
		c := newCaller(fmt.Sprint("call-", i), s.entries, s.check, newSource(s.settings.Seed, firstCaller+uint64(i)))
		group.Go(func() { c.run(ctx) })
	}
	group.Go(func() { s.operator.run(ctx, newSource(s.settings.Seed, ofOperator)) })
	group.Go(func() { s.operator.watch(ctx) })
}

// whole waits until every process serves and every endpoint is known.
func (s *Soak) whole() error {
	err := stager.Until(patience, func() bool {
		for _, h := range s.entries {
			if !h.process.Ready() {
				return false
			}
		}
		for _, h := range s.controls {
			if !h.process.KnowsAll(len(s.endpoints)) {
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

// heal undoes all faults, and asserts that the system becomes whole and takes a change.
func (s *Soak) heal(ctx context.Context) error {
	for _, h := range s.controls {
		h.relay.Set(relayer.Fault{})
	}
	for _, e := range s.endpoints {
		e.relay.Set(relayer.Fault{})
		e.Set(ctx, responder.Default())
		s.check.Returned(e.name)
	}
	if err := s.whole(); err != nil {
		return err
	}
	changed := stager.Until(patience, func() bool { return s.operator.change(ctx, 0) })
	if changed != nil {
		return errors.Wrap(ErrNoProgress, "a change")
	}
	for _, h := range s.controls {
		if stager.Until(patience, func() bool { return s.operator.read(h) }) != nil {
			return errors.Wrap(ErrNoProgress, "a read")
		}
	}
	return nil
}

// readLogs looks for processes that ended by a fault of their own.
func (s *Soak) readLogs() {
	for _, h := range slices.Concat(s.controls, s.entries) {
		data, err := os.ReadFile(filepath.Join(s.settings.Work, h.process.Name+".log"))
		if err != nil {
			s.check.Violated("the log of %s can't be read: %v", h.process.Name, err)
		}
		for _, mark := range []string{"panic:", "fatal error:", "WARNING: DATA RACE", "ended\" error", "failed\" error"} {
			if at := bytes.Index(data, []byte(mark)); at >= 0 {
				s.check.Violated("%s ended by itself: %.300s", h.process.Name, data[at:])
			}
		}
	}
}

// clean ends every process that the soak has started.
func (s *Soak) clean() {
	s.stage.Stop()
	for _, h := range s.controls {
		h.relay.Close()
	}
	for _, e := range s.endpoints {
		e.relay.Close()
	}
	slog.Debug("ended all processes of the soak", "seed", s.settings.Seed)
}
