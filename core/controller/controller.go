// Package controller implements the decisions of a control replica: the two replicated logs, the
// configuration leases of entries, the endpoint registry, the probe budgets and the membership.
// It does no input or output: Handle takes one input and the current time, and returns the
// actions to carry out, in order.
package controller

import (
	"math/rand/v2"
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// Timeouts and intervals of a controller.
const (
	// QuorumTimeout is the longest time since the last contact with a quorum in which a replica
	// may still grant configuration leases or budget shares.
	QuorumTimeout = time.Second
	// silentReplicaTimeout is the time since the last contact with a replica after which the
	// configuration leases of its entries have certainly expired.
	silentReplicaTimeout = QuorumTimeout + messenger.ConfigLeaseDuration + 500*time.Millisecond
	// ApplyTimeout is the default time that an operator waits for a change to be in effect.
	ApplyTimeout         = 8 * time.Second
	claimTimeout         = 5 * time.Second
	presenceInterval     = 500 * time.Millisecond
	clockAdvanceInterval = 30 * time.Second
	storeInterval        = time.Second
	// pushInterval is the minimum time between two configurations sent to the entries. It is far
	// below the time in which a change must be in effect.
	pushInterval = 200 * time.Millisecond
	// coldStartWindow is the time after its start in which a replica may send entries the state
	// that it has stored: several times what all replicas need to start and elect a leader.
	coldStartWindow      = 5 * time.Second
	shareRequestInterval = 2 * time.Second
)

// Lengths and sizes of a log above which a snapshot replaces it. A log may be as large as some snapshots, as each one is
// written whole.
const (
	configSnapshotThreshold = 256
	configSnapshotBytes     = 4 << 20
	configBytesPerSnapshot  = 2
	claimsSnapshotThreshold = 20_000
	claimsSnapshotBytes     = 16 << 20
	claimsBytesPerSnapshot  = 1
	// claimsThresholdPerKey is the number of log entries per stored key that a snapshot waits
	// for.
	claimsThresholdPerKey = 1
)

// Controller is the state machine of one control replica. It is not safe for concurrent use.
type Controller struct {
	self  replicator.Member
	peers []replicator.Member
	// joinOnly is set for a replica that must not bootstrap the groups.
	joinOnly bool
	// allowColdStart is set if entries may start with the state that a replica has stored.
	allowColdStart bool
	// upToDateAt is a time at which this replica was in contact with a quorum, and since when it has applied all that had
	// been committed by then; zero without one.
	upToDateAt time.Time
	// hadQuorumContact is set once this process has been in contact with a quorum, and stays set.
	hadQuorumContact bool
	// targetVoters is the intended number of voters; zero keeps every replica that ever joined.
	targetVoters int
	incarnation  uint64
	rand         *rand.Rand
	startedAt    time.Time

	config group
	claims group
	// committer and claimer hold the state after the last applied log entries.
	committer      *committer.Committer
	claimer        *claimer.Claimer
	claimerOptions []claimer.Option

	entries    map[Conn]*entry
	registry   *registrar.Registry
	peerUpdate messenger.RegistryUpdate
	// entryUpdate collects the changes that are sent to the entries at entryUpdateAt, which is
	// zero while there are none.
	entryUpdate   messenger.EndpointUpdate
	entryUpdateAt time.Time
	peerStates    map[string]*peerState

	// maxDocumentBytes is the size of the largest document that is accepted.
	maxDocumentBytes int
	pendingApplies   []pendingApply
	// pendingEvacuations are the orders whose operators wait for the reply.
	pendingEvacuations []pendingEvacuation
	pendingDepartures  []pendingDeparture
	pendingReads       []pendingRead
	lastReadID         uint64
	claimWaiters       map[claimID]claimWaiter
	// claimDeadlines lists the deadlines of claim waiters in order. It may include waiters that
	// have already been removed.
	claimDeadlines []claimDeadline
	// nextEntryExpiry is no later than the first removal of a disconnected entry; zero if there
	// is none.
	nextEntryExpiry time.Time

	// revisionInEffect is a revision that every entry with a configuration lease has applied. It
	// never decreases.
	revisionInEffect uint64
	// pushPending is set while the entries wait until nextPush for a configuration.
	pushPending bool
	nextPush    time.Time
	// lagging is set while this replica is not in contact with a quorum and has notified its
	// entries of that.
	lagging bool
	// removedLeasesUntil is the time by which the configuration leases of the entries of removed
	// replicas have expired.
	removedLeasesUntil time.Time
	lastMembers        replicator.Membership
	leader             replicator.ID

	replicaAllotters map[string]*allotter.Allotter
	shares           map[string]heldShare
	entryAllotters   map[string]*allotter.Allotter
	nextShareRequest time.Time
	// reportedEntries is the number of entries that the leader has last reported.
	reportedEntries  int
	nextPresence     time.Time
	nextClockAdvance time.Time
	permits          *permitter.Permitter
	// changedLimits are the limits that the entries, and if this replica leads the other replicas,
	// get at nextLimitUpdate at the earliest. At nextLimitRefresh a leader sends all limits.
	changedLimits    []permitter.EndpointLimit
	nextLimitUpdate  time.Time
	nextLimitRefresh time.Time
	admission        admission
	// sentLimits is set if the last list of all limits was not empty.
	sentLimits bool
	// lastInput is the time of the last input, and stoodStillAt when this process last noticed that it had stood still; zero if
	// it has not.
	lastInput    time.Time
	stoodStillAt time.Time
	// lastTick is the time of the last Tick.
	lastTick time.Time
	// nextStore is the earliest time at which the endpoints may be stored again. storedDigest is
	// the digest of the endpoints that were stored last.
	nextStore    time.Time
	storedDigest uint64
	// storedIndex is the index of the last StoreCommitted.
	storedIndex      uint64
	lastClockAdvance time.Time

	actions []Action
}

// Option configures a controller.
type Option func(*Controller)

// WithPeers sets the replicas that form the system, this one included. Without it, the replica
// forms a system of its own.
func WithPeers(peers []replicator.Member) Option {
	return func(c *Controller) { c.peers = peers }
}

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option {
	return func(c *Controller) { c.rand = source }
}

// WithRegistry replaces the endpoint registry, which has default settings otherwise.
func WithRegistry(r *registrar.Registry) Option {
	return func(c *Controller) { c.registry = r }
}

// WithoutBootstrap keeps a replica that has no stored state from bootstrapping new groups. It
// joins the existing ones instead.
func WithoutBootstrap() Option {
	return func(c *Controller) { c.joinOnly = true }
}

// WithColdStart lets a replica that has just started send its latest accepted configuration to
// entries that have none, before a quorum can confirm it. This configuration may be out of date,
// but it was certainly accepted.
func WithColdStart() Option {
	return func(c *Controller) { c.allowColdStart = true }
}

// WithVoters sets the number of voters. Once there are more, the voter that has been silent for
// longest is removed, so that a replica at another address can replace a lost one.
func WithVoters(voters int) Option {
	return func(c *Controller) { c.targetVoters = voters }
}

// WithClaimerOptions sets the limits of the claims. All replicas must use the same ones.
func WithClaimerOptions(opts ...claimer.Option) Option {
	return func(c *Controller) { c.claimerOptions = opts }
}

// StoredState is the content of a replica's data folder when it starts.
type StoredState struct {
	Config replicator.Stored
	Claims replicator.Stored
	// Endpoints are the endpoints that were stored last before the replica stopped.
	Endpoints []registrar.Announcement
}

// New returns the controller of the replica self, restored from its stored state.
func New(now time.Time, self replicator.Member, disk StoredState, opts ...Option) (*Controller, error) {
	c := &Controller{
		self:             self,
		startedAt:        now,
		entries:          make(map[Conn]*entry),
		registry:         registrar.New(),
		peerStates:       make(map[string]*peerState),
		claimWaiters:     make(map[claimID]claimWaiter),
		replicaAllotters: make(map[string]*allotter.Allotter),
		shares:           make(map[string]heldShare),
		entryAllotters:   make(map[string]*allotter.Allotter),
		permits:          permitter.New(),
		admission:        newAdmission(now),
		maxDocumentBytes: validator.MaxDocumentBytes,
		lastClockAdvance: now,
		nextPresence:     now,
		nextShareRequest: now,
		nextStore:        now,
		nextClockAdvance: now,
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rand == nil {
		c.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.incarnation = c.rand.Uint64()
	if len(disk.Config.Snapshot.Members) > 0 {
		// Another replica may have been removed just before this process started.
		c.removedLeasesUntil = now.Add(silentReplicaTimeout)
	}
	if err := c.startGroups(now, disk); err != nil {
		return nil, err
	}
	c.processOutputs(now) // apply what was committed before the start
	c.updateRegistry(now, disk.Endpoints)
	c.announceDepartures(now)
	c.peerUpdate = messenger.RegistryUpdate{} // the peers know these endpoints
	c.actions = nil
	return c, nil
}

// startGroups starts both groups from their stored state.
func (c *Controller) startGroups(now time.Time, disk StoredState) error {
	for _, id := range messenger.Groups {
		stored := disk.Config
		if id == messenger.GroupClaims {
			stored = disk.Claims
		}
		if err := c.startGroup(now, id, stored); err != nil {
			return err
		}
	}
	return nil
}

// startGroup creates the replica of a group and restores the state of its snapshot.
func (c *Controller) startGroup(now time.Time, id messenger.Group, stored replicator.Stored) error {
	source := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	g := c.group(id)
	check := func(data []byte) error {
		state, err := c.decodeState(id, data)
		g.received = receivedState{data, state}
		return err
	}
	replica, err := replicator.New(now, c.self.ID, stored, replicator.WithRand(source), replicator.WithSnapshotCheck(check))
	if err != nil {
		return err
	}
	*g = group{id: id, replica: replica, applied: stored.Snapshot.Index}
	state, err := c.decodeState(id, stored.Snapshot.Data)
	if err != nil {
		return err
	}
	c.replaceState(state)
	return nil
}

// groupState is the state of one group: one of the fields is set.
type groupState struct {
	committer *committer.Committer
	claimer   *claimer.Claimer
}

// receivedState is the state that was decoded from the data of a snapshot.
type receivedState struct {
	data  []byte
	state groupState
}

// isFrom reports whether the state was decoded from this data, by identity.
func (r receivedState) isFrom(data []byte) bool {
	return len(r.data) == len(data) && len(data) > 0 && &r.data[0] == &data[0]
}

// decodeState decodes the state of a group from a snapshot.
func (c *Controller) decodeState(id messenger.Group, data []byte) (s groupState, err error) {
	if id == messenger.GroupClaims {
		s.claimer, err = claimer.Restore(data, c.claimerOptions...)
		return s, err
	}
	s.committer, err = committer.Restore(data)
	return s, err
}

func (c *Controller) replaceState(s groupState) {
	switch {
	case s.claimer != nil:
		c.claimer = s.claimer
	case s.committer != nil:
		c.committer = s.committer
	}
}

// announceDepartures enters the departures of a restored state in the registry.
func (c *Controller) announceDepartures(now time.Time) {
	c.registerDepartures(now, c.committer.Departures())
}

// Handle processes one input. The returned actions are valid until the next call.
func (c *Controller) Handle(now time.Time, input Input) []Action {
	c.actions = c.actions[:0]
	c.noteInput(now)
	switch v := input.(type) {
	case Tick:
		c.tick(now)
	case PeerMessage:
		c.onPeer(now, v.Message)
	case EntryMessage:
		c.onEntry(now, v.Conn, v.Message)
	case EntryDisconnected:
		c.onEntryDisconnected(now, v.Conn)
	case Persisted:
		c.onPersisted(now, v)
	case Apply:
		c.onApply(now, v)
	case Evacuate:
		c.onEvacuate(now, v)
	case Withdraw:
		c.dropEvacuations(func(p pendingEvacuation) bool { return p.request == v.Request && !p.proposed && !p.stored })
	case Announce:
		c.onAnnounce(now, v)
	case ReadDocument:
		c.startRead(now, pendingRead{request: v.Request})
	case Resumed:
		c.onResumed(now)
	case TransferLeadership:
		c.transferLeadership(now)
	}
	c.processOutputs(now)
	return c.actions
}

// onResumed forgets all contact from before a suspension, and the shares that came with it: by the clock, they may seem recent.
func (c *Controller) onResumed(now time.Time) {
	c.upToDateAt = time.Time{}
	c.config.replica.Resume(now)
	c.claims.replica.Resume(now)
	clear(c.shares)
	c.onStoodStill(now)
}

func (c *Controller) tick(now time.Time) {
	c.lastTick = now
	c.config.replica.Tick(now)
	c.claims.replica.Tick(now)
	c.bootstrap(now)
	c.updateMembership(now)
	c.sendPresence(now)
	c.removeExpiredEntries(now)
	c.updateLagging(now)
	c.pushConfigIfDue(now)
	c.sendEntryUpdateIfDue(now)
	c.expirePendingReads(now)
	c.expireClaimWaiters(now)
	c.advanceClaimsClock(now)
	c.requestShares(now)
	c.refreshLimits(now)
	c.sendLimitsIfDue(now)
	c.updateAdmission(now)
	c.updateRevisionInEffect(now)
	c.replyToApplies(now)
	c.replyToEvacuations(now)
	c.replyToDepartures(now)
	c.storeIfDue(now)
}

func (c *Controller) transferLeadership(now time.Time) {
	for _, id := range messenger.Groups {
		if next, err := c.group(id).replica.TransferLeadership(now); err == nil {
			c.record(recorder.Event{Kind: recorder.KindLeaderChanged, Detail: id.String() + " handed over to " + c.nameOf(next)})
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) record(e recorder.Event) { c.emit(Record{Event: e}) }

// inContactWithQuorum reports whether a quorum has followed the same leader as this replica
// within QuorumTimeout.
func (c *Controller) inContactWithQuorum(now time.Time) bool {
	at := c.config.replica.LastQuorumContact()
	return !at.IsZero() && now.Sub(at) <= QuorumTimeout
}

// noteUpToDate takes the last contact with a quorum as the time up to which this replica knows everything, if it has
// applied all entries that it knows as committed. It applies them only after it has synced those that came with them.
func (c *Controller) noteUpToDate() {
	if c.config.applied >= c.config.replica.Commit() {
		c.upToDateAt = c.config.replica.LastQuorumContact()
	}
}

// mayGrantLeases reports whether this replica knows everything that was committed within QuorumTimeout, so that the
// entries at its revision are up to date.
func (c *Controller) mayGrantLeases(now time.Time) bool {
	return c.inContactWithQuorum(now) && !c.upToDateAt.IsZero() && now.Sub(c.upToDateAt) <= QuorumTimeout
}

func (c *Controller) isLeader() bool { return c.config.replica.Role() == replicator.RoleLeader }
