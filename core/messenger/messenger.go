// Package messenger defines what the system's own processes say to each other:
// entries to control replicas, replicas to entries, and replicas among themselves.
package messenger

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// Timing between entries and replicas.
const (
	// BeatInterval is how often an entry asks for its standing.
	BeatInterval = 700 * time.Millisecond
	// StandingLease is how long an entry keeps its standing after the beat that
	// renewed it.
	StandingLease = 2 * time.Second
	// SilenceLimit is how long either end of a stream waits for a message before
	// it takes the stream for lost.
	SilenceLimit = time.Second
)

// ToControl is a message of an entry to a replica.
type ToControl interface{ toControl() }

// Hello opens a stream.
type Hello struct {
	Entry      string
	DataCentre string
	// Admin is the address of the entry's administration server.
	Admin string
	// Revision is the revision that the entry has in force.
	Revision uint64
}

// Beat asks a replica for standing and shares.
type Beat struct {
	Sequence uint64
	Revision uint64
	// Leaving tells how many requests are in flight at endpoints that leave.
	Leaving []Leaving
}

// Leaving is the work of one entry at an endpoint that gets no new work.
type Leaving struct {
	Name     registrar.Name `json:"name"`
	InFlight int            `json:"in-flight"`
}

// Announced passes on what endpoints said of themselves.
type Announced struct {
	Announcements []registrar.Announcement
}

// Claiming proposes a command to the claims log.
type Claiming struct {
	Request uint64
	Command claimer.Command
}

func (Hello) toControl()     {}
func (Beat) toControl()      {}
func (Announced) toControl() {}
func (Claiming) toControl()  {}

// ToEntry is a message of a replica to an entry.
type ToEntry interface{ toEntry() }

// Configured brings the configuration in force.
type Configured struct {
	Revision uint64
	Document validator.Document
}

// BeatAnswer answers a beat.
type BeatAnswer struct {
	Sequence uint64
	Standing bool
	Shares   []ServiceShare
}

// ServiceShare is a share of one service's watching budget.
type ServiceShare struct {
	Service string
	Share   allotter.Share
	// Life counts from the moment the holder asked.
	Life time.Duration
}

// Endpoints brings what has changed in the registry.
type Endpoints struct {
	// Full replaces all that this and other replicas said before.
	Full    bool
	Changed []registrar.Announcement
	Removed []registrar.Name
}

// Claimed answers a Claiming.
type Claimed struct {
	Request uint64
	// Refused is set when the command was not proposed at all.
	Refused bool
	Result  claimer.Result
}

// Replicas names the addresses of all replicas, so that an entry can follow another
// one.
type Replicas struct {
	Addresses []string
}

// Lagging tells an entry that this replica hears no majority: another one may know
// more.
type Lagging struct{}

func (Replicas) toEntry()   {}
func (Lagging) toEntry()    {}
func (Configured) toEntry() {}
func (BeatAnswer) toEntry() {}
func (Endpoints) toEntry()  {}
func (Claimed) toEntry()    {}

// Group names one of the two replicated logs.
type Group uint8

// The groups.
const (
	GroupConfig Group = iota + 1
	GroupClaims
)

// String returns the group's name.
func (g Group) String() string {
	if g == GroupClaims {
		return "claims"
	}
	return "config"
}

// Groups lists the replicated logs.
var Groups = []Group{GroupConfig, GroupClaims}

// ToPeer is a message between replicas.
type ToPeer interface{ toPeer() }

// Replicated carries a message of a replicated log.
type Replicated struct {
	Group    Group
	Envelope replicator.Envelope
}

// Presence tells that a replica is there.
type Presence struct {
	Member replicator.Member
	// Run differs between the starts of a process.
	Run uint64
	// Founded is false for a replica whose disk was empty and that has not joined.
	Founded bool
	// InForce is the revision that every entry in standing is known to have; only
	// a leader sets it.
	InForce uint64
	// Registry is a digest of the endpoints that the replica knows.
	Registry uint64
	// Relayed is set when another replica passes it on to a leader that the sender
	// doesn't know.
	Relayed bool
}

// EndpointNews passes endpoint announcements on to the other replicas.
type EndpointNews struct {
	Announcements []registrar.Announcement
	Renewals      []Renewal
}

// Renewal renews a lease without changing what is known.
type Renewal struct {
	Name        registrar.Name
	Incarnation uint64
	Sequence    uint64
	Load        int
}

// ShareRequest asks the leader for a replica's share of the budgets.
type ShareRequest struct {
	// Sent is the asker's time, returned in the reply.
	Sent time.Duration
	// From is the name of the asking replica, and Run its process.
	From string
	Run  uint64
	// Entries is how many entries the replica serves.
	Entries int
}

// ShareReply answers a ShareRequest.
type ShareReply struct {
	Sent   time.Duration
	Run    uint64
	Shares []ServiceShare
}

func (Replicated) toPeer()   {}
func (Presence) toPeer()     {}
func (EndpointNews) toPeer() {}
func (ShareRequest) toPeer() {}
func (ShareReply) toPeer()   {}
