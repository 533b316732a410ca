package controller

import (
	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// Action is an effect that the caller of Handle must carry out.
type Action interface{ action() }

// SendPeer sends a message to the replica at Address. The message may be lost.
type SendPeer struct {
	Address string
	Message messenger.ToPeer
}

// SendEntry sends a message on the stream of an entry.
type SendEntry struct {
	Conn    Conn
	Message messenger.ToEntry
}

// Persist writes and syncs the State, Snapshot and Entries of Output, in that order. The caller
// confirms it with Persisted.
type Persist struct {
	Group  messenger.Group
	Output replicator.Output
}

// StoreSnapshot replaces the log of a group, up to the snapshot's index, by the snapshot.
type StoreSnapshot struct {
	Group    messenger.Group
	Snapshot replicator.Snapshot
	// Tail are the log entries after the snapshot.
	Tail []replicator.Entry
}

// BootstrapGroup writes the initial stored state of a new group.
type BootstrapGroup struct {
	Group  messenger.Group
	Stored replicator.Stored
}

// StoreEndpoints stores the known endpoints, so that a restarted replica need not wait for their
// next announcements. The write may be lost.
type StoreEndpoints struct {
	Announcements []registrar.Announcement
}

// StoreCommitted stores the known commit position of the configuration log, so that a restarted
// replica can rebuild its state before it is in contact with a leader. The write may be lost.
type StoreCommitted struct {
	Position replicator.Position
}

// ApplyReply is the reply to an Apply.
type ApplyReply struct {
	Request  uint64
	Problems []validator.Problem
	Answer   committer.Answer
	Status   ApplyStatus
}

// EvacuateReply is the reply to an Evacuate. ApplyRefused means that the data centre is not known.
type EvacuateReply struct {
	Request uint64
	Status  ApplyStatus
}

// DocumentReply is the reply to a ReadDocument.
type DocumentReply struct {
	Request  uint64
	Revision uint64
	Document validator.Document
	// Confirmed is false if no quorum confirmed the read before its timeout.
	Confirmed bool
}

// AnnounceReply is the reply to an Announce.
type AnnounceReply struct {
	Request uint64
	// Accepted is set when the announcement can't be lost: either a quorum has stored the
	// endpoint's departure, or the endpoint is going to announce itself again soon.
	Accepted bool
}

// Record adds an event to the event timeline.
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
func (EvacuateReply) action()  {}
func (DocumentReply) action()  {}
func (Record) action()         {}

// ApplyStatus is the state of a change, as far as this replica knows it.
type ApplyStatus uint8

// Statuses of a change.
const (
	// ApplyInEffect means that the change was accepted and that every entry with a configuration
	// lease has applied it.
	ApplyInEffect ApplyStatus = iota + 1
	// ApplyRefused means that the change will never take effect.
	ApplyRefused
	// ApplyNotInEffect means that the change was accepted, but is not yet known to be in effect
	// everywhere.
	ApplyNotInEffect
	// ApplyUnknown means that the change may still be accepted. The operator should send it again
	// with the same identity.
	ApplyUnknown
	// ApplySuperseded means that a document of the same or a higher generation is already stored,
	// so that the change has no effect.
	ApplySuperseded
	// ApplyNotProposed means that this replica knows no leader and has proposed nothing.
	ApplyNotProposed
)
