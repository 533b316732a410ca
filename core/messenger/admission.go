package messenger

import (
	"cmp"
	"slices"
)

// UsageReport tells how many calls an entry has admitted and refused since its last report. An entry sends none
// while it has nothing to report.
type UsageReport struct {
	Workspaces []WorkspaceUsage
	Services   []ServiceUsage
}

// Sort brings the counts into a fixed order.
func (r *UsageReport) Sort() {
	slices.SortFunc(r.Workspaces, func(a, b WorkspaceUsage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(r.Services, func(a, b ServiceUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
}

// WorkspaceUsage counts the calls of a workspace that has a rate limit.
type WorkspaceUsage struct {
	Workspace string
	// Admitted counts the calls that count towards the rate limit, less those that turned out not to have run.
	Admitted int
	// Refused counts the calls that the entry refused because of the rate limit.
	Refused int
}

// ServiceUsage counts the calls of one priority to a service.
type ServiceUsage struct {
	Service  string
	Priority int
	// Offered counts the calls that arrived.
	Offered int
	// Shed counts those of them that the entry refused because of an admission share.
	Shed int
	// Overloaded counts those that the entry admitted, and for which it found no endpoint with room.
	Overloaded int
}

// RelayedUsage passes the reports of a replica's entries on to the leader. It lists the sums of the leader's term that
// have changed recently, so that the next message makes up for a lost one.
type RelayedUsage struct {
	// From is the name of the sender, and Run identifies its process.
	From string
	Run  uint64
	// Term is that of the leader which the message is meant for.
	Term uint64
	// Sequence rises with each message of a process.
	Sequence uint64
	// Missing is the number of entries that the sender has lost recently, less those that have connected to it. The former
	// may still run calls that nobody counts.
	Missing int
	Usage   UsageReport
}

// AdmissionUpdate lists the shares of calls that entries admit, of the workspaces and the services that can't be
// admitted whole. It replaces all earlier updates of lower versions.
type AdmissionUpdate struct {
	// Version rises with each update, over all leaders.
	Version    uint64
	Workspaces []WorkspaceAdmission
	Services   []ServiceAdmission
}

// WorkspaceAdmission is the share of a workspace's calls that entries admit, from 0 to 1.
type WorkspaceAdmission struct {
	Workspace string
	Share     float64
}

// ServiceAdmission is the share of the calls of one priority to a service that entries admit, from 0 to 1.
type ServiceAdmission struct {
	Service  string
	Priority int
	Share    float64
}

func (UsageReport) toControl()   {}
func (AdmissionUpdate) toEntry() {}
func (AdmissionUpdate) toPeer()  {}
func (RelayedUsage) toPeer()     {}
