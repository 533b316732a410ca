package controller

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
)

// Conn identifies a stream of an entry.
type Conn uint64

// Input is what a controller reacts to.
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// PeerMessage is a message of another replica.
type PeerMessage struct {
	Message messenger.ToPeer
}

// EntryMessage is a message on the stream of an entry.
type EntryMessage struct {
	Conn    Conn
	Message messenger.ToControl
}

// EntryDisconnected tells that the stream of an entry ended.
type EntryDisconnected struct {
	Conn Conn
}

// Persisted tells that a Persist has been synced.
type Persisted struct {
	Group  messenger.Group
	Output replicator.Output
}

// Apply is a change by an operator.
type Apply struct {
	// Request is returned in the AnswerApply.
	Request  uint64
	Document []byte
	// Timeout is how long the answer may take; zero means ApplyTimeout.
	Timeout time.Duration
	// EffectTimeout is how long an accepted change waits to be in force before the
	// answer says that it is accepted only; zero means Within.
	EffectTimeout time.Duration
}

// Announce is what an endpoint said to this replica.
type Announce struct {
	// Request is returned in the AnswerAnnounce.
	Request      uint64
	Announcement registrar.Announcement
}

// ReadDocument asks for the configuration in force, confirmed by a majority.
type ReadDocument struct {
	Request uint64
}

// TransferLeadership asks to give leadership away before a planned stop.
type TransferLeadership struct{}

func (Tick) input()               {}
func (PeerMessage) input()        {}
func (EntryMessage) input()       {}
func (EntryDisconnected) input()  {}
func (Persisted) input()          {}
func (Apply) input()              {}
func (Announce) input()           {}
func (ReadDocument) input()       {}
func (TransferLeadership) input() {}
