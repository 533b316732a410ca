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

// maxDrainDelay is the longest time in which an endpoint that has announced its departure may
// still get new requests, while the network is intact. Under random faults the announcement
// itself may be held up by a partition, so no endpoint drains there.
const maxDrainDelay = 3 * time.Second

func (s *simulation) status(request uint64) controller.ApplyStatus {
	for _, a := range s.applyReplies {
		if a.Request == request {
			return a.Status
		}
	}
	return 0
}

func newReadySimulation(t *testing.T, replicas, entries int) *simulation {
	s := newSimulation(t, replicas, entries, 1)
	s.runFor(5 * time.Second)
	assert.Assert(t, s.leader() != nil)
	s.apply(s.leader(), document(0, "first"))
	s.runFor(time.Second)
	assert.Equal(t, s.status(1), controller.ApplyInEffect)
	return s
}

func TestChangeTakesEffectAtEveryEntry(t *testing.T) {
	for _, replicas := range []int{1, 3, 5, 7} {
		s := newReadySimulation(t, replicas, 4)
		for _, e := range s.entries {
			assert.Equal(t, e.revision, uint64(1), "%s with %d replicas", e.name, replicas)
			assert.Assert(t, e.stateMachine.HoldsConfigLease(s.now))
		}
	}
}

func TestSecondChangeWithSameBaseIsRefused(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	s.apply(s.replicas[0], document(1, "a"))
	s.apply(s.replicas[1], document(1, "b"))
	s.runFor(time.Second)
	assert.Equal(t, len(s.applyReplies), 3)
	statuses := []controller.ApplyStatus{s.status(2), s.status(3)}
	assert.Assert(t, statuses[0] != statuses[1])
	for _, a := range s.applyReplies[1:] {
		if a.Status == controller.ApplyRefused {
			assert.Equal(t, a.Answer.CurrentChangeID, s.winnersByBase[1])
		}
	}
}

func TestRepeatedChangeGetsItsFirstResult(t *testing.T) {
	s := newReadySimulation(t, 3, 1)
	for i := uint64(1); i <= 600; i++ {
		s.apply(s.leader(), document(i, fmt.Sprint("change-", i)))
		s.runFor(10 * step)
	}
	for _, c := range s.replicas {
		s.crash(c)
		s.start(c)
	}
	s.runFor(5 * time.Second)
	s.apply(s.replicas[2], document(5, "change-5"))
	s.runFor(time.Second)
	last := s.applyReplies[len(s.applyReplies)-1]
	assert.Equal(t, last.Status, controller.ApplyInEffect)
	assert.Equal(t, last.Answer.Revision, uint64(6))
	revision, _ := s.replicas[2].stateMachine.Document()
	assert.Equal(t, revision, uint64(601))
}

func TestChangeWaitsForConfigLeaseOfIsolatedEntry(t *testing.T) {
	s := newReadySimulation(t, 3, 3)
	s.isolate(s.entries[0].name, true)
	s.apply(s.leader(), document(1, "second"))
	s.runFor(500 * time.Millisecond)
	assert.Equal(t, s.status(2), controller.ApplyStatus(0))
	s.runFor(4 * time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
	assert.Assert(t, !s.entries[0].stateMachine.HoldsConfigLease(s.now))
}

func TestEntryLeavesPartitionedReplica(t *testing.T) {
	s := newReadySimulation(t, 3, 6)
	isolated := s.leader()
	// Only the links between replicas are cut: the entries can still reach the isolated one.
	for _, c := range s.replicas {
		if c != isolated {
			s.cutLinks[[2]string{isolated.name, c.name}] = true
			s.cutLinks[[2]string{c.name, isolated.name}] = true
		}
	}
	s.runFor(4 * time.Second)
	for _, e := range s.entries {
		assert.Assert(t, e.stateMachine.HoldsConfigLease(s.now), e.name)
		assert.Assert(t, e.connectedTo != isolated, e.name)
	}
	status := isolated.stateMachine.Status(s.now)
	assert.Assert(t, !status.InContactWithQuorum)
	s.apply(isolated, document(1, "lost"))
	s.runFor(9 * time.Second)
	assert.Assert(t, s.status(2) == controller.ApplyNotProposed || s.status(2) == controller.ApplyUnknown)
}

// TestEntryLeavesLaggingReplicaQuickly partitions two of five replicas from the others: entries
// that are connected to the minority move to the majority as soon as the partition is detected.
func TestEntryLeavesLaggingReplicaQuickly(t *testing.T) {
	s := newReadySimulation(t, 5, 10)
	minority := s.replicas[:2]
	for _, a := range minority {
		for _, b := range s.replicas[2:] {
			s.cutLinks[[2]string{a.name, b.name}] = true
			s.cutLinks[[2]string{b.name, a.name}] = true
		}
	}
	s.runFor(controller.QuorumTimeout + 700*time.Millisecond)
	for _, e := range s.entries {
		assert.Assert(t, e.connectedTo != minority[0] && e.connectedTo != minority[1], e.name)
	}
}

// TestWipedReplicaRejoinsUnknownLeader wipes the disk of a replica while both groups are led by
// one that is not in its settings. The leader learns of it through the seeds.
func TestWipedReplicaRejoinsUnknownLeader(t *testing.T) {
	s := newSeededSimulation(t, 5, 3, 1, 11)
	s.runFor(5 * time.Second)
	for s.leader() != s.replicas[4] {
		currentLeader := s.leader()
		if currentLeader != nil {
			s.crash(currentLeader)
		}
		s.runFor(3 * time.Second)
		if currentLeader != nil {
			s.start(currentLeader)
		}
		s.runFor(2 * time.Second)
	}
	wiped := s.replicas[0]
	s.crash(wiped)
	s.wipeDisk(wiped)
	s.start(wiped)
	s.runFor(4 * time.Second)
	status := s.replicas[4].stateMachine.Status(s.now)
	assert.Assert(t, isVoter(status.Members, wiped.id))
	assert.Equal(t, status.Members.Voters(), 5)
}

// TestEntriesFollowAnotherReplicaAfterCrash crashes the leader after another replica has failed:
// a change soon reaches every entry, also those that were connected to either of them.
func TestEntriesFollowAnotherReplicaAfterCrash(t *testing.T) {
	s := newReadySimulation(t, 5, 8)
	for _, c := range s.replicas[:2] {
		if c != s.leader() {
			s.crash(c)
		}
	}
	crashed := s.leader()
	s.crash(crashed)
	s.runFor(1500 * time.Millisecond)
	s.apply(s.leader(), document(1, "second"))
	s.runFor(1500 * time.Millisecond)
	for _, e := range s.entries {
		revision, _ := e.stateMachine.Revision()
		assert.Equal(t, revision, uint64(2), e.name)
	}
}

// announceToReplica sends an endpoint's announcement to a replica and returns whether it was
// accepted.
func (s *simulation) announceToReplica(c *replica, a registrar.Announcement) bool {
	s.lastRequest++
	before := len(s.accepted)
	s.handle(c, controller.Announce{Request: s.lastRequest, Announcement: a})
	s.runFor(time.Second)
	assert.Equal(s.t.(*testing.T), len(s.accepted), before+1)
	return s.accepted[before]
}

// TestAcknowledgedDepartureSurvivesRestart acknowledges the departure of an endpoint and then
// restarts all replicas at once: a late heartbeat must not make the endpoint serve again.
func TestAcknowledgedDepartureSurvivesRestart(t *testing.T) {
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "leaver"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	tests := []struct {
		name      string
		departure registrar.Announcement
	}{
		{"draining", registrar.Announcement{Name: a.Name, Address: a.Address, DataCentre: "dc", Slots: 4, State: registrar.StateDraining, Incarnation: 7, Sequence: 3}},
		{"deregistration without service and incarnation", registrar.Announcement{Name: registrar.Name{Endpoint: "leaver"}, State: registrar.StateDraining, Deregistered: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newReadySimulation(t, 5, 2)
			assert.Assert(t, s.announceToReplica(s.replicas[3], a))
			assert.Assert(t, s.announceToReplica(s.replicas[1], tt.departure))
			for _, c := range s.replicas {
				s.crash(c)
				s.start(c)
			}
			s.runFor(3 * time.Second)
			late := a
			late.Sequence = 2
			s.announceToReplica(s.replicas[2], late)
			for _, c := range s.replicas {
				for _, known := range c.stateMachine.Status(s.now).Endpoints {
					assert.Assert(t, known.Endpoint != "leaver" || known.Leaving(), c.name)
				}
			}
		})
	}
}

// TestDepartureWinsOverAnyAnnouncement guards against a departure that a replica drops since it has heard a
// later announcement of the same incarnation than the replica which took the departure: entries that follow it
// sent work until the lease ended.
func TestDepartureWinsOverAnyAnnouncement(t *testing.T) {
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "leaver"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	goodbye := registrar.Announcement{Name: registrar.Name{Endpoint: "leaver"}, State: registrar.StateDraining, Deregistered: true}
	named := goodbye
	named.Service, named.Incarnation = serviceName, 7
	draining := a
	draining.State = registrar.StateDraining
	tests := []struct {
		name      string
		departure registrar.Announcement
		// ahead is how many announcements the other replica has heard that this one has not.
		ahead uint64
	}{
		{"deregistration without a sequence", goodbye, 1},
		{"deregistration without a sequence, several announcements later", goodbye, 5},
		{"deregistration that names its incarnation", named, 1},
		{"draining with the sequence of an earlier announcement", draining, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newReadySimulation(t, 5, 5)
			assert.Assert(t, s.announceToReplica(s.replicas[3], a))
			s.runFor(2 * time.Second)
			for i := range tt.ahead {
				later := a
				later.Sequence += 1 + i
				s.handle(s.replicas[3], controller.Announce{Request: 7000 + i, Announcement: later})
			}
			assert.Assert(t, s.announceToReplica(s.replicas[1], tt.departure))
			for _, c := range s.replicas {
				for _, known := range c.stateMachine.Status(s.now).Endpoints {
					assert.Check(t, known.Endpoint != "leaver" || known.Leaving(), "%s still knows %+v", c.name, known)
				}
			}
			restarted := a
			restarted.Incarnation = 8
			assert.Assert(t, s.announceToReplica(s.replicas[2], restarted))
			s.announceToReplica(s.replicas[4], tt.departure) // an old departure, sent again
			if tt.departure.Incarnation != 7 {
				return // it names no incarnation, so it concerns the latest one
			}
			for _, c := range s.replicas {
				for _, known := range c.stateMachine.Status(s.now).Endpoints {
					assert.Check(t, known.Endpoint != "leaver" || !known.Leaving(), "%s takes an old departure for the new incarnation", c.name)
				}
			}
		})
	}
}

// missedChange lets an endpoint announce itself to an entry, and then change in a message that the other replicas
// miss. It returns the simulation some seconds after that, in which the endpoint renews its announcement.
func missedChange(t *testing.T, change func(registrar.Announcement) registrar.Announcement, renewals int) *simulation {
	t.Helper()
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "leaver"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	s := newReadySimulation(t, 3, 3)
	e := s.entries[0]
	told := e.connectedTo
	announce := func() {
		a.Sequence++
		s.handleEntry(e, subscriber.Announced{Announcement: a})
		s.runFor(2 * step)
	}
	announce()
	s.runFor(time.Second)
	for _, c := range s.replicas {
		s.cutLinks[[2]string{told.name, c.name}] = c != told
	}
	a = change(a)
	announce()
	clear(s.cutLinks)
	for range renewals {
		announce()
		s.runFor(time.Second)
	}
	s.runFor(3 * time.Second)
	return s
}

// checkDeparted checks that no replica knows the endpoint of missedChange as serving.
func (s *simulation) checkDeparted(t *testing.T) {
	t.Helper()
	for _, c := range s.replicas {
		for _, known := range c.stateMachine.Status(s.now).Endpoints {
			assert.Check(t, known.Endpoint != "leaver" || known.Leaving(), "%s still knows %+v", c.name, known)
		}
	}
}

// TestRenewalDoesNotHideAMissedChange guards against a replica that misses a change of an endpoint and takes a later
// renewal for one of what it knows: it then held the old state under the new sequence, so that the repair of its
// registry came too late, and its entries sent work to an endpoint that had left long before.
func TestRenewalDoesNotHideAMissedChange(t *testing.T) {
	s := missedChange(t, func(a registrar.Announcement) registrar.Announcement {
		a.State = registrar.StateDraining
		return a
	}, 5)
	s.checkDeparted(t)
}

// TestMissedDeregistrationIsRepaired guards against a replica that misses a deregistration and sends work to the
// endpoint until its lease ends, although the others see that its registry differs.
func TestMissedDeregistrationIsRepaired(t *testing.T) {
	s := missedChange(t, func(a registrar.Announcement) registrar.Announcement {
		a.Deregistered = true
		return a
	}, 0)
	s.checkDeparted(t)
}

// TestIsolatedReplicaAcceptsNoAnnouncement checks that an isolated replica accepts neither an
// announcement nor a departure, so that the endpoint turns to another one.
func TestIsolatedReplicaAcceptsNoAnnouncement(t *testing.T) {
	s := newReadySimulation(t, 3, 1)
	isolated := s.replicas[0]
	s.isolate(isolated.name, true)
	s.runFor(2 * time.Second)
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: "x"}, Address: "127.0.0.1:99", DataCentre: "dc", Slots: 4, Connections: 9,
		State: registrar.StateServing, Incarnation: 7, Sequence: 1,
	}
	assert.Assert(t, !s.announceToReplica(isolated, a))
	a.State = registrar.StateDraining
	assert.Assert(t, !s.announceToReplica(isolated, a))
	assert.Assert(t, s.announceToReplica(s.leader(), a))
}

func TestNewEntryIgnoresPartitionedReplica(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	behind := s.replicas[0]
	for _, c := range s.replicas[1:] {
		s.cutLinks[[2]string{behind.name, c.name}] = true
		s.cutLinks[[2]string{c.name, behind.name}] = true
	}
	s.runFor(5 * time.Second)
	s.apply(s.leader(), document(1, "second"))
	s.runFor(time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
	e := s.entries[0]
	s.crashEntry(e)
	s.startEntry(e)
	for _, c := range s.replicas[1:] {
		s.cutLinks[[2]string{e.name, c.name}] = true
	}
	s.runFor(5 * time.Second)
	assert.Equal(t, e.revision, uint64(0))
	assert.Assert(t, !e.stateMachine.HoldsConfigLease(s.now))
}

// crashAllAndRestart crashes all processes, then starts all entries and the first count
// replicas.
func (s *simulation) crashAllAndRestart(count int) {
	s.runFor(2 * time.Second) // until the stored state is on the disks
	for _, c := range s.replicas {
		s.crash(c)
	}
	for _, e := range s.entries {
		s.crashEntry(e)
	}
	s.runFor(time.Second)
	for _, c := range s.replicas[:count] {
		s.start(c)
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
}

// TestColdStartWithoutLeader crashes all processes and restarts two of five replicas, which can't
// elect a leader.
func TestColdStartWithoutLeader(t *testing.T) {
	tests := []struct {
		name         string
		coldStart    bool
		wantRevision uint64
	}{
		{"cold start allowed", true, 1},
		{"no cold start by default", false, 0},
	}
	for _, tt := range tests {
		s := newReadySimulation(t, 5, 4)
		s.coldStart = tt.coldStart
		s.crashAllAndRestart(2)
		for _, e := range s.entries {
			e.fullStates = 0
		}
		s.runFor(time.Second)
		assert.Assert(t, s.leader() == nil, tt.name)
		for _, e := range s.entries {
			assert.Equal(t, e.fullStates, int(tt.wantRevision), tt.name)
			assert.Equal(t, e.revision, tt.wantRevision, tt.name)
			assert.Assert(t, !e.stateMachine.HoldsConfigLease(s.now), tt.name)
		}
	}
}

// TestFullRestartSendsStateOnce restarts all processes. Entries that come back must get the full
// state only once, even while there is no leader yet, since it may pass over slow links.
func TestFullRestartSendsStateOnce(t *testing.T) {
	s := newReadySimulation(t, 5, 8)
	s.coldStart = true
	s.crashAllAndRestart(5)
	for _, e := range s.entries {
		e.fullStates = 0
	}
	s.runFor(3 * time.Second)
	for _, e := range s.entries {
		assert.Equal(t, e.fullStates, 1, e.name)
		assert.Assert(t, e.stateMachine.HoldsConfigLease(s.now), e.name)
	}
	s.apply(s.leader(), document(1, "second"))
	s.drainBackend(s.backends[0], s.entries[0])
	s.runFor(2 * time.Second)
	for _, e := range s.entries {
		assert.Equal(t, e.fullStates, 1, e.name)
		assert.Equal(t, e.revision, uint64(2), e.name)
	}
}

// TestRapidChangesAreCoalesced applies 20 changes, 60 ms apart, as an operator's script may.
// Entries must not be sent every one of them, but must soon have the last one.
func TestRapidChangesAreCoalesced(t *testing.T) {
	s := newReadySimulation(t, 5, 4)
	s.runFor(time.Second)
	for _, e := range s.entries {
		e.configMessages = 0
	}
	const changes = 20
	for i := range uint64(changes) {
		s.apply(s.leader(), document(1+i, fmt.Sprint("change-", i)))
		s.runFor(60 * time.Millisecond)
	}
	s.runFor(300 * time.Millisecond)
	for _, e := range s.entries {
		t.Logf("%s: %d of %d configurations", e.name, e.configMessages, changes)
		assert.Equal(t, e.revision, uint64(1+changes), e.name)
		assert.Assert(t, e.configMessages <= changes/2, e.name)
	}
}

// TestColdStartWindowEnds runs two replicas without a quorum for longer than the others need to
// start: their state may be far out of date by then, so an entry must not start with it.
func TestColdStartWindowEnds(t *testing.T) {
	s := newReadySimulation(t, 5, 1)
	s.coldStart = true
	s.crashAllAndRestart(2)
	s.crashEntry(s.entries[0])
	s.runFor(6 * time.Second)
	s.startEntry(s.entries[0])
	s.runFor(time.Second)
	assert.Equal(t, s.entries[0].revision, uint64(0))
}

func TestCrashAfterRepairLosesNothing(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	wiped := s.replicas[0]
	s.crash(wiped)
	s.wipeDisk(wiped)
	s.start(wiped)
	s.runFor(4 * time.Second)
	members := s.leader().stateMachine.Status(s.now).Members
	assert.Equal(t, members.Voters(), 3)
	second := s.leader()
	if second == wiped {
		second = s.replicas[1]
	}
	s.crash(second)
	s.runFor(6 * time.Second)
	s.apply(wiped, document(1, "after"))
	s.runFor(5 * time.Second)
	assert.Equal(t, s.status(2), controller.ApplyInEffect)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newReadySimulation(t, 3, 4)
	s.runFor(2 * time.Second)
	s.drainBackend(s.backends[0], s.entries[0])
	for range 600 {
		s.call(s.entries[s.rand.IntN(4)], "", time.Second)
		s.step()
	}
	assert.Assert(t, s.responses > 500)
}

func TestScheduledStopTakesEffectOnTime(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	s.runFor(2 * time.Second)
	at := s.now.Add(2 * time.Second)
	s.apply(s.leader(), document(1, "stop").WithStop(validator.Stop{Service: serviceName, Endpoint: "b1", At: at}))
	s.runFor(time.Second)
	assert.Equal(t, len(s.entries[0].balancer.Leaving()), 0)
	s.runFor(2 * time.Second)
	for _, e := range s.entries {
		leaving := e.balancer.Leaving()
		assert.Equal(t, len(leaving), 1)
		assert.Equal(t, leaving[0].Name.Endpoint, "b1")
	}
}

func TestStopOfLastEndpointIsRefused(t *testing.T) {
	s := newReadySimulation(t, 3, 1)
	s.runFor(2 * time.Second)
	doc := document(1, "stop-all")
	for _, b := range s.backends {
		doc = doc.WithStop(validator.Stop{Service: serviceName, Endpoint: b.name})
	}
	s.apply(s.leader(), doc)
	assert.Equal(t, s.status(2), controller.ApplyRefused)
	assert.Equal(t, len(s.applyReplies[1].Problems), 3)
}

func TestOnceOnlyCallRunsOnceOnAnyEntry(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	s.runFor(time.Second)
	s.call(s.entries[0], "pledge", time.Second)
	s.call(s.entries[1], "pledge", time.Second)
	s.runFor(time.Second)
	assert.Equal(t, s.responses, 1) // the simulation stores no responses, so the second call gets none
	assert.Equal(t, s.runsByKey["pledge"], 1)
	s.call(s.entries[1], "pledge", time.Second)
	s.runFor(time.Second)
	assert.Equal(t, s.runsByKey["pledge"], 1)
}

func TestSharesStayWithinBudget(t *testing.T) {
	s := newReadySimulation(t, 3, 5)
	s.runFor(20 * time.Second)
	held := 0
	for _, e := range s.entries {
		for _, g := range e.shareGrants {
			if g.Share.ProbeMicros > 0 && s.now.Before(g.Until) {
				held++
			}
		}
	}
	assert.Equal(t, held, 5)
	for range 6 {
		s.crash(s.leader())
		s.crashEntry(s.entries[s.rand.IntN(5)])
		s.runFor(7 * time.Second)
		s.heal()
		s.runFor(7 * time.Second)
	}
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "replicas"), 3, rapid.Uint64().Draw(rt, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss rate")
		s.coldStart = rapid.Bool().Draw(rt, "cold")
		s.runFor(4 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			s.injectFault(rt, i)
			s.runFor(time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * step)
		}
		s.heal()
		s.runFor(15 * time.Second)
		if s.leader() == nil {
			rt.Fatalf("no leader after the network healed")
		}
		revision, _ := s.leader().stateMachine.Document()
		s.apply(s.leader(), document(revision, "last"))
		s.runFor(8 * time.Second)
		if s.status(s.lastRequest) != controller.ApplyInEffect {
			rt.Fatalf("no change took effect after the network healed")
		}
	})
}

func (s *simulation) injectFault(rt *rapid.T, i int) {
	c := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "replica")]
	d := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "other")]
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(rt, "entry")]
	b := s.backends[rapid.IntRange(0, len(s.backends)-1).Draw(rt, "backend")]
	switch rapid.IntRange(0, 13).Draw(rt, "fault") {
	case 0, 1:
		revision, _ := c.stateMachine.Document()
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
		s.replaceDisk(c)
	case 6:
		s.cutLinks[[2]string{c.name, d.name}] = c != d && rapid.Bool().Draw(rt, "cut")
	case 7:
		s.isolate(c.name, rapid.Bool().Draw(rt, "isolated"))
	case 8:
		s.isolate(e.name, rapid.Bool().Draw(rt, "isolated"))
	case 9:
		s.crashEntry(e)
		s.startEntry(e)
	case 10, 11, 12:
		s.callEntries(rt)
	case 13:
		b.outcome = rapid.SampledFrom([]balancer.Ending{balancer.EndingComplete, balancer.EndingLost, balancer.EndingNotSent, balancer.EndingRefused}).Draw(rt, "outcome")
	}
}

// replaceDisk gives a replica an empty disk, but only if all replicas can vote: a group that
// loses the disks of two of its three replicas at once loses data in any case.
func (s *simulation) replaceDisk(c *replica) {
	currentLeader := s.leader()
	if currentLeader == nil || currentLeader == c {
		return
	}
	status := currentLeader.stateMachine.Status(s.now)
	for _, other := range s.replicas {
		if !isVoter(status.Members, other.id) || !isVoter(status.ClaimsMembers, other.id) {
			return
		}
	}
	s.crash(c)
	s.wipeDisk(c)
	s.start(c)
}

func isVoter(members replicator.Membership, id replicator.ID) bool {
	m, ok := members.Find(id)
	return ok && m.Voter
}

// callEntries sends calls to random entries. Keys are drawn from a small set, so that they
// repeat.
func (s *simulation) callEntries(rt *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(rt, "calls") {
		e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(rt, "at")]
		key := ""
		if rapid.Bool().Draw(rt, "once-only") {
			key = fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(rt, "key"))
		}
		s.call(e, key, time.Duration(rapid.IntRange(1, 200).Draw(rt, "timeout"))*step)
	}
	s.backends[0].state = registrar.StateServing
}

// TestIdleReplicasTickRarely counts the ticks of idle replicas. Ticks serve elections, heartbeats
// between replicas, presence messages and budget shares; their number must not grow with the
// number of entries.
func TestIdleReplicasTickRarely(t *testing.T) {
	s := newReadySimulation(t, 3, 20)
	s.runFor(3 * time.Second)
	before := make([]int, len(s.replicas))
	for i, c := range s.replicas {
		before[i] = c.ticks
	}
	const idleTime = 10 * time.Second
	s.runFor(idleTime)
	for i, c := range s.replicas {
		maxTicks := 5 * idleTime / time.Second // presence, shares, stored state, and the timers of two logs
		if c == s.leader() {
			maxTicks += idleTime / replicator.DefaultHeartbeatInterval // the heartbeats of both logs share a tick
		}
		got := c.ticks - before[i]
		assert.Assert(t, got <= int(maxTicks), "%s got %d ticks, want at most %d", c.name, got, maxTicks)
	}
}

// TestLargeInvalidDocumentIsRefused applies a document of 1,400 routes whose last route is
// invalid. It must be refused with that one problem, and nothing may be sent to entries or
// replicas.
func TestLargeInvalidDocumentIsRefused(t *testing.T) {
	const routes = 1400
	s := newReadySimulation(t, 3, 2)
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
	actions := s.leader().stateMachine.Handle(s.now, controller.Apply{Request: 77, Document: data})
	assert.Equal(t, len(actions), 1, "%v", actions)
	reply, ok := actions[0].(controller.ApplyReply)
	assert.Assert(t, ok, "%T", actions[0])
	assert.Equal(t, reply.Status, controller.ApplyRefused)
	assert.Equal(t, len(reply.Problems), 1, "%v", reply.Problems)
	assert.Assert(t, strings.Contains(reply.Problems[0].Path, fmt.Sprintf("routes[%d]", last)), "%v", reply.Problems[0])
}

// TestNewEndpointsAreCoalesced announces a hundred endpoints, 10 ms apart. An entry must get a
// few messages instead of a hundred, but a departure must reach it at once.
func TestNewEndpointsAreCoalesced(t *testing.T) {
	const endpoints = 100
	s := newReadySimulation(t, 3, 1)
	s.runFor(time.Second)
	e := s.entries[0]
	before := e.endpointMessages
	announcement := func(i int, state registrar.State, sequence uint64) registrar.Announcement {
		return registrar.Announcement{
			Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("late-", i)}, Address: fmt.Sprint("127.0.0.2:", 1+i), DataCentre: "dc",
			Slots: 4, Connections: 250, State: state, Incarnation: 1, Sequence: sequence,
		}
	}
	announce := func(i int) {
		s.handle(e.connectedTo, controller.Announce{Request: uint64(1000 + i), Announcement: announcement(i, registrar.StateServing, 1)})
	}
	for i := range endpoints {
		announce(i)
		s.runFor(step)
	}
	s.runFor(200 * time.Millisecond)
	got := e.endpointMessages - before
	maxMessages := int(endpoints*step/(100*time.Millisecond)) + 2
	assert.Assert(t, got > 0 && got <= maxMessages, "%d messages for %d endpoints, want 1 to %d", got, endpoints, maxMessages)

	announce(endpoints)
	s.runFor(2 * step)
	assert.Equal(t, e.endpointMessages-before, got, "a new endpoint is sent after a delay")
	s.handleEntry(e, subscriber.Announced{Announcement: announcement(0, registrar.StateDraining, 2)})
	s.runFor(4 * step) // to the replica and back
	assert.Equal(t, e.endpointMessages-before, got+1, "a departure is sent at once")
}

// TestManyConcurrentDepartures drains sixty endpoints at once, spread over all replicas: within a
// second, all departures must be acknowledged and known to every entry.
func TestManyConcurrentDepartures(t *testing.T) {
	const endpoints = 60
	s := newReadySimulation(t, 5, 20)
	announcement := func(i int, state registrar.State, sequence uint64) registrar.Announcement {
		return registrar.Announcement{
			Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("leaver-", i)}, Address: fmt.Sprint("127.0.0.3:", 1+i), DataCentre: "dc",
			Slots: 4, Connections: 250, State: state, Incarnation: 1, Sequence: sequence,
		}
	}
	for i := range endpoints {
		assert.Assert(t, s.announceToReplica(s.replicas[i%5], announcement(i, registrar.StateServing, 1)))
	}
	s.runFor(time.Second)
	before := len(s.accepted)
	for i := range endpoints {
		s.handle(s.replicas[i%5], controller.Announce{Request: uint64(5000 + i), Announcement: announcement(i, registrar.StateDraining, 2)})
	}
	s.runFor(time.Second)
	assert.Equal(t, len(s.accepted)-before, endpoints)
	for _, accepted := range s.accepted[before:] {
		assert.Assert(t, accepted)
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

// TestDisconnectedEntriesAreRemoved repeatedly closes the streams of entries, with and without
// configuration leases: in the end the replicas must know the connected entries and no others.
func TestDisconnectedEntriesAreRemoved(t *testing.T) {
	s := newReadySimulation(t, 3, 2)
	for range 20 {
		for _, e := range s.entries {
			s.closeStream(e)
		}
		s.runFor(20 * step)
	}
	s.isolate(s.replicas[2].name, true)
	for range 20 {
		for _, e := range s.entries {
			s.closeStream(e)
		}
		s.runFor(20 * step)
	}
	s.heal()
	s.runFor(5 * time.Second)
	known := 0
	for _, c := range s.replicas {
		known += len(c.stateMachine.Status(s.now).Entries)
	}
	assert.Equal(t, known, len(s.entries))
}
