package controller_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/router"
	"comfreyplank.org/core/subscriber"
	"comfreyplank.org/core/validator"
)

const (
	step        = 10 * time.Millisecond
	serviceName = "rounds"
	budgetMs    = 400
)

type failer interface{ Fatalf(string, ...any) }

// system drives replicas and entries together in virtual time, and asserts after
// each step what must always hold.
type system struct {
	t        failer
	now      time.Time
	rand     *rand.Rand
	controls []*control
	// seeds is how many replicas each one is told of at its start; zero tells of all.
	seeds int
	// seats is how many voters there are; zero keeps all that ever joined.
	seats int
	// cold lets replicas that start give entries what they knew.
	cold     bool
	entries  []*entry
	backends []*backend
	cut      map[[2]string]bool
	loss     float64
	flight   []delivery

	lastRequest uint64
	applied     map[uint64]validator.Document
	answers     []controller.ApplyReply
	// taken are the answers to announcements at control, in their order.
	taken    []bool
	winners  map[uint64]string
	verdicts map[string]controller.ApplyReply
	inForce  uint64
	// acknowledged is the highest generation that was acknowledged, accepted the content
	// of each generation that was accepted, and reads what was acknowledged as each read
	// began.
	acknowledged uint64
	accepted     map[uint64]int
	reads        map[uint64]uint64
	// leaving are departures by their requests, departed those that were acknowledged.
	leaving  map[uint64]registrar.Announcement
	departed []registrar.Announcement
	runs     map[string]int
	callRuns map[string]int
	told     map[string]balancer.Outcome
	answered int
	lastCall int
}

// delivery is something that happens at a node later.
type delivery struct {
	at       time.Time
	from, to string
	do       func()
}

// control is a replica with its disk.
type control struct {
	name    string
	id      replicator.ID
	machine *controller.Controller
	disk    map[messenger.Group]*replicator.Stored
	// endpoints are those that were stored last.
	endpoints []registrar.Announcement
	up        bool
	run       int
	// ticks counts how often it was called for the time alone.
	ticks int
	// lost is set once it has ended for good.
	lost bool
	// joins is set for a replica that comes later; peers are those that it is told of.
	joins bool
	peers []replicator.Member
}

// entry is an entry with the balancer of the one service.
type entry struct {
	name     string
	machine  *subscriber.Subscriber
	balancer *balancer.Balancer
	up       bool
	run      int
	// stream numbers the streams; messages of an earlier one are lost.
	stream   int
	peer     *control
	revision uint64
	// lists counts the lists of endpoints that it got, states those of all endpoints, and
	// configs the configurations.
	lists, states, configs int
	grants                 []balancer.ShareGranted
	calls                  map[balancer.CallID]string
	keys                   map[balancer.CallID]string
	lastCall               balancer.CallID
}

// backend is a stand-in endpoint.
type backend struct {
	name     string
	state    registrar.State
	sequence uint64
	leftAt   time.Time
	// outcome is how the next attempts end.
	outcome balancer.Ending
}

func newSystem(t failer, controls, entries int, seed uint64) *system {
	return newSeededSystem(t, controls, 0, entries, seed)
}

// newSeededSystem tells each replica of the first ones only.
func newSeededSystem(t failer, controls, seeds, entries int, seed uint64) *system {
	s := &system{seeds: seeds,
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]string]bool{},
		applied: map[uint64]validator.Document{}, winners: map[uint64]string{}, verdicts: map[string]controller.ApplyReply{},
		runs: map[string]int{}, callRuns: map[string]int{}, told: map[string]balancer.Outcome{},
		accepted: map[uint64]int{}, reads: map[uint64]uint64{}, leaving: map[uint64]registrar.Announcement{},
	}
	for i := range controls {
		s.controls = append(s.controls, &control{name: fmt.Sprint("c", i)})
	}
	for _, c := range s.controls {
		s.wipe(c)
		s.start(c)
	}
	for i := range entries {
		e := &entry{name: fmt.Sprint("e", i)}
		s.entries = append(s.entries, e)
		s.startEntry(e)
	}
	for i := range 3 {
		s.backends = append(s.backends, &backend{name: fmt.Sprint("b", i), state: registrar.StateServing, outcome: balancer.EndingComplete})
	}
	return s
}

func (s *system) source() *rand.Rand { return rand.New(rand.NewPCG(s.rand.Uint64(), 3)) }

func (s *system) peers() []replicator.Member {
	var peers []replicator.Member
	for i, c := range s.controls {
		if s.seeds == 0 || i < s.seeds {
			peers = append(peers, replicator.Member{Name: c.name, Address: c.name})
		}
	}
	return peers
}

// wipe gives a replica an empty disk, and so another identity.
func (s *system) wipe(c *control) {
	c.id = replicator.ID(fmt.Sprintf("%s/%d", c.name, s.rand.Uint32()))
	c.disk = map[messenger.Group]*replicator.Stored{messenger.GroupConfig: {}, messenger.GroupClaims: {}}
	c.endpoints = nil
}

func (s *system) start(c *control) {
	c.run++
	c.up = true
	self := replicator.Member{ID: c.id, Name: c.name, Address: c.name}
	disk := controller.StoredState{Config: *c.disk[messenger.GroupConfig], Claims: *c.disk[messenger.GroupClaims]}
	disk.Config.Entries = slices.Clone(disk.Config.Entries)
	disk.Claims.Entries = slices.Clone(disk.Claims.Entries)
	var err error
	peers := s.peers()
	if c.joins {
		peers = c.peers
	}
	opts := []controller.Option{controller.WithPeers(peers), controller.WithRand(s.source())}
	if s.cold {
		opts = append(opts, controller.WithColdStart())
	}
	if s.seats > 0 {
		opts = append(opts, controller.WithVoters(s.seats))
	}
	if c.joins {
		opts = append(opts, controller.WithoutBootstrap())
	}
	disk.Endpoints = c.endpoints
	c.machine, err = controller.New(s.now, self, disk, opts...)
	if err != nil {
		s.t.Fatalf("%v", err)
	}
}

func (s *system) crash(c *control) {
	c.up = false
	for _, e := range s.entries {
		if e.peer == c {
			s.closeStream(e)
		}
	}
}

func (s *system) startEntry(e *entry) {
	e.run++
	e.stream++
	e.up = true
	e.peer = nil
	e.revision = 0
	e.calls = map[balancer.CallID]string{}
	e.keys = map[balancer.CallID]string{}
	var replicas []string
	for _, c := range s.controls {
		replicas = append(replicas, c.name)
	}
	hello := messenger.Hello{Entry: fmt.Sprintf("%s/%d", e.name, e.run), DataCentre: "dc"}
	set := []subscriber.Option{subscriber.WithRand(s.source())}
	if s.seats > 0 {
		set = append(set, subscriber.WithDiscovery())
	}
	e.machine = subscriber.New(hello, replicas, set...)
	e.balancer = balancer.New(hello.Entry, validator.Service{Name: serviceName, QueueLimit: 10, RetryPercent: 20}, balancer.WithRand(s.source()))
}

func (s *system) crashEntry(e *entry) {
	s.closeStream(e)
	e.up = false
	e.grants = nil // a dead process spends nothing
}

// post delivers something to a node a step later, unless the network loses it.
func (s *system) post(from, to string, reliable bool, do func()) {
	if !reliable && s.rand.Float64() < s.loss {
		return
	}
	s.flight = append(s.flight, delivery{at: s.now.Add(step), from: from, to: to, do: do})
}

func (s *system) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *system) step() {
	s.now = s.now.Add(step)
	due := s.flight
	s.flight = nil
	for _, d := range due {
		switch {
		case d.at.After(s.now):
			s.flight = append(s.flight, d)
		case !s.cut[[2]string{d.from, d.to}]:
			d.do()
		}
	}
	for _, c := range s.controls {
		if c.up {
			s.wakeControl(c)
		}
	}
	for _, e := range s.entries {
		if e.up {
			s.wakeEntry(e)
		}
	}
	if s.now.UnixMilli()%1000 == 0 {
		s.announceAll()
	}
	s.check()
}

// wakeControl calls a replica that is due.
func (s *system) wakeControl(c *control) {
	if isDue(s.now, c.machine.Due()) {
		c.ticks++
		s.handle(c, controller.Tick{})
	}
}

// wakeEntry calls the machines of an entry that are due.
func (s *system) wakeEntry(e *entry) {
	if isDue(s.now, e.machine.Due()) {
		s.handleEntry(e, subscriber.Tick{Leaving: e.balancer.Leaving()})
	}
	if isDue(s.now, e.balancer.Due()) {
		s.handleBalancer(e, balancer.Tick{})
	}
}

func isDue(now, due time.Time) bool { return !due.IsZero() && !now.Before(due) }

func (s *system) announceAll() {
	for _, b := range s.backends {
		s.announce(b, s.entries[s.rand.IntN(len(s.entries))])
	}
}

func (s *system) announce(b *backend, e *entry) {
	b.sequence++
	a := registrar.Announcement{
		Name: registrar.Name{Service: serviceName, Endpoint: b.name}, Address: "127.0.0.1:1", DataCentre: "dc",
		Slots: 4, Connections: 250, State: b.state, Incarnation: 1, Sequence: b.sequence,
	}
	if e.up {
		s.handleEntry(e, subscriber.Announced{Announcement: a})
	}
}

// leave lets a backend announce that it drains.
func (s *system) leave(b *backend, e *entry) {
	b.state = registrar.StateDraining
	b.leftAt = s.now
	s.announce(b, e)
}

func (s *system) handle(c *control, in controller.Input) {
	for _, a := range slices.Clone(c.machine.Handle(s.now, in)) {
		s.carryOut(c, a)
	}
}

func (s *system) carryOut(c *control, a controller.Action) {
	switch v := a.(type) {
	case controller.SendPeer:
		s.post(c.name, v.Address, false, func() {
			if to := s.control(v.Address); to.up {
				s.handle(to, controller.PeerMessage{Message: v.Message})
			}
		})
	case controller.SendEntry:
		s.sendEntry(c, v)
	case controller.Persist:
		run := c.run
		s.post(c.name, c.name, true, func() {
			if c.up && c.run == run {
				persist(c.disk[v.Group], v.Output)
				s.handle(c, controller.Persisted(v))
			}
		})
	case controller.StoreSnapshot:
		disk := c.disk[v.Group]
		disk.Snapshot = v.Snapshot
		disk.Entries = slices.Clone(v.Tail)
	case controller.BootstrapGroup:
		*c.disk[v.Group] = v.Stored
	case controller.StoreCommitted:
		c.disk[messenger.GroupConfig].Committed = v.Position
	case controller.StoreEndpoints:
		c.endpoints = v.Announcements
	case controller.ApplyReply:
		s.onAnswer(v)
	case controller.DocumentReply:
		s.onRead(v)
	case controller.AnnounceReply:
		if a, ok := s.leaving[v.Request]; ok && v.Accepted {
			s.departed = append(s.departed, a)
		}
		s.taken = append(s.taken, v.Accepted)
	}
}

func persist(disk *replicator.Stored, out replicator.Output) {
	if out.State != nil {
		disk.State = *out.State
	}
	if out.Snapshot != nil {
		disk.Snapshot = *out.Snapshot
		disk.Entries = nil
	}
	for _, e := range out.Entries {
		keep := e.Index - disk.Snapshot.Index - 1
		disk.Entries = append(disk.Entries[:keep:keep], e)
	}
}

func (s *system) control(name string) *control {
	i := slices.IndexFunc(s.controls, func(c *control) bool { return c.name == name })
	return s.controls[i]
}

// conn numbers the streams of entries so that each is known once.
func conn(e *entry) controller.Conn {
	number, err := strconv.Atoi(e.name[1:])
	if err != nil {
		panic(err) // entries are named by their numbers
	}
	return controller.Conn(number*1_000_000 + e.stream)
}

func (s *system) sendEntry(c *control, v controller.SendEntry) {
	for _, e := range s.entries {
		if e.up && e.peer == c && conn(e) == v.Conn {
			s.post(c.name, e.name, true, func() {
				if e.up && e.peer == c && conn(e) == v.Conn {
					if list, ok := v.Message.(messenger.EndpointUpdate); ok {
						e.lists++
						if list.Full {
							e.states++
						}
					}
					if _, ok := v.Message.(messenger.Configuration); ok {
						e.configs++
					}
					s.handleEntry(e, subscriber.MessageReceived{Message: v.Message})
				}
			})
		}
	}
}

func (s *system) handleEntry(e *entry, in subscriber.Input) {
	for _, a := range slices.Clone(e.machine.Handle(s.now, in)) {
		s.carryOutEntry(e, a)
	}
}

func (s *system) carryOutEntry(e *entry, a subscriber.Action) {
	switch v := a.(type) {
	case subscriber.Open:
		s.openStream(e, s.control(v.Address))
	case subscriber.Close:
		s.closeStream(e)
	case subscriber.Send:
		s.sendControl(e, v.Message)
	case subscriber.Configure:
		if v.Revision < e.revision {
			s.t.Fatalf("%s went from revision %d to %d", e.name, e.revision, v.Revision)
		}
		e.revision = v.Revision
	case subscriber.Reconfigure:
		s.handleBalancer(e, v.Reconfigure)
	case subscriber.ChangeEndpoints:
		s.handleBalancer(e, v.Changed)
	case subscriber.RenewConfigLease:
		s.handleBalancer(e, balancer.ConfigLeaseChanged{Until: v.Until})
	case subscriber.Grant:
		e.grants = []balancer.ShareGranted{v.Granted}
		s.handleBalancer(e, v.Granted)
	case subscriber.Decide:
		s.handleBalancer(e, v.Decided)
	}
}

func (s *system) openStream(e *entry, c *control) {
	e.stream++
	stream, run := e.stream, e.run
	s.post(e.name, c.name, true, func() {
		if c.up && e.up && e.stream == stream && e.run == run {
			e.peer = c
			s.handleEntry(e, subscriber.Opened{})
		}
	})
}

func (s *system) closeStream(e *entry) {
	if e.peer == nil {
		return
	}
	c, number := e.peer, conn(e)
	e.peer = nil
	e.stream++
	run := c.run
	s.post(e.name, c.name, true, func() {
		if c.up && c.run == run {
			s.handle(c, controller.EntryDisconnected{Conn: number})
		}
	})
	if e.up {
		s.handleEntry(e, subscriber.Closed{})
	}
}

func (s *system) sendControl(e *entry, m messenger.ToControl) {
	c, number := e.peer, conn(e)
	if c == nil {
		return
	}
	s.post(e.name, c.name, true, func() {
		if c.up && e.peer == c && conn(e) == number {
			s.handle(c, controller.EntryMessage{Conn: number, Message: m})
		}
	})
}

func (s *system) handleBalancer(e *entry, in balancer.Input) {
	for _, a := range slices.Clone(e.balancer.Handle(s.now, in)) {
		switch v := a.(type) {
		case balancer.Dispatch:
			s.dispatch(e, v)
		case balancer.ProposeCommand:
			s.handleEntry(e, subscriber.Command{Service: serviceName, Call: v.Call, Command: v.Command})
		case balancer.Refuse:
			s.tell(e, v)
		case balancer.Deliver, balancer.Replay:
			s.answered++
		}
	}
}

// dispatch lets a backend run an attempt, or fail as it was told to.
func (s *system) dispatch(e *entry, d balancer.Dispatch) {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.name == d.Endpoint })
	b := s.backends[i]
	if !b.leftAt.IsZero() && s.now.Sub(b.leftAt) > leavingBound {
		s.t.Fatalf("%s got new work %s after it said that it leaves", b.name, s.now.Sub(b.leftAt))
	}
	ending, run := b.outcome, e.run
	if ending == balancer.EndingComplete || ending == balancer.EndingLost {
		s.note(e, d.Call)
	}
	s.flight = append(s.flight, delivery{at: s.now.Add(3 * step), from: b.name, to: e.name, do: func() {
		if !e.up || e.run != run {
			return
		}
		if ending == balancer.EndingComplete {
			s.handleBalancer(e, balancer.ResponseStarted{Attempt: d.Attempt, Status: 200, Report: balancer.Report{Load: 1, State: b.state}})
		}
		s.handleBalancer(e, balancer.AttemptEnded{Attempt: d.Attempt, Ending: ending, Report: balancer.Report{Load: -1}})
	}})
}

func (s *system) note(e *entry, id balancer.CallID) {
	call := e.calls[id]
	s.callRuns[call]++
	if s.told[call] == balancer.OutcomeNotRun {
		s.t.Fatalf("call %s ran after its caller was told that it was not run", call)
	}
	if key := e.keys[id]; key != "" {
		s.runs[key]++
		if s.runs[key] > 1 {
			s.t.Fatalf("key %s ran twice", key)
		}
	}
}

func (s *system) tell(e *entry, r balancer.Refuse) {
	call := e.calls[r.Call]
	s.told[call] = r.Outcome
	if r.Outcome == balancer.OutcomeNotRun && s.callRuns[call] > 0 {
		s.t.Fatalf("call %s ran, and its caller was told that it was not run", call)
	}
}

// call sends a call to an entry; with a key it is once-only.
func (s *system) call(e *entry, key string, timeout time.Duration) {
	s.lastCall++
	name := fmt.Sprint("call-", s.lastCall)
	if !e.up {
		return
	}
	e.lastCall++
	c := balancer.Call{ID: e.lastCall, Request: name, Execution: router.Repeatable, Class: validator.ClassInteractive, Deadline: s.now.Add(timeout)}
	if key != "" {
		c.Execution = router.OnceOnly
		c.Key = key
		c.Fingerprint = key
	}
	e.calls[c.ID] = name
	e.keys[c.ID] = key
	s.handleBalancer(e, balancer.CallArrived{Call: c})
}

func document(base uint64, id string) validator.Document {
	return validator.Document{
		BaseRevision: base, ChangeID: id, Entries: 24,
		Services: []validator.Service{{
			Name:       serviceName,
			Routes:     []validator.Route{{PathPrefix: "/", DeadlineMs: 1000, Class: validator.ClassInteractive}},
			QueueLimit: 10, RetryPercent: 20, ProbeMsPerSecond: budgetMs, ProbeBytesPerSecond: 100_000,
		}},
	}
}

// apply sends a change to a replica.
func (s *system) apply(c *control, doc validator.Document) {
	if !c.up {
		return
	}
	data, err := json.Marshal(doc)
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	s.lastRequest++
	s.applied[s.lastRequest] = doc
	s.handle(c, controller.Apply{Request: s.lastRequest, Document: data})
}

// onAnswer asserts one winner for each base, and the same answer for each change.
func (s *system) onAnswer(v controller.ApplyReply) {
	s.answers = append(s.answers, v)
	doc := s.applied[v.Request]
	if doc.Generation > 0 {
		s.onGeneration(doc, v)
		return
	}
	if v.Answer.Verdict == "" {
		return
	}
	if first, ok := s.verdicts[doc.ChangeID]; ok && first.Answer != v.Answer {
		s.t.Fatalf("change %s got %v, and %v before", doc.ChangeID, v.Answer, first.Answer)
	}
	s.verdicts[doc.ChangeID] = v
	if v.Status != controller.ApplyInEffect && v.Status != controller.ApplyNotInEffect {
		return
	}
	if winner, ok := s.winners[doc.BaseRevision]; ok && winner != doc.ChangeID {
		s.t.Fatalf("changes %s and %s both won at base %d", winner, doc.ChangeID, doc.BaseRevision)
	}
	s.winners[doc.BaseRevision] = doc.ChangeID
	if v.Status == controller.ApplyInEffect {
		s.inForce = max(s.inForce, v.Answer.Revision)
	}
}

// check asserts what holds over all nodes at once.
func (s *system) check() {
	var out allotter.Share
	for _, e := range s.entries {
		if e.up && e.machine.HoldsConfigLease(s.now) && e.revision < s.inForce {
			s.t.Fatalf("%s is in standing at revision %d, and %d is in force everywhere", e.name, e.revision, s.inForce)
		}
		for _, g := range e.grants {
			if s.now.Before(g.Until) {
				out = out.Plus(g.Share)
			}
		}
	}
	if out.ProbeMicros > budgetMs*1000 {
		s.t.Fatalf("shares of %d us are out, the budget is %d", out.ProbeMicros, budgetMs*1000)
	}
}

func (s *system) leader() *control {
	for _, c := range s.controls {
		if c.up && c.machine.Status(s.now).Role == "leader" && c.machine.Status(s.now).InContactWithQuorum {
			return c
		}
	}
	return nil
}

func (s *system) isolate(name string, on bool) {
	for _, c := range s.controls {
		s.cut[[2]string{name, c.name}] = on && c.name != name
		s.cut[[2]string{c.name, name}] = on && c.name != name
	}
	for _, e := range s.entries {
		s.cut[[2]string{name, e.name}] = on && e.name != name
		s.cut[[2]string{e.name, name}] = on && e.name != name
	}
}

func (s *system) heal() {
	clear(s.cut)
	s.loss = 0
	for _, c := range s.controls {
		if !c.up && !c.lost {
			s.start(c)
		}
	}
	for _, e := range s.entries {
		if !e.up {
			s.startEntry(e)
		}
	}
}
