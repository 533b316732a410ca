// Package replicator decides what one replica of a replicated log does: terms,
// votes, appends, snapshots, membership and confirmed reads. It does no input or
// output. The caller hands it messages and the present time, and carries out
// the Output that it collects.
//
// Safety rests on the order of the Output: what is to be synced is synced
// before a message of the same Output leaves.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Errors of a replica.
var (
	ErrNoLeader       = errors.New("no leader is known")
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrChangePending  = errors.New("another membership change is under way")
	ErrChangeTooLarge = errors.New("a membership change may add or remove one voter")
)

// Timing of a replica.
const (
	DefaultHeartbeatInterval  = 150 * time.Millisecond
	DefaultMinElectionTimeout = 450 * time.Millisecond
	DefaultMaxElectionTimeout = 900 * time.Millisecond
)

// Bounds on what is sent at once.
const (
	maxEntriesPerAppend = 512
	maxBytesPerAppend   = 1 << 20
	snapshotPieceBytes  = 256 << 10
	maxUnackedAppends   = 8
)

// Role is what a replica is in its term.
type Role uint8

// The roles of a replica.
const (
	RoleFollower Role = iota + 1
	RoleCandidate
	RoleLeader
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "follower"
}

// HardState must be synced before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote ID
}

// Output is what the caller must carry out, in the order of the fields.
type Output struct {
	// State is nil when it has not changed.
	State *HardState
	// Snapshot replaces the whole log and state.
	Snapshot *Snapshot
	// Entries are appended to the journal; an entry whose index is there already
	// replaces it and all that follow.
	Entries []Entry
	// Messages leave after State, Snapshot and Entries are synced.
	Messages []Envelope
	// Committed entries follow each other without gaps.
	Committed []Entry
	// Reads lists the reads that became safe.
	Reads []Read
}

// Empty reports whether there is nothing to carry out.
func (o Output) Empty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// Read is a confirmed read: state that includes Index is not behind any state
// that was accepted before the read began.
type Read struct {
	ID, Index uint64
}

// Stored is what a replica finds on its disk when it starts.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	// Entries follow the snapshot without gaps.
	Entries []Entry
	// Committed was known to be committed before the replica stopped; zero when that is
	// not known. It may be behind, and the log may lack it.
	Committed Position
}

// Replica is one replica of a group. It is not safe for concurrent use.
type Replica struct {
	id          ID
	heartbeat   time.Duration
	electionMin time.Duration
	electionMax time.Duration
	rand        *rand.Rand
	epoch       time.Time
	// run differs between the starts of a process.
	run uint64

	role   Role
	state  HardState
	leader ID
	log    log
	// members is the latest membership in the log, committed or not.
	members Membership
	// membersIndex is the entry that members comes from.
	membersIndex uint64
	// commit never falls, and never exceeds what a majority has synced.
	commit uint64
	// emitted is the last committed index handed out in an Output; emitted <= commit.
	emitted uint64
	// synced is the last index on the own disk; synced <= log.lastIndex().
	synced uint64
	// stored is the snapshot that log.baseIndex stands for.
	stored Snapshot
	// incoming collects the pieces of a snapshot.
	incoming *Snapshot

	// electAt is when a follower or candidate starts the next election.
	electAt time.Time
	// heardLeader is when the last message of the current leader came.
	heardLeader time.Time
	// quorumAt is a time at or before which a majority surely followed the leader
	// of this term; zero when unknown.
	quorumAt time.Time
	// beatAt is when the leader's next round is due, and broadcastAt when the last one was.
	beatAt      time.Time
	broadcastAt time.Time
	// report is the word for the leader that goes with each reply.
	report uint64

	campaignPre  bool
	handover     bool
	votes        map[ID]bool
	progress     map[ID]*progress
	termStart    uint64
	electedAt    time.Time
	takeOverTo   ID
	takeOverEnd  time.Time
	reads        []pendingRead
	remoteReads  map[uint64]time.Time
	pendingState bool

	out Output
}

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be synced there; match < next.
	match, next uint64
	// round is the latest of the leader's times that the member has returned.
	round time.Duration
	// sent is the latest of the member's own times.
	sent    time.Duration
	run     uint64
	heard   time.Time
	report  uint64
	unacked int
	// probing is set until the first agreement after an election or a rejection.
	probing bool
	// offset is how much of snapshotIndex has arrived.
	snapshotIndex uint64
	offset        int
}

type pendingRead struct {
	id    uint64
	from  ID
	since time.Time
}

// Option sets up a replica.
type Option func(*Replica)

// WithTiming sets the heartbeat interval and the range of the election timeout.
func WithTiming(heartbeat, electionMin, electionMax time.Duration) Option {
	return func(r *Replica) {
		r.heartbeat = heartbeat
		r.electionMin = electionMin
		r.electionMax = electionMax
	}
}

// WithRand sets the source of election timeouts.
func WithRand(source *rand.Rand) Option {
	return func(r *Replica) { r.rand = source }
}

// New returns a replica that starts from what its disk holds.
func New(now time.Time, id ID, stored Stored, opts ...Option) (*Replica, error) {
	r := &Replica{
		id:          id,
		heartbeat:   DefaultHeartbeatInterval,
		electionMin: DefaultMinElectionTimeout,
		electionMax: DefaultMaxElectionTimeout,
		epoch:       now,
		role:        RoleFollower,
		state:       stored.State,
		stored:      stored.Snapshot,
		members:     stored.Snapshot.Members,
		heardLeader: now,
		remoteReads: make(map[uint64]time.Time),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.rand == nil {
		r.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	r.run = r.rand.Uint64()
	r.log = log{baseIndex: stored.Snapshot.Index, baseTerm: stored.Snapshot.Term}
	r.log.append(stored.Entries...)
	r.membersIndex = stored.Snapshot.Index
	r.commit = stored.Snapshot.Index
	r.emitted = stored.Snapshot.Index
	r.synced = r.log.lastIndex()
	if err := r.adoptMembership(stored.Entries); err != nil {
		return nil, err
	}
	r.commitStored(stored.Committed)
	r.resetElection(now)
	r.hastenElection(now)
	return r, nil
}

// commitStored takes up what was committed before the start. What is committed is never
// replaced, so it holds before a leader is known.
func (r *Replica) commitStored(p Position) {
	if term, ok := r.log.term(p.Index); ok && term == p.Term {
		r.commit = max(r.commit, p.Index)
	}
}

// hastenElection lets a replica that knows of no leader campaign early: after its own
// start, or a campaign that nobody won. Where there is a leader the others don't grant
// it a vote. The wide spread keeps replicas that start together apart.
func (r *Replica) hastenElection(now time.Time) {
	shortest := r.electionMin / 4
	r.electAt = now.Add(shortest + time.Duration(r.rand.Int64N(int64(r.electionMin-shortest)+1)))
}

// Bootstrap returns the disk of a new group with one voter.
func Bootstrap(first Member) Stored {
	first.Voter = true
	return Stored{
		State:    HardState{Term: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: Membership{first}},
	}
}

// ID returns the replica's identity.
func (r *Replica) ID() ID { return r.id }

// Role returns what the replica is.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.state.Term }

// Leader returns the leader of the term, or "" when none is known.
func (r *Replica) Leader() ID { return r.leader }

// Members returns the latest membership.
func (r *Replica) Members() Membership { return r.members }

// Commit returns the last index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Position returns the entry at an index, if the log still knows it.
func (r *Replica) Position(index uint64) (Position, bool) {
	term, ok := r.log.term(index)
	return Position{Index: index, Term: term}, ok
}

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// LogLength returns the number of entries after the snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }

// Entries returns the entries after the snapshot.
func (r *Replica) Entries() []Entry {
	return r.log.slice(r.log.baseIndex+1, r.log.lastIndex(), len(r.log.entries))
}

// LastQuorumContact returns a time at which a majority is known to have followed the
// leader of this term. Zero means that none is known.
func (r *Replica) LastQuorumContact() time.Time { return r.quorumAt }

// ElectedAt returns when this replica became leader.
func (r *Replica) ElectedAt() time.Time { return r.electedAt }

// SetReport sets the word that goes to the leader with each reply.
func (r *Replica) SetReport(report uint64) { r.report = report }

// Report returns the latest report of a member and when it came.
func (r *Replica) Report(id ID) (report uint64, heard time.Time) {
	p, ok := r.progress[id]
	if !ok {
		return 0, r.electedAt
	}
	return p.report, p.heard
}

// MatchIndex returns the last index known to be synced at a member.
func (r *Replica) MatchIndex(id ID) uint64 {
	if p, ok := r.progress[id]; ok {
		return p.match
	}
	return 0
}

// TakeOutput returns what has been collected and starts a new Output.
func (r *Replica) TakeOutput() Output {
	if r.role == RoleLeader {
		r.sendPending()
	}
	if r.pendingState {
		state := r.state
		r.out.State = &state
		r.pendingState = false
	}
	if r.commit > r.emitted {
		r.out.Committed = r.log.slice(r.emitted+1, r.commit, int(r.commit-r.emitted))
		r.emitted = r.commit
	}
	out := r.out
	r.out = Output{}
	return out
}

// Synced tells that the entries of an Output are on the own disk.
func (r *Replica) Synced(now time.Time, out Output) {
	if len(out.Entries) == 0 {
		return
	}
	last := out.Entries[len(out.Entries)-1]
	if term, ok := r.log.term(last.Index); ok && term == last.Term {
		r.synced = max(r.synced, last.Index)
	}
	if r.role == RoleLeader {
		r.advanceCommit(now)
	}
}

// Compact replaces the log up to an index by a snapshot of the state there. The
// caller has synced the snapshot.
func (r *Replica) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index <= r.log.baseIndex || index > r.emitted {
		return Snapshot{}, false
	}
	term, _ := r.log.term(index)
	members := r.membershipAt(index)
	r.stored = Snapshot{Index: index, Term: term, Members: members, Data: data}
	r.log.compact(index, term)
	return r.stored, true
}

// membershipAt returns the membership that was in force after an index.
func (r *Replica) membershipAt(index uint64) Membership {
	members := r.stored.Members
	for _, e := range r.log.slice(r.log.baseIndex+1, index, len(r.log.entries)) {
		if e.Kind != EntryMembership {
			continue
		}
		if m, err := decodeMembership(e.Data); err == nil {
			members = m
		}
	}
	return members
}

func (r *Replica) adoptMembership(entries []Entry) error {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		members, err := decodeMembership(e.Data)
		if err != nil {
			return errors.Wrapf(err, "membership at index %d", e.Index)
		}
		r.members = members
		r.membersIndex = e.Index
	}
	return nil
}

func (r *Replica) send(to ID, m Message) { r.sendInTerm(to, r.state.Term, m) }

func (r *Replica) sendInTerm(to ID, term uint64, m Message) {
	r.out.Messages = append(r.out.Messages, Envelope{From: r.id, To: to, Term: term, Message: m})
}

// clock returns the replica's own time as sent in messages.
func (r *Replica) clock(now time.Time) time.Duration { return now.Sub(r.epoch) }

func (r *Replica) resetElection(now time.Time) {
	span := int64(r.electionMax - r.electionMin)
	wait := r.electionMin
	if span > 0 {
		wait += time.Duration(r.rand.Int64N(span))
	}
	r.electAt = now.Add(wait)
}
