package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// newReadyRevocations returns a system in which a document with one key is in effect.
func newReadyRevocations(t *testing.T, replicas, entries int) *revocations {
	h := newRevocations(t, replicas, entries, 5)
	h.run(4 * time.Second)
	h.applyKeys("key-0")
	h.run(4 * time.Second)
	assert.Equal(t, len(h.accepted), 1)
	return h
}

// applyKeys applies a document with the given keys at the leader.
func (h *revocations) applyKeys(keys ...string) {
	leader := h.leader()
	revision, _ := leader.stateMachine.Document()
	doc := document(revision, fmt.Sprint("keys-", revision))
	doc.Workspaces = []validator.Workspace{{Name: "alder", Keys: keys}}
	h.apply(leader, doc)
}

// runs reports whether an entry runs a call by a key now.
func (h *revocations) runs(e *simEntry, key string) bool {
	ran := h.ran
	h.send(e, key, router.Repeatable, time.Second)
	h.run(2 * step)
	return h.ran > ran
}

// TestCutOffEntryServesKeysForThreeSeconds guards against an entry that refuses keys too soon after its last contact
// with control, and against one that goes on beyond its lease.
func TestCutOffEntryServesKeysForThreeSeconds(t *testing.T) {
	for phase := range 7 { // of the heartbeats
		h := newReadyRevocations(t, 3, 1)
		h.run(time.Duration(phase) * 100 * time.Millisecond)
		e := h.entries[0]
		h.isolate(e.name, true)
		cutAt := h.now
		for h.now.Sub(cutAt) < 3*revokeBound/5-2*step {
			assert.Assert(t, h.runs(e, "key-0"), "refused %s after the cut", h.now.Sub(cutAt))
		}
		h.run(time.Second)
		for h.now.Sub(cutAt) < 10*time.Second {
			assert.Assert(t, !h.runs(e, "key-0"), "ran %s after the cut", h.now.Sub(cutAt))
		}
		h.isolate(e.name, false)
		h.run(3 * time.Second)
		assert.Assert(t, h.runs(e, "key-0"))
	}
}

// TestRemovedKeyEndsEverywhere guards against a removed key by which an entry of the largest deployment still runs calls
// once the document is in effect.
func TestRemovedKeyEndsEverywhere(t *testing.T) {
	h := newReadyRevocations(t, 5, 313)
	h.applyKeys("key-1")
	h.run(time.Second)
	for _, e := range h.entries {
		assert.Assert(t, !h.runs(e, "key-0"))
		assert.Assert(t, h.runs(e, "key-1"))
	}
}

// TestSuspendedMachineGrantsAndServesNothing guards against a replica and an entry that were suspended together: by their
// clocks, the contact of the replica with a quorum is still recent, and so is the lease of the entry.
func TestSuspendedMachineGrantsAndServesNothing(t *testing.T) {
	h := newReadyRevocations(t, 3, 1)
	e := h.entries[0]
	c := e.connectedTo
	for _, name := range []string{e.name, c.name} {
		h.asleep[name], h.suspendedClock[name] = h.now, true
	}
	e.frozen, c.frozen = true, true
	h.run(3 * time.Second)
	h.applyKeys("key-1")
	h.run(10 * time.Second)
	assert.Equal(t, len(h.accepted), 2)
	for _, other := range h.replicas { // so that the replica hears of no change before its clock shows that it is cut off
		h.cutLinks[[2]string{other.name, c.name}] = other != c
	}
	h.wake()
	for range 100 { // checkGrant and checkRun fail the test meanwhile
		h.send(e, "key-0", router.Repeatable, time.Second)
		h.run(2 * step)
	}
	clear(h.cutLinks)
	h.run(3 * time.Second)
	assert.Assert(t, h.runs(e, "key-1"))
	assert.Assert(t, !h.runs(e, "key-0"))
}

// TestSlowDiskGrantsNoLeaseAtAnOldRevision guards against leases that a replica grants for longer than QuorumTimeout by
// the document before the one that is committed: it applies a document only after it has synced the entries that came
// meanwhile.
func TestSlowDiskGrantsNoLeaseAtAnOldRevision(t *testing.T) {
	h := newRevocations(t, 1, 1, 5)
	h.run(3 * time.Second)
	h.applyKeys("key-0")
	h.apply(h.leader(), document(0, "second")) // refused, but in the log behind the first one
	c := h.replicas[0]
	c.diskUntil = h.now.Add(3 * time.Second)
	committedAt := h.now.Add(step)
	var oldGrant time.Time
	h.onGrant = func(c *replica) {
		if revision, _ := c.stateMachine.Document(); revision == 0 {
			oldGrant = h.now
		}
	}
	h.run(2500 * time.Millisecond)
	revision, _ := c.stateMachine.Document()
	assert.Equal(t, revision, uint64(0)) // the document waits for the disk
	assert.Assert(t, oldGrant.Sub(committedAt) <= time.Second, "granted %s after the document was committed", oldGrant.Sub(committedAt))
	h.run(2 * time.Second)
	assert.Assert(t, h.runs(h.entries[0], "key-0"))
}
