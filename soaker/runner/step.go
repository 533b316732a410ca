package runner

import (
	"context"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"comfreyplank.org/bench/stager"
	"comfreyplank.org/soaker/planner"
	"comfreyplank.org/soaker/relayer"
	"comfreyplank.org/standin/responder"
)

const (
	// linkDelay is the delay of each chunk on a slow link.
	linkDelay = 30 * time.Millisecond
	// drainTime is how long an endpoint drains: longer than the grace period after a
	// departure, so that violations show.
	drainTime = 14 * time.Second
	// straggleFactor multiplies the service time of a slow endpoint.
	straggleFactor = 20
	// pauseShare is the share of requests with which an endpoint asks for a pause.
	pauseShare = 0.3
)

// runSteps starts each step at its time, concurrently, and waits until all have ended.
func (s *Soak) runSteps(ctx context.Context, steps []planner.Step) {
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
			if err := s.runStep(ctx, step); err != nil {
				s.check.AddViolation("step %+v: %v", step, err)
			}
		})
	}
}

func (s *Soak) runStep(ctx context.Context, step planner.Step) error {
	slog.Debug("step", "kind", step.Kind, "class", step.Class, "target", step.Target, "for", step.For)
	switch step.Class {
	case planner.ClassControl:
		return s.runControlStep(ctx, step, s.controls[step.Target])
	case planner.ClassEntry:
		return s.runProcessStep(step, s.entries[step.Target])
	case planner.ClassEndpoint:
		s.runEndpointStep(ctx, step, s.endpoints[step.Target])
	}
	return nil
}

func (s *Soak) runControlStep(ctx context.Context, step planner.Step, h *host) error {
	switch step.Kind {
	case planner.KindRace:
		s.operator.raceChanges(ctx)
		return nil
	case planner.KindTear:
		return h.kill(step.For, h.tearJournals)
	case planner.KindWipe:
		return s.wipe(step, h)
	}
	if applyLinkFault(step, h.relay, func() {}) {
		return nil
	}
	return s.runProcessStep(step, h)
}

// runProcessStep carries out the steps that apply to any process.
func (s *Soak) runProcessStep(step planner.Step, h *host) error {
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

// applyLinkFault carries out a step that applies to a link, and reports whether the step was
// of such a kind. It calls excuse when the fault begins and when it has ended.
func applyLinkFault(step planner.Step, relay *relayer.Relay, excuse func()) bool {
	var fault relayer.Fault
	switch step.Kind {
	case planner.KindReset:
		excuse()
		relay.Reset()
		return true
	case planner.KindForget:
		excuse()
		relay.Blackhole()
		return true
	case planner.KindDelay:
		fault.Delay = linkDelay
	case planner.KindCutTo:
		fault.DropToTarget = true
	case planner.KindCutFrom:
		fault.DropFromTarget = true
	default:
		return false
	}
	excuse()
	defer excuse()
	relay.Set(fault)
	time.Sleep(step.For)
	relay.Set(relayer.Fault{})
	return true
}

func (s *Soak) runEndpointStep(ctx context.Context, step planner.Step, e *endpoint) {
	switch step.Kind {
	case planner.KindLimit:
		s.nameLimit(ctx, step, e)
		return
	case planner.KindLeave, planner.KindAskPause:
		s.stateWish(ctx, step, e)
		return
	}
	if step.Kind == planner.KindReset {
		s.check.LinkReset(time.Now(), e.name)
	}
	if applyLinkFault(step, e.relay, func() { s.check.Excused(time.Now(), e.name) }) {
		return
	}
	e.behaviourMu.Lock()
	defer e.behaviourMu.Unlock()
	behaviour := responder.Default()
	duration := step.For
	switch step.Kind {
	case planner.KindDrain:
		behaviour.Draining = true
		duration = drainTime
	case planner.KindShed:
		behaviour.Shed = true
	case planner.KindSlow:
		behaviour.StraggleFactor = straggleFactor
	case planner.KindFail:
		behaviour.FailFast = true
	case planner.KindHalf:
		behaviour.HalfResponse = true
	case planner.KindEndless:
		behaviour.Endless = true
	}
	if acknowledged := e.Set(ctx, behaviour); acknowledged && behaviour.Draining {
		s.check.Departed(time.Now(), e.name)
	}
	sleep(ctx, duration)
	s.check.Returned(e.name)
	e.Set(ctx, responder.Default())
}

// nameLimit lets an endpoint name a limit for a time.
func (s *Soak) nameLimit(ctx context.Context, step planner.Step, e *endpoint) {
	e.limitMu.Lock()
	defer e.limitMu.Unlock()
	e.SetLimit(strconv.FormatFloat(step.Rate, 'f', -1, 64))
	s.check.LimitNamed(time.Now(), e.name, step.Rate)
	sleep(ctx, step.For)
	s.check.LimitNamed(time.Now(), e.name, 0)
	e.SetLimit("")
}

// stateWish lets an endpoint say for a time that it leaves, after which it returns as a new incarnation, or ask for
// pauses.
func (s *Soak) stateWish(ctx context.Context, step planner.Step, e *endpoint) {
	e.wishMu.Lock()
	defer e.wishMu.Unlock()
	if step.Kind == planner.KindAskPause {
		e.SetWishes(responder.Wishes{PauseShare: pauseShare, Pause: step.Pause})
		sleep(ctx, step.For)
		e.SetWishes(responder.Wishes{})
		return
	}
	s.check.LeavingSaid(time.Now(), e.name, true)
	e.SetWishes(responder.Wishes{Leaving: true})
	sleep(ctx, step.For)
	s.check.LeavingSaid(time.Now(), e.name, false)
	e.Reincarnate(ctx) // it is announced again later if no entry accepts it now
}

// wipe deletes the data of a replica, unless an earlier loss is not yet repaired: a group
// that loses the data of a majority at once has lost its state.
func (s *Soak) wipe(step planner.Step, h *host) error {
	if !s.repaired() {
		return nil
	}
	return h.kill(step.For, func() error { return os.RemoveAll(h.process.Data) })
}

// repaired reports whether all replicas run and are voters of both logs according to the
// leader. A replica that is being wiped doesn't run, so a second wipe is skipped.
func (s *Soak) repaired() bool {
	leader := s.stage.Leader()
	if leader == nil {
		return false
	}
	type member struct {
		Voter bool `json:"voter"`
	}
	var status struct {
		Members       []member `json:"members"`
		ClaimsMembers []member `json:"claims-members"`
	}
	if stager.Get("http://"+leader.Admin+"/comfreyplank/v1/status", &status) != nil {
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
		if _, running := h.state(); !running || h.process.Signal(syscall.Signal(0)) != nil {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
