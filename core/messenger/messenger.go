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
	// HeartbeatInterval is how often an entry asks for its standing.
	HeartbeatInterval = 700 * time.Millisecond
	// ConfigLeaseDuration is how long an entry keeps its standing after the beat that
	// renewed it.
	ConfigLeaseDuration = 2 * time.Second
	// StreamTimeout is how long either end of a stream waits for a message before
	// it takes the stream for lost.
	StreamTimeout = time.Second
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

// Heartbeat asks a replica for standing and shares.
type Heartbeat struct {
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

// EndpointAnnouncements passes on what endpoints said of themselves.
type EndpointAnnouncements struct {
	Announcements []registrar.Announcement
}

// ClaimRequest proposes a command to the claims log.
type ClaimRequest struct {
	Request uint64
	Command claimer.Command
}

func (Hello) toControl()                 {}
func (Heartbeat) toControl()             {}
func (EndpointAnnouncements) toControl() {}
func (ClaimRequest) toControl()          {}

// ToEntry is a message of a replica to an entry.
type ToEntry interface{ toEntry() }

// Configuration brings the configuration in force.
type Configuration struct {
	Revision uint64
	Document validator.Document
}

// HeartbeatReply answers a beat.
type HeartbeatReply struct {
	Sequence    uint64
	ConfigLease bool
	Shares      []ServiceShare
}

// ServiceShare is a share of one service's watching budget.
type ServiceShare struct {
	Service string
	Share   allotter.Share
	// Life counts from the moment the holder asked.
	Life time.Duration
}

// EndpointUpdate brings what has changed in the registry.
type EndpointUpdate struct {
	// Full replaces all that this and other replicas said before.
	Full    bool
	Changed []registrar.Announcement
	Removed []registrar.Name
}

// ClaimReply answers a Claiming.
type ClaimReply struct {
	Request uint64
	// NotProposed is set when the command was not proposed at all.
	NotProposed bool
	Result      claimer.Result
}

// ReplicaAddresses names the addresses of all replicas, so that an entry can follow another
// one.
type ReplicaAddresses struct {
	Addresses []string
}

// Lagging tells an entry that this replica hears no majority: another one may know
// more.
type Lagging struct{}

func (ReplicaAddresses) toEntry() {}
func (Lagging) toEntry()          {}
func (Configuration) toEntry()    {}
func (HeartbeatReply) toEntry()   {}
func (EndpointUpdate) toEntry()   {}
func (ClaimReply) toEntry()       {}

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

// ReplicationMessage carries a message of a replicated log.
type ReplicationMessage struct {
	Group    Group
	Envelope replicator.Envelope
}

// Presence tells that a replica is there.
type Presence struct {
	Member replicator.Member
	// Run differs between the starts of a process.
	Run uint64
	// Bootstrapped is false for a replica whose disk was empty and that has not joined.
	Bootstrapped bool
	// RevisionInEffect is the revision that every entry in standing is known to have; only
	// a leader sets it.
	RevisionInEffect uint64
	// RegistryDigest is a digest of the endpoints that the replica knows.
	RegistryDigest uint64
	// Relayed is set when another replica passes it on to a leader that the sender
	// doesn't know.
	Relayed bool
}

// RegistryUpdate passes endpoint announcements on to the other replicas.
type RegistryUpdate struct {
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

func (ReplicationMessage) toPeer() {}
func (Presence) toPeer()           {}
func (RegistryUpdate) toPeer()     {}
func (ShareRequest) toPeer()       {}
func (ShareReply) toPeer()         {}
