// Package controller decides everything that one control replica decides: the
// two replicated logs, the standing of entries, the endpoint registry, the
// watching budget and membership. It does no input or output: Handle takes one
// input with the present time and returns the actions to carry out in order.
package controller

import (
	"math/rand/v2"
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
)

// Timing of a controller.
const (
	// QuorumTimeout is how old the word of a majority may be for a replica to give
	// standing or shares.
	QuorumTimeout = time.Second
	// silentReplicaTimeout is when the entries of a replica that was last heard this long
	// ago have surely lost their standing.
	silentReplicaTimeout = QuorumTimeout + messenger.StandingLease + 500*time.Millisecond
	// ApplyTimeout is how long an operator waits for a change to be in force.
	ApplyTimeout         = 8 * time.Second
	claimTimeout         = 5 * time.Second
	presenceInterval     = 500 * time.Millisecond
	clockAdvanceInterval = 30 * time.Second
	storeInterval        = time.Second
	// pushInterval is the least time between two configurations that entries are sent: far
	// below the time in which a change is to be in force.
	pushInterval = 200 * time.Millisecond
	// coldStartWindow is how long after its start a replica may give what it knew: some
	// times what all replicas need to start and elect a leader.
	coldStartWindow      = 5 * time.Second
	shareRequestInterval = 2 * time.Second
)

// Log lengths at which a snapshot replaces the log.
const (
	configSnapshotThreshold = 256
	claimsSnapshotThreshold = 20_000
	// claimsThresholdPerKey is how many entries a key may add before a snapshot.
	claimsThresholdPerKey = 1
)

// Controller is the machine of one control replica. It is not safe for
// concurrent use.
type Controller struct {
	self  replicator.Member
	peers []replicator.Member
	// joinOnly is set for a replica that may not found the system.
	joinOnly bool
	// allowColdStart is set where entries may begin with what a replica knew at its start.
	allowColdStart bool
	// hadQuorumContact is set once this process has heard a majority; it stays set.
	hadQuorumContact bool
	// voters is how many voters the system has; zero keeps all that ever joined.
	voters      int
	incarnation uint64
	rand        *rand.Rand
	startedAt   time.Time

	config group
	claims group
	// committer and claimer hold the state after the last applied entries.
	committer      *committer.Committer
	claimer        *claimer.Claimer
	claimerOptions []claimer.Option

	entries    map[Conn]*entry
	registry   *registrar.Registry
	peerUpdate messenger.EndpointNews
	// entryUpdate are the changes that entries are told at tellAt; zero while there are none.
	entryUpdate   messenger.Endpoints
	entryUpdateAt time.Time
	peerStates    map[string]*peerState

	pendingApplies    []pendingApply
	pendingDepartures []pendingDeparture
	pendingReads      []pendingRead
	lastReadID        uint64
	claimWaiters      map[claimID]claimWaiter
	// claimDeadlines are waits in the order in which they end, also some that are over.
	claimDeadlines []claimDeadline
	// nextEntryExpiry is not later than when the first lost entry is forgotten; zero without one.
	nextEntryExpiry time.Time

	// revisionInEffect is a revision that every entry in standing has; it never falls.
	revisionInEffect uint64
	// pushPending is set while entries wait for the configuration, until nextPush.
	pushPending bool
	nextPush    time.Time
	// lagging is set while this replica hears no majority and entries are told so.
	lagging bool
	// removedLeasesUntil is when the entries of removed replicas have lost standing.
	removedLeasesUntil time.Time
	lastMembers        replicator.Membership
	lastLeader         replicator.ID

	replicaAllotters map[string]*allotter.Allotter
	heldShares       map[string]heldShare
	entryAllotters   map[string]*allotter.Allotter
	nextShareRequest time.Time
	nextPresence     time.Time
	nextClockAdvance time.Time
	// lastTick is when time last passed here.
	lastTick time.Time
	// nextStore is when the endpoints may be stored again, and storedDigest tells
	// whether they have changed since they were.
	nextStore    time.Time
	storedDigest uint64
	// storedIndex is the index of the last StoreCommitted.
	storedIndex      uint64
	lastClockAdvance time.Time

	actions []Action
}

// Option sets up a controller.
type Option func(*Controller)

// WithPeers sets the replicas that are to form the system, this one included.
// Without it a replica works alone.
func WithPeers(peers []replicator.Member) Option {
	return func(c *Controller) { c.peers = peers }
}

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option {
	return func(c *Controller) { c.rand = source }
}

// WithRegistry sets how endpoints are kept.
func WithRegistry(r *registrar.Registry) Option {
	return func(c *Controller) { c.registry = r }
}

// WithoutBootstrap keeps a replica with an empty disk from founding the system: it
// joins the one that exists.
func WithoutBootstrap() Option {
	return func(c *Controller) { c.joinOnly = true }
}

// WithColdStart lets a replica that has started just now give entries without a
// configuration the last one that it knows was accepted, before a majority is there to
// confirm it. It may be behind, but never ahead.
func WithColdStart() Option {
	return func(c *Controller) { c.allowColdStart = true }
}

// WithVoters sets how many voters the system has. A replica at another place takes
// over from one that has been silent for long, once there are more.
func WithVoters(voters int) Option {
	return func(c *Controller) { c.voters = voters }
}

// WithClaimerOptions sets the bounds of the claims. All replicas must agree on them.
func WithClaimerOptions(opts ...claimer.Option) Option {
	return func(c *Controller) { c.claimerOptions = opts }
}

// StoredState is what a replica finds in its data folder when it starts.
type StoredState struct {
	Config replicator.Stored
	Claims replicator.Stored
	// Endpoints are those that were known a little before the replica stopped.
	Endpoints []registrar.Announcement
}

// New returns the controller of a replica.
func New(now time.Time, self replicator.Member, disk StoredState, opts ...Option) (*Controller, error) {
	c := &Controller{
		self:             self,
		startedAt:        now,
		entries:          make(map[Conn]*entry),
		registry:         registrar.New(),
		peerStates:       make(map[string]*peerState),
		claimWaiters:     make(map[claimID]claimWaiter),
		replicaAllotters: make(map[string]*allotter.Allotter),
		heldShares:       make(map[string]heldShare),
		entryAllotters:   make(map[string]*allotter.Allotter),
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
		// A replica may have been removed just before this process started.
		c.removedLeasesUntil = now.Add(silentReplicaTimeout)
	}
	if err := c.startGroups(now, disk); err != nil {
		return nil, err
	}
	c.processOutputs(now) // what was committed before the start
	c.updateRegistry(now, disk.Endpoints)
	c.announceDepartures(now)
	c.peerUpdate = messenger.EndpointNews{} // the others know these
	c.actions = nil
	return c, nil
}

// startGroups starts both groups from the disk.
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

// startGroup makes the replica of a group and the state of its snapshot.
func (c *Controller) startGroup(now time.Time, id messenger.Group, stored replicator.Stored) error {
	source := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	replica, err := replicator.New(now, c.self.ID, stored, replicator.WithRand(source))
	if err != nil {
		return err
	}
	*c.group(id) = group{id: id, replica: replica, applied: stored.Snapshot.Index}
	return c.restoreState(id, stored.Snapshot.Data)
}

// restoreState replaces the state of a group by a snapshot.
func (c *Controller) restoreState(id messenger.Group, data []byte) (err error) {
	if id == messenger.GroupClaims {
		c.claimer, err = claimer.Restore(data, c.claimerOptions...)
		return err
	}
	c.committer, err = committer.Restore(data)
	return err
}

// announceDepartures announces the departures of a restored state.
func (c *Controller) announceDepartures(now time.Time) {
	c.updateRegistry(now, c.committer.Departures())
}

// Handle reacts to one input. The actions are valid until the next call.
func (c *Controller) Handle(now time.Time, input Input) []Action {
	c.actions = c.actions[:0]
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
	case Announce:
		c.onAnnounce(now, v)
	case ReadDocument:
		c.startRead(now, pendingRead{request: v.Request})
	case TransferLeadership:
		c.transferLeadership(now)
	}
	c.processOutputs(now)
	return c.actions
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
	c.updateRevisionInEffect(now)
	c.replyToApplies(now)
	c.replyToDepartures(now)
	c.storeIfDue(now)
}

func (c *Controller) transferLeadership(now time.Time) {
	for _, id := range messenger.Groups {
		if next, err := c.group(id).replica.HandOver(now); err == nil {
			c.record(recorder.Event{Kind: recorder.KindLeader, Detail: id.String() + " handed over to " + c.nameOf(next)})
		}
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) record(e recorder.Event) { c.emit(Record{Event: e}) }

// inContactWithQuorum reports whether a majority surely stood behind the leader that
// this replica follows, not long ago.
func (c *Controller) inContactWithQuorum(now time.Time) bool {
	at := c.config.replica.QuorumAt()
	return !at.IsZero() && now.Sub(at) <= QuorumTimeout
}

func (c *Controller) isLeader() bool { return c.config.replica.Role() == replicator.RoleLeader }
