package runner

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"comfreyplank.org/bench/stager"
	"comfreyplank.org/soaker/planner"
	"comfreyplank.org/soaker/relayer"
	"comfreyplank.org/standin/responder"
)

const (
	// slowLink is how long a slow link holds each part back.
	slowLink = 30 * time.Millisecond
	// drainTime is how long an endpoint stays away: longer than a departure may take.
	drainTime = 14 * time.Second
	// straggle is how many times as long a slow endpoint takes.
	straggle = 20
)

// carryOut lets the steps happen at their times, side by side, and waits for their ends.
func (s *Soak) carryOut(ctx context.Context, steps []planner.Step) {
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(step.At))):
		}
		group.Go(func() {
			if err := s.do(ctx, step); err != nil {
				s.check.Violated("step %+v: %v", step, err)
			}
		})
	}
}

func (s *Soak) do(ctx context.Context, step planner.Step) error {
	slog.Debug("step", "kind", step.Kind, "class", step.Class, "target", step.Target, "for", step.For)
	switch step.Class {
	case planner.ClassControl:
		return s.doControl(ctx, step, s.controls[step.Target])
	case planner.ClassEntry:
		return s.doProcess(step, s.entries[step.Target])
	case planner.ClassEndpoint:
		s.doEndpoint(ctx, step, s.endpoints[step.Target])
	}
	return nil
}

func (s *Soak) doControl(ctx context.Context, step planner.Step, h *host) error {
	switch step.Kind {
	case planner.KindRace:
		s.operator.race(ctx)
		return nil
	case planner.KindTear:
		return h.kill(step.For, h.tear)
	case planner.KindWipe:
		return s.wipe(step, h)
	}
	if doLink(step, h.relay) {
		return nil
	}
	return s.doProcess(step, h)
}

// doProcess does what may happen to each process.
func (s *Soak) doProcess(step planner.Step, h *host) error {
	switch step.Kind {
	case planner.KindKill:
		return h.kill(step.For, func() error { return nil })
	case planner.KindStop:
		return h.stop(step.For)
	case planner.KindPause:
		h.pause(step.For)
	}
	return nil
}

// doLink does what may happen to a link, and reports whether the step was of that kind.
func doLink(step planner.Step, relay *relayer.Relay) bool {
	var fault relayer.Fault
	switch step.Kind {
	case planner.KindReset:
		relay.Reset()
		return true
	case planner.KindForget:
		relay.Forget()
		return true
	case planner.KindDelay:
		fault.Delay = slowLink
	case planner.KindCutTo:
		fault.LoseTo = true
	case planner.KindCutFrom:
		fault.LoseFrom = true
	default:
		return false
	}
	relay.Set(fault)
	time.Sleep(step.For)
	relay.Set(relayer.Fault{})
	return true
}

func (s *Soak) doEndpoint(ctx context.Context, step planner.Step, e *endpoint) {
	if doLink(step, e.relay) {
		return
	}
	e.turns.Lock()
	defer e.turns.Unlock()
	b := responder.Default()
	duration := step.For
	switch step.Kind {
	case planner.KindDrain:
		b.Draining = true
		duration = drainTime
	case planner.KindShed:
		b.Shed = true
	case planner.KindSlow:
		b.StraggleFactor = straggle
	case planner.KindFail:
		b.FailFast = true
	case planner.KindHalf:
		b.HalfAnswer = true
	case planner.KindEndless:
		b.Endless = true
	}
	if taken := e.Set(ctx, b); taken && b.Draining {
		s.check.Left(time.Now(), e.name)
	}
	pause(ctx, duration)
	s.check.Returned(e.name)
	e.Set(ctx, responder.Default())
}

// wipe takes the disk of a replica, where all others have repaired theirs: a group that
// loses more disks at once than a minority has lost what it knew.
func (s *Soak) wipe(step planner.Step, h *host) error {
	if !s.repaired() {
		return nil
	}
	return h.kill(step.For, func() error { return os.RemoveAll(h.process.Data) })
}

// repaired reports whether the leader counts all replicas as voters of both logs and all
// of them run. A wipe that is under way holds the first change of its successor.
func (s *Soak) repaired() bool {
	lead := s.stage.Leader()
	if lead == nil {
		return false
	}
	type member struct {
		Voter bool `json:"voter"`
	}
	var status struct {
		Members       []member `json:"members"`
		ClaimsMembers []member `json:"claims-members"`
	}
	if stager.Get("http://"+lead.Admin+"/comfreyplank/v1/status", &status) != nil {
		return false
	}
	for _, list := range [][]member{status.Members, status.ClaimsMembers} {
		if len(list) != len(s.controls) {
			return false
		}
		for _, m := range list {
			if !m.Voter {
				return false
			}
		}
	}
	for _, h := range s.controls {
		if _, up := h.state(); !up || h.process.Signal(syscall.Signal(0)) != nil {
			return false
		}
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
