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

// node is a replica whose disk survives a crash.
type node struct {
	*Replica
	disk    Stored
	applied []Entry
	up      bool
}

// network simulates the delivery of messages between nodes in virtual time. After every step
// it checks that the replicas agree.
type network struct {
	t            interface{ Fatalf(string, ...any) }
	now          time.Time
	rand         *rand.Rand
	nodes        map[ID]*node
	order        []ID
	inFlight     []Envelope
	blocked      map[[2]ID]bool
	leaderOfTerm map[uint64]ID
	// committed is the longest log that any node has applied.
	committed []Entry
	// committedAt is when each of these entries was applied first.
	committedAt []time.Time
	lossRate    float64
	// links holds the slow links to and from a node, and delayed the messages on them.
	links   map[ID]*link
	delayed []delayedMessage
	// lost are the nodes whose disks are lost for good.
	lost map[ID]bool
	// pauseDisk is a node whose disk hangs: its output is not taken.
	pauseDisk ID
	// paused holds what has arrived at a node that stands still.
	paused map[ID][]Envelope
	// onDeliver is called for each message that is about to arrive, if it is set. It returns the message to deliver.
	onDeliver func(Envelope) Envelope
}

func newNetwork(t interface{ Fatalf(string, ...any) }, n int, seed uint64) *network {
	w := &network{
		t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[ID]*node{}, blocked: map[[2]ID]bool{}, leaderOfTerm: map[uint64]ID{},
		links: map[ID]*link{}, lost: map[ID]bool{}, paused: map[ID][]Envelope{},
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
	requireNoError(w.t, err)
	n.Replica = r
	n.up = true
	n.applied = nil
}

func requireNoError(t interface{ Fatalf(string, ...any) }, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

func (w *network) crash(id ID) {
	w.nodes[id].up = false
	delete(w.paused, id)
}

// flush carries out the output of a node until there is none left.
func (w *network) flush(n *node) {
	for n.ID() != w.pauseDisk {
		out := n.TakeOutput()
		if out.Empty() {
			return
		}
		n.persist(out)
		n.Synced(w.now, out)
		w.inFlight = append(w.inFlight, out.Messages...)
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
		kept := e.Index - n.disk.Snapshot.Index - 1
		n.disk.Entries = append(n.disk.Entries[:kept:kept], e)
	}
}

func (w *network) apply(n *node, out Output) {
	if last := len(out.Committed); last > 0 {
		e := out.Committed[last-1]
		n.disk.Committed = Position{Index: e.Index, Term: e.Term}
	}
	for _, e := range out.Committed {
		i := int(e.Index) - 2
		if i < len(w.committed) {
			other := w.committed[i]
			if other.Term != e.Term || string(other.Data) != string(e.Data) {
				w.t.Fatalf("%s applied %v at %d, another replica %v", n.ID(), e, e.Index, other)
			}
			continue
		}
		if i != len(w.committed) {
			w.t.Fatalf("%s skipped to index %d after %d", n.ID(), e.Index, len(w.committed)+1)
		}
		w.committed = append(w.committed, e)
		w.committedAt = append(w.committedAt, w.now)
	}
}

// check asserts that a term has one leader, that the leader has all committed entries, and that a replica that claims
// contact with a quorum knows all that had been committed by then.
func (w *network) check(n *node) {
	w.checkContact(n)
	if n.Role() != RoleLeader {
		return
	}
	if other, ok := w.leaderOfTerm[n.Term()]; ok && other != n.ID() {
		w.t.Fatalf("two leaders in term %d: %s and %s", n.Term(), other, n.ID())
	}
	if _, known := w.leaderOfTerm[n.Term()]; !known {
		w.leaderOfTerm[n.Term()] = n.ID()
		if int(n.LastIndex()) < len(w.committed)+1 {
			w.t.Fatalf("leader %s of term %d lacks committed entries", n.ID(), n.Term())
		}
	}
}

// checkContact asserts that a replica knows all entries that had been committed before its last contact with a quorum.
func (w *network) checkContact(n *node) {
	contact := n.LastQuorumContact()
	if contact.IsZero() {
		return
	}
	known, _ := slices.BinarySearchFunc(w.committedAt, contact, time.Time.Compare) // those before the contact
	if n.Commit() < uint64(known)+1 {
		w.t.Fatalf("%s claims contact with a quorum %s ago, knows index %d, and %d had been committed by then", n.ID(), w.now.Sub(contact), n.Commit(), known+1)
	}
}

// stepTime is how long a message takes on a fast link.
const stepTime = 10 * time.Millisecond

// step advances time by stepTime, delivers the messages in flight and ticks every node.
func (w *network) step() {
	w.now = w.now.Add(stepTime)
	inFlight := w.inFlight
	w.inFlight = nil
	w.rand.Shuffle(len(inFlight), func(i, j int) {
		if w.lossRate > 0 {
			inFlight[i], inFlight[j] = inFlight[j], inFlight[i]
		}
	})
	for _, e := range inFlight {
		if !w.delay(e) {
			w.deliver(e)
		}
	}
	w.deliverDelayed()
	for _, id := range w.order {
		if n := w.nodes[id]; n.up && w.paused[id] == nil {
			n.Tick(w.now)
			w.flush(n)
		}
	}
}

func (w *network) deliver(e Envelope) {
	n := w.nodes[e.To]
	if n == nil || !n.up || w.blocked[[2]ID{e.From, e.To}] || w.rand.Float64() < w.lossRate {
		return
	}
	if w.lossRate > 0 && w.rand.Float64() < 0.05 {
		w.inFlight = append(w.inFlight, e) // a duplicate that arrives later
	}
	if waiting := w.paused[e.To]; waiting != nil {
		w.paused[e.To] = append(waiting, e)
		return
	}
	if w.onDeliver != nil {
		e = w.onDeliver(e)
	}
	n.Receive(w.now, e)
	w.flush(n)
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *network) leader() *node {
	var latest *node
	for _, id := range w.order {
		n := w.nodes[id]
		if n.up && n.Role() == RoleLeader && (latest == nil || n.Term() > latest.Term()) {
			latest = n
		}
	}
	return latest
}

func (w *network) propose(id ID, data string) {
	n := w.nodes[id]
	if n.up {
		_ = n.Propose([]byte(data))
		w.flush(n)
	}
}

func (w *network) isolate(id ID, isolated bool) {
	for _, other := range w.order {
		w.blocked[[2]ID{id, other}] = isolated
		w.blocked[[2]ID{other, id}] = isolated
	}
}

func (w *network) hasCommitted(data string) bool {
	return slices.ContainsFunc(w.committed, func(e Entry) bool { return string(e.Data) == data })
}

func TestGroupElectsLeaderAndReplicatesCommand(t *testing.T) {
	for _, size := range []int{1, 3, 5, 7} {
		w := newNetwork(t, size, 1)
		w.run(4 * time.Second)
		assert.Assert(t, w.leader() != nil)
		w.propose("r0", "a")
		w.run(500 * time.Millisecond)
		assert.Assert(t, w.hasCommitted("a"))
	}
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
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
	assert.Assert(t, w.hasCommitted("kept"))
	assert.Assert(t, !w.hasCommitted("lost"))
}

func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	w := newNetwork(t, 3, 3)
	w.run(4 * time.Second)
	term := w.leader().Term()
	var isolated ID
	for _, id := range w.order {
		if id != w.leader().ID() {
			isolated = id
		}
	}
	w.isolate(isolated, true)
	w.run(10 * time.Second)
	w.isolate(isolated, false)
	w.run(3 * time.Second)
	assert.Equal(t, w.leader().Term(), term)
}

func TestTransferLeadershipElectsTarget(t *testing.T) {
	w := newNetwork(t, 3, 4)
	w.run(4 * time.Second)
	old := w.leader()
	next, err := old.TransferLeadership(w.now)
	assert.NilError(t, err)
	w.flush(old)
	w.run(200 * time.Millisecond)
	assert.Equal(t, w.leader().ID(), next)
}

func TestLaggingReplicaInstallsSnapshot(t *testing.T) {
	w := newNetwork(t, 3, 5)
	w.run(4 * time.Second)
	leaderNode := w.leader()
	behind := w.order[0]
	if behind == leaderNode.ID() {
		behind = w.order[1]
	}
	w.crash(behind)
	for i := range 50 {
		w.propose(leaderNode.ID(), fmt.Sprint("c", i))
	}
	w.run(time.Second)
	state := make([]byte, 3*snapshotChunkBytes+7)
	s, ok := leaderNode.Compact(leaderNode.Commit(), state)
	assert.Assert(t, ok)
	w.start(behind)
	w.run(2 * time.Second)
	got := w.nodes[behind]
	assert.Equal(t, got.Commit(), leaderNode.Commit())
	assert.Equal(t, got.disk.Snapshot.Index, s.Index)
	assert.Equal(t, len(got.disk.Snapshot.Data), len(state))
}

func TestWipedReplicaRejoinsWithNewID(t *testing.T) {
	w := newNetwork(t, 3, 6)
	w.run(4 * time.Second)
	leaderNode := w.leader()
	w.propose(leaderNode.ID(), "before")
	w.run(time.Second)
	wiped := w.order[(slices.Index(w.order, leaderNode.ID())+1)%3]
	w.crash(wiped)
	fresh := ID("fresh")
	w.add(fresh, Stored{})
	assert.NilError(t, leaderNode.ChangeMembers(w.now, leaderNode.Members().Without(wiped)))
	assert.ErrorIs(t, leaderNode.ChangeMembers(w.now, leaderNode.Members()), ErrChangePending)
	w.run(time.Second)
	assert.NilError(t, leaderNode.ChangeMembers(w.now, leaderNode.Members().With(Member{ID: fresh, Name: string(wiped)})))
	w.run(time.Second)
	assert.Equal(t, leaderNode.MatchIndex(fresh), leaderNode.LastIndex())
	assert.NilError(t, leaderNode.ChangeMembers(w.now, leaderNode.Members().With(Member{ID: fresh, Name: string(wiped), Voter: true})))
	w.run(time.Second)
	// A second replica fails right after the first one was replaced.
	w.crash(leaderNode.ID())
	w.run(5 * time.Second)
	assert.Assert(t, w.leader() != nil)
	w.propose(w.leader().ID(), "after")
	w.run(time.Second)
	assert.Assert(t, w.hasCommitted("before") && w.hasCommitted("after"))
}

func TestPartitionedLeaderConfirmsNoReads(t *testing.T) {
	w := newNetwork(t, 3, 7)
	w.run(4 * time.Second)
	old := w.leader()
	w.isolate(old.ID(), true)
	assert.NilError(t, old.ReadIndex(w.now, 9))
	for range 400 {
		w.step()
		assert.Equal(t, len(old.out.Reads), 0)
	}
}

func TestRandomFaultsKeepAgreement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 7}).Draw(rt, "size")
		w := newNetwork(rt, size, rapid.Uint64().Draw(rt, "seed"))
		w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss")
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for i := range steps {
			w.injectFault(rt, i)
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "pause")) * 10 * time.Millisecond)
		}
		w.heal()
		w.run(8 * time.Second)
		if w.leader() == nil {
			rt.Fatalf("no leader after the network healed")
		}
		w.propose(w.leader().ID(), "last")
		w.run(time.Second)
		if !w.hasCommitted("last") {
			rt.Fatalf("no progress after the network healed")
		}
	})
}

func (w *network) injectFault(rt *rapid.T, i int) {
	id := rapid.SampledFrom(w.order).Draw(rt, "id")
	peer := rapid.SampledFrom(w.order).Draw(rt, "peer")
	n := w.nodes[id]
	switch rapid.IntRange(0, 8).Draw(rt, "fault") {
	case 0, 1, 2:
		w.propose(id, fmt.Sprint("v", i))
	case 3:
		w.crash(id)
	case 4:
		if !n.up {
			w.start(id)
		}
	case 5:
		w.blocked[[2]ID{id, peer}] = !w.blocked[[2]ID{id, peer}]
	case 6:
		w.isolate(id, rapid.Bool().Draw(rt, "isolated"))
	case 7:
		if n.up {
			w.compact(n)
		}
	case 8:
		w.toggleVoter(id)
	}
}

func (w *network) compact(n *node) {
	w.compactTo(n, []byte("state"))
}

// compactTo replaces the log of a node by a snapshot with the given data.
func (w *network) compactTo(n *node, data []byte) {
	s, ok := n.Compact(n.deliveredIndex, data)
	if !ok {
		return
	}
	compacted := s.Index - n.disk.Snapshot.Index
	n.disk.Entries = slices.Clone(n.disk.Entries[min(int(compacted), len(n.disk.Entries)):])
	n.disk.Snapshot = s
}

// toggleVoter removes a voter if more than two remain, or else adds the member as a voter.
func (w *network) toggleVoter(id ID) {
	leaderNode := w.leader()
	if leaderNode == nil {
		return
	}
	next := leaderNode.Members().With(Member{ID: id, Name: string(id), Voter: true})
	if leaderNode.Members().votes(id) && leaderNode.Members().Voters() > 2 {
		next = leaderNode.Members().Without(id)
	}
	_ = leaderNode.ChangeMembers(w.now, next)
	w.flush(leaderNode)
}

func (w *network) heal() {
	clear(w.blocked)
	w.lossRate = 0
	for _, id := range w.order {
		w.wake(id)
		if !w.nodes[id].up && !w.lost[id] {
			w.start(id)
		}
	}
}

func TestNewRestoresCommitIndex(t *testing.T) {
	entries := []Entry{{Index: 2, Term: 1, Kind: EntryCommand}, {Index: 3, Term: 2, Kind: EntryCommand}}
	tests := []struct {
		name      string
		committed Position
		want      uint64
	}{
		{"no stored position", Position{}, 1},
		{"position within the log", Position{Index: 2, Term: 1}, 2},
		{"end of the log", Position{Index: 3, Term: 2}, 3},
		{"entry missing from the log", Position{Index: 4, Term: 2}, 1},
		{"entry of another term", Position{Index: 3, Term: 1}, 1},
	}
	for _, tt := range tests {
		members := Membership{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
		r, err := New(time.Unix(1000, 0), "a", Stored{Snapshot: Snapshot{Index: 1, Term: 1, Members: members}, Entries: slices.Clone(entries), Committed: tt.committed})
		assert.NilError(t, err)
		assert.Equal(t, r.Commit(), tt.want, tt.name)
		assert.Equal(t, len(r.TakeOutput().Committed), int(tt.want-1), tt.name)
	}
}
