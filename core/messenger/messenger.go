// Package messenger defines the messages between the processes of the system: from entries to
// control replicas, from replicas to entries, and between replicas.
package messenger

import (
	"time"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/core/validator"
)

// The timing of the protocol between entries and replicas.
const (
	// HeartbeatInterval is how often an entry renews its configuration lease.
	HeartbeatInterval = 700 * time.Millisecond
	// ConfigLeaseDuration is how long an entry holds its configuration lease after sending
	// the heartbeat that renewed it.
	ConfigLeaseDuration = 2 * time.Second
	// StreamTimeout is how long either end of a stream waits for a message before it considers
	// the stream lost.
	StreamTimeout = time.Second
)

// ToControl is a message from an entry to a replica.
type ToControl interface{ toControl() }

// Hello is the first message that an entry sends on a stream.
type Hello struct {
	Entry      string
	DataCentre string
	// Admin is the address of the entry's administration server.
	Admin string
	// Revision is the revision in effect at the entry.
	Revision uint64
}

// Heartbeat requests a renewal of the configuration lease and shares of the probe budgets.
type Heartbeat struct {
	Sequence uint64
	// Revision is the revision in effect at the entry.
	Revision uint64
	// Leaving reports the requests in flight at endpoints that get no new requests.
	Leaving []Leaving
}

// Leaving is the number of requests that one entry has in flight at an endpoint that gets no new
// requests.
type Leaving struct {
	Name     registrar.Name `json:"name"`
	InFlight int            `json:"in-flight"`
}

// EndpointAnnouncements passes on the announcements that endpoints sent to an entry.
type EndpointAnnouncements struct {
	Announcements []registrar.Announcement
}

// ClaimRequest proposes a command to the claims log. Request identifies it in the ClaimReply.
type ClaimRequest struct {
	Request uint64
	Command claimer.Command
}

// PermitDemand is what an entry tells of an endpoint with a limit.
type PermitDemand struct {
	Name        registrar.Name
	Incarnation uint64
	Request     throttler.Request
}

// PermitRequest reports limits that endpoints have named, and requests permits.
type PermitRequest struct {
	Sequence uint64
	Demands  []PermitDemand
}

func (Hello) toControl()                 {}
func (PermitRequest) toControl()         {}
func (Heartbeat) toControl()             {}
func (EndpointAnnouncements) toControl() {}
func (ClaimRequest) toControl()          {}

// ToEntry is a message from a replica to an entry.
type ToEntry interface{ toEntry() }

// Configuration carries the configuration in effect.
type Configuration struct {
	Revision uint64
	Document validator.Document
	// Evacuated lists the data centres whose endpoints get no requests.
	Evacuated []string
}

// HeartbeatReply is the reply to a Heartbeat.
type HeartbeatReply struct {
	Sequence uint64
	// ConfigLease is set if the configuration lease was granted or renewed.
	ConfigLease bool
	// Entries is the number of entries that are connected to all replicas; zero when unknown. Where workspaces have rate
	// limits it is zero too while the counts of the entry may not reach a leader.
	Entries int
	Shares  []ServiceShare
}

// ServiceShare is a share of the probe budget of one service.
type ServiceShare struct {
	Service string
	Share   allotter.Share
	// Life is how long the share is valid after the holder has sent its request.
	Life time.Duration
}

// EndpointUpdate carries changes of the registry of endpoints.
type EndpointUpdate struct {
	// Full is set if the update replaces all earlier updates, including those of other replicas.
	Full    bool
	Changed []registrar.Announcement
	Removed []registrar.Name
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Request uint64
	// NotProposed is set if the command was not proposed at all.
	NotProposed bool
	Result      claimer.Result
}

// ReplicaAddresses lists the addresses of all replicas, so that an entry can connect to
// another one.
type ReplicaAddresses struct {
	Addresses []string
}

// Lagging reports that the replica is not in contact with a quorum. Another replica may have
// newer state.
type Lagging struct{}

// PermitGrant is the part of a PermitReply for one endpoint.
type PermitGrant struct {
	Name        registrar.Name
	Incarnation uint64
	Grant       throttler.Grant
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Sequence uint64
	Grants   []PermitGrant
}

// LimitUpdate carries the limits of endpoints that have changed. A rate of zero means that the
// endpoint names none any more.
type LimitUpdate struct {
	// Full is set if the update lists all limits.
	Full   bool
	Limits []permitter.EndpointLimit
}

func (PermitReply) toEntry()      {}
func (LimitUpdate) toEntry()      {}
func (ReplicaAddresses) toEntry() {}
func (Lagging) toEntry()          {}
func (Configuration) toEntry()    {}
func (HeartbeatReply) toEntry()   {}
func (EndpointUpdate) toEntry()   {}
func (ClaimReply) toEntry()       {}

// Group identifies one of the two replicated logs.
type Group uint8

// The replicated logs.
const (
	GroupConfig Group = iota + 1
	GroupClaims
)

// String returns the name of the log.
func (g Group) String() string {
	if g == GroupClaims {
		return "claims"
	}
	return "config"
}

// Groups lists all replicated logs.
var Groups = []Group{GroupConfig, GroupClaims}

// ToPeer is a message between replicas.
type ToPeer interface{ toPeer() }

// ReplicationMessage carries a message between two replicas of a replicated log.
type ReplicationMessage struct {
	Group    Group
	Envelope replicator.Envelope
}

// Presence announces periodically that a replica is running.
type Presence struct {
	Member replicator.Member
	// Run identifies the process of the replica. Every start has a different value.
	Run uint64
	// Bootstrapped is false if the replica started with an empty disk and has not joined a
	// group.
	Bootstrapped bool
	// RevisionInEffect is the revision that every entry with a configuration lease is known to
	// have. Only a leader sets it.
	RevisionInEffect uint64
	// RegistryDigest is a digest of the replica's endpoint registry.
	RegistryDigest uint64
	// Relayed is set if another replica passes the message on to a leader that the sender may not
	// know.
	Relayed bool
}

// RegistryUpdate passes endpoint announcements on to the other replicas.
type RegistryUpdate struct {
	Announcements []registrar.Announcement
	Renewals      []Renewal
}

// Renewal renews the lease of an endpoint that has not changed otherwise.
type Renewal struct {
	Name        registrar.Name
	Incarnation uint64
	Sequence    uint64
	Load        int
	// Content is the Content of the announcement that is renewed, or zero from a replica of a version that does not
	// send it.
	Content uint64
	// WarmUp is the remaining time of the endpoint's warm-up. It holds only if WarmUpTold is set, which a replica of a
	// version that does not send it leaves out.
	WarmUp     time.Duration
	WarmUpTold bool
}

// ShareRequest asks the leader for a replica's shares of the probe budgets.
type ShareRequest struct {
	// Sent is the local time of the sender. The reply returns it.
	Sent time.Duration
	// From is the name of the sender, and Run identifies its process.
	From string
	Run  uint64
	// Entries is the number of entries that are connected to the sender.
	Entries int
}

// ShareReply is the reply to a ShareRequest.
type ShareReply struct {
	Sent time.Duration
	Run  uint64
	// Entries is the number of entries that are connected to all replicas.
	Entries int
	Shares  []ServiceShare
}

// RelayedPermitRequest passes the request of an entry on to the leader.
type RelayedPermitRequest struct {
	// From is the name of the sender, and Run identifies its process.
	From string
	Run  uint64
	// Stream identifies the entry's stream to the sender. Entry is the entry's name.
	Stream  uint64
	Entry   string
	Request PermitRequest
}

// RelayedPermitReply is the reply to a RelayedPermitRequest.
type RelayedPermitReply struct {
	Run    uint64
	Stream uint64
	Reply  PermitReply
}

func (RelayedPermitRequest) toPeer() {}
func (RelayedPermitReply) toPeer()   {}
func (LimitUpdate) toPeer()          {}
func (ReplicationMessage) toPeer()   {}
func (Presence) toPeer()             {}
func (RegistryUpdate) toPeer()       {}
func (ShareRequest) toPeer()         {}
func (ShareReply) toPeer()           {}
