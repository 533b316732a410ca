package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/fencer"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/validator"
)

// revokeBound is how long after the confirmation of a document that removes a key requests may still run by it.
const revokeBound = 5 * time.Second

// keysOf returns the keys of all workspaces.
func keysOf(doc validator.Document) []string {
	var keys []string
	for _, w := range doc.Workspaces {
		keys = append(keys, w.Keys...)
	}
	return keys
}

// acceptedKeys are the keys of a document, and when the first replica had accepted it.
type acceptedKeys struct {
	at   time.Time
	keys []string
}

// revocations is a random history of documents with keys, of calls with these keys, and of faults.
type revocations struct {
	*simulation
	// rt draws the random histories.
	rt *rapid.T
	// accepted lists the documents in the order of their revisions.
	accepted []acceptedKeys
	// sent holds when callers have sent their calls, and by which key.
	sent map[string]sentCall
	// ran and refused count the calls.
	ran, refused int
	// asleep holds when entries and replicas were frozen, and suspendedClock those of them whose clock stands still.
	asleep         map[string]time.Time
	suspendedClock map[string]bool
	lastWipe       time.Time
}

type sentCall struct {
	at  time.Time
	key string
}

func newRevocations(t fatalReporter, replicas, entries int, seed uint64) *revocations {
	s := newSimulation(t, replicas, entries, seed)
	s.keyLease = fencer.Duration(revokeBound, controller.QuorumTimeout)
	s.balancerOptions = []balancer.Option{balancer.WithOptionalConfigLease()}
	for _, e := range s.entries {
		s.crashEntry(e)
		s.startEntry(e)
	}
	h := &revocations{simulation: s, sent: map[string]sentCall{}, asleep: map[string]time.Time{}, suspendedClock: map[string]bool{}}
	s.onDispatch = h.checkRun
	s.onGrant = h.checkGrant
	return h
}

// run lets time pass, and notes which documents replicas have accepted meanwhile.
func (h *revocations) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.step()
		for _, c := range h.replicas {
			if !c.up {
				continue
			}
			revision, doc := c.stateMachine.Document()
			for uint64(len(h.accepted)) < revision {
				h.accepted = append(h.accepted, acceptedKeys{h.now, keysOf(doc)})
			}
		}
	}
}

// checkRun fails if the key of a call was in no document that was the newest one at some time since the bound before
// its caller sent it.
func (h *revocations) checkRun(e *simEntry, d balancer.Dispatch) {
	call, ok := h.sent[e.calls[d.Call]]
	if !ok {
		return
	}
	h.ran++
	for i, a := range h.accepted {
		ended := i+1 < len(h.accepted) && h.accepted[i+1].at.Before(call.at.Add(-revokeBound))
		if !ended && slices.Contains(a.keys, call.key) {
			return
		}
	}
	if slices.Contains(e.knownKeys, call.key) && e.revision == uint64(len(h.accepted)+1) {
		return // accepted in this very step
	}
	h.t.Fatalf("%s runs %s at %s by key %s, which was sent at %s; documents: %v; it knows revision %d", e.name, e.calls[d.Call],
		h.now.Format("05.000"), call.key, call.at.Format("05.000"), h.accepted, e.revision)
}

// checkGrant fails if a replica grants a configuration lease and does not know a document that another one had accepted
// before the oldest contact with a quorum that allows it to.
func (h *revocations) checkGrant(c *replica) {
	revision, _ := c.stateMachine.Document()
	if revision >= uint64(len(h.accepted)) {
		return
	}
	if missing := h.accepted[revision]; h.now.Sub(missing.at) > controller.QuorumTimeout {
		h.t.Fatalf("%s grants a lease at revision %d, and the next one was accepted %s ago", c.name, revision, h.now.Sub(missing.at))
	}
}

// send lets a caller send a call, which an entry reads once it is awake.
func (h *revocations) send(e *simEntry, key string, execution router.Execution, timeout time.Duration) {
	h.lastCall++
	name := fmt.Sprint("call-", h.lastCall)
	h.sent[name] = sentCall{h.now, key}
	starts := e.starts
	h.inFlight = append(h.inFlight, delivery{at: h.now.Add(step), from: "caller", to: e.name, do: func() {
		if e.up && e.starts == starts {
			h.serve(e, name, key, balancer.Call{Execution: execution, Deadline: h.clock(e.suspended).Add(timeout)})
		}
	}})
}

// serve decides on a call as the dispatcher does.
func (h *revocations) serve(e *simEntry, name, key string, c balancer.Call) {
	now := h.clock(e.suspended)
	e.fence = e.fence.Observed(now, e.suspended)
	if !now.Before(e.fence.Until()) || !slices.Contains(e.knownKeys, key) {
		h.refused++
		return
	}
	e.lastCall++
	c.ID, c.Request, c.Class, c.NeedsKeyLease = e.lastCall, name, validator.ClassInteractive, true
	e.calls[c.ID] = name
	e.idempotencyKeys[c.ID] = ""
	h.handleBalancer(e, balancer.CallArrived{Call: c})
}

// changeKeys applies a document with other keys at some replica.
func (h *revocations) changeKeys(i int) {
	c := h.replicas[rapid.IntRange(0, len(h.replicas)-1).Draw(h.rt, "replica")]
	if !c.up || c.frozen {
		return
	}
	revision, _ := c.stateMachine.Document()
	doc := document(revision, fmt.Sprint("keys-", i))
	keys := []string{"permanent"}
	for k := range 3 {
		if rapid.Bool().Draw(h.rt, "kept") {
			keys = append(keys, fmt.Sprint("key-", k))
		}
	}
	doc.Workspaces = []validator.Workspace{{Name: "alder", Keys: keys}}
	h.apply(c, doc)
}

func (h *revocations) callEntries() {
	for range rapid.IntRange(1, 6).Draw(h.rt, "calls") {
		e := h.entries[rapid.IntRange(0, len(h.entries)-1).Draw(h.rt, "at")]
		execution := rapid.SampledFrom([]router.Execution{router.Repeatable, router.SingleAttempt}).Draw(h.rt, "execution")
		timeout := time.Duration(rapid.IntRange(1, 1200).Draw(h.rt, "timeout")) * step
		h.send(e, fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(h.rt, "key")), execution, timeout)
	}
}

// sleep freezes entries and replicas, also several together, as those of one machine.
func (h *revocations) sleep() {
	suspended := rapid.Bool().Draw(h.rt, "suspended")
	for range rapid.IntRange(1, 3).Draw(h.rt, "processes") {
		if rapid.Bool().Draw(h.rt, "entry") {
			e := h.entries[rapid.IntRange(0, len(h.entries)-1).Draw(h.rt, "frozen entry")]
			if e.up && !e.frozen {
				e.frozen = true
				h.asleep[e.name], h.suspendedClock[e.name] = h.now, suspended
			}
			continue
		}
		c := h.replicas[rapid.IntRange(0, len(h.replicas)-1).Draw(h.rt, "frozen replica")]
		if c.up && !c.frozen {
			c.frozen = true
			h.asleep[c.name], h.suspendedClock[c.name] = h.now, suspended
		}
	}
}

// wake lets all frozen processes go on.
func (h *revocations) wake() {
	for _, e := range h.entries {
		if e.frozen && h.suspendedClock[e.name] {
			e.suspended += h.now.Sub(h.asleep[e.name])
		}
		e.frozen = false
	}
	for _, c := range h.replicas {
		wasFrozen := c.frozen
		c.frozen = false
		if wasFrozen && h.suspendedClock[c.name] {
			c.suspended += h.now.Sub(h.asleep[c.name])
			h.handle(c, controller.Resumed{})
		}
	}
}

func (h *revocations) disrupt() {
	c := h.replicas[rapid.IntRange(0, len(h.replicas)-1).Draw(h.rt, "replica")]
	other := h.replicas[rapid.IntRange(0, len(h.replicas)-1).Draw(h.rt, "other")]
	e := h.entries[rapid.IntRange(0, len(h.entries)-1).Draw(h.rt, "entry")]
	switch rapid.SampledFrom([]string{"crash", "crash", "leader", "leader", "start", "disk", "slow disk", "slow disk", "cut", "isolate", "isolate", "entry", "rejoin", "rejoin",
		"restart", "sleep", "sleep", "wake", "wake", "loss", "backend"}).Draw(h.rt, "fault") {
	case "crash":
		h.crash(c)
	case "leader":
		if currentLeader := h.leader(); currentLeader != nil {
			h.crash(currentLeader)
		}
	case "start":
		if !c.up {
			h.start(c)
		}
	case "disk":
		if h.now.Sub(h.lastWipe) > 10*time.Second && !slices.ContainsFunc(h.replicas, func(c *replica) bool { return !c.up || c.frozen }) {
			h.lastWipe = h.now
			h.replaceDisk(c)
		}
	case "slow disk":
		c.diskUntil = h.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(h.rt, "disk")) * step)
	case "cut":
		h.cutLinks[[2]string{c.name, other.name}] = c != other
	case "isolate":
		h.isolate(c.name, true)
	case "entry":
		h.isolate(e.name, true)
	case "rejoin":
		clear(h.cutLinks)
	case "restart":
		h.crashEntry(e)
		e.frozen = false
		h.startEntry(e)
	case "sleep":
		h.sleep()
	case "wake":
		h.wake()
	case "loss":
		h.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(h.rt, "loss rate")
	case "backend":
		h.backends[0].outcome = rapid.SampledFrom([]balancer.Ending{balancer.EndingComplete, balancer.EndingLost, balancer.EndingNotSent, balancer.EndingRefused}).Draw(h.rt, "outcome")
	}
}

// TestRandomRevocationsHold guards against a request that runs by a key which a document has removed more than the
// bound before its caller sent it, whatever becomes of replicas, entries, their clocks, disks and links.
func TestRandomRevocationsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newRevocations(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "replicas"), rapid.IntRange(1, 3).Draw(rt, "entries"), rapid.Uint64().Draw(rt, "seed"))
		h.rt = rt
		h.slots = rapid.SampledFrom([]int{0, 1}).Draw(rt, "slots")
		h.run(3 * time.Second)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "act") {
			case 0:
				h.changeKeys(i)
			case 1, 2:
				h.callEntries()
			case 3:
				h.disrupt()
			}
			h.run(time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * step)
		}
		h.wake()
		h.heal()
		h.backends[0].outcome = balancer.EndingComplete
		h.run(20 * time.Second)
		// After all faults, every entry serves the key that no document has removed, and no other.
		leader := h.leader()
		if leader == nil {
			rt.Fatalf("no leader after the network healed")
		}
		revision, _ := leader.stateMachine.Document()
		doc := document(revision, "last")
		doc.Workspaces = []validator.Workspace{{Name: "alder", Keys: []string{"permanent"}}}
		h.apply(leader, doc)
		h.run(10 * time.Second)
		for _, e := range h.entries {
			ran, refused := h.ran, h.refused
			h.send(e, "permanent", router.Repeatable, time.Second)
			h.run(500 * time.Millisecond)
			h.send(e, "key-0", router.Repeatable, time.Second)
			h.run(500 * time.Millisecond)
			if h.ran == ran || h.refused != refused+1 {
				rt.Fatalf("%s ran %d attempts and refused %d calls after all faults", e.name, h.ran-ran, h.refused-refused)
			}
		}
	})
}
