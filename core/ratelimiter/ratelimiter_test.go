package ratelimiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

var epoch = time.Unix(1_700_000_000, 0)

func workspaces(rate, burst float64) []validator.Workspace {
	return []validator.Workspace{{Name: "w", RatePerSecond: rate, Burst: burst}, {Name: "unlimited"}}
}

// settled returns a limiter with a limit of 100 a second that has been leading for a while.
func settled(burst float64) (*Limiter, time.Time) {
	l := New(epoch, 0, workspaces(100, burst), nil)
	l.Shares(epoch)
	now := epoch.Add(time.Minute)
	l.Shares(now)
	return l, now
}

// send lets calls arrive at a constant rate. Entries apply each share at once. It returns how many were admitted, and
// the last shares.
func send(l *Limiter, now time.Time, d time.Duration, rate float64) (admitted float64, shares []messenger.WorkspaceAdmission) {
	const interval = 50 * time.Millisecond
	share, rest, credit := 1.0, 0.0, 0.0
	for end := now.Add(d); now.Before(end); {
		now = now.Add(interval)
		rest += rate * interval.Seconds()
		calls := int(rest)
		rest -= float64(calls)
		credit += share * float64(calls)
		n := int(credit)
		credit -= float64(n)
		admitted += float64(n)
		l.Record(now, interval, []messenger.WorkspaceUsage{{Workspace: "w", Admitted: n, Refused: calls - n}})
		shares, _ = l.Shares(now)
		share = 1
		if len(shares) > 0 {
			share = shares[0].Share
		}
	}
	return admitted, shares
}

// TestDemandBelowTheLimitHasNoShare guards against a workspace that is limited below its limit, or by a burst that its
// bucket holds, and against a workspace above it that is not limited, or to less.
func TestDemandBelowTheLimitHasNoShare(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		seconds float64
		limited bool
	}{
		{"below", 95, 60, false},
		{"burst", 200, 0.9, false},
		{"above", 200, 20, true},
		{"far above", 1000, 20, true},
	}
	for _, tt := range tests {
		l, now := settled(100)
		n, shares := send(l, now, time.Duration(tt.seconds*float64(time.Second)), tt.rate)
		assert.Equal(t, len(shares) > 0, tt.limited, tt.name)
		if tt.limited {
			allowed := 100*tt.seconds + 100
			assert.Assert(t, n >= 0.98*allowed && n <= allowed+2*Tolerance(100, 100), "%s: %.0f of %.0f", tt.name, n, allowed)
		}
	}
}

// TestLimitEndsWithTheDemand guards against a share that stays in force, and against a leader that has something to do
// for idle workspaces.
func TestLimitEndsWithTheDemand(t *testing.T) {
	l, now := settled(100)
	send(l, now, 5*time.Second, 500)
	assert.Assert(t, l.Due())
	now = now.Add(5 * time.Second)
	_, shares := send(l, now, time.Second, 50)
	assert.Equal(t, len(shares), 0)
	assert.Assert(t, !l.Due())
}

// TestNewLeaderGrantsNoSecondBurst guards against a burst that each leader grants again, and against a share that ends
// with its leader.
func TestNewLeaderGrantsNoSecondBurst(t *testing.T) {
	inForce := []messenger.WorkspaceAdmission{{Workspace: "w", Share: 0.2}}
	l := New(epoch, time.Second, workspaces(100, 100), inForce)
	shares, _ := l.Shares(epoch)
	assert.DeepEqual(t, shares, inForce)
	n, _ := send(New(epoch, 0, workspaces(100, 100), nil), epoch, 10*time.Second, 500)
	assert.Assert(t, n <= 1000+2*Tolerance(100, 100), "%.0f admitted", n)
}

// TestLateCountsOfTheGap guards against a workspace that is refused since a new leader gets the counts of the time
// before it late.
func TestLateCountsOfTheGap(t *testing.T) {
	l := New(epoch, time.Second, workspaces(100, 0), nil)
	l.Record(epoch, time.Second, []messenger.WorkspaceUsage{{Workspace: "w", Admitted: 95}})
	_, changed := l.Shares(epoch)
	assert.Assert(t, !changed)
	_, shares := send(l, epoch, 10*time.Second, 95)
	assert.Equal(t, len(shares), 0)
}

// TestDocumentChangesLimits guards against a lower limit that does not bind, a share of a limit that has ended, and a new
// limit that refuses a first burst.
func TestDocumentChangesLimits(t *testing.T) {
	l, now := settled(100)
	send(l, now, 5*time.Second, 200)
	now = now.Add(5 * time.Second)
	l.Configure(now, workspaces(20, 20))
	n, _ := send(l, now, 5*time.Second, 200)
	assert.Assert(t, n <= (5*20+20)*1.1+20, "%.0f admitted", n)
	now = now.Add(5 * time.Second)
	l.Configure(now, nil)
	shares, changed := l.Shares(now)
	assert.Assert(t, changed && len(shares) == 0 && len(l.buckets) == 0)
	l.Configure(now, workspaces(20, 20))
	l.Record(now, 0, []messenger.WorkspaceUsage{{Workspace: "w", Admitted: 20}})
	_, changed = l.Shares(now)
	assert.Assert(t, !changed)
}

// TestReservedPartIsKept guards against a leader that gives all of a limit to the entries that it can count.
func TestReservedPartIsKept(t *testing.T) {
	l, now := settled(0)
	l.Reserve(now, 0.25)
	n, _ := send(l, now, 20*time.Second, 500)
	assert.Assert(t, n >= 0.95*1500 && n <= 1500+2*Tolerance(100, 0), "%.0f admitted", n)
}
