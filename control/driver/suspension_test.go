package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
)

// TestSuspensionEndsLeadership guards against a replica that grants leases after a suspension by the contact with a
// quorum that it had before.
func TestSuspensionEndsLeadership(t *testing.T) {
	var suspended, changes atomic.Int64
	var group sync.WaitGroup
	publish := func(e recorder.Event) {
		if e.Kind == recorder.KindLeaderChanged {
			changes.Add(1)
		}
	}
	d, err := New(&group, fakeClock{}, t.TempDir(), "c0", "127.0.0.1:1", WithPublish(publish),
		WithPeers([]replicator.Member{{Name: "c0", Address: "127.0.0.1:1"}}),
		WithSuspended(func() time.Duration { return time.Duration(suspended.Load()) }))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() { assert.Check(t, d.Run(ctx) == nil) })
	leads := func() bool { return d.Status().InContactWithQuorum && d.Status().Role == "leader" }
	waitFor(t, leads)
	before := changes.Load()
	suspended.Store(int64(time.Second))
	d.handle(controller.Tick{})
	assert.Assert(t, changes.Load() > before)
	waitFor(t, leads) // until the next suspension
	cancel()
	group.Wait()
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < 20*time.Second)
	}
}
