package regulator

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/admitter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
)

// metricsSum adds up the metrics of one workspace.
type metricsSum struct {
	mu                      sync.Mutex
	admitted, refused, shed int
	share                   float64
	limited                 bool
}

func (m *metricsSum) WorkspaceCalls(_ string, admitted, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitted += admitted
	m.refused += refused
}

func (m *metricsSum) Shed(string, int) { m.shed++ }

func (m *metricsSum) WorkspaceShare(_ string, share float64, limited bool) {
	m.share, m.limited = share, limited
}

// TestRegulatorReportsAndLimits guards against counts that never reach control, shares that are not applied, and events
// or metrics that are missing.
func TestRegulatorReportsAndLimits(t *testing.T) {
	reports := make(chan messenger.UsageReport, 10)
	var events []recorder.Kind
	metrics := &metricsSum{}
	r := New(func(u messenger.UsageReport, _ bool) { reports <- u }, WithMetrics(metrics), WithPublish(func(e recorder.Event) { events = append(events, e.Kind) }))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { r.Run(ctx) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	assert.Equal(t, r.Admit("w", "s", 0).Verdict, admitter.Admitted) // nothing is limited, nothing is counted
	r.Configure([]validator.Workspace{{Name: "w", RatePerSecond: 1000, Burst: 1000}})
	r.Contact(1)
	for range 3 {
		assert.Equal(t, r.Admit("w", "s", 0).Verdict, admitter.Admitted)
	}
	r.GiveBack("w", "s", 0, true)
	assert.DeepEqual(t, <-reports, messenger.UsageReport{Workspaces: []messenger.WorkspaceUsage{{Workspace: "w", Admitted: 2}}})
	r.Apply(messenger.AdmissionUpdate{
		Version: 1, Workspaces: []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0}}, Services: []messenger.ServiceAdmission{{Service: "s", Priority: 3}},
	})
	assert.Assert(t, metrics.limited && metrics.share == 0)
	d := r.Admit("w", "s", 0)
	assert.Assert(t, d.Verdict == admitter.RateLimited && d.RetryAfter > 0)
	assert.Equal(t, r.Admit("", "s", 3).Verdict, admitter.Shed)
	assert.DeepEqual(t, <-reports, messenger.UsageReport{Workspaces: []messenger.WorkspaceUsage{{Workspace: "w", Refused: 1}}})
	r.GiveBack("w", "s", 0, false)
	assert.Equal(t, (<-reports).Workspaces[0].Admitted, -1)
	r.Apply(messenger.AdmissionUpdate{Version: 2})
	assert.Assert(t, !metrics.limited)
	assert.Equal(t, r.Admit("w", "s", 3).Verdict, admitter.Admitted)
	<-reports
	assert.DeepEqual(t, events, []recorder.Kind{recorder.KindRateLimitReached, recorder.KindRateLimitLeft})
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	assert.Assert(t, metrics.admitted == 2 && metrics.refused == 1 && metrics.shed == 1, "%+v", metrics)
}

// BenchmarkAdmit measures the decision on one call with its lock and clock, without limits and with one.
func BenchmarkAdmit(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := "off"
		if limited {
			name = "limit"
		}
		b.Run(name, func(b *testing.B) {
			r := New(func(messenger.UsageReport, bool) {})
			if limited {
				r.Configure([]validator.Workspace{{Name: "w", RatePerSecond: 1e9, Burst: 1e9}})
				r.Contact(1)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Admit("w", "s", 0)
			}
		})
	}
}
