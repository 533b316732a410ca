package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
)

const (
	// leadWithFullDisk is how long a leader whose disk takes nothing may stay the only one: its lead and an election.
	leadWithFullDisk = 3 * time.Second
	// changeWithin is how long a change may take that is sent after all disks have room.
	changeWithin = 2 * time.Second
)

// fill lets the disk of a replica take nothing for a while. The driver tries again each second.
func (s *simulation) fill(c *replica, d time.Duration) { c.diskUntil = s.now.Add(d + time.Second) }

// TestFullDisksInTurnLeaveNothingBehind guards against changes that are refused or unanswered after the disks of all replicas
// were full one after the other: in every order, while changes are sent.
func TestFullDisksInTurnLeaveNothingBehind(t *testing.T) {
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}, {0, 1, 0}, {1, 1, 1}}
	for _, order := range orders {
		for _, full := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint(order, full), func(t *testing.T) {
				s := newReadySimulation(t, 3, 3)
				generation := uint64(0)
				for _, i := range order {
					c := s.replicas[i]
					s.fill(c, full)
					for end := c.diskUntil; s.now.Before(end); {
						generation++
						s.apply(s.replicas[generation%3], documentWithGeneration(generation, int(generation)))
						s.runFor(200 * time.Millisecond)
					}
				}
				for _, c := range s.replicas {
					generation++
					s.apply(c, documentWithGeneration(generation, int(generation)))
					s.runFor(changeWithin)
					assert.Equal(t, s.acknowledged, generation, "sent to %s", c.name)
				}
			})
		}
	}
}

// TestChangesGoOnBesideAFullDisk guards against a leader that keeps its lead with a disk that takes nothing.
func TestChangesGoOnBesideAFullDisk(t *testing.T) {
	s := newReadySimulation(t, 3, 3)
	full := s.leader()
	s.fill(full, time.Minute)
	others := s.without(full)
	s.apply(full, documentWithGeneration(1, 1)) // it waits for the disk
	s.runFor(leadWithFullDisk)
	for generation := uint64(2); generation < 12; generation++ {
		s.apply(others[generation%2], documentWithGeneration(generation, int(generation)))
		s.runFor(changeWithin)
		assert.Equal(t, s.acknowledged, generation)
	}
	assert.Assert(t, s.leader() != full)
	s.runFor(time.Minute)
	_, doc := full.stateMachine.Document()
	assert.Equal(t, doc.Generation, uint64(11))
}

// TestRandomFullDisks fills one disk after the other for random times, with orders to evacuate, departures' replicas that
// restart, and changes in between.
func TestRandomFullDisks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "replicas"), 2, rapid.Uint64().Draw(rt, "seed"))
		s.placeBackends()
		s.runFor(5 * time.Second)
		generation := uint64(1)
		s.apply(s.leader(), documentWithGeneration(generation, 1))
		s.runFor(2 * time.Second)
		for range rapid.IntRange(2, 6).Draw(rt, "disks") {
			c := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "full")]
			s.fill(c, time.Duration(rapid.IntRange(1, 600).Draw(rt, "steps"))*step)
			for s.now.Before(c.diskUntil) {
				to := s.replicas[rapid.IntRange(0, len(s.replicas)-1).Draw(rt, "to")]
				switch rapid.IntRange(0, 4).Draw(rt, "event") {
				case 0, 1:
					generation++
					s.apply(to, documentWithGeneration(generation, int(generation)))
				case 2:
					s.orderSince(to, rapid.Bool().Draw(rt, "active"), s.now)
				case 3:
					if to == c && rapid.Bool().Draw(rt, "restart") {
						s.crash(to)
						s.start(to)
					}
				}
				s.runFor(time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause")) * step)
			}
		}
		s.runFor(2 * time.Second)
		for _, c := range s.replicas {
			generation++
			s.apply(c, documentWithGeneration(generation, int(generation)))
			s.runFor(changeWithin)
			if s.acknowledged != generation {
				rt.Fatalf("generation %d, sent to %s after all disks have room, isn't confirmed", generation, c.name)
			}
			request := s.orderSince(c, generation%2 == 0, s.now)
			s.runFor(changeWithin)
			if status := s.evacuationStatus(request); status != controller.ApplyInEffect && status != controller.ApplyNotInEffect {
				rt.Fatalf("an order, sent to %s after all disks have room, got status %d", c.name, status)
			}
		}
	})
}
