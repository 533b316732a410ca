package controller

import (
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
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
)

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
