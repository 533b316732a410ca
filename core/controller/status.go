package controller

import (
	"cmp"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// Status is the state of a replica as it is shown to operators.
type Status struct {
	Replica string `json:"replica"`
	// InContactWithQuorum is false on a replica that may be partitioned, whose status may be out
	// of date.
	InContactWithQuorum bool   `json:"hears-majority"`
	Role                string `json:"role"`
	Leader              string `json:"leader"`
	Term                uint64 `json:"term"`
	Revision            uint64 `json:"revision"`
	InForce             uint64 `json:"in-force-everywhere"`
	// Evacuated lists the data centres whose endpoints get no requests.
	Evacuated     []string              `json:"evacuated,omitempty"`
	Claims        int                   `json:"claims"`
	Members       replicator.Membership `json:"members"`
	ClaimsMembers replicator.Membership `json:"claims-members"`
	// ClaimsLog is the state of the claims log.
	ClaimsLog LogStatus                `json:"claims-log"`
	Entries   []EntryStatus            `json:"entries"`
	Endpoints []registrar.Announcement `json:"endpoints"`
	// Limits lists the limits that endpoints name, as this replica knows them.
	Limits []LimitStatus `json:"limits,omitempty"`
	// Admission lists the shares of calls that entries admit, as this replica knows them.
	Admission []AdmissionStatus `json:"admission,omitempty"`
	// PermitsIssued is the number of permits issued by this process.
	PermitsIssued uint64 `json:"permits-issued"`
}

// LimitStatus is the limit of an endpoint.
type LimitStatus struct {
	registrar.Name
	PerSecond float64 `json:"per-second"`
	Version   uint64  `json:"version"`
	// AgeMs is how long the replica has known the limit.
	AgeMs int64 `json:"age-ms"`
	// Issued is the number of permits that the replica has issued since then. Only the leader
	// issues any.
	Issued uint64 `json:"issued"`
}

// LogStatus is the state of one replicated log.
type LogStatus struct {
	Role   string `json:"role"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	Last   uint64 `json:"last"`
	Commit uint64 `json:"commit"`
	// Applied is the index of the last log entry that the state includes.
	Applied uint64 `json:"applied"`
}

func (c *Controller) logStatus(g *group) LogStatus {
	return LogStatus{
		Role: g.replica.Role().String(), Leader: c.nameOf(g.replica.Leader()), Term: g.replica.Term(),
		Last: g.replica.LastIndex(), Commit: g.replica.Commit(), Applied: g.applied,
	}
}

// EntryStatus is the state of an entry that is connected to the replica, or that still holds a
// configuration lease from it.
type EntryStatus struct {
	Entry      string              `json:"entry"`
	DataCentre string              `json:"data-centre"`
	Admin      string              `json:"admin"`
	Revision   uint64              `json:"revision"`
	Standing   bool                `json:"standing"`
	Leaving    []messenger.Leaving `json:"leaving,omitempty"`
}

// Status returns the current status of the replica.
func (c *Controller) Status(now time.Time) Status {
	s := Status{
		Replica:             c.self.Name,
		InContactWithQuorum: c.inContactWithQuorum(now),
		Role:                c.config.replica.Role().String(),
		Leader:              c.nameOf(c.config.replica.Leader()),
		Term:                c.config.replica.Term(),
		Revision:            c.committer.Revision(),
		InForce:             c.revisionInEffect,
		Evacuated:           c.committer.Evacuated(),
		Claims:              c.claimer.Len(),
		Members:             c.config.replica.Members(),
		ClaimsMembers:       c.claims.replica.Members(),
		ClaimsLog:           c.logStatus(&c.claims),
		Endpoints:           c.registry.List(""),
		PermitsIssued:       c.permits.Issued(),
		Admission:           c.admissionStatuses(),
	}
	for _, l := range c.permits.Statuses() {
		s.Limits = append(s.Limits, LimitStatus{
			Name: l.Name, PerSecond: l.Limit.Rate, Version: l.Limit.Version, AgeMs: now.Sub(l.Since).Milliseconds(), Issued: l.Issued,
		})
	}
	for _, e := range c.entries {
		s.Entries = append(s.Entries, EntryStatus{
			Entry: e.hello.Entry, DataCentre: e.hello.DataCentre, Admin: e.hello.Admin,
			Revision: e.revision, Standing: now.Before(e.configLeaseUntil), Leaving: e.leaving,
		})
	}
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return s
}

// LimitTotals returns the number of limits that this replica knows and how many permits it has issued.
func (c *Controller) LimitTotals() (limits int, issued uint64) {
	return len(c.permits.Statuses()), c.permits.Issued()
}

// EvacuatedCount returns the number of evacuated data centres, as far as this replica knows.
func (c *Controller) EvacuatedCount() int { return len(c.committer.Evacuated()) }

// LimitedWorkspaces returns the number of workspaces that are at their rate limits.
func (c *Controller) LimitedWorkspaces() int { return len(c.admission.latest.Workspaces) }

// WarmUpCount returns the number of endpoints in warm-up, as far as this replica knows.
func (c *Controller) WarmUpCount(now time.Time) int { return c.registry.InWarmUp(now) }

// Document returns the revision and the configuration of this replica, which may be out of date.
func (c *Controller) Document() (uint64, validator.Document) {
	return c.committer.Revision(), c.committer.Document()
}
