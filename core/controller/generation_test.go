package controller_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// checkGenerationReply checks that no generation is accepted with two contents, and that no valid
// document is refused.
func (s *simulation) checkGenerationReply(doc validator.Document, v controller.ApplyReply) {
	switch v.Status {
	case controller.ApplyInEffect, controller.ApplyNotInEffect:
		if content, ok := s.acceptedEntries[doc.Generation]; ok && content != doc.Entries {
			s.t.Fatalf("generation %d was accepted with two contents", doc.Generation)
		}
		s.acceptedEntries[doc.Generation] = doc.Entries
		s.acknowledged = max(s.acknowledged, doc.Generation)
	case controller.ApplySuperseded:
		s.acknowledged = max(s.acknowledged, doc.Generation)
	case controller.ApplyRefused:
		s.t.Fatalf("the valid document of generation %d was refused", doc.Generation)
	}
}

// checkRead checks that a confirmed read includes everything that had been acknowledged before
// the read started.
func (s *simulation) checkRead(v controller.DocumentReply) {
	if !v.Confirmed {
		return
	}
	if minimum := s.readMinimums[v.Request]; v.Document.Generation < minimum {
		s.t.Fatalf("a read returned generation %d after generation %d had been acknowledged", v.Document.Generation, minimum)
	}
	if content, ok := s.acceptedEntries[v.Document.Generation]; ok && content != v.Document.Entries {
		s.t.Fatalf("a read returned generation %d with a different content", v.Document.Generation)
	}
}

func documentWithGeneration(generation uint64, entries int) validator.Document {
	doc := document(0, fmt.Sprint("r", generation))
	doc.Generation = generation
	doc.Entries = entries
	return doc
}

func leaverAnnouncement(i int, state registrar.State, sequence uint64, deregistered bool) registrar.Announcement {
	return registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("leaver-", i)}, Address: fmt.Sprint("127.0.0.1:", 100+i),
		DataCentre: "dc", Slots: 4, Connections: 9, State: state, Incarnation: 7, Sequence: sequence, Deregistered: deregistered,
	}
}

// TestRandomGenerations sends documents with generations, reads and departures to replicas that
// crash, alone or all at once, lose their disks and are partitioned. Two of the five replicas are
// not seeds.
func TestRandomGenerations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSeededSimulation(rt, 5, 3, 2, rapid.Uint64().Draw(rt, "seed"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss rate")
		s.runFor(5 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			s.injectGenerationFault(rt, i)
			s.runFor(time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * step)
		}
		s.heal()
		s.runFor(15 * time.Second)
		s.checkGenerations(rt)
	})
}

func (s *simulation) injectGenerationFault(rt *rapid.T, i int) {
	c := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "replica")]
	d := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "other")]
	switch rapid.IntRange(0, 11).Draw(rt, "fault") {
	case 0, 1, 2:
		generation := rapid.Uint64Range(1, uint64(2*i+2)).Draw(rt, "generation")
		s.apply(c, documentWithGeneration(generation, rapid.IntRange(1, 2).Draw(rt, "content")))
	case 3:
		if c.up {
			s.lastRequest++
			s.readMinimums[s.lastRequest] = s.acknowledged
			s.handle(c, controller.ReadDocument{Request: s.lastRequest})
		}
	case 4, 5:
		if c.up {
			s.lastRequest++
			a := leaverAnnouncement(rapid.IntRange(0, 3).Draw(rt, "leaver"), registrar.StateDraining, 5, rapid.Bool().Draw(rt, "deregistered"))
			s.pendingDepartures[s.lastRequest] = a
			s.handle(c, controller.Announce{Request: s.lastRequest, Announcement: a})
		}
	case 6:
		s.crash(c)
	case 7:
		if !c.up {
			s.start(c)
		}
	case 8:
		s.replaceDisk(c)
	case 9:
		s.cutLinks[[2]string{c.name, d.name}] = c != d && rapid.Bool().Draw(rt, "cut")
	case 10:
		s.isolate(c.name, rapid.Bool().Draw(rt, "isolated"))
	case 11:
		for _, c := range s.replicas {
			s.crash(c)
			s.start(c)
		}
	}
}

// lastGeneration is higher than any generation that the random steps use.
const lastGeneration = 1000

// checkGenerations checks, after all faults have been repaired, that nothing acknowledged was
// lost.
func (s *simulation) checkGenerations(rt *rapid.T) {
	currentLeader := s.leader()
	if currentLeader == nil {
		rt.Fatalf("no leader after the network healed")
	}
	s.apply(currentLeader, documentWithGeneration(lastGeneration, 1))
	for i := range 4 {
		s.lastRequest++
		s.handle(currentLeader, controller.Announce{Request: s.lastRequest, Announcement: leaverAnnouncement(i, registrar.StateServing, 4, false)})
	}
	s.runFor(8 * time.Second)
	if s.acknowledged != lastGeneration {
		rt.Fatalf("the last document was not acknowledged after the network healed")
	}
	for _, c := range s.replicas {
		_, doc := c.stateMachine.Document()
		if doc.Generation < s.acknowledged {
			rt.Fatalf("%s has generation %d, but generation %d was acknowledged", c.name, doc.Generation, s.acknowledged)
		}
		for _, known := range c.stateMachine.Status(s.now).Endpoints {
			for _, departed := range s.acknowledgedDepartures {
				if known.Name == departed.Name && !known.Leaving() {
					rt.Fatalf("%s lost the departure of %s", c.name, known.Endpoint)
				}
			}
		}
	}
}
