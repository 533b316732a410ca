package controller

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
)

// Conn identifies the stream of an entry.
type Conn uint64

// Input is an event that a controller handles.
type Input interface{ input() }

// Tick reports that time has passed.
type Tick struct{}

// PeerMessage is a message from another replica.
type PeerMessage struct {
	Message messenger.ToPeer
}

// EntryMessage is a message on the stream of an entry.
type EntryMessage struct {
	Conn    Conn
	Message messenger.ToControl
}

// EntryDisconnected reports that the stream of an entry has ended.
type EntryDisconnected struct {
	Conn Conn
}

// Persisted reports that a Persist has been synced.
type Persisted struct {
	Group  messenger.Group
	Output replicator.Output
}

// Apply is a configuration change from an operator.
type Apply struct {
	// Request is copied to the ApplyReply.
	Request  uint64
	Document []byte
	// Timeout limits the wait for the change to be accepted or refused; zero means ApplyTimeout.
	Timeout time.Duration
	// EffectTimeout limits the wait for an accepted change to be in effect. After it, the reply
	// is ApplyNotInEffect. Zero means Timeout.
	EffectTimeout time.Duration
}

// Evacuate is an order of an operator to begin or finish the evacuation of a data centre.
type Evacuate struct {
	// Request is copied to the EvacuateReply.
	Request    uint64
	DataCentre string
	// Active is set to begin the evacuation.
	Active bool
	// Since is no later than the time at which the order can have been sent: when its connection was accepted, or was last
	// idle. Zero means that it has just been sent.
	Since time.Time
	// CurrentFor is how long after Since its sender surely gives no other order. Later, the order must not begin to take
	// effect. Zero means Timeout.
	CurrentFor time.Duration
	// MustBeKnown is set to refuse a data centre of which this replica knows neither an endpoint nor an entry.
	MustBeKnown bool
	// Timeout limits the wait until a quorum has stored the order; zero means ApplyTimeout.
	Timeout time.Duration
	// EffectTimeout limits the wait for the order to be in effect. After it, the reply is ApplyNotInEffect. Zero means
	// Timeout.
	EffectTimeout time.Duration
}

// Withdraw reports that the sender of an Evacuate has left without its reply.
type Withdraw struct {
	Request uint64
}

// Announce is an announcement that an endpoint sent directly to this replica.
type Announce struct {
	// Request is copied to the AnnounceReply.
	Request      uint64
	Announcement registrar.Announcement
}

// ReadDocument requests the current configuration, confirmed by a quorum.
type ReadDocument struct {
	Request uint64
}

// Resumed reports that the machine was suspended. The clock by which times are measured stood still meanwhile.
type Resumed struct{}

// TransferLeadership requests that this replica hand leadership over before a planned stop.
type TransferLeadership struct{}

func (Tick) input()               {}
func (PeerMessage) input()        {}
func (EntryMessage) input()       {}
func (EntryDisconnected) input()  {}
func (Persisted) input()          {}
func (Apply) input()              {}
func (Withdraw) input()           {}
func (Evacuate) input()           {}
func (Announce) input()           {}
func (ReadDocument) input()       {}
func (Resumed) input()            {}
func (TransferLeadership) input() {}
