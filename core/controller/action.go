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

// Store keeps a snapshot in place of the log up to it.
type Store struct {
	Group    messenger.Group
	Snapshot replicator.Snapshot
	// Rest are the entries that follow the snapshot.
	Rest []replicator.Entry
}

// Found creates the disk of a new group.
type Found struct {
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

// AnswerApply answers an Apply.
type AnswerApply struct {
	Request  uint64
	Problems []validator.Problem
	Answer   committer.Answer
	Status   ApplyStatus
}

// AnswerDocument answers a ReadDocument.
type AnswerDocument struct {
	Request  uint64
	Revision uint64
	Document validator.Document
	// Confirmed is false when no majority could be asked in time.
	Confirmed bool
}

// AnswerAnnounce answers an Announce.
type AnswerAnnounce struct {
	Request uint64
	// Taken is set when the announcement can't be forgotten: a majority knows that
	// the endpoint leaves, or hears from it again soon.
	Taken bool
}

// Record adds an event to the time line.
type Record struct {
	Event recorder.Event
}

func (AnswerAnnounce) action() {}
func (StoreEndpoints) action() {}
func (StoreCommitted) action() {}
func (SendPeer) action()       {}
func (SendEntry) action()      {}
func (Persist) action()        {}
func (Store) action()          {}
func (Found) action()          {}
func (AnswerApply) action()    {}
func (AnswerDocument) action() {}
func (Record) action()         {}

// ApplyStatus says what is known of a change.
type ApplyStatus uint8

// The statuses of a change.
const (
	// ApplyInForce: accepted, and taken up by every entry in standing.
	ApplyInForce ApplyStatus = iota + 1
	// ApplyRefused: it will never take effect.
	ApplyRefused
	// ApplyNotInForce: accepted, but not yet known to be in force everywhere.
	ApplyNotInForce
	// ApplyUnknown: it may yet be accepted. Send it again with the same identity.
	ApplyUnknown
	// ApplySuperseded: a document of the same or a higher generation is held, and
	// this one changes nothing.
	ApplySuperseded
	// ApplyNotTaken: this replica hears no leader and has proposed nothing.
	ApplyNotTaken
)
