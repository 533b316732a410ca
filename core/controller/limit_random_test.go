package controller_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/registrar"
)

// limitHistory is a random history of a system whose endpoints name limits.
type limitHistory struct {
	*simulation
	t    *rapid.T
	load traffic
	// cut and frozen are the entries that are cut off or frozen.
	cut, frozen []*simEntry
	// lastWipe is when a replica last lost its disk. Another one may only after it is whole again.
	lastWipe time.Time
}

// TestRandomLimitsHold plays limits that come, change and go together with restarts, freezes, cuts
// and lost disks. It guards against a limit that holds only while nothing else happens.
func TestRandomLimitsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 24).Draw(rt, "entries")
		backends := rapid.IntRange(3, 8).Draw(rt, "backends")
		var opts []balancer.Option
		if rapid.Bool().Draw(rt, "sampling") {
			opts = append(opts, sampling)
		}
		s := startLimited(rt, entries, backends, rapid.Uint64().Draw(rt, "seed"), opts...)
		pick := []func(*simulation) *simEntry{throughAll, throughOne, moving}[rapid.IntRange(0, 2).Draw(rt, "traffic")]
		h := &limitHistory{simulation: s, t: rt, load: traffic{rapid.Float64Range(5, 150).Draw(rt, "calls a second"), pick}}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			h.event()
			s.runTraffic(time.Duration(rapid.IntRange(10, 1500).Draw(rt, "ms"))*time.Millisecond, h.load)
		}
		h.restore()
		s.runTraffic(5*time.Second, h.load)
		for _, b := range s.backends {
			s.checkLimit(b)
		}
	})
}

func (h *limitHistory) drawBackend() *backend {
	return h.backends[rapid.IntRange(0, len(h.backends)-1).Draw(h.t, "backend")]
}

func (h *limitHistory) drawEntry() *simEntry {
	return h.entries[rapid.IntRange(0, len(h.entries)-1).Draw(h.t, "entry")]
}

func (h *limitHistory) event() {
	switch rapid.IntRange(0, 12).Draw(h.t, "event") {
	case 0, 1, 2, 3:
		h.changeLimit()
	case 4:
		h.restartBackend(h.drawBackend())
	case 5:
		e := h.drawEntry()
		if e.up {
			h.crashEntry(e)
			h.startEntry(e)
		}
	case 6:
		h.freeze(h.drawEntry())
	case 7:
		h.cutEntry(h.drawEntry())
	case 8, 9:
		h.restore()
	case 10:
		if c := h.leader(); c != nil && h.now.Sub(h.lastWipe) > 5*time.Second {
			h.crash(c)
		}
	case 11:
		if c := h.replicas[rapid.IntRange(0, len(h.replicas)-1).Draw(h.t, "replica")]; c.up && h.allUp() && h.lossRate == 0 && h.now.Sub(h.lastWipe) > 5*time.Second {
			h.lastWipe = h.now
			h.crash(c)
			h.wipeDisk(c)
			h.start(c)
		}
	case 12:
		h.lossRate = rapid.Float64Range(0, 0.1).Draw(h.t, "loss")
	}
}

// allUp reports whether all replicas are running.
func (h *limitHistory) allUp() bool {
	return !slices.ContainsFunc(h.replicas, func(c *replica) bool { return !c.up })
}

func (h *limitHistory) changeLimit() {
	b := h.drawBackend()
	rate := rapid.SampledFrom([]float64{0, 0.05, 0.5, 1, 2.6, 3.5, 10, 40}).Draw(h.t, "rate")
	b.limits = append(b.limits, limitChange{h.now, rate})
}

// restartBackend starts a backend again under its name. It names no limit and knows of none.
func (h *limitHistory) restartBackend(b *backend) {
	b.incarnation++
	b.sequence = 0
	b.limits = append(b.limits, limitChange{h.now, 0})
	for _, e := range h.entries {
		e.pass(h.now, b)
	}
	h.announce(b, h.drawEntry())
}

func (h *limitHistory) freeze(e *simEntry) {
	e.frozen = true
	h.frozen = append(h.frozen, e)
}

func (h *limitHistory) cutEntry(e *simEntry) {
	for _, c := range h.replicas {
		h.cutLinks[[2]string{e.name, c.name}] = true
		h.cutLinks[[2]string{c.name, e.name}] = true
	}
	h.cut = append(h.cut, e)
}

// restore starts, wakes and reconnects everything.
func (h *limitHistory) restore() {
	for _, e := range append(h.cut, h.frozen...) {
		e.frozen = false
		e.disruptedAt = h.now
	}
	h.cut, h.frozen = nil, nil
	h.heal()
}

// TestReplacedEndpointHasNoLimit guards against a limit that outlives the endpoint that named it:
// one that takes its address, or is started again under its name.
func TestReplacedEndpointHasNoLimit(t *testing.T) {
	tests := []struct {
		name    string
		replace func(h *limitHistory)
	}{
		{"started again under its name", func(h *limitHistory) {
			b := h.backends[0]
			b.incarnation++
			b.limits = append(b.limits, limitChange{h.now, 0})
			h.announce(b, h.entries[0])
		}},
		{"replaced at its address", func(h *limitHistory) {
			old := h.backends[0]
			old.state = registrar.StateDraining
			h.announce(old, h.entries[0])
			h.addBackend("b99")
			h.backends = h.backends[1:]
			h.backends = append(h.backends, old)
			h.announceAll()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &limitHistory{simulation: startLimited(t, 17, 4, 1)}
			load := traffic{60, throughAll}
			h.nameLimit(0.5, 1)
			h.runTraffic(5*time.Second, load)
			tt.replace(h)
			h.runTraffic(12*time.Second, load) // longer than endpoints warm up
			from := h.now
			h.runTraffic(5*time.Second, load)
			for _, b := range h.backends {
				if b.state == registrar.StateDraining {
					continue
				}
				late := 0
				for _, a := range b.arrivals {
					if a.at.After(from) {
						late++
					}
				}
				if late < 20 {
					t.Fatalf("%s got %d requests in 5 s after the replacement, of %d", b.name, late, len(b.arrivals))
				}
			}
		})
	}
}
