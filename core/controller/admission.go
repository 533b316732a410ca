package controller

import (
	"fmt"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/ratelimiter"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/scheduler"
	"comfreyplank.org/core/shedder"
	"comfreyplank.org/core/validator"
)

const (
	// usageRelayInterval is how long a replica adds up the reports of its entries.
	usageRelayInterval = 50 * time.Millisecond
	// usageContactTime is how recently a quorum must have followed the leader that gets the counts: three of the leader's
	// heartbeats.
	usageContactTime = 450 * time.Millisecond
	// maxUsageAge is how long counts are kept for a leader that is not known: longer than an election. Entries that move
	// to another replica report again what may not have arrived, so that older counts would be counted twice.
	maxUsageAge = 1500 * time.Millisecond
	// maxLostTime is how long counts may be sent to a leader that is gone, until its replicas notice.
	maxLostTime = usageContactTime
	// usageRepeatTime is how long a sum that has changed is listed, so that a few messages may be lost.
	usageRepeatTime = time.Second
	// silentEntryTimeout is the time since the last heartbeat after which an entry is missing. missingTime is how long
	// it may then run calls that are not counted: requests with keys end 3 to 4 s after the last contact.
	silentEntryTimeout = messenger.HeartbeatInterval + 200*time.Millisecond
	missingTime        = 4500 * time.Millisecond
	// missingWeight is what a missing entry may use, as a multiple of an equal part of the limit.
	missingWeight = 1.3
	// maxMissing bounds the part of the limits that is kept for missing entries.
	maxMissing = 0.9
	// admissionInterval is the minimum time between two updates of shares.
	admissionInterval = 100 * time.Millisecond
	// admissionRepeatDelay is the time after a change at which the leader repeats an update to the replicas, which may
	// have missed it. admissionRefreshInterval is how often it does so later while there are shares, and for
	// admissionRefreshTime after the last change.
	admissionRepeatDelay     = 150 * time.Millisecond
	admissionRefreshInterval = time.Second
	admissionRefreshTime     = 3 * time.Second
	// admissionTermBits is the number of bits of a version that count the updates of one leader.
	admissionTermBits = 32
)

// ServiceAdmitter decides which shares of the calls to services entries admit. A leader has one.
type ServiceAdmitter interface {
	// Record takes calls that entries have counted.
	Record(now time.Time, usage []messenger.ServiceUsage)
	// Due reports whether a call of Shares can change something.
	Due() bool
	// Shares returns the shares in force, and whether they have changed since the last call.
	Shares(now time.Time) ([]messenger.ServiceAdmission, bool)
}

// WithServiceAdmitter sets how a leader decides on shares of services. Each leader starts with a new ServiceAdmitter,
// which gets the shares that are in force.
func WithServiceAdmitter(newAdmitter func(now time.Time, inForce []messenger.ServiceAdmission) ServiceAdmitter) Option {
	return func(c *Controller) { c.admission.newServices = newAdmitter }
}

// WithShedding has entries refuse the least urgent calls to a service while it has too little room.
func WithShedding() Option {
	return WithServiceAdmitter(func(now time.Time, inForce []messenger.ServiceAdmission) ServiceAdmitter {
		return shedder.New(now, inForce)
	})
}

// admission is what a replica knows of the calls that entries count, and of the shares that they admit.
type admission struct {
	// pending adds up the reports of this replica's entries until relayAt, at which they go to the leader. pendingSince
	// is when the first of them arrived.
	pending      usageSum
	relayAt      time.Time
	pendingSince time.Time
	// relayed lists what was passed on to the leader of relayTerm, added up, and sequence numbers the messages. recent
	// lists the last parts of it: a leader that fails loses them.
	relayed   usageSum
	relayTerm uint64
	sequence  uint64
	recent    []sentUsage
	// lost and joined are the times of the last contact of the entries that have disconnected, and those at which entries
	// have connected, within missingTime.
	lost, joined []time.Time
	// relayedAt is when counts were last passed on to a leader, or would have been.
	relayedAt time.Time
	// hasLimits is set if the document of limitsRevision limits workspaces.
	hasLimits      bool
	limitsRevision uint64
	// latest is the last update that this replica has sent or got.
	latest messenger.AdmissionUpdate

	newServices func(time.Time, []messenger.ServiceAdmission) ServiceAdmitter
	// limiter and services hold the decisions of a leader; nil at other replicas. term is the term in which they
	// started, and revision that of the document that the limiter applies. senders lists the replicas that have passed
	// counts on in this term, since relaySince.
	limiter    *ratelimiter.Limiter
	services   ServiceAdmitter
	term       uint64
	revision   uint64
	senders    map[string]*usageSender
	relaySince time.Time
	// nextUpdate is the earliest time of the next update. refreshAt is when the latest one is repeated; zero if it is
	// not. changedAt is when it was last changed.
	nextUpdate time.Time
	refreshAt  time.Time
	changedAt  time.Time
}

// sentUsage is a part of the counts that was passed on at a time.
type sentUsage struct {
	at    time.Time
	usage messenger.UsageReport
}

// usageSender is what the leader knows of a replica that passes counts on.
type usageSender struct {
	run      uint64
	sequence uint64
	missing  int
	// at is when the last message arrived, and seen what it and the earlier ones have listed.
	at   time.Time
	seen usageSum
}

// newAdmission returns the state of a replica that starts. It doesn't know when there was last a leader: where all
// replicas restart, the first counts are those of a time without one.
func newAdmission(now time.Time) admission {
	return admission{pending: newUsageSum(), relayed: newUsageSum(), relayedAt: now.Add(-maxUsageAge)}
}

// usageSum adds up reports.
type usageSum struct {
	workspaces map[string]workspaceSum
	services   map[serviceUsageKey]serviceSum
}

type workspaceSum struct {
	messenger.WorkspaceUsage
	changedAt time.Time
}

type serviceSum struct {
	messenger.ServiceUsage
	changedAt time.Time
}

type serviceUsageKey struct {
	service  string
	priority int
}

func newUsageSum() usageSum {
	return usageSum{workspaces: make(map[string]workspaceSum), services: make(map[serviceUsageKey]serviceSum)}
}

func (s *usageSum) isEmpty() bool { return len(s.workspaces)+len(s.services) == 0 }

func (s *usageSum) clear() {
	clear(s.workspaces)
	clear(s.services)
}

func (s *usageSum) add(now time.Time, r messenger.UsageReport) {
	for _, u := range r.Workspaces {
		sum := s.workspaces[u.Workspace]
		s.workspaces[u.Workspace] = workspaceSum{messenger.WorkspaceUsage{
			Workspace: u.Workspace, Admitted: sum.Admitted + u.Admitted, Refused: sum.Refused + u.Refused,
		}, now}
	}
	for _, u := range r.Services {
		key := serviceUsageKey{u.Service, u.Priority}
		sum := s.services[key]
		s.services[key] = serviceSum{messenger.ServiceUsage{
			Service: u.Service, Priority: u.Priority,
			Offered: sum.Offered + u.Offered, Shed: sum.Shed + u.Shed, Overloaded: sum.Overloaded + u.Overloaded,
		}, now}
	}
}

// replace adopts the sums of a report, and returns by how much they exceed the former ones.
func (s *usageSum) replace(now time.Time, r messenger.UsageReport) (added messenger.UsageReport) {
	for _, u := range r.Workspaces {
		old := s.workspaces[u.Workspace]
		s.workspaces[u.Workspace] = workspaceSum{u, now}
		u.Admitted -= old.Admitted
		u.Refused -= old.Refused
		if u.Admitted != 0 || u.Refused != 0 {
			added.Workspaces = append(added.Workspaces, u)
		}
	}
	for _, u := range r.Services {
		key := serviceUsageKey{u.Service, u.Priority}
		old := s.services[key]
		s.services[key] = serviceSum{u, now}
		u.Offered -= old.Offered
		u.Shed -= old.Shed
		u.Overloaded -= old.Overloaded
		if u.Offered != 0 || u.Shed != 0 || u.Overloaded != 0 {
			added.Services = append(added.Services, u)
		}
	}
	return added
}

// since returns the sums that have changed since a time, in a fixed order.
func (s *usageSum) since(at time.Time) messenger.UsageReport {
	var r messenger.UsageReport
	for _, u := range s.workspaces {
		if !u.changedAt.Before(at) {
			r.Workspaces = append(r.Workspaces, u.WorkspaceUsage)
		}
	}
	for _, u := range s.services {
		if !u.changedAt.Before(at) {
			r.Services = append(r.Services, u.ServiceUsage)
		}
	}
	r.Sort()
	return r
}

// take returns the sums and starts again.
func (s *usageSum) take() messenger.UsageReport {
	r := s.since(time.Time{})
	s.clear()
	return r
}

// onUsageReport adds the report of an entry to those that go to the leader.
func (c *Controller) onUsageReport(now time.Time, v messenger.UsageReport) {
	a := &c.admission
	if a.pending.isEmpty() {
		a.pendingSince = now
		a.relayAt = now.Add(usageRelayInterval)
	}
	a.pending.add(now, v)
	c.updateAdmission(now)
}

// hasRateLimits reports whether the document limits workspaces.
func (c *Controller) hasRateLimits() bool {
	a := &c.admission
	if revision := c.committer.Revision(); revision != a.limitsRevision {
		a.limitsRevision = revision
		a.hasLimits = slices.ContainsFunc(c.committer.Document().Workspaces, func(w validator.Workspace) bool { return w.RatePerSecond > 0 })
	}
	return a.hasLimits
}

// updateAdmission does what is due: it passes reports on, and as the leader decides on shares.
func (c *Controller) updateAdmission(now time.Time) {
	c.lead(now)
	c.relayUsage(now)
	c.sendAdmissionIfDue(now)
	c.refreshAdmission(now)
}

// lead starts and ends the decisions of a leader, and applies a new document.
func (c *Controller) lead(now time.Time) {
	a := &c.admission
	if !c.isLeader() {
		a.limiter, a.services = nil, nil
		return
	}
	revision := c.committer.Revision()
	switch term := c.config.replica.Term(); {
	case a.limiter == nil || a.term != term:
		a.term = term
		a.relaySince = a.relayedAt.Add(-maxLostTime)
		a.senders = make(map[string]*usageSender)
		a.limiter = ratelimiter.New(now, now.Sub(a.relaySince), c.committer.Document().Workspaces, a.latest.Workspaces)
		if a.newServices != nil {
			a.services = a.newServices(now, a.latest.Services)
		}
	case a.revision != revision:
		a.limiter.Configure(now, c.committer.Document().Workspaces)
	}
	a.revision = revision
}

// hasLeaderContact reports whether the counts of this replica's entries reach a leader, as far as it knows.
func (c *Controller) hasLeaderContact(now time.Time) bool {
	contact := c.config.replica.LastQuorumContact()
	return !contact.IsZero() && now.Sub(contact) <= usageContactTime
}

// usageReceiver returns the address of the leader that gets this replica's counts; empty if it is this replica itself.
func (c *Controller) usageReceiver(now time.Time) (address string, ok bool) {
	if !c.hasLeaderContact(now) {
		return "", false
	}
	if c.isLeader() {
		return "", true
	}
	m, ok := c.config.replica.Members().Find(c.config.replica.Leader())
	return m.Address, ok
}

// relayUsage passes the counts of this replica's entries on to the leader when they are due.
func (c *Controller) relayUsage(now time.Time) {
	a := &c.admission
	address, ok := c.usageReceiver(now)
	if ok && a.pending.isEmpty() {
		a.relayedAt = now
	}
	if a.pending.isEmpty() || now.Before(a.relayAt) {
		return
	}
	if !ok {
		if now.Sub(a.pendingSince) > maxUsageAge {
			a.pending.clear()
		}
		return
	}
	a.startTerm(now, c.config.replica.Term())
	a.relayedAt = now
	a.sequence++
	added := a.pending.take()
	a.relayed.add(now, added)
	a.recent = append(a.recent, sentUsage{now, added})
	for now.Sub(a.recent[0].at) > maxLostTime {
		a.recent = a.recent[1:]
	}
	message := messenger.RelayedUsage{
		From: c.self.Name, Run: c.incarnation, Term: a.relayTerm, Sequence: a.sequence, Missing: c.missingEntries(now),
		Usage: a.relayed.since(now.Add(-usageRepeatTime)),
	}
	if address == "" {
		c.recordUsage(now, message)
		return
	}
	c.emit(SendPeer{Address: address, Message: message})
}

// startTerm starts the sums for a new leader, with what the one before may not have got.
func (a *admission) startTerm(now time.Time, term uint64) {
	if a.relayTerm == term {
		return
	}
	a.relayTerm = term
	a.relayed.clear()
	for _, r := range a.recent {
		if a.relayedAt.Sub(r.at) <= maxLostTime {
			a.relayed.add(now, r.usage)
		}
	}
	a.recent = nil
}

func (c *Controller) onRelayedUsage(now time.Time, v messenger.RelayedUsage) {
	c.lead(now)
	c.recordUsage(now, v)
	c.sendAdmissionIfDue(now)
}

// recordUsage counts calls as the leader. Sums make up for messages that were lost, and messages that arrive again or
// late are dropped.
func (c *Controller) recordUsage(now time.Time, v messenger.RelayedUsage) {
	a := &c.admission
	if a.limiter == nil || v.Term != a.term {
		return
	}
	sender, ok := a.senders[v.From]
	if !ok || sender.run != v.Run {
		sender = &usageSender{run: v.Run, at: a.relaySince, seen: newUsageSum()}
		a.senders[v.From] = sender
	}
	if v.Sequence <= sender.sequence {
		return
	}
	span := now.Sub(sender.at)
	sender.sequence, sender.at, sender.missing = v.Sequence, now, v.Missing
	a.limiter.Reserve(now, c.missingPart(now))
	added := sender.seen.replace(now, v.Usage)
	a.limiter.Record(now, span, added.Workspaces)
	if a.services != nil && len(added.Services) > 0 {
		a.services.Record(now, added.Services)
	}
}

// missingEntries returns how many entries this replica has lost within missingTime, less those that have connected.
func (c *Controller) missingEntries(now time.Time) int {
	a := &c.admission
	a.lost = dropBefore(a.lost, now.Add(-missingTime))
	a.joined = dropBefore(a.joined, now.Add(-missingTime))
	missing := len(a.lost) - len(a.joined)
	for _, e := range c.entries {
		if silent := now.Sub(e.heardAt); !e.disconnected && silent > silentEntryTimeout && silent <= missingTime {
			missing++
		}
	}
	return missing
}

func dropBefore(times []time.Time, at time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(at) })
}

// noteJoined and noteLost record that an entry has connected or disconnected.
func (a *admission) noteJoined(now time.Time) {
	a.joined = append(dropBefore(a.joined, now.Add(-missingTime)), now)
}

func (a *admission) noteLost(now time.Time, e *entry) {
	if now.Sub(e.heardAt) <= missingTime {
		a.lost = append(dropBefore(a.lost, now.Add(-missingTime)), e.heardAt)
	}
}

// missingPart returns the part of the limits that is kept for entries which nobody counts, as a leader.
func (c *Controller) missingPart(now time.Time) float64 {
	missing := 0
	for _, s := range c.admission.senders {
		if now.Sub(s.at) <= missingTime {
			missing += s.missing
		}
	}
	if missing <= 0 {
		return 0
	}
	return min(missingWeight*float64(missing)/float64(c.knownEntries(now)+missing), maxMissing)
}

// hasDecisions reports whether this replica leads and may have to change shares.
func (a *admission) hasDecisions() bool {
	return a.limiter != nil && (a.limiter.Due() || a.services != nil && a.services.Due())
}

// sendAdmissionIfDue decides on shares as the leader, and sends them to all if they have changed.
func (c *Controller) sendAdmissionIfDue(now time.Time) {
	a := &c.admission
	if !a.hasDecisions() || now.Before(a.nextUpdate) || !c.inContactWithQuorum(now) {
		return
	}
	a.nextUpdate = now.Add(admissionInterval)
	workspaces, changed := a.limiter.Shares(now)
	services, servicesChanged := a.latest.Services, false
	if a.services != nil {
		services, servicesChanged = a.services.Shares(now)
	}
	if !changed && !servicesChanged {
		return
	}
	c.recordRateLimits(a.latest.Workspaces, workspaces)
	version := max(a.latest.Version+1, a.term<<admissionTermBits)
	a.latest = messenger.AdmissionUpdate{Version: version, Workspaces: workspaces, Services: services}
	a.changedAt = now
	a.refreshAt = now.Add(admissionRepeatDelay)
	c.sendAdmissionToPeers()
	c.sendAdmissionToEntries()
}

// recordRateLimits records which workspaces have reached their rate limits, or are below them again.
func (c *Controller) recordRateLimits(before, after []messenger.WorkspaceAdmission) {
	isIn := func(list []messenger.WorkspaceAdmission, name string) bool {
		return slices.ContainsFunc(list, func(w messenger.WorkspaceAdmission) bool { return w.Workspace == name })
	}
	for _, w := range after {
		if !isIn(before, w.Workspace) {
			c.record(recorder.Event{Kind: recorder.KindRateLimitReached, Detail: fmt.Sprintf("workspace %s, share %.2f", w.Workspace, w.Share)})
		}
	}
	for _, w := range before {
		if !isIn(after, w.Workspace) {
			c.record(recorder.Event{Kind: recorder.KindRateLimitLeft, Detail: "workspace " + w.Workspace})
		}
	}
}

func (c *Controller) sendAdmissionToPeers() {
	for _, address := range c.peerAddresses() {
		c.emit(SendPeer{Address: address, Message: c.admission.latest})
	}
}

func (c *Controller) sendAdmissionToEntries() {
	for _, conn := range c.connections() {
		if c.entries[conn].initialised {
			c.emit(SendEntry{Conn: conn, Message: c.admission.latest})
		}
	}
}

// sendAdmission sends the shares to an entry that connects, which may have missed their last change.
func (c *Controller) sendAdmission(conn Conn) {
	if c.admission.latest.Version > 0 {
		c.emit(SendEntry{Conn: conn, Message: c.admission.latest})
	}
}

// refreshAdmission repeats the latest update to the replicas.
func (c *Controller) refreshAdmission(now time.Time) {
	a := &c.admission
	if a.refreshAt.IsZero() || now.Before(a.refreshAt) {
		return
	}
	a.refreshAt = time.Time{}
	if !c.isLeader() {
		return
	}
	if len(a.latest.Workspaces)+len(a.latest.Services) > 0 || now.Sub(a.changedAt) < admissionRefreshTime {
		a.refreshAt = now.Add(admissionRefreshInterval)
	}
	c.sendAdmissionToPeers()
}

// onAdmissionUpdate passes newer shares of the leader on to the entries.
func (c *Controller) onAdmissionUpdate(now time.Time, v messenger.AdmissionUpdate) {
	a := &c.admission
	if c.isLeader() || v.Version <= a.latest.Version {
		return
	}
	a.latest = v
	a.changedAt = now
	c.sendAdmissionToEntries()
}

// admissionDue returns when counts or shares are due next; zero while there is nothing to do.
func (c *Controller) admissionDue() time.Time {
	a := &c.admission
	due := a.refreshAt
	if !a.pending.isEmpty() {
		due = scheduler.Earliest(due, maxTime(a.relayAt, c.lastTick.Add(usageRelayInterval)))
	}
	if a.hasDecisions() {
		due = scheduler.Earliest(due, maxTime(a.nextUpdate, c.lastTick.Add(usageRelayInterval)))
	}
	return due
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// AdmissionStatus is the share of the calls of a workspace, or of one priority to a service, that entries admit.
type AdmissionStatus struct {
	Workspace string  `json:"workspace,omitempty"`
	Service   string  `json:"service,omitempty"`
	Priority  int     `json:"priority,omitempty"`
	Share     float64 `json:"share"`
}

// admissionStatuses returns the shares in force.
func (c *Controller) admissionStatuses() []AdmissionStatus {
	list := make([]AdmissionStatus, 0, len(c.admission.latest.Workspaces)+len(c.admission.latest.Services))
	for _, w := range c.admission.latest.Workspaces {
		list = append(list, AdmissionStatus{Workspace: w.Workspace, Share: w.Share})
	}
	for _, s := range c.admission.latest.Services {
		list = append(list, AdmissionStatus{Service: s.Service, Priority: s.Priority, Share: s.Share})
	}
	return list
}
