package replicator

import "time"

// ID identifies a replica. It is created together with the data folder, so a replica that lost
// its disk gets a new ID.
type ID string

// Envelope is a message with its sender, its receiver and the term in which it was sent.
type Envelope struct {
	From, To ID
	Term     uint64
	Message  Message
}

// Message is a message between two replicas of a group.
type Message interface{ message() }

// VoteRequest asks for a vote. With PreVote set it only asks whether the receiver would grant
// its vote, and changes nothing at the receiver.
type VoteRequest struct {
	LastIndex, LastTerm uint64
	PreVote             bool
	// LeadershipTransfer is set if the leader asked the sender to start the election.
	LeadershipTransfer bool
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	Granted, PreVote bool
}

// Append carries the entries that follow the entry at PrevIndex. Without entries it is a
// heartbeat.
type Append struct {
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Commit              uint64
	// LeaderTime is the local time of the leader. The reply returns it.
	LeaderTime time.Duration
	// Echo and EchoRun are the Sent and Run of the latest AppendReply of the receiver
	// that the leader has handled.
	Echo    time.Duration
	EchoRun uint64
	// QuorumAge is how long ago a quorum is known to have followed the leader. It is negative
	// if no such time is known.
	QuorumAge time.Duration
}

// AppendReply is the reply to an Append or a SnapshotChunk.
type AppendReply struct {
	OK bool
	// Match is the last index known to agree with the leader's log if OK is set. Otherwise the
	// leader continues after this index.
	Match      uint64
	LeaderTime time.Duration
	// Sent is the local time of the sender.
	Sent time.Duration
	// Run identifies the sender's process. The local times of different processes
	// can't be compared.
	Run uint64
	// Report is the value that the sender's caller has passed to SetReport. The leader makes it
	// available to its own caller.
	Report uint64
}

// SnapshotChunk is a part of a snapshot. Without data, and if Done isn't set, it asks how much has arrived.
type SnapshotChunk struct {
	Index, LogTerm uint64
	Members        Membership
	Offset         int
	Data           []byte
	Done           bool
	LeaderTime     time.Duration
}

// SnapshotReply reports how many bytes of a snapshot have arrived.
type SnapshotReply struct {
	Index      uint64
	Offset     int
	LeaderTime time.Duration
	// Sent and Run are those of an AppendReply. Run is zero if the sender is of a version that doesn't name its process.
	Sent time.Duration
	Run  uint64
}

// Forward passes a command to the leader.
type Forward struct {
	Data []byte
}

// ReadRequest asks the leader for an index at which it is safe to read. No other process of the sender uses the same number.
type ReadRequest struct {
	Read uint64
}

// ReadReply is the reply to a ReadRequest, sent after a quorum has confirmed the leader.
type ReadReply struct {
	Read, Index uint64
}

// TimeoutNow asks the receiver to start an election immediately.
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
