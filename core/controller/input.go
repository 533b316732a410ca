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

// PeerSaid is a message of another replica.
type PeerSaid struct {
	Message messenger.ToPeer
}

// EntrySaid is a message on the stream of an entry.
type EntrySaid struct {
	Conn    Conn
	Message messenger.ToControl
}

// EntryLost tells that the stream of an entry ended.
type EntryLost struct {
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
	// Within is how long the answer may take; zero means ApplyTimeout.
	Within time.Duration
	// ForceWithin is how long an accepted change waits to be in force before the
	// answer says that it is accepted only; zero means Within.
	ForceWithin time.Duration
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

// HandOver asks to give leadership away before a planned stop.
type HandOver struct{}

func (Tick) input()         {}
func (PeerSaid) input()     {}
func (EntrySaid) input()    {}
func (EntryLost) input()    {}
func (Persisted) input()    {}
func (Apply) input()        {}
func (Announce) input()     {}
func (ReadDocument) input() {}
func (HandOver) input()     {}
