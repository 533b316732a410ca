package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/pauser"
)

// The rules that these tests check: an entry that has passed on that an endpoint leaves sends it nothing later; and an
// endpoint that has asked an entry for a pause gets at most requestsInAPause from it between pauseNotice after that and
// the pause's end. A restart or a freeze of the entry excuses it.
const (
	pauseNotice      = 500 * time.Millisecond
	requestsInAPause = 2
)

// wish is what a backend says about new requests.
type wish struct {
	leaving bool
	// pause is asked for with a share of the requests, which are refused.
	pause time.Duration
	share float64
}

// heardWishes holds what the incarnations of backends have said to a start of an entry.
type heardWishes struct {
	leaving []incarnationOf
	pauses  []heardPause
}

// incarnationOf names one incarnation of a backend.
type incarnationOf struct {
	backend     string
	incarnation uint64
}

type heardPause struct {
	incarnationOf
	from, until time.Time
	requests    int
}

func (h *heardWishes) note(now time.Time, backend string, incarnation uint64, r balancer.Report) {
	of := incarnationOf{backend, incarnation}
	if r.Leaving {
		h.leaving = append(h.leaving, of)
	}
	if r.Pause.For > 0 {
		h.pauses = append(h.pauses, heardPause{incarnationOf: of, from: now, until: now.Add(r.Pause.For)})
	}
}

// learn notes the incarnations that the entry knows.
func (e *simEntry) learn(endpoints []balancer.Endpoint) {
	for _, announced := range endpoints {
		e.known[announced.Endpoint] = announced.Incarnation
	}
}

func pauseOf(d time.Duration) pauser.Pause {
	if d == 0 {
		return pauser.Pause{}
	}
	return pauser.Pause{Kind: pauser.Asked, For: d}
}

func (s *simulation) drawPause(b *backend) time.Duration {
	if b.wish.pause > 0 && s.rand.Float64() < b.wish.share {
		return b.wish.pause
	}
	return 0
}

// checkWishes checks that an entry may send a request to a backend now.
func (s *simulation) checkWishes(e *simEntry, b *backend) {
	of := incarnationOf{b.name, b.incarnation}
	for _, l := range e.heard.leaving {
		if l == of {
			s.t.Fatalf("%s sends a request to %s incarnation %d, which has told it that it leaves", e.name, of.backend, of.incarnation)
		}
	}
	for i := range e.heard.pauses {
		p := &e.heard.pauses[i]
		if p.incarnationOf != of || s.now.Before(p.from.Add(pauseNotice)) || !s.now.Before(p.until) || s.isExcused(e) {
			continue
		}
		p.requests++
		if p.requests > requestsInAPause {
			s.t.Fatalf("%s sends %d requests to %s incarnation %d in the pause of %s that it has asked for", e.name, p.requests, of.backend, of.incarnation, p.until.Sub(p.from))
		}
	}
}

// wishHistory is a random history of a system whose endpoints leave and ask for pauses, besides naming limits.
type wishHistory struct{ limitHistory }

// event lets an endpoint say something, or something else happen.
func (h *wishHistory) event(i int) {
	b := h.drawBackend()
	switch rapid.IntRange(0, 7).Draw(h.t, "wish") {
	case 0:
		b.wish.leaving = true
	case 1, 2:
		b.wish.pause = time.Duration(rapid.SampledFrom([]int{300, 900, 2500, 6000}).Draw(h.t, "pause")) * time.Millisecond
		b.wish.share = rapid.SampledFrom([]float64{0.05, 0.3, 1}).Draw(h.t, "share")
	case 3:
		b.wish.pause = 0
	case 4:
		b.wish = wish{}
		h.restartBackend(b)
	case 5:
		h.announce(b, h.drawEntry()) // whatever it says in its responses
	case 6:
		if currentLeader := h.leader(); currentLeader != nil {
			revision, _ := currentLeader.stateMachine.Document()
			h.apply(currentLeader, document(revision, fmt.Sprint("change-", i)))
		}
	default:
		h.limitHistory.event()
	}
}

// TestRandomStatementsHold guards against an endpoint that gets work although it has said that it leaves or wants a
// pause, since an announcement, a document, a restart, a freeze, a cut or a limit came between.
func TestRandomStatementsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var opts []balancer.Option
		if rapid.Bool().Draw(rt, "sampling") {
			opts = append(opts, sampling)
		}
		s := startLimited(rt, rapid.IntRange(1, 17).Draw(rt, "entries"), rapid.IntRange(2, 6).Draw(rt, "backends"), rapid.Uint64().Draw(rt, "seed"), opts...)
		pick := []func(*simulation) *simEntry{throughAll, throughOne, moving}[rapid.IntRange(0, 2).Draw(rt, "traffic")]
		h := &wishHistory{limitHistory{simulation: s, t: rt, load: traffic{rapid.Float64Range(5, 150).Draw(rt, "calls a second"), pick}}}
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			h.event(i)
			s.runTraffic(time.Duration(rapid.IntRange(10, 1200).Draw(rt, "ms"))*time.Millisecond, h.load)
		}
		h.restore()
		s.runTraffic(5*time.Second, h.load)
	})
}

// statementSizes are the systems in which statements are played.
var statementSizes = []struct {
	entries, backends int
	perSecond         float64
}{
	{17, 13, 112},
	{106, 24, 300},
	{313, 48, 530},
}

// TestLeavingEndpointIsLeftByAllEntries guards against work at an endpoint that has said to each entry that it leaves,
// while it goes on to announce itself, also while the entries are cut off from control.
func TestLeavingEndpointIsLeftByAllEntries(t *testing.T) {
	for _, size := range statementSizes {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d entries, cut off %t", size.entries, cut), func(t *testing.T) {
				s := startLimited(t, size.entries, size.backends, 1, sampling, balancer.WithOptionalConfigLease())
				load := traffic{size.perSecond, throughAll}
				s.runTraffic(2*time.Second, load)
				if cut {
					for _, c := range s.replicas {
						s.isolate(c.name, true)
					}
				}
				s.backends[0].wish.leaving = true
				s.runTraffic(20*time.Second, load) // checkWishes judges each request
				told := 0
				for _, e := range s.entries {
					told += len(e.heard.leaving)
				}
				assert.Assert(t, told > 0)
			})
		}
	}
}

// TestReturnAfterAPauseIsSpread guards against entries that all return to an endpoint at once when the pause ends that
// it has asked each of them for: it must never get more requests within the time that one takes than it has slots.
func TestReturnAfterAPauseIsSpread(t *testing.T) {
	const pause = 3 * time.Second
	for _, size := range statementSizes {
		for _, pausing := range []int{1, size.backends} {
			t.Run(fmt.Sprintf("%d entries, %d of %d endpoints", size.entries, pausing, size.backends), func(t *testing.T) {
				s := startLimited(t, size.entries, size.backends, 1, sampling)
				load := traffic{size.perSecond, throughAll}
				s.runTraffic(12*time.Second, load) // until the endpoints are warm
				for _, b := range s.backends[:pausing] {
					b.wish = wish{pause: pause, share: 1}
				}
				s.runTraffic(pause, load)
				from := s.now
				for _, b := range s.backends[:pausing] {
					b.wish = wish{}
				}
				s.runTraffic(3*pause, load)
				most, returned := 0, 0
				for _, b := range s.backends[:pausing] {
					most = max(most, b.mostIn(from, serviceTime))
					returned += len(b.arrivals) - b.arrivalsBefore(from)
				}
				t.Logf("most requests at once %d, %d in all", most, returned)
				assert.Assert(t, most <= slotsOfBackend && returned > 0, "%d requests at once, %d in all", most, returned)
			})
		}
	}
}

const (
	// slotsOfBackend is the number of slots that the backends of the simulation announce.
	slotsOfBackend = 4
	// serviceTime is how long a request takes at a backend of the simulation.
	serviceTime = 3 * step
)

func (b *backend) arrivalsBefore(at time.Time) int {
	n := 0
	for n < len(b.arrivals) && b.arrivals[n].at.Before(at) {
		n++
	}
	return n
}

// running returns the number of requests that a backend is working on.
func (b *backend) running(now time.Time) int {
	n := 0
	for n < len(b.arrivals) && now.Sub(b.arrivals[len(b.arrivals)-1-n].at) < serviceTime {
		n++
	}
	return n
}
