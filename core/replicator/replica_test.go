package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// node is a replica with a disk that survives a crash.
type node struct {
	*Replica
	disk    Stored
	applied []Entry
	up      bool
}

// network carries messages between nodes in virtual time and checks, after every
// step, that the replicas agree.
type network struct {
	t       interface{ Fatalf(string, ...any) }
	now     time.Time
	rand    *rand.Rand
	nodes   map[ID]*node
	order   []ID
	flight  []Envelope
	cut     map[[2]ID]bool
	leaders map[uint64]ID
	// committed is the longest history that any node has applied.
	committed []Entry
	loss      float64
}

func newNetwork(t interface{ Fatalf(string, ...any) }, n int, seed uint64) *network {
	w := &network{
		t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[ID]*node{}, cut: map[[2]ID]bool{}, leaders: map[uint64]ID{},
	}
	var members Membership
	for i := range n {
		id := ID(fmt.Sprint("r", i))
		members = members.With(Member{ID: id, Name: string(id), Voter: true})
	}
	disk := Stored{State: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}
	for _, m := range members {
		w.add(m.ID, disk)
	}
	return w
}

func (w *network) add(id ID, disk Stored) {
	w.nodes[id] = &node{disk: disk}
	w.order = append(w.order, id)
	w.start(id)
}

func (w *network) start(id ID) {
	n := w.nodes[id]
	disk := n.disk
	disk.Entries = slices.Clone(disk.Entries)
	r, err := New(w.now, id, disk, WithRand(rand.New(rand.NewPCG(w.rand.Uint64(), 2))))
	assertNil(w.t, err)
	n.Replica = r
	n.up = true
	n.applied = nil
}

func assertNil(t interface{ Fatalf(string, ...any) }, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

func (w *network) crash(id ID) { w.nodes[id].up = false }

// flush carries out the output of a node; a crash may come before the sync.
func (w *network) flush(n *node) {
	for {
		out := n.TakeOutput()
		if out.Empty() {
			return
		}
		n.persist(out)
		n.Synced(w.now, out)
		w.flight = append(w.flight, out.Messages...)
		w.apply(n, out)
		w.check(n)
	}
}

func (n *node) persist(out Output) {
	if out.State != nil {
		n.disk.State = *out.State
	}
	if out.Snapshot != nil {
		n.disk.Snapshot = *out.Snapshot
		n.disk.Entries = nil
	}
	for _, e := range out.Entries {
		keep := e.Index - n.disk.Snapshot.Index - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], e)
	}
}

func (w *network) apply(n *node, out Output) {
	if last := len(out.Committed); last > 0 {
		e := out.Committed[last-1]
		n.disk.Committed = Position{Index: e.Index, Term: e.Term}
	}
	for _, e := range out.Committed {
		position := int(e.Index) - 2
		if position < len(w.committed) {
			have := w.committed[position]
			if have.Term != e.Term || string(have.Data) != string(e.Data) {
				w.t.Fatalf("%s applied %v at %d, another replica %v", n.ID(), e, e.Index, have)
			}
			continue
		}
		if position != len(w.committed) {
			w.t.Fatalf("%s skipped to index %d after %d", n.ID(), e.Index, len(w.committed)+1)
		}
		w.committed = append(w.committed, e)
	}
}

// check asserts election safety, and that a leader has all that was committed.
func (w *network) check(n *node) {
	if n.Role() != RoleLeader {
		return
	}
	if other, ok := w.leaders[n.Term()]; ok && other != n.ID() {
		w.t.Fatalf("two leaders in term %d: %s and %s", n.Term(), other, n.ID())
	}
	if _, known := w.leaders[n.Term()]; !known {
		w.leaders[n.Term()] = n.ID()
		if int(n.LastIndex()) < len(w.committed)+1 {
			w.t.Fatalf("leader %s of term %d lacks committed entries", n.ID(), n.Term())
		}
	}
}

// step delivers what is in flight and lets time pass.
func (w *network) step(d time.Duration) {
	w.now = w.now.Add(d)
	flight := w.flight
	w.flight = nil
	w.rand.Shuffle(len(flight), func(i, j int) {
		if w.loss > 0 {
			flight[i], flight[j] = flight[j], flight[i]
		}
	})
	for _, e := range flight {
		w.deliver(e)
	}
	for _, id := range w.order {
		if n := w.nodes[id]; n.up {
			n.Tick(w.now)
			w.flush(n)
		}
	}
}

func (w *network) deliver(e Envelope) {
	n := w.nodes[e.To]
	if n == nil || !n.up || w.cut[[2]ID{e.From, e.To}] || w.rand.Float64() < w.loss {
		return
	}
	if w.loss > 0 && w.rand.Float64() < 0.05 {
		w.flight = append(w.flight, e) // arrives once more, later
	}
	n.Receive(w.now, e)
	w.flush(n)
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step(10 * time.Millisecond)
	}
}

func (w *network) leader() *node {
	var best *node
	for _, id := range w.order {
		n := w.nodes[id]
		if n.up && n.Role() == RoleLeader && (best == nil || n.Term() > best.Term()) {
			best = n
		}
	}
	return best
}

func (w *network) propose(id ID, data string) {
	n := w.nodes[id]
	if n.up {
		_ = n.Propose([]byte(data))
		w.flush(n)
	}
}

func (w *network) isolate(id ID, on bool) {
	for _, other := range w.order {
		w.cut[[2]ID{id, other}] = on
		w.cut[[2]ID{other, id}] = on
	}
}

func (w *network) has(data string) bool {
	return slices.ContainsFunc(w.committed, func(e Entry) bool { return string(e.Data) == data })
}

func TestElectsAndReplicates(t *testing.T) {
	for _, size := range []int{1, 3, 5, 7} {
		w := newNetwork(t, size, 1)
		w.run(4 * time.Second)
		assert.Assert(t, w.leader() != nil)
		w.propose("r0", "a")
		w.run(500 * time.Millisecond)
		assert.Assert(t, w.has("a"))
	}
}

func TestLeaderBehindPartitionStepsDown(t *testing.T) {
	w := newNetwork(t, 3, 2)
	w.run(4 * time.Second)
	old := w.leader()
	w.isolate(old.ID(), true)
	w.propose(old.ID(), "lost")
	w.run(4 * time.Second)
	assert.Equal(t, old.Role() == RoleLeader, false)
	assert.Assert(t, w.now.Sub(old.LastQuorumContact()) > time.Second)
	assert.Assert(t, w.leader().ID() != old.ID())
	w.propose(w.leader().ID(), "kept")
	w.run(time.Second)
	w.isolate(old.ID(), false)
	w.run(3 * time.Second)
	assert.Assert(t, w.has("kept"))
	assert.Assert(t, !w.has("lost"))
}

func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	w := newNetwork(t, 3, 3)
	w.run(4 * time.Second)
	term := w.leader().Term()
	var away ID
	for _, id := range w.order {
		if id != w.leader().ID() {
			away = id
		}
	}
	w.isolate(away, true)
	w.run(10 * time.Second)
	w.isolate(away, false)
	w.run(3 * time.Second)
	assert.Equal(t, w.leader().Term(), term)
}

func TestHandOverMovesLeadership(t *testing.T) {
	w := newNetwork(t, 3, 4)
	w.run(4 * time.Second)
	old := w.leader()
	next, err := old.TransferLeadership(w.now)
	assert.NilError(t, err)
	w.flush(old)
	w.run(200 * time.Millisecond)
	assert.Equal(t, w.leader().ID(), next)
}

func TestSnapshotReachesReplicaFarBehind(t *testing.T) {
	w := newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	lead := w.leader()
	behind := w.order[0]
	if behind == lead.ID() {
		behind = w.order[1]
	}
	w.crash(behind)
	for i := range 50 {
		w.propose(lead.ID(), fmt.Sprint("c", i))
	}
	w.run(time.Second)
	state := make([]byte, 3*snapshotPieceBytes+7)
	s, ok := lead.Compact(lead.Commit(), state)
	assert.Assert(t, ok)
	w.start(behind)
	w.run(2 * time.Second)
	got := w.nodes[behind]
	assert.Equal(t, got.Commit(), lead.Commit())
	assert.Equal(t, got.disk.Snapshot.Index, s.Index)
	assert.Equal(t, len(got.disk.Snapshot.Data), len(state))
}

func TestWipedReplicaJoinsAsNewOne(t *testing.T) {
	w := newNetwork(t, 3, 6)
	w.run(4 * time.Second)
	lead := w.leader()
	w.propose(lead.ID(), "before")
	w.run(time.Second)
	wiped := w.order[(slices.Index(w.order, lead.ID())+1)%3]
	w.crash(wiped)
	fresh := ID("fresh")
	w.add(fresh, Stored{})
	assert.NilError(t, lead.ChangeMembers(w.now, lead.Members().Without(wiped)))
	assert.ErrorIs(t, lead.ChangeMembers(w.now, lead.Members()), ErrChangePending)
	w.run(time.Second)
	assert.NilError(t, lead.ChangeMembers(w.now, lead.Members().With(Member{ID: fresh, Name: string(wiped)})))
	w.run(time.Second)
	assert.Equal(t, lead.MatchIndex(fresh), lead.LastIndex())
	assert.NilError(t, lead.ChangeMembers(w.now, lead.Members().With(Member{ID: fresh, Name: string(wiped), Voter: true})))
	w.run(time.Second)
	// Right after the repair a second replica is lost.
	w.crash(lead.ID())
	w.run(5 * time.Second)
	assert.Assert(t, w.leader() != nil)
	w.propose(w.leader().ID(), "after")
	w.run(time.Second)
	assert.Assert(t, w.has("before") && w.has("after"))
}

func TestConfirmedReadNeverComesFromBehind(t *testing.T) {
	w := newNetwork(t, 3, 7)
	w.run(4 * time.Second)
	old := w.leader()
	w.isolate(old.ID(), true)
	assert.NilError(t, old.ReadIndex(w.now, 9))
	for range 400 {
		w.step(10 * time.Millisecond)
		assert.Equal(t, len(old.out.Reads), 0)
	}
}

func TestRandomFaultsKeepAgreement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 7}).Draw(rt, "size")
		w := newNetwork(rt, size, rapid.Uint64().Draw(rt, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for i := range steps {
			w.disturb(rt, i)
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "pause")) * 10 * time.Millisecond)
		}
		w.heal()
		w.run(8 * time.Second)
		if w.leader() == nil {
			rt.Fatalf("no leader after the network healed")
		}
		w.propose(w.leader().ID(), "last")
		w.run(time.Second)
		if !w.has("last") {
			rt.Fatalf("no progress after the network healed")
		}
	})
}

func (w *network) disturb(rt *rapid.T, i int) {
	a := rapid.SampledFrom(w.order).Draw(rt, "a")
	b := rapid.SampledFrom(w.order).Draw(rt, "b")
	n := w.nodes[a]
	switch rapid.IntRange(0, 8).Draw(rt, "fault") {
	case 0, 1, 2:
		w.propose(a, fmt.Sprint("v", i))
	case 3:
		w.crash(a)
	case 4:
		if !n.up {
			w.start(a)
		}
	case 5:
		w.cut[[2]ID{a, b}] = !w.cut[[2]ID{a, b}]
	case 6:
		w.isolate(a, rapid.Bool().Draw(rt, "on"))
	case 7:
		if n.up {
			w.compact(n)
		}
	case 8:
		w.changeVoter(a)
	}
}

func (w *network) compact(n *node) {
	s, ok := n.Compact(n.emitted, []byte("state"))
	if !ok {
		return
	}
	drop := s.Index - n.disk.Snapshot.Index
	n.disk.Entries = slices.Clone(n.disk.Entries[min(int(drop), len(n.disk.Entries)):])
	n.disk.Snapshot = s
}

// changeVoter removes a member, or takes it in again.
func (w *network) changeVoter(id ID) {
	lead := w.leader()
	if lead == nil {
		return
	}
	next := lead.Members().With(Member{ID: id, Name: string(id), Voter: true})
	if lead.Members().votes(id) && lead.Members().Voters() > 2 {
		next = lead.Members().Without(id)
	}
	_ = lead.ChangeMembers(w.now, next)
	w.flush(lead)
}

func (w *network) heal() {
	clear(w.cut)
	w.loss = 0
	for _, id := range w.order {
		if !w.nodes[id].up {
			w.start(id)
		}
	}
}

func TestReplicaKnowsAfterARestartWhatWasCommitted(t *testing.T) {
	entries := []Entry{{Index: 2, Term: 1, Kind: EntryCommand}, {Index: 3, Term: 2, Kind: EntryCommand}}
	tests := []struct {
		name      string
		committed Position
		want      uint64
	}{
		{"nothing was stored", Position{}, 1},
		{"a part of the log", Position{Index: 2, Term: 1}, 2},
		{"all of the log", Position{Index: 3, Term: 2}, 3},
		{"an entry that the disk has lost", Position{Index: 4, Term: 2}, 1},
		{"an entry of another term", Position{Index: 3, Term: 1}, 1},
	}
	for _, tt := range tests {
		members := Membership{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
		r, err := New(time.Unix(1000, 0), "a", Stored{Snapshot: Snapshot{Index: 1, Term: 1, Members: members}, Entries: slices.Clone(entries), Committed: tt.committed})
		assert.NilError(t, err)
		assert.Equal(t, r.Commit(), tt.want, tt.name)
		assert.Equal(t, len(r.TakeOutput().Committed), int(tt.want-1), tt.name)
	}
}
