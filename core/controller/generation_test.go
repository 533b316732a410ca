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

// onGeneration asserts that a number stands for one content only.
func (s *system) onGeneration(doc validator.Document, v controller.ApplyReply) {
	switch v.Status {
	case controller.ApplyInEffect, controller.ApplyNotInEffect:
		if content, ok := s.accepted[doc.Generation]; ok && content != doc.Entries {
			s.t.Fatalf("generation %d was accepted with two contents", doc.Generation)
		}
		s.accepted[doc.Generation] = doc.Entries
		s.acknowledged = max(s.acknowledged, doc.Generation)
	case controller.ApplySuperseded:
		s.acknowledged = max(s.acknowledged, doc.Generation)
	case controller.ApplyRefused:
		s.t.Fatalf("the valid document of generation %d was refused", doc.Generation)
	}
}

// onRead asserts that a confirmed read is not behind what was acknowledged before it.
func (s *system) onRead(v controller.DocumentReply) {
	if !v.Confirmed {
		return
	}
	if least := s.reads[v.Request]; v.Document.Generation < least {
		s.t.Fatalf("a read returned generation %d, and %d had been acknowledged", v.Document.Generation, least)
	}
	if content, ok := s.accepted[v.Document.Generation]; ok && content != v.Document.Entries {
		s.t.Fatalf("a read returned another content of generation %d", v.Document.Generation)
	}
}

func generation(number uint64, content int) validator.Document {
	doc := document(0, fmt.Sprint("r", number))
	doc.Generation = number
	doc.Entries = content
	return doc
}

func leaver(i int, state registrar.State, sequence uint64, gone bool) registrar.Announcement {
	return registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("leaver-", i)}, Address: fmt.Sprint("127.0.0.1:", 100+i),
		DataCentre: "dc", Slots: 4, Connections: 9, State: state, Incarnation: 7, Sequence: sequence, Deregistered: gone,
	}
}

// TestRandomGenerations sends documents by generation, reads and departures to replicas
// that crash, one or all at once, lose their disks and are cut off. Two of the five are
// no seeds.
func TestRandomGenerations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSeededSystem(rt, 5, 3, 2, rapid.Uint64().Draw(rt, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "loss")
		s.run(5 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			s.disturbGenerations(rt, i)
			s.run(time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * step)
		}
		s.heal()
		s.run(15 * time.Second)
		s.judgeGenerations(rt)
	})
}

func (s *system) disturbGenerations(rt *rapid.T, i int) {
	c := s.controls[rapid.IntRange(0, len(s.controls)-1).Draw(rt, "control")]
	d := s.controls[rapid.IntRange(0, len(s.controls)-1).Draw(rt, "other")]
	switch rapid.IntRange(0, 11).Draw(rt, "fault") {
	case 0, 1, 2:
		number := rapid.Uint64Range(1, uint64(2*i+2)).Draw(rt, "generation")
		s.apply(c, generation(number, rapid.IntRange(1, 2).Draw(rt, "content")))
	case 3:
		if c.up {
			s.lastRequest++
			s.reads[s.lastRequest] = s.acknowledged
			s.handle(c, controller.ReadDocument{Request: s.lastRequest})
		}
	case 4, 5:
		if c.up {
			s.lastRequest++
			a := leaver(rapid.IntRange(0, 3).Draw(rt, "leaver"), registrar.StateDraining, 5, rapid.Bool().Draw(rt, "gone"))
			s.leaving[s.lastRequest] = a
			s.handle(c, controller.Announce{Request: s.lastRequest, Announcement: a})
		}
	case 6:
		s.crash(c)
	case 7:
		if !c.up {
			s.start(c)
		}
	case 8:
		s.replace(c)
	case 9:
		s.cut[[2]string{c.name, d.name}] = c != d && rapid.Bool().Draw(rt, "cut")
	case 10:
		s.isolate(c.name, rapid.Bool().Draw(rt, "on"))
	case 11:
		for _, c := range s.controls {
			s.crash(c)
			s.start(c)
		}
	}
}

// lastGeneration is above all that the random steps send.
const lastGeneration = 1000

// judgeGenerations asserts, once all is healed, that nothing acknowledged is gone.
func (s *system) judgeGenerations(rt *rapid.T) {
	lead := s.leader()
	if lead == nil {
		rt.Fatalf("no leader after the network healed")
	}
	s.apply(lead, generation(lastGeneration, 1))
	for i := range 4 {
		s.lastRequest++
		s.handle(lead, controller.Announce{Request: s.lastRequest, Announcement: leaver(i, registrar.StateServing, 4, false)})
	}
	s.run(8 * time.Second)
	if s.acknowledged != lastGeneration {
		rt.Fatalf("no document is acknowledged after the network healed")
	}
	for _, c := range s.controls {
		_, doc := c.machine.Document()
		if doc.Generation < s.acknowledged {
			rt.Fatalf("%s holds generation %d, and %d was acknowledged", c.name, doc.Generation, s.acknowledged)
		}
		for _, known := range c.machine.Status(s.now).Endpoints {
			for _, left := range s.departed {
				if known.Name == left.Name && !known.Leaving() {
					rt.Fatalf("%s forgot that %s leaves", c.name, known.Endpoint)
				}
			}
		}
	}
}
