package controller

import (
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// Action is what the caller must carry out.
type Action interface{ action() }

// SendPeer sends a message to the replica at an address; it may be lost.
type SendPeer struct {
	Address string
	Message messenger.ToPeer
}

// SendEntry sends a message on the stream of an entry.
type SendEntry struct {
	Conn    Conn
	Message messenger.ToEntry
}

// Persist syncs State, Snapshot and Entries of an Output, in that order, and is
// answered by Persisted.
type Persist struct {
	Group  messenger.Group
	Output replicator.Output
}

// StoreSnapshot keeps a snapshot in place of the log up to it.
type StoreSnapshot struct {
	Group    messenger.Group
	Snapshot replicator.Snapshot
	// Tail are the entries that follow the snapshot.
	Tail []replicator.Entry
}

// BootstrapGroup creates the disk of a new group.
type BootstrapGroup struct {
	Group  messenger.Group
	Stored replicator.Stored
}

// StoreEndpoints keeps what is known of the endpoints, so that a replica that starts
// again need not wait for their next announcements. It may be lost.
type StoreEndpoints struct {
	Announcements []registrar.Announcement
}

// StoreCommitted keeps how far the configuration log is known to be committed, so that
// a replica that starts again knows its state before it hears a leader. It may be lost.
type StoreCommitted struct {
	Position replicator.Position
}

// ApplyReply answers an Apply.
type ApplyReply struct {
	Request  uint64
	Problems []validator.Problem
	Answer   committer.Answer
	Status   ApplyStatus
}

// DocumentReply answers a ReadDocument.
type DocumentReply struct {
	Request  uint64
	Revision uint64
	Document validator.Document
	// Confirmed is false when no majority could be asked in time.
	Confirmed bool
}

// AnnounceReply answers an Announce.
type AnnounceReply struct {
	Request uint64
	// Accepted is set when the announcement can't be forgotten: a majority knows that
	// the endpoint leaves, or hears from it again soon.
	Accepted bool
}

// Record adds an event to the time line.
type Record struct {
	Event recorder.Event
}

func (AnnounceReply) action()  {}
func (StoreEndpoints) action() {}
func (StoreCommitted) action() {}
func (SendPeer) action()       {}
func (SendEntry) action()      {}
func (Persist) action()        {}
func (StoreSnapshot) action()  {}
func (BootstrapGroup) action() {}
func (ApplyReply) action()     {}
func (DocumentReply) action()  {}
func (Record) action()         {}

// ApplyStatus says what is known of a change.
type ApplyStatus uint8

// The statuses of a change.
const (
	// ApplyInEffect: accepted, and taken up by every entry in standing.
	ApplyInEffect ApplyStatus = iota + 1
	// ApplyRefused: it will never take effect.
	ApplyRefused
	// ApplyNotInEffect: accepted, but not yet known to be in force everywhere.
	ApplyNotInEffect
	// ApplyUnknown: it may yet be accepted. Send it again with the same identity.
	ApplyUnknown
	// ApplySuperseded: a document of the same or a higher generation is held, and
	// this one changes nothing.
	ApplySuperseded
	// ApplyNotProposed: this replica hears no leader and has proposed nothing.
	ApplyNotProposed
)
