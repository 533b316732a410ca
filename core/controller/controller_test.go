package controller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/subscriber"
	"comfreyplank.org/core/validator"
)

// leavingBound is the longest that a leaving endpoint may get new work while the
// network is whole. Under random faults an announcement may itself be stuck behind
// a partition, so there the bound starts anew with each announcement.
const leavingBound = 3 * time.Second

func (s *system) status(request uint64) controller.ApplyStatus {
	for _, a := range s.answers {
		if a.Request == request {
			return a.Status
		}
	}
	return 0
}

func ready(t *testing.T, controls, entries int) *system {
	s := newSystem(t, controls, entries, 1)
	s.run(5 * time.Second)
	assert.Assert(t, s.leader() != nil)
	s.apply(s.leader(), document(0, "first"))
	s.run(time.Second)
	assert.Equal(t, s.status(1), controller.ApplyInEffect)
	return s
}

func TestChangeIsInForceAtEveryEntry(t *testing.T) {
	for _, controls := range []int{1, 3, 5, 7} {
		s := ready(t, controls, 4)
		for _, e := range s.entries {
			assert.Equal(t, e.revision, uint64(1), "%s with %d replicas", e.name, controls)
			assert.Assert(t, e.machine.HoldsConfigLease(s.now))
		}
	}
}

func TestSecondChangeWithSameBaseLoses(t *testing.T) {
	s := ready(t, 3, 2)
	s.apply(s.controls[0], document(1, "a"))
	s.apply(s.controls[1], document(1, "b"))
	s.run(time.Second)
	assert.Equal(t, len(s.answers), 3)
	statuses := []controller.ApplyStatus{s.status(2), s.status(3)}
	assert.Assert(t, statuses[0] != statuses[1])
	for _, a := range s.answers[1:] {
		if a.Status == controller.ApplyRefused {
			assert.Equal(t, a.Answer.CurrentChangeID, s.winners[1])
		}
	}
}

func TestRepeatedChangeGetsFirstAnswerAfterManyOthers(t *testing.T) {
	s := ready(t, 3, 1)
	for i := uint64(1); i <= 600; i++ {
		s.apply(s.leader(), document(i, fmt.Sprint("change-", i)))
		s.run(10 * step)
	}
	for _, c := range s.controls {
		s.crash(c)
		s.start(c)
	}
	s.run(5 * time.Second)
	s.apply(s.controls[2], document(5, "change-5"))
	s.run(time.Second)
	last := s.answers[len(s.answers)-1]
	assert.Equal(t, last.Status, controller.ApplyInEffect)
	assert.Equal(t, last.Answer.Revision, uint64(6))
	revision, _ := s.controls[2].machine.Document()
	assert.Equal(t, revision, uint64(601))
}

func TestChangeWaitsForEntryThatIsCutOffUntilItsStandingEnds(t *testing.T) {
	s := ready(t, 3, 3)
	s.isolate(s.entries[0].name, true)
	s.apply(s.leader(), document(1, "second"))
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.status(2), controller.ApplyStatus(0))
	s.run(4 * time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
	assert.Assert(t, !s.entries[0].machine.HoldsConfigLease(s.now))
}

func TestEntryLeavesReplicaBehindPartition(t *testing.T) {
	s := ready(t, 3, 6)
	lost := s.leader()
	// Only the links between replicas are cut: the entries still reach it.
	for _, c := range s.controls {
		if c != lost {
			s.cut[[2]string{lost.name, c.name}] = true
			s.cut[[2]string{c.name, lost.name}] = true
		}
	}
	s.run(4 * time.Second)
	for _, e := range s.entries {
		assert.Assert(t, e.machine.HoldsConfigLease(s.now), e.name)
		assert.Assert(t, e.peer != lost, e.name)
	}
	status := lost.machine.Status(s.now)
	assert.Assert(t, !status.InContactWithQuorum)
	s.apply(lost, document(1, "lost"))
	s.run(9 * time.Second)
	assert.Assert(t, s.status(2) == controller.ApplyNotProposed || s.status(2) == controller.ApplyUnknown)
}

// TestEntryLeavesLaggingReplicaAtOnce cuts two of five replicas off from the others:
// entries that follow them go on with the majority as soon as the cut shows.
func TestEntryLeavesLaggingReplicaAtOnce(t *testing.T) {
	s := ready(t, 5, 10)
	minority := s.controls[:2]
	for _, a := range minority {
		for _, b := range s.controls[2:] {
			s.cut[[2]string{a.name, b.name}] = true
			s.cut[[2]string{b.name, a.name}] = true
		}
	}
	s.run(controller.QuorumWindow + 700*time.Millisecond)
	for _, e := range s.entries {
		assert.Assert(t, e.peer != minority[0] && e.peer != minority[1], e.name)
	}
}

// TestWipedReplicaRejoinsLeaderThatItDoesNotKnow wipes a replica while one that is no
// seed leads both groups: the new member is heard of through the seeds.
func TestWipedReplicaRejoinsLeaderThatItDoesNotKnow(t *testing.T) {
	s := newSeededSystem(t, 5, 3, 1, 11)
	s.run(5 * time.Second)
	for s.leader() != s.controls[4] {
		lead := s.leader()
		if lead != nil {
			s.crash(lead)
		}
		s.run(3 * time.Second)
		if lead != nil {
			s.start(lead)
		}
		s.run(2 * time.Second)
	}
	lost := s.controls[0]
	s.crash(lost)
	s.wipe(lost)
	s.start(lost)
	s.run(4 * time.Second)
	status := s.controls[4].machine.Status(s.now)
	assert.Assert(t, votes(status.Members, lost.id))
	assert.Equal(t, status.Members.Voters(), 5)
}

// TestEntriesGoOnAfterTheirReplicaDies kills the replica that all entries follow as a
// document is accepted: it is in force at all of them soon, also with a second one dead.
func TestEntriesGoOnAfterTheirReplicaDies(t *testing.T) {
	s := ready(t, 5, 8)
	for _, c := range s.controls[:2] {
		if c != s.leader() {
			s.crash(c)
		}
	}
	dead := s.leader()
	s.crash(dead)
	s.run(1500 * time.Millisecond)
	s.apply(s.leader(), document(1, "second"))
	s.run(1500 * time.Millisecond)
	for _, e := range s.entries {
		revision, _ := e.machine.Revision()
		assert.Equal(t, revision, uint64(2), e.name)
	}
}

// announced tells a replica what an endpoint says, and returns whether it was taken.
func (s *system) announced(c *control, a registrar.Announcement) bool {
	s.lastRequest++
	before := len(s.taken)
	s.handle(c, controller.Announce{Request: s.lastRequest, Announcement: a})
	s.run(time.Second)
	assert.Equal(s.t.(*testing.T), len(s.taken), before+1)
	return s.taken[before]
}

// TestAcknowledgedDepartureCannotBeForgotten acknowledges that an endpoint leaves, and
// starts all replicas anew at once: a late heartbeat does not bring it back.
func TestAcknowledgedDepartureCannotBeForgotten(t *testing.T) {
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "leaver"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	tests := []struct {
		name    string
		goodbye registrar.Announcement
	}{
		{"draining", registrar.Announcement{Name: a.Name, Address: a.Address, DataCentre: "dc", Slots: 4, State: registrar.StateDraining, Incarnation: 7, Sequence: 3}},
		{"goodbye that says little", registrar.Announcement{Name: registrar.Name{Endpoint: "leaver"}, State: registrar.StateDraining, Deregistered: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := ready(t, 5, 2)
			assert.Assert(t, s.announced(s.controls[3], a))
			assert.Assert(t, s.announced(s.controls[1], tt.goodbye))
			for _, c := range s.controls {
				s.crash(c)
				s.start(c)
			}
			s.run(3 * time.Second)
			late := a
			late.Sequence = 2
			s.announced(s.controls[2], late)
			for _, c := range s.controls {
				for _, known := range c.machine.Status(s.now).Endpoints {
					assert.Assert(t, known.Endpoint != "leaver" || known.Leaving(), c.name)
				}
			}
		})
	}
}

// TestCutOffReplicaTakesNoAnnouncement sends the endpoint to another replica.
func TestCutOffReplicaTakesNoAnnouncement(t *testing.T) {
	s := ready(t, 3, 1)
	lost := s.controls[0]
	s.isolate(lost.name, true)
	s.run(2 * time.Second)
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "x"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	assert.Assert(t, !s.announced(lost, a))
	a.State = registrar.StateDraining
	assert.Assert(t, !s.announced(lost, a))
	assert.Assert(t, s.announced(s.leader(), a))
}

func TestColdEntryTakesNothingFromReplicaThatIsBehind(t *testing.T) {
	s := ready(t, 3, 2)
	behind := s.controls[0]
	for _, c := range s.controls[1:] {
		s.cut[[2]string{behind.name, c.name}] = true
		s.cut[[2]string{c.name, behind.name}] = true
	}
	s.run(5 * time.Second)
	s.apply(s.leader(), document(1, "second"))
	s.run(time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
	e := s.entries[0]
	s.crashEntry(e)
	s.startEntry(e)
	for _, c := range s.controls[1:] {
		s.cut[[2]string{e.name, c.name}] = true
	}
	s.run(5 * time.Second)
	assert.Equal(t, e.revision, uint64(0))
	assert.Assert(t, !e.machine.HoldsConfigLease(s.now))
}

// restartSome kills all, and starts all entries and the first replicas.
func (s *system) restartSome(replicas int) {
	s.run(2 * time.Second) // what was stored is on the disks
	for _, c := range s.controls {
		s.crash(c)
	}
	for _, e := range s.entries {
		s.crashEntry(e)
	}
	s.run(time.Second)
	for _, c := range s.controls[:replicas] {
		s.start(c)
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
}

// TestEntriesBeginBeforeALeaderIsThere kills all processes; two of five replicas come
// back, which can't elect a leader.
func TestEntriesBeginBeforeALeaderIsThere(t *testing.T) {
	tests := []struct {
		name string
		cold bool
		want uint64
	}{
		{"with what a replica knew", true, 1},
		{"by default only with a majority", false, 0},
	}
	for _, tt := range tests {
		s := ready(t, 5, 4)
		s.cold = tt.cold
		s.restartSome(2)
		for _, e := range s.entries {
			e.states = 0
		}
		s.run(time.Second)
		assert.Assert(t, s.leader() == nil, tt.name)
		for _, e := range s.entries {
			assert.Equal(t, e.states, int(tt.want), tt.name)
			assert.Equal(t, e.revision, tt.want, tt.name)
			assert.Assert(t, !e.machine.HoldsConfigLease(s.now), tt.name)
		}
	}
}

// TestAllThatStartAtOnceGetTheStateOnce kills everything; what replicas send to entries
// that come back must not grow while no leader is known, as narrow links carry it.
func TestAllThatStartAtOnceGetTheStateOnce(t *testing.T) {
	s := ready(t, 5, 8)
	s.cold = true
	s.restartSome(5)
	for _, e := range s.entries {
		e.states = 0
	}
	s.run(3 * time.Second)
	for _, e := range s.entries {
		assert.Equal(t, e.states, 1, e.name)
		assert.Assert(t, e.machine.HoldsConfigLease(s.now), e.name)
	}
	s.apply(s.leader(), document(1, "second"))
	s.leave(s.backends[0], s.entries[0])
	s.run(2 * time.Second)
	for _, e := range s.entries {
		assert.Equal(t, e.states, 1, e.name)
		assert.Equal(t, e.revision, uint64(2), e.name)
	}
}

// TestChangesThatComeCloseTogetherTravelAsOne makes 20 changes, 60 ms apart, as a script of
// an operator may; entries must not get each of them, and must have the last one soon.
func TestChangesThatComeCloseTogetherTravelAsOne(t *testing.T) {
	s := ready(t, 5, 4)
	s.run(time.Second)
	for _, e := range s.entries {
		e.configs = 0
	}
	const changes = 20
	for i := range uint64(changes) {
		s.apply(s.leader(), document(1+i, fmt.Sprint("change-", i)))
		s.run(60 * time.Millisecond)
	}
	s.run(300 * time.Millisecond)
	for _, e := range s.entries {
		t.Logf("%s: %d of %d configurations", e.name, e.configs, changes)
		assert.Equal(t, e.revision, uint64(1+changes), e.name)
		assert.Assert(t, e.configs <= changes/2, e.name)
	}
}

// TestReplicaThatStartedLongAgoGivesNoColdStart leaves a replica alone for longer than
// the others need to start: what it knows may be far behind by then.
func TestReplicaThatStartedLongAgoGivesNoColdStart(t *testing.T) {
	s := ready(t, 5, 1)
	s.cold = true
	s.restartSome(2)
	s.crashEntry(s.entries[0])
	s.run(6 * time.Second)
	s.startEntry(s.entries[0])
	s.run(time.Second)
	assert.Equal(t, s.entries[0].revision, uint64(0))
}

func TestLosingAReplicaRightAfterARepairLosesNothing(t *testing.T) {
	s := ready(t, 3, 2)
	wiped := s.controls[0]
	s.crash(wiped)
	s.wipe(wiped)
	s.start(wiped)
	s.run(4 * time.Second)
	members := s.leader().machine.Status(s.now).Members
	assert.Equal(t, members.Voters(), 3)
	second := s.leader()
	if second == wiped {
		second = s.controls[1]
	}
	s.crash(second)
	s.run(6 * time.Second)
	s.apply(wiped, document(1, "after"))
	s.run(5 * time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := ready(t, 3, 4)
	s.run(2 * time.Second)
	s.leave(s.backends[0], s.entries[0])
	for range 600 {
		s.call(s.entries[s.rand.IntN(4)], "", time.Second)
		s.step()
	}
	assert.Assert(t, s.answered > 500)
}

func TestStopByDocumentTakesEffectAtItsTime(t *testing.T) {
	s := ready(t, 3, 2)
	s.run(2 * time.Second)
	at := s.now.Add(2 * time.Second)
	s.apply(s.leader(), document(1, "stop").WithStop(validator.Stop{Service: serviceName, Endpoint: "b1", At: at}))
	s.run(time.Second)
	assert.Equal(t, len(s.entries[0].balancer.Leaving()), 0)
	s.run(2 * time.Second)
	for _, e := range s.entries {
		leaving := e.balancer.Leaving()
		assert.Equal(t, len(leaving), 1)
		assert.Equal(t, leaving[0].Name.Endpoint, "b1")
	}
}

func TestStopOfLastEndpointIsRefused(t *testing.T) {
	s := ready(t, 3, 1)
	s.run(2 * time.Second)
	doc := document(1, "stop-all")
	for _, b := range s.backends {
		doc = doc.WithStop(validator.Stop{Service: serviceName, Endpoint: b.name})
	}
	s.apply(s.leader(), doc)
	assert.Equal(t, s.status(2), controller.ApplyRefused)
	assert.Equal(t, len(s.answers[1].Problems), 3)
}

func TestOnceOnlyIsAnsweredFromStoreOnAnyEntry(t *testing.T) {
	s := ready(t, 3, 2)
	s.run(time.Second)
	s.call(s.entries[0], "pledge", time.Second)
	s.call(s.entries[1], "pledge", time.Second)
	s.run(time.Second)
	assert.Equal(t, s.answered, 1) // the stand-in's answers are not kept
	assert.Equal(t, s.runs["pledge"], 1)
	s.call(s.entries[1], "pledge", time.Second)
	s.run(time.Second)
	assert.Equal(t, s.runs["pledge"], 1)
}

func TestSharesStayWithinBudgetWhileEntriesComeAndGo(t *testing.T) {
	s := ready(t, 3, 5)
	s.run(20 * time.Second)
	held := 0
	for _, e := range s.entries {
		for _, g := range e.grants {
			if g.Share.ProbeMicros > 0 && s.now.Before(g.Until) {
				held++
			}
		}
	}
	assert.Equal(t, held, 5)
	for range 6 {
		s.crash(s.leader())
		s.crashEntry(s.entries[s.rand.IntN(5)])
		s.run(7 * time.Second)
		s.heal()
		s.run(7 * time.Second)
	}
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSystem(rt, rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "controls"), 3, rapid.Uint64().Draw(rt, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss")
		s.cold = rapid.Bool().Draw(rt, "cold")
		s.run(4 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			s.disturb(rt, i)
			s.run(time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * step)
		}
		s.heal()
		s.run(15 * time.Second)
		if s.leader() == nil {
			rt.Fatalf("no leader after the network healed")
		}
		revision, _ := s.leader().machine.Document()
		s.apply(s.leader(), document(revision, "last"))
		s.run(8 * time.Second)
		if s.status(s.lastRequest) != controller.ApplyInEffect {
			rt.Fatalf("no change is accepted after the network healed")
		}
	})
}

func (s *system) disturb(rt *rapid.T, i int) {
	c := s.controls[rapid.IntRange(0, len(s.controls)-1).Draw(rt, "control")]
	d := s.controls[rapid.IntRange(0, len(s.controls)-1).Draw(rt, "other")]
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(rt, "entry")]
	b := s.backends[rapid.IntRange(0, len(s.backends)-1).Draw(rt, "backend")]
	switch rapid.IntRange(0, 13).Draw(rt, "fault") {
	case 0, 1:
		revision, _ := c.machine.Document()
		s.apply(c, document(revision, fmt.Sprint("change-", i)))
	case 2:
		if doc, ok := s.applied[rapid.Uint64Range(1, s.lastRequest+1).Draw(rt, "again")]; ok {
			s.apply(c, doc)
		}
	case 3:
		s.crash(c)
	case 4:
		if !c.up {
			s.start(c)
		}
	case 5:
		s.replace(c)
	case 6:
		s.cut[[2]string{c.name, d.name}] = c != d && rapid.Bool().Draw(rt, "cut")
	case 7:
		s.isolate(c.name, rapid.Bool().Draw(rt, "on"))
	case 8:
		s.isolate(e.name, rapid.Bool().Draw(rt, "on"))
	case 9:
		s.crashEntry(e)
		s.startEntry(e)
	case 10, 11, 12:
		s.load(rt)
	case 13:
		b.outcome = rapid.SampledFrom([]balancer.Ending{balancer.EndingComplete, balancer.EndingLost, balancer.EndingNotSent, balancer.EndingRefused}).Draw(rt, "outcome")
	}
}

// replace gives a replica a new disk, once every earlier loss has been repaired: a
// group that loses two disks of three at once has lost data, whatever it does.
func (s *system) replace(c *control) {
	lead := s.leader()
	if lead == nil || lead == c {
		return
	}
	status := lead.machine.Status(s.now)
	for _, other := range s.controls {
		if !votes(status.Members, other.id) || !votes(status.ClaimsMembers, other.id) {
			return
		}
	}
	s.crash(c)
	s.wipe(c)
	s.start(c)
}

func votes(members replicator.Membership, id replicator.ID) bool {
	m, ok := members.Find(id)
	return ok && m.Voter
}

// load sends calls with few keys to all entries at once.
func (s *system) load(rt *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(rt, "calls") {
		e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(rt, "at")]
		key := ""
		if rapid.Bool().Draw(rt, "once") {
			key = fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(rt, "key"))
		}
		s.call(e, key, time.Duration(rapid.IntRange(1, 200).Draw(rt, "timeout"))*step)
	}
	s.backends[0].state = registrar.StateServing
}

// TestReplicasAtRestAreCalledForTheirBeats counts how often replicas are called while nothing
// but time passes: for elections, heartbeats, presence and shares, and not for their entries.
func TestReplicasAtRestAreCalledForTheirBeats(t *testing.T) {
	s := ready(t, 3, 20)
	s.run(3 * time.Second)
	before := make([]int, len(s.controls))
	for i, c := range s.controls {
		before[i] = c.ticks
	}
	const rest = 10 * time.Second
	s.run(rest)
	for i, c := range s.controls {
		most := 5 * rest / time.Second // presence, shares, what is stored, and the rounds of two logs
		if c == s.leader() {
			most += rest / replicator.DefaultHeartbeatInterval // those of both logs come together
		}
		got := c.ticks - before[i]
		assert.Assert(t, got <= int(most), "%s was called %d times, %d expected", c.name, got, most)
	}
}

// TestLargeDocumentThatIsWrongAtItsEndGoesNowhere: a document of 1,400 routes with a fault in the
// last one is refused with that fault named, and no entry or replica gets any of it.
func TestLargeDocumentThatIsWrongAtItsEndGoesNowhere(t *testing.T) {
	const routes = 1400
	s := ready(t, 3, 2)
	doc := document(1, "large")
	for i := range routes {
		doc.Services[0].Routes = append(doc.Services[0].Routes, validator.Route{
			PathPrefix: fmt.Sprint("/route-", i), DeadlineMs: 1000, Class: validator.ClassInteractive,
		})
	}
	last := len(doc.Services[0].Routes) - 1
	doc.Services[0].Routes[last].PathPrefix = "route-without-a-slash"
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	actions := s.leader().machine.Handle(s.now, controller.Apply{Request: 77, Document: data})
	assert.Equal(t, len(actions), 1, "%v", actions)
	answer, ok := actions[0].(controller.ApplyReply)
	assert.Assert(t, ok, "%T", actions[0])
	assert.Equal(t, answer.Status, controller.ApplyRefused)
	assert.Equal(t, len(answer.Problems), 1, "%v", answer.Problems)
	assert.Assert(t, strings.Contains(answer.Problems[0].Path, fmt.Sprintf("routes[%d]", last)), "%v", answer.Problems[0])
}

// TestEndpointsThatComeTogetherAreToldAsOne lets a hundred endpoints come within half a second:
// an entry gets some messages and not a hundred. One that leaves is told at once.
func TestEndpointsThatComeTogetherAreToldAsOne(t *testing.T) {
	const endpoints = 100
	s := ready(t, 3, 1)
	s.run(time.Second)
	e := s.entries[0]
	before := e.lists
	announcement := func(i int, state registrar.State, sequence uint64) registrar.Announcement {
		return registrar.Announcement{
			Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("late-", i)}, Address: fmt.Sprint("127.0.0.2:", i), DataCentre: "dc",
			Slots: 4, Connections: 250, State: state, Incarnation: 1, Sequence: sequence,
		}
	}
	announce := func(i int) {
		s.handle(e.peer, controller.Announce{Request: uint64(1000 + i), Announcement: announcement(i, registrar.StateServing, 1)})
	}
	for i := range endpoints {
		announce(i)
		s.run(step)
	}
	s.run(200 * time.Millisecond)
	got := e.lists - before
	most := int(endpoints*step/(100*time.Millisecond)) + 2
	assert.Assert(t, got > 0 && got <= most, "%d messages for %d endpoints, %d expected", got, endpoints, most)

	announce(endpoints)
	s.run(2 * step)
	assert.Equal(t, e.lists-before, got, "it is told a little later")
	s.handleEntry(e, subscriber.Announced{Announcement: announcement(0, registrar.StateDraining, 2)})
	s.run(4 * step) // to the replica, and back
	assert.Equal(t, e.lists-before, got+1, "a departure is told at once")
}

// TestDeparturesByTheDozen lets sixty endpoints leave at once, each at another replica than the
// one before: all of them are told within a second, and every entry knows of all of them then.
func TestDeparturesByTheDozen(t *testing.T) {
	const endpoints = 60
	s := ready(t, 5, 20)
	announcement := func(i int, state registrar.State, sequence uint64) registrar.Announcement {
		return registrar.Announcement{
			Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("leaver-", i)}, Address: fmt.Sprint("127.0.0.3:", i), DataCentre: "dc",
			Slots: 4, Connections: 250, State: state, Incarnation: 1, Sequence: sequence,
		}
	}
	for i := range endpoints {
		assert.Assert(t, s.announced(s.controls[i%5], announcement(i, registrar.StateServing, 1)))
	}
	s.run(time.Second)
	before := len(s.taken)
	for i := range endpoints {
		s.handle(s.controls[i%5], controller.Announce{Request: uint64(5000 + i), Announcement: announcement(i, registrar.StateDraining, 2)})
	}
	s.run(time.Second)
	assert.Equal(t, len(s.taken)-before, endpoints)
	for _, taken := range s.taken[before:] {
		assert.Assert(t, taken)
	}
	for _, e := range s.entries {
		leaving := 0
		for _, l := range e.balancer.Leaving() {
			if strings.HasPrefix(l.Name.Endpoint, "leaver-") {
				leaving++
			}
		}
		assert.Equal(t, leaving, endpoints, e.name)
	}
}

// TestEntriesThatComeAndGoAreForgotten opens and ends streams of entries, with and without
// standing: a replica that rests keeps those that are there, and no others.
func TestEntriesThatComeAndGoAreForgotten(t *testing.T) {
	s := ready(t, 3, 2)
	for range 20 {
		for _, e := range s.entries {
			s.closeStream(e)
		}
		s.run(20 * step)
	}
	s.isolate(s.controls[2].name, true)
	for range 20 {
		for _, e := range s.entries {
			s.closeStream(e)
		}
		s.run(20 * step)
	}
	s.heal()
	s.run(5 * time.Second)
	known := 0
	for _, c := range s.controls {
		known += len(c.machine.Status(s.now).Entries)
	}
	assert.Equal(t, known, len(s.entries))
}
