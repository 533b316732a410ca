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
	// QuorumWindow is how old the word of a majority may be for a replica to give
	// standing or shares.
	QuorumWindow = time.Second
	// silentAfter is when the entries of a replica that was last heard this long
	// ago have surely lost their standing.
	silentAfter = QuorumWindow + messenger.ConfigLeaseDuration + 500*time.Millisecond
	// ApplyTimeout is how long an operator waits for a change to be in force.
	ApplyTimeout     = 8 * time.Second
	claimTimeout     = 5 * time.Second
	presenceInterval = 500 * time.Millisecond
	advanceInterval  = 30 * time.Second
	storeInterval    = time.Second
	// pushInterval is the least time between two configurations that entries are sent: far
	// below the time in which a change is to be in force.
	pushInterval = 200 * time.Millisecond
	// coldStartTime is how long after its start a replica may give what it knew: some
	// times what all replicas need to start and elect a leader.
	coldStartTime = 5 * time.Second
	shareInterval = 2 * time.Second
)

// Log lengths at which a snapshot replaces the log.
const (
	configLogLength = 256
	claimsLogLength = 20_000
	// claimsLogPerKey is how many entries a key may add before a snapshot.
	claimsLogPerKey = 1
)

// Controller is the machine of one control replica. It is not safe for
// concurrent use.
type Controller struct {
	self  replicator.Member
	peers []replicator.Member
	// joins is set for a replica that may not found the system.
	joins bool
	// coldStart is set where entries may begin with what a replica knew at its start.
	coldStart bool
	// heardMajority is set once this process has heard a majority; it stays set.
	heardMajority bool
	// size is how many voters the system has; zero keeps all that ever joined.
	size    int
	run     uint64
	rand    *rand.Rand
	started time.Time

	config group
	claims group
	// committer and claimer hold the state after the last applied entries.
	committer *committer.Committer
	claimer   *claimer.Claimer
	claimOpts []claimer.Option

	entries  map[Conn]*entry
	registry *registrar.Registry
	news     messenger.RegistryUpdate
	// untold are the changes that entries are told at tellAt; zero while there are none.
	untold   messenger.EndpointUpdate
	tellAt   time.Time
	presence map[string]*peer

	applies      []pendingApply
	departures   []pendingDeparture
	reads        []pendingRead
	nextRead     uint64
	claimWaiters map[claimID]claimWaiter
	// claimsInOrder are waits in the order in which they end, also some that are over.
	claimsInOrder []claimWait
	// lostUntil is not later than when the first lost entry is forgotten; zero without one.
	lostUntil time.Time

	// inForce is a revision that every entry in standing has; it never falls.
	inForce uint64
	// pushDue is set while entries wait for the configuration, until nextPush.
	pushDue  bool
	nextPush time.Time
	// lagging is set while this replica hears no majority and entries are told so.
	lagging bool
	// departedUntil is when the entries of removed replicas have lost standing.
	departedUntil time.Time
	memberIDs     replicator.Membership
	leader        replicator.ID

	budgets     map[string]*allotter.Allotter
	shares      map[string]heldShare
	subShares   map[string]*allotter.Allotter
	nextShare   time.Time
	nextBeat    time.Time
	nextAdvance time.Time
	// tickedAt is when time last passed here.
	tickedAt time.Time
	// nextStore is when the endpoints may be stored again, and storedDigest tells
	// whether they have changed since they were.
	nextStore    time.Time
	storedDigest uint64
	// storedIndex is the index of the last StoreCommitted.
	storedIndex uint64
	lastAdvance time.Time

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
	return func(c *Controller) { c.joins = true }
}

// WithColdStart lets a replica that has started just now give entries without a
// configuration the last one that it knows was accepted, before a majority is there to
// confirm it. It may be behind, but never ahead.
func WithColdStart() Option {
	return func(c *Controller) { c.coldStart = true }
}

// WithVoters sets how many voters the system has. A replica at another place takes
// over from one that has been silent for long, once there are more.
func WithVoters(voters int) Option {
	return func(c *Controller) { c.size = voters }
}

// WithClaims sets the bounds of the claims. All replicas must agree on them.
func WithClaims(opts ...claimer.Option) Option {
	return func(c *Controller) { c.claimOpts = opts }
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
		self:         self,
		started:      now,
		entries:      make(map[Conn]*entry),
		registry:     registrar.New(),
		presence:     make(map[string]*peer),
		claimWaiters: make(map[claimID]claimWaiter),
		budgets:      make(map[string]*allotter.Allotter),
		shares:       make(map[string]heldShare),
		subShares:    make(map[string]*allotter.Allotter),
		lastAdvance:  now,
		nextBeat:     now,
		nextShare:    now,
		nextStore:    now,
		nextAdvance:  now,
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rand == nil {
		c.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.run = c.rand.Uint64()
	if len(disk.Config.Snapshot.Members) > 0 {
		// A replica may have been removed just before this process started.
		c.departedUntil = now.Add(silentAfter)
	}
	if err := c.load(now, disk); err != nil {
		return nil, err
	}
	c.pump(now) // what was committed before the start
	c.takeIn(now, disk.Endpoints)
	c.relist(now)
	c.news = messenger.RegistryUpdate{} // the others know these
	c.actions = nil
	return c, nil
}

// load starts both groups from the disk.
func (c *Controller) load(now time.Time, disk StoredState) error {
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
	return c.restore(id, stored.Snapshot.Data)
}

// restore replaces the state of a group by a snapshot.
func (c *Controller) restore(id messenger.Group, data []byte) (err error) {
	if id == messenger.GroupClaims {
		c.claimer, err = claimer.Restore(data, c.claimOpts...)
		return err
	}
	c.committer, err = committer.Restore(data)
	return err
}

// relist announces the departures of a restored state.
func (c *Controller) relist(now time.Time) {
	c.takeIn(now, c.committer.Departures())
}

// Handle reacts to one input. The actions are valid until the next call.
func (c *Controller) Handle(now time.Time, in Input) []Action {
	c.actions = c.actions[:0]
	switch v := in.(type) {
	case Tick:
		c.tick(now)
	case PeerMessage:
		c.onPeer(now, v.Message)
	case EntryMessage:
		c.onEntry(now, v.Conn, v.Message)
	case EntryDisconnected:
		c.onEntryLost(now, v.Conn)
	case Persisted:
		c.onPersisted(now, v)
	case Apply:
		c.onApply(now, v)
	case Announce:
		c.onAnnounce(now, v)
	case ReadDocument:
		c.startRead(now, pendingRead{request: v.Request})
	case TransferLeadership:
		c.handOver(now)
	}
	c.pump(now)
	return c.actions
}

func (c *Controller) tick(now time.Time) {
	c.tickedAt = now
	c.config.replica.Tick(now)
	c.claims.replica.Tick(now)
	c.found(now)
	c.admitPeers(now)
	c.sayPresence(now)
	c.expireEntries(now)
	c.noteLagging(now)
	c.pushInTime(now)
	c.tellInTime(now)
	c.expireReads(now)
	c.expireClaims(now)
	c.advanceClaims(now)
	c.askShares(now)
	c.updateInForce(now)
	c.answerApplies(now)
	c.answerDepartures(now)
	c.store(now)
}

func (c *Controller) handOver(now time.Time) {
	for _, id := range messenger.Groups {
		if next, err := c.group(id).replica.TransferLeadership(now); err == nil {
			c.record(recorder.Event{Kind: recorder.KindLeaderChanged, Detail: id.String() + " handed over to " + c.nameOf(next)})
		}
	}
}

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) record(e recorder.Event) { c.do(Record{Event: e}) }

// hearsMajority reports whether a majority surely stood behind the leader that
// this replica follows, not long ago.
func (c *Controller) hearsMajority(now time.Time) bool {
	at := c.config.replica.LastQuorumContact()
	return !at.IsZero() && now.Sub(at) <= QuorumWindow
}

func (c *Controller) leads() bool { return c.config.replica.Role() == replicator.RoleLeader }
