package replicator

import "time"

// ID is the identity of a replica. It is made with the data folder, so a
// replica that lost its disk has another one.
type ID string

// Envelope is a message on its way between two replicas.
type Envelope struct {
	From, To ID
	Term     uint64
	Message  Message
}

// Message is what replicas say to each other.
type Message interface{ message() }

// VoteRequest asks for a vote. With Pre set it only asks whether a vote would
// be given, and changes nothing at the receiver.
type VoteRequest struct {
	LastIndex, LastTerm uint64
	PreVote             bool
	// LeadershipTransfer is set when the leader asked the sender to take over.
	LeadershipTransfer bool
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted, PreVote bool
}

// Append carries entries that follow the entry at PrevIndex. Without entries it
// is a heartbeat.
type Append struct {
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Commit              uint64
	// LeaderTime is the sender's time, returned in the reply.
	LeaderTime time.Duration
	// Echo and EchoRun are the latest Sent and Run of the receiver that the
	// leader has handled.
	Echo    time.Duration
	EchoRun uint64
	// QuorumAge is how long ago a majority is known to have followed the leader,
	// or negative when it never did.
	QuorumAge time.Duration
}

// AppendReply answers an Append or a SnapshotPiece.
type AppendReply struct {
	OK bool
	// Match is the last index known to agree when OK, else where to go on from.
	Match      uint64
	LeaderTime time.Duration
	// Sent is the replier's time.
	Sent time.Duration
	// Run tells one start of the replier's process from another, whose times
	// can't be compared.
	Run uint64
	// Report is the replier's word to the leader, for the machine above.
	Report uint64
}

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	Index, LogTerm uint64
	Members        Membership
	Offset         int
	Data           []byte
	Done           bool
	LeaderTime     time.Duration
}

// SnapshotReply says how much of a snapshot has arrived.
type SnapshotReply struct {
	Index      uint64
	Offset     int
	LeaderTime time.Duration
}

// Forward brings a command to the leader.
type Forward struct {
	Data []byte
}

// ReadRequest asks the leader for an index that is safe to read at.
type ReadRequest struct {
	Read uint64
}

// ReadReply answers a ReadRequest after a majority confirmed the leader.
type ReadReply struct {
	Read, Index uint64
}

// TimeoutNow asks the receiver to start an election at once.
type TimeoutNow struct{}

func (VoteRequest) message()   {}
func (VoteReply) message()     {}
func (Append) message()        {}
func (AppendReply) message()   {}
func (SnapshotChunk) message() {}
func (SnapshotReply) message() {}
func (Forward) message()       {}
func (ReadRequest) message()   {}
func (ReadReply) message()     {}
func (TimeoutNow) message()    {}
