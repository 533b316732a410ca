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

// newAdmission returns the state of a replica that starts. It doesn't know when there was last a leader: where all
// replicas restart, the first counts are those of a time without one.
func newAdmission(now time.Time) admission {
	return admission{pending: newUsageSum(), relayed: newUsageSum(), relayedAt: now.Add(-maxUsageAge)}
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
