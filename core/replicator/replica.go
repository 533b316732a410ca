// Package replicator is the state machine of one replica of a replicated log: terms, votes,
// appends, snapshots, membership changes and confirmed reads. It does no I/O. The caller
// passes messages and the current time to it, and carries out the Output that it collects.
//
// Safety depends on the order of the Output: State, Snapshot and Entries must be synced before
// any message of the same Output is sent.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// The errors that a Replica returns.
var (
	ErrNoLeader       = errors.New("no leader is known")
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrChangePending  = errors.New("another membership change is under way")
	ErrChangeTooLarge = errors.New("a membership change may add or remove one voter")
	ErrBacklog        = errors.New("too much waits to be committed")
)

// The default timing of a replica.
const (
	DefaultHeartbeatInterval  = 150 * time.Millisecond
	DefaultMinElectionTimeout = 450 * time.Millisecond
	DefaultMaxElectionTimeout = 900 * time.Millisecond
)

// Limits of single messages, and of the appends in flight to one member.
const (
	maxEntriesPerAppend = 512
	maxBytesPerAppend   = 1 << 20
	snapshotChunkBytes  = 256 << 10
	maxUnackedAppends   = 8
)

// What a replica keeps in memory for others, in bytes. A single larger entry is let pass.
const (
	// maxUncommittedBytes limits the entries of a leader that wait to be committed.
	maxUncommittedBytes = 16 << 20
	// maxOutputBytes limits the entries that wait for the local disk, and those that one Output passes on as committed.
	maxOutputBytes = 4 << 20
)

// Role is the role of a replica in its current term.
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

// HardState is the current term and the vote in it. It must be synced before a message that
// depends on it is sent.
type HardState struct {
	Term uint64
	Vote ID
}

// Output lists the work that the caller must carry out, in the order of the fields.
type Output struct {
	// State is nil if it has not changed.
	State *HardState
	// Snapshot replaces the complete log and state. It is nil if none was received.
	Snapshot *Snapshot
	// Entries are appended to the journal. An entry whose index the journal already contains
	// replaces that entry and all that follow.
	Entries []Entry
	// Messages are sent after State, Snapshot and Entries have been synced.
	Messages []Envelope
	// Committed holds entries with consecutive indexes.
	Committed []Entry
	// Reads holds the reads that have been confirmed.
	Reads []Read
}

// Empty reports whether there is nothing to carry out.
func (o Output) Empty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// Read is the result of a read: state that includes Index is at least as recent as any
// state that was accepted before the read started.
type Read struct {
	ID, Index uint64
}

// Stored is the content of a replica's disk when the replica starts.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	// Entries follow the snapshot without gaps. They may be packed.
	Entries []Entry
	// Committed is an entry known to be committed before the replica stopped, or zero if there
	// is none. Later entries may be committed too, and the log may lack the entry.
	Committed Position
}

// Replica is one replica of a group. It is not safe for concurrent use.
type Replica struct {
	id                 ID
	heartbeatInterval  time.Duration
	minElectionTimeout time.Duration
	maxElectionTimeout time.Duration
	rand               *rand.Rand
	epoch              time.Time
	// checkSnapshot returns an error for a snapshot that can't be used.
	checkSnapshot func(data []byte) error
	// incarnation is a random number that identifies this process.
	incarnation uint64

	role   Role
	state  HardState
	leader ID
	log    log
	// members is the latest membership in the log, committed or not.
	members Membership
	// membersIndex is the index of the entry that members comes from.
	membersIndex uint64
	// commitIndex never decreases, and never exceeds what a quorum has synced.
	commitIndex uint64
	// deliveredIndex is the last committed index that was part of an Output; it is at most
	// commitIndex.
	deliveredIndex uint64
	// synced is the last index on the local disk; it is at most log.lastIndex().
	synced uint64
	// stored is the state at log.baseIndex.
	stored Snapshot
	// incoming is the snapshot that is being received; nil if there is none.
	incoming *incomingSnapshot

	// nextElection is when a follower or candidate starts the next election.
	nextElection time.Time
	// lastLeaderContact is when the last message of the current leader arrived.
	lastLeaderContact time.Time
	// lastQuorumContact is the latest time at which a quorum is known to have followed the
	// leader of this term; zero if there is none. At a follower, commitIndex includes what was committed by then.
	lastQuorumContact time.Time
	// nextHeartbeat is when the leader's next heartbeats are due, and lastBroadcast is when it
	// sent the last ones.
	nextHeartbeat time.Time
	lastBroadcast time.Time
	// report is the value that the caller wants to send to the leader with each reply.
	report uint64

	isPreVote          bool
	leadershipTransfer bool
	votes              map[ID]bool
	progress           map[ID]*progress
	termStart          uint64
	electedAt          time.Time
	transferTo         ID
	transferDeadline   time.Time
	reads              []pendingRead
	// forwardedReads holds the reads that the leader was asked to confirm, by the number of the request. Numbers start at
	// random, so that a late reply to an earlier process confirms nothing.
	forwardedReads    map[uint64]pendingRead
	lastForwardedRead uint64
	stateChanged      bool

	out Output
}

// pendingRead is a read that waits for its confirmation.
type pendingRead struct {
	id uint64
	// from is the replica that asked; empty if this one did.
	from      ID
	startedAt time.Time
}

// Option configures a replica.
type Option func(*Replica)

// WithTiming sets the heartbeat interval and the range of the election timeout.
func WithTiming(heartbeatInterval, minElectionTimeout, maxElectionTimeout time.Duration) Option {
	return func(r *Replica) {
		r.heartbeatInterval = heartbeatInterval
		r.minElectionTimeout = minElectionTimeout
		r.maxElectionTimeout = maxElectionTimeout
	}
}

// WithRand sets the source of random numbers.
func WithRand(source *rand.Rand) Option {
	return func(r *Replica) { r.rand = source }
}

// WithSnapshotCheck has the data of a snapshot checked before it replaces the state. A snapshot that
// fails is dropped.
func WithSnapshotCheck(check func(data []byte) error) Option {
	return func(r *Replica) { r.checkSnapshot = check }
}

// New returns a replica that continues from its stored state.
func New(now time.Time, id ID, stored Stored, opts ...Option) (*Replica, error) {
	r := &Replica{
		id:                 id,
		heartbeatInterval:  DefaultHeartbeatInterval,
		minElectionTimeout: DefaultMinElectionTimeout,
		maxElectionTimeout: DefaultMaxElectionTimeout,
		epoch:              now,
		role:               RoleFollower,
		state:              stored.State,
		stored:             stored.Snapshot,
		members:            stored.Snapshot.Members,
		lastLeaderContact:  now,
		forwardedReads:     make(map[uint64]pendingRead),
		checkSnapshot:      func([]byte) error { return nil },
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.rand == nil {
		r.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	r.incarnation = r.rand.Uint64()
	r.lastForwardedRead = r.rand.Uint64()
	r.log = log{baseIndex: stored.Snapshot.Index, baseTerm: stored.Snapshot.Term}
	r.log.append(stored.Entries...)
	r.membersIndex = stored.Snapshot.Index
	r.commitIndex = stored.Snapshot.Index
	r.deliveredIndex = stored.Snapshot.Index
	r.synced = r.log.lastIndex()
	if err := r.applyMembershipEntries(stored.Entries); err != nil {
		return nil, err
	}
	r.restoreCommitIndex(stored.Committed)
	r.resetElectionTimeout(now)
	r.scheduleEarlyElection(now)
	return r, nil
}

// restoreCommitIndex sets the commit index to an entry that was committed before the start.
// Committed entries are never replaced, so this is valid even before a leader is known.
func (r *Replica) restoreCommitIndex(p Position) {
	if term, ok := r.log.term(p.Index); ok && term == p.Term {
		r.commitIndex = max(r.commitIndex, p.Index)
	}
}

// scheduleEarlyElection makes a replica that knows no leader campaign early: after its start,
// or after a campaign that nobody won. If there is a leader, the other replicas don't grant it
// a vote. The wide random range separates the elections of replicas that start together.
func (r *Replica) scheduleEarlyElection(now time.Time) {
	minTimeout := r.minElectionTimeout / 4
	r.nextElection = now.Add(minTimeout + time.Duration(r.rand.Int64N(int64(r.minElectionTimeout-minTimeout)+1)))
}

// Bootstrap returns the stored state of a new group with one voter.
func Bootstrap(first Member) Stored {
	first.Voter = true
	return Stored{
		State:    HardState{Term: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: Membership{first}},
	}
}

// ID returns the ID that New was given.
func (r *Replica) ID() ID { return r.id }

// Role returns the role of the replica in the current term.
func (r *Replica) Role() Role { return r.role }

// Term returns the replica's current term.
func (r *Replica) Term() uint64 { return r.state.Term }

// Leader returns the leader of the current term, or "" if none is known.
func (r *Replica) Leader() ID { return r.leader }

// Members returns the latest membership in the log, committed or not.
func (r *Replica) Members() Membership { return r.members }

// Commit returns the last index known to be committed.
func (r *Replica) Commit() uint64 { return r.commitIndex }

// Position returns the position of the entry at index. It returns false for an entry that is
// neither in the log nor the last one of the snapshot.
func (r *Replica) Position(index uint64) (Position, bool) {
	term, ok := r.log.term(index)
	return Position{Index: index, Term: term}, ok
}

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// LogLength returns the number of log entries after the snapshot.
func (r *Replica) LogLength() int { return r.log.list.Len() }

// LogBytes returns the size of the log entries after the snapshot.
func (r *Replica) LogBytes() int { return r.log.list.Bytes() }

// BytesUpTo returns the size of the log entries after the snapshot up to index.
func (r *Replica) BytesUpTo(index uint64) int {
	return r.log.list.Bytes() - r.log.bytesAfter(min(index, r.log.lastIndex()))
}

// SnapshotBytes returns the size of the latest snapshot.
func (r *Replica) SnapshotBytes() int { return len(r.stored.Data) }

// Entries returns the log entries after the snapshot, some of them packed.
func (r *Replica) Entries() []Entry { return r.log.list.Kept() }

// LastQuorumContact returns the latest time at which a quorum is known to have followed the
// leader of this term, or zero if there is none. Commit includes every entry that was committed by then; a new leader
// knows that only once the first entry of its term is committed.
func (r *Replica) LastQuorumContact() time.Time {
	if r.role == RoleLeader && r.commitIndex < r.termStart {
		return time.Time{}
	}
	return r.lastQuorumContact
}

// ElectedAt returns when this replica became leader.
func (r *Replica) ElectedAt() time.Time { return r.electedAt }

// SetReport sets a value that the leader receives with each reply. The replicator does not
// interpret it.
func (r *Replica) SetReport(report uint64) { r.report = report }

// Report returns the latest report of a member and the time of the last contact with it. For an
// unknown member the time is that of this replica's election.
func (r *Replica) Report(id ID) (report uint64, lastContact time.Time) {
	p, ok := r.progress[id]
	if !ok {
		return 0, r.electedAt
	}
	return p.report, p.lastContact
}

// MatchIndex returns the last index known to be synced by a member.
func (r *Replica) MatchIndex(id ID) uint64 {
	if p, ok := r.progress[id]; ok {
		return p.match
	}
	return 0
}

// TakeOutput returns the collected Output and starts a new one. If it isn't empty, there may be more.
func (r *Replica) TakeOutput() Output {
	if r.role == RoleLeader {
		r.sendNewEntries()
	}
	if r.stateChanged {
		state := r.state
		r.out.State = &state
		r.stateChanged = false
	}
	if r.commitIndex > r.deliveredIndex {
		r.out.Committed = r.log.slice(r.deliveredIndex+1, r.commitIndex, int(r.commitIndex-r.deliveredIndex), maxOutputBytes)
		r.deliveredIndex += uint64(len(r.out.Committed))
	}
	out := r.out
	r.out = Output{}
	return out
}

// Synced records that the entries of an Output are on the local disk.
func (r *Replica) Synced(now time.Time, out Output) {
	if len(out.Entries) == 0 {
		return
	}
	last := out.Entries[len(out.Entries)-1]
	if term, ok := r.log.term(last.Index); ok && term == last.Term {
		r.synced = max(r.synced, last.Index)
	}
	if r.role == RoleLeader {
		r.advanceCommitIndex(now)
	}
}

// Compact replaces the log up to and including index by a snapshot with the given data. It
// returns false if the snapshot already covers index or no Output has contained the entry yet.
// The caller stores the snapshot.
func (r *Replica) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index <= r.log.baseIndex || index > r.deliveredIndex {
		return Snapshot{}, false
	}
	term, _ := r.log.term(index)
	members := r.membershipAt(index)
	r.stored = Snapshot{Index: index, Term: term, Members: members, Data: data}
	r.log.compact(index, term)
	return r.stored, true
}

// membershipAt returns the membership that was in effect after the entry at index.
func (r *Replica) membershipAt(index uint64) Membership {
	members := r.stored.Members
	for _, e := range r.log.list.entries {
		if e.Index > index {
			break
		}
		if e.Kind != EntryMembership {
			continue
		}
		if m, err := decodeMembership(e.Data); err == nil {
			members = m
		}
	}
	return members
}

func (r *Replica) applyMembershipEntries(entries []Entry) error {
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

// localTime returns the time since the start of the replica, as sent in messages.
func (r *Replica) localTime(now time.Time) time.Duration { return now.Sub(r.epoch) }

func (r *Replica) resetElectionTimeout(now time.Time) {
	spread := int64(r.maxElectionTimeout - r.minElectionTimeout)
	timeout := r.minElectionTimeout
	if spread > 0 {
		timeout += time.Duration(r.rand.Int64N(spread))
	}
	r.nextElection = now.Add(timeout)
}
