package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

var epoch = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// started returns an admitter in contact, of one of the given number of entries, with a limit for the workspace w.
func started(rate, burst float64, entries int, opts ...Option) *Admitter {
	a := New(append(opts, WithRand(rand.New(rand.NewPCG(1, 1))))...)
	a.Contact(epoch, entries)
	a.Configure(epoch, []validator.Workspace{{Name: "w", RatePerSecond: rate, Burst: burst}, {Name: "unlimited"}})
	return a
}

// admitted sends calls of the workspace w at a constant rate, keeps contact if contact is set, and returns how many were
// admitted.
func admitted(a *Admitter, from time.Time, d time.Duration, rate float64, contact bool) int {
	n := 0
	for i := range int(rate * d.Seconds()) {
		now := from.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if contact {
			a.Contact(now, 0)
		}
		if a.Admit(now, "w", "s", 0).Verdict == Admitted {
			n++
		}
	}
	return n
}

// TestCallsWithoutLimitAreAdmitted guards against calls that are refused or counted without a rate limit.
func TestCallsWithoutLimitAreAdmitted(t *testing.T) {
	for _, name := range []string{"", "unlimited", "unknown"} {
		a := started(1, 0, 1)
		for range 1000 {
			assert.Equal(t, a.Admit(epoch, name, "s", 0), Decision{})
		}
		assert.Assert(t, a.Due().IsZero())
	}
	assert.Assert(t, !New().Active())
	assert.Assert(t, New(WithServiceUsage()).Active())
}

// TestShareOfWorkspaceIsAdmitted guards against shares that are not kept, also at entries with single calls.
func TestShareOfWorkspaceIsAdmitted(t *testing.T) {
	update := messenger.AdmissionUpdate{Version: 5, Workspaces: []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0.2}}}
	a := started(1000, 1000, 1)
	assert.DeepEqual(t, a.Apply(epoch, update), []Change{{Workspace: "w", Limited: true, Share: 0.2}})
	assert.Equal(t, admitted(a, epoch, 10*time.Second, 100, true), 200)
	// An older update changes nothing, and neither does the same one.
	assert.Equal(t, len(a.Apply(epoch, messenger.AdmissionUpdate{Version: 4})), 0)
	assert.Equal(t, len(a.Apply(epoch, update)), 0)
	assert.DeepEqual(t, a.Apply(after(10*time.Second), messenger.AdmissionUpdate{Version: 6}), []Change{{Workspace: "w", Share: 1}})
	assert.Equal(t, admitted(a, after(10*time.Second), 10*time.Second, 100, true), 1000)

	source := rand.New(rand.NewPCG(3, 3))
	single := 0
	for range 1000 {
		one := New(WithRand(source))
		one.Contact(epoch, 1000)
		one.Configure(epoch, []validator.Workspace{{Name: "w", RatePerSecond: 1000, Burst: 1000}})
		one.Apply(epoch, update)
		if one.Admit(epoch, "w", "s", 0).Verdict == Admitted {
			single++
		}
	}
	assert.Assert(t, single > 150 && single < 250, "%d of 1000 entries have admitted their only call", single)
}

// TestShareThatArrivesBeforeTheDocument guards against a share that is dropped since its workspace is not known yet.
func TestShareThatArrivesBeforeTheDocument(t *testing.T) {
	a := New()
	a.Apply(epoch, messenger.AdmissionUpdate{Version: 1, Workspaces: []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0}}})
	assert.Equal(t, len(a.Configure(epoch, []validator.Workspace{{Name: "w", RatePerSecond: 100, Burst: 100}})), 1)
	assert.Equal(t, a.Admit(epoch, "w", "s", 0).Verdict, RateLimited)
}

// TestOneEntryKeepsTheWholeLimit guards against an entry that alone exceeds the limit before control has counted its
// calls. The delay of a refusal is exact: a call after it is admitted.
func TestOneEntryKeepsTheWholeLimit(t *testing.T) {
	a := started(10, 20, 1)
	n := admitted(a, epoch, 2*time.Second, 1000, true)
	assert.Assert(t, n >= 40 && n <= 40+8, "%d admitted", n)
	now := after(2 * time.Second)
	d := a.Admit(now, "w", "s", 0)
	assert.Equal(t, d.Verdict, RateLimited)
	assert.Equal(t, a.Admit(now.Add(d.RetryAfter/2), "w", "s", 0).Verdict, RateLimited)
	assert.Equal(t, a.Admit(now.Add(d.RetryAfter), "w", "s", 0).Verdict, Admitted)
}

// TestLimitWithoutContact guards against entries that together pass the limit without contact with control, and against
// usual calls that are refused meanwhile.
func TestLimitWithoutContact(t *testing.T) {
	for _, entries := range []int{1, 16, 140} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			const rate = 400.0
			usual := 0.625 * rate / float64(entries)
			normal, surge, calls := 0, 0, 0
			for i := range entries {
				for _, factor := range []float64{1, 8} {
					a := New(WithRand(rand.New(rand.NewPCG(uint64(i), 1))))
					a.Contact(epoch, entries)
					a.Configure(epoch, []validator.Workspace{{Name: "w", RatePerSecond: rate, Burst: rate}})
					admitted(a, epoch, 20*time.Second, usual, true)
					a.Contact(after(20*time.Second), entries)
					n := admitted(a, after(20*time.Second+contactTimeout+1), 5*time.Second, factor*usual, false)
					if factor == 1 {
						normal += n
						calls += int(usual * 5)
					} else {
						surge += n
					}
				}
			}
			allowed := (rate*5+rate)*1.1 + 20
			t.Logf("%d of %d usual calls and %d in a surge admitted, %.0f allowed", normal, calls, surge, allowed)
			assert.Assert(t, float64(surge) <= allowed)
			assert.Assert(t, float64(normal) >= 0.95*float64(calls))
		})
	}
}

// TestUnusualCallsRequireContact guards against a surge that goes on unlimited until the next heartbeat fails.
func TestUnusualCallsRequireContact(t *testing.T) {
	a := started(100, 100, 100)
	n := admitted(a, after(100*time.Millisecond), time.Second, 50, false)
	assert.Assert(t, n < 25, "%d admitted", n)
	_, confirm, ok := a.Report(a.Due())
	assert.Assert(t, ok && confirm)
}

// TestReports guards against reports without counts, more than five a second, and calls that are given back but counted.
func TestReports(t *testing.T) {
	a := started(100, 100, 1, WithServiceUsage())
	a.Apply(epoch, messenger.AdmissionUpdate{Version: 1, Services: []messenger.ServiceAdmission{{Service: "s", Priority: 2, Share: 0}}})
	assert.Assert(t, a.Due().IsZero())
	a.Admit(epoch, "w", "s", 1)
	a.Admit(epoch, "w", "s", 1)
	d := a.Admit(epoch, "w", "s", 2)
	assert.Assert(t, d.Verdict == Shed && d.RetryAfter >= minShedDelay)
	a.GiveBack(epoch, "w")
	a.Overloaded(epoch, "s", 1)
	assert.Equal(t, a.Due(), after(ReportInterval))
	_, _, ok := a.Report(epoch)
	assert.Assert(t, !ok)
	report, _, ok := a.Report(after(ReportInterval))
	assert.Assert(t, ok)
	assert.DeepEqual(t, report, messenger.UsageReport{
		Workspaces: []messenger.WorkspaceUsage{{Workspace: "w", Admitted: 1}},
		Services:   []messenger.ServiceUsage{{Service: "s", Priority: 1, Offered: 2, Overloaded: 1}, {Service: "s", Priority: 2, Offered: 1, Shed: 1}},
	})
	assert.Assert(t, a.Due().IsZero())
	a.GiveBack(after(ReportInterval), "w")
	report, _, _ = a.Report(a.Due())
	assert.Equal(t, report.Workspaces[0].Admitted, -1)
	a.Admit(after(time.Second), "w", "s", 1)
	a.GiveBack(after(time.Second), "w")
	report, _, _ = a.Report(a.Due())
	assert.Equal(t, len(report.Workspaces), 0)
}

// TestServiceSharesEndWithoutContact guards against calls that are shed long after control has gone.
func TestServiceSharesEndWithoutContact(t *testing.T) {
	a := New()
	a.Apply(epoch, messenger.AdmissionUpdate{Version: 1, Services: []messenger.ServiceAdmission{{Service: "s", Share: 0}}})
	assert.Equal(t, a.Admit(after(serviceShareLife), "", "s", 0).Verdict, Shed)
	assert.Equal(t, a.Admit(after(serviceShareLife+1), "", "s", 0).Verdict, Admitted)
	assert.Equal(t, a.Admit(after(time.Second), "", "other", 0).Verdict, Admitted)
}

// BenchmarkAdmit measures the decision on one call. It must take at most 1 us and allocate nothing.
func BenchmarkAdmit(b *testing.B) {
	run := func(name string, a *Admitter) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			now := epoch
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				a.Admit(now, "w", "s", 1)
			}
		})
	}
	run("off", New())
	run("limit", started(1e6, 1e6, 100))
	limited := started(1e6, 1e6, 100)
	limited.Apply(epoch, messenger.AdmissionUpdate{Version: 1, Workspaces: []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0.5}}})
	run("limit and share", limited)
	all := started(1e6, 1e6, 100, WithServiceUsage())
	all.Apply(epoch, messenger.AdmissionUpdate{Version: 1, Workspaces: []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0.9}}, Services: []messenger.ServiceAdmission{{Service: "s", Priority: 1, Share: 0.5}}})
	run("limit and shares of both", all)
}

// TestSurgeOfRandomCallsWithoutContact guards against entries that together pass the limit without contact with control,
// where callers come at random times and are spread unevenly. It logs how many of the usual calls are admitted.
func TestSurgeOfRandomCallsWithoutContact(t *testing.T) {
	const entries = 140
	for _, rate := range []float64{10, 70, 400} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			source := rand.New(rand.NewPCG(5, uint64(rate)))
			admittedCalls, calls := map[float64]int{}, map[float64]int{}
			for i := range entries {
				// A few callers at each entry; many entries have none of a small workspace.
				callers := 0
				for range int(rate) {
					if source.IntN(entries) == 0 {
						callers++
					}
				}
				for _, factor := range []float64{1, 8} {
					a := New(WithRand(rand.New(rand.NewPCG(uint64(i), 1))))
					a.Contact(epoch, entries)
					a.Configure(epoch, []validator.Workspace{{Name: "w", RatePerSecond: rate, Burst: rate}})
					usual := 0.625 * float64(callers)
					randomCalls(a, source, epoch, 20*time.Second, usual, true)
					n, all := randomCalls(a, source, after(20*time.Second), 5*time.Second, factor*usual, false)
					admittedCalls[factor] += n
					calls[factor] += all
				}
			}
			allowed := (rate*5+rate)*1.1 + 20
			t.Logf("%d of %d usual calls and %d of %d in a surge admitted, %.0f allowed", admittedCalls[1], calls[1], admittedCalls[8], calls[8], allowed)
			assert.Assert(t, float64(admittedCalls[8]) <= allowed)
		})
	}
}

// randomCalls sends calls of the workspace w at random times, and returns how many were admitted and sent.
func randomCalls(a *Admitter, source *rand.Rand, from time.Time, d time.Duration, rate float64, contact bool) (n, all int) {
	if rate <= 0 {
		return 0, 0
	}
	for at := source.ExpFloat64() / rate; at < d.Seconds(); at += source.ExpFloat64() / rate {
		now := from.Add(time.Duration(at * float64(time.Second)))
		if contact {
			a.Contact(now, 0)
		}
		all++
		if a.Admit(now, "w", "s", 0).Verdict == Admitted {
			n++
		}
	}
	return n, all
}
