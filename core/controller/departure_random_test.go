package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/registrar"
)

// announcer is an endpoint that announces itself to replicas, and of which late and repeated messages arrive.
type announcer struct {
	name  registrar.Name
	state registrar.State
	// incarnation and sequence are those of its latest announcement.
	incarnation, sequence uint64
	// departed is set once it has asked to leave in its present incarnation.
	departed bool
	// sent holds all that it has sent.
	sent []registrar.Announcement
	// acknowledged holds the incarnations of which a departure was acknowledged.
	acknowledged map[uint64]bool
}

func newAnnouncer(i int) *announcer {
	return &announcer{
		name: registrar.Name{Service: serviceName, Endpoint: fmt.Sprint("leaver-", i)}, state: registrar.StateServing,
		incarnation: 1, acknowledged: map[uint64]bool{},
	}
}

// next returns the next announcement of the endpoint.
func (n *announcer) next() registrar.Announcement {
	n.sequence++
	return registrar.Announcement{
		Name: n.name, Address: "127.0.0.9:1", DataCentre: "dc", Slots: 4, Connections: 9,
		State: n.state, Incarnation: n.incarnation, Sequence: n.sequence,
	}
}

// departures runs replicas that hear announcements and departures of endpoints in any order.
type departures struct {
	*simulation
	endpoints []*announcer
	// asked holds the endpoint and incarnation of each departure that was sent, by request.
	asked map[uint64]askedDeparture
}

type askedDeparture struct {
	endpoint    *announcer
	incarnation uint64
}

// send sends a message of an endpoint to a replica.
func (d *departures) send(n *announcer, to *replica, a registrar.Announcement) {
	d.lastRequest++
	if a.Leaving() {
		incarnation := a.Incarnation
		if incarnation == 0 {
			incarnation = n.incarnation
		}
		d.asked[d.lastRequest] = askedDeparture{n, incarnation}
	}
	if to.up {
		d.handle(to, controller.Announce{Request: d.lastRequest, Announcement: a})
	}
}

// announced notes the reply to a message of an endpoint.
func (d *departures) announced(v controller.AnnounceReply) {
	if asked, ok := d.asked[v.Request]; ok && v.Accepted {
		asked.endpoint.acknowledged[asked.incarnation] = true
	}
}

// act lets an endpoint do something.
func (d *departures) act(rt *rapid.T) {
	n := d.endpoints[rapid.IntRange(0, len(d.endpoints)-1).Draw(rt, "endpoint")]
	to := d.replicas[rapid.IntRange(0, len(d.replicas)-1).Draw(rt, "to")]
	switch rapid.SampledFrom([]string{"announce", "announce", "again", "again", "drain", "deregister", "race", "restart"}).Draw(rt, "act") {
	case "announce":
		d.announceTo(n, to)
	case "again":
		if len(n.sent) > 0 {
			d.send(n, to, n.sent[rapid.IntRange(0, len(n.sent)-1).Draw(rt, "which")])
		}
	case "drain":
		n.state = registrar.StateDraining
		n.departed = true
		d.announceTo(n, to)
	case "deregister":
		n.state = registrar.StateDraining
		n.departed = true
		a := n.next()
		a.Deregistered = true
		n.sent = append(n.sent, a)
		d.send(n, to, a)
	case "race":
		for range rapid.IntRange(0, 4).Draw(rt, "announcements") {
			d.announceTo(n, to)
		}
		d.deregisterInShort(n, d.replicas[rapid.IntRange(0, len(d.replicas)-1).Draw(rt, "deregistered at")])
	case "restart":
		n.state = registrar.StateServing
		n.departed = false
		n.incarnation++
		n.sequence = 0
		d.announceTo(n, to)
	}
}

func (d *departures) announceTo(n *announcer, to *replica) {
	a := n.next()
	n.sent = append(n.sent, a)
	d.send(n, to, a)
}

// deregisterInShort sends a deregistration that carries only the name, and perhaps the incarnation. Without the
// incarnation it is sent only once and to a replica that knows the present one, as it can't be told which is meant.
func (d *departures) deregisterInShort(n *announcer, to *replica) {
	a := registrar.Announcement{Name: registrar.Name{Endpoint: n.name.Endpoint}, State: registrar.StateDraining, Deregistered: true}
	if !to.up {
		return
	}
	known := slices.ContainsFunc(to.stateMachine.Status(d.now).Endpoints, func(e registrar.Announcement) bool {
		return e.Name == n.name && e.Incarnation == n.incarnation
	})
	if !known {
		a.Incarnation = n.incarnation
		n.sent = append(n.sent, a)
	}
	n.state = registrar.StateDraining
	n.departed = true
	d.send(n, to, a)
}

// disrupt injects a fault that replicas must bear.
func (d *departures) disrupt(rt *rapid.T, i int) {
	c := d.replicas[rapid.IntRange(0, len(d.replicas)-1).Draw(rt, "replica")]
	other := d.replicas[rapid.IntRange(0, len(d.replicas)-1).Draw(rt, "other")]
	switch rapid.SampledFrom([]string{"crash", "start", "disk", "cut", "isolate", "rejoin", "rejoin", "log", "loss"}).Draw(rt, "fault") {
	case "crash":
		d.crash(c)
	case "start":
		if !c.up {
			d.start(c)
		}
	case "disk":
		d.replaceDisk(c)
	case "cut":
		d.cutLinks[[2]string{c.name, other.name}] = c != other
	case "isolate":
		d.isolate(c.name, true)
	case "rejoin":
		clear(d.cutLinks)
	case "log":
		d.fillLog(i)
	case "loss":
		d.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss rate")
	}
}

// fillLog makes the log of the configuration long enough for a snapshot.
func (d *departures) fillLog(i int) {
	const changes = 270 // more than the threshold of a snapshot
	for change := range changes {
		if currentLeader := d.leader(); currentLeader != nil {
			revision, _ := currentLeader.stateMachine.Document()
			d.apply(currentLeader, document(revision, fmt.Sprintf("fill-%d-%d", i, change)))
			d.runFor(3 * step)
		}
	}
}

// repeatAll lets each message that was ever sent arrive once more, at random replicas and in random order.
func (d *departures) repeatAll() {
	for _, n := range d.endpoints {
		for _, i := range d.rand.Perm(len(n.sent)) {
			d.send(n, d.replicas[d.rand.IntN(len(d.replicas))], n.sent[i])
			d.runFor(time.Duration(d.rand.IntN(5)) * step)
		}
	}
}

// check requires that all replicas agree with what the endpoints last were.
func (d *departures) check(rt *rapid.T) {
	for _, c := range d.replicas {
		for _, n := range d.endpoints {
			known, ok := find(c.stateMachine.Status(d.now).Endpoints, n.name)
			switch {
			case ok && n.acknowledged[known.Incarnation] && !known.Leaving():
				rt.Fatalf("%s knows %s incarnation %d as %s, and its departure was acknowledged", c.name, n.name.Endpoint, known.Incarnation, known.State)
			case !n.departed && (!ok || known.Incarnation != n.incarnation || known.Leaving()):
				rt.Fatalf("%s knows %+v, and %s serves in incarnation %d", c.name, known, n.name.Endpoint, n.incarnation)
			}
		}
	}
}

func find(list []registrar.Announcement, name registrar.Name) (registrar.Announcement, bool) {
	i := slices.IndexFunc(list, func(a registrar.Announcement) bool { return a.Name == name })
	if i < 0 {
		return registrar.Announcement{}, false
	}
	return list[i], true
}

// TestRandomDeparturesWin guards against a departure that is acknowledged and then forgotten, and against one that
// takes away a later incarnation: whatever the order in which replicas hear announcements and departures, late and
// repeated ones too, through loss, snapshots, changes of the leader, restarts and lost disks.
func TestRandomDeparturesWin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &departures{
			simulation: newSimulation(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "replicas"), 2, rapid.Uint64().Draw(rt, "seed")),
			asked:      map[uint64]askedDeparture{},
		}
		d.onAnnounceReply = d.announced
		d.backends = nil
		for i := range rapid.IntRange(1, 3).Draw(rt, "endpoints") {
			d.endpoints = append(d.endpoints, newAnnouncer(i))
		}
		d.runFor(4 * time.Second)
		if d.leader() != nil {
			d.apply(d.leader(), document(0, "first"))
		}
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 3).Draw(rt, "disrupt") == 0 {
				d.disrupt(rt, i)
			} else {
				d.act(rt)
			}
			d.runFor(time.Duration(rapid.IntRange(1, 80).Draw(rt, "pause")) * step)
		}
		d.heal()
		d.runFor(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 2 * registrar.Lease}).Draw(rt, "rest"))
		d.repeatAll()
		for range 8 {
			for _, n := range d.endpoints {
				if n.incarnation > 0 && !n.departed {
					d.announceTo(n, d.replicas[d.rand.IntN(len(d.replicas))])
				}
			}
			d.runFor(time.Second)
		}
		d.check(rt)
	})
}
