// Package regulator admits callers' requests within the rate limits of workspaces and the shares that control decides,
// and reports to control what it has counted. The decisions are those of an admitter, a state machine.
package regulator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"comfreyplank.org/core/admitter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/waker"
)

// Metrics counts admitted and refused calls.
type Metrics interface {
	// WorkspaceCalls adds calls of a workspace with a rate limit.
	WorkspaceCalls(workspace string, admitted, refused int)
	// Shed counts a call that was refused because of a share of its service and priority.
	Shed(service string, priority int)
	// WorkspaceShare sets the share of the calls of a workspace that is admitted. Limited is false once there is none.
	WorkspaceShare(workspace string, share float64, limited bool)
}

// Regulator drives the admitter of an entry.
type Regulator struct {
	now     func() time.Time
	publish func(recorder.Event)
	metrics Metrics
	// report sends counts to control. It is called without the lock.
	report  func(report messenger.UsageReport, confirm bool)
	options []admitter.Option
	// active is false while every call is admitted without being counted.
	active atomic.Bool

	mu           sync.Mutex
	stateMachine *admitter.Admitter
	waker        *waker.Waker
	// owed holds the calls that were given back and are not yet subtracted from the metrics.
	owed map[string]int
	// shares are the workspaces with a share in the metrics.
	shares map[string]bool
}

// Option configures a Regulator.
type Option func(*Regulator)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(r *Regulator) { r.now = now } }

// WithPublish sets the function that receives events.
func WithPublish(publish func(recorder.Event)) Option {
	return func(r *Regulator) { r.publish = publish }
}

// WithMetrics sets the metrics.
func WithMetrics(m Metrics) Option { return func(r *Regulator) { r.metrics = m } }

// WithAdmitterOptions configures the admitter.
func WithAdmitterOptions(opts ...admitter.Option) Option {
	return func(r *Regulator) { r.options = append(r.options, opts...) }
}

// New returns a regulator that admits every call. It passes counts on to report.
func New(report func(report messenger.UsageReport, confirm bool), opts ...Option) *Regulator {
	r := &Regulator{
		now: time.Now, publish: func(recorder.Event) {}, metrics: noMetrics{}, report: report,
		owed: make(map[string]int), shares: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.stateMachine = admitter.New(r.options...)
	r.waker = waker.New(r.now, r.wake)
	r.active.Store(r.stateMachine.Active())
	return r
}

// noMetrics drops everything.
type noMetrics struct{}

func (noMetrics) WorkspaceCalls(string, int, int)      {}
func (noMetrics) Shed(string, int)                     {}
func (noMetrics) WorkspaceShare(string, float64, bool) {}

// Run waits for the context to end, then stops the timer.
func (r *Regulator) Run(ctx context.Context) {
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waker.Stop()
}

// Admit decides on a call. A workspace without a name has no rate limit.
func (r *Regulator) Admit(workspace, service string, priority int) admitter.Decision {
	if !r.active.Load() {
		return admitter.Decision{}
	}
	now := r.now()
	r.mu.Lock()
	decision := r.stateMachine.Admit(now, workspace, service, priority)
	r.waker.Set(r.stateMachine.Due())
	r.mu.Unlock()
	if decision.Verdict == admitter.Shed {
		r.metrics.Shed(service, priority)
	}
	return decision
}

// GiveBack takes back an admitted call that has turned out not to have run. Overloaded is set if there was no endpoint
// with room for it.
func (r *Regulator) GiveBack(workspace, service string, priority int, overloaded bool) {
	if !r.active.Load() {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateMachine.GiveBack(now, workspace)
	if overloaded {
		r.stateMachine.Overloaded(now, service, priority)
	}
	r.waker.Set(r.stateMachine.Due())
}

// Configure applies the rate limits of a document.
func (r *Regulator) Configure(workspaces []validator.Workspace) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishChanges(r.stateMachine.Configure(now, workspaces))
	r.active.Store(r.stateMachine.Active())
}

// Contact reports that the counts of this entry reach control.
func (r *Regulator) Contact(entries int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateMachine.Contact(now, entries)
}

// Apply replaces all shares.
func (r *Regulator) Apply(v messenger.AdmissionUpdate) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishChanges(r.stateMachine.Apply(now, v))
	r.active.Store(r.stateMachine.Active())
	r.showShares()
}

func (r *Regulator) publishChanges(changes []admitter.Change) {
	for _, c := range changes {
		if c.Limited {
			r.publish(recorder.Event{Kind: recorder.KindRateLimitReached, Detail: fmt.Sprintf("workspace %s, share %.2f", c.Workspace, c.Share)})
			continue
		}
		r.publish(recorder.Event{Kind: recorder.KindRateLimitLeft, Detail: "workspace " + c.Workspace})
	}
}

// showShares sets the shares in the metrics.
func (r *Regulator) showShares() {
	present := make(map[string]bool)
	for _, w := range r.stateMachine.Shares() {
		present[w.Workspace] = true
		r.metrics.WorkspaceShare(w.Workspace, w.Share, true)
	}
	for name := range r.shares {
		if !present[name] {
			r.metrics.WorkspaceShare(name, 1, false)
		}
	}
	r.shares = present
}

// wake sends the report that is due.
func (r *Regulator) wake() {
	now := r.now()
	r.mu.Lock()
	r.waker.Fired()
	report, confirm, ok := r.stateMachine.Report(now)
	r.waker.Set(r.stateMachine.Due())
	r.count(report)
	r.mu.Unlock()
	if ok {
		r.report(report, confirm)
	}
}

// count adds a report to the metrics, which can't fall.
func (r *Regulator) count(report messenger.UsageReport) {
	for _, u := range report.Workspaces {
		admitted := u.Admitted - r.owed[u.Workspace]
		delete(r.owed, u.Workspace)
		if admitted < 0 {
			r.owed[u.Workspace] = -admitted
		}
		r.metrics.WorkspaceCalls(u.Workspace, max(admitted, 0), u.Refused)
	}
}
