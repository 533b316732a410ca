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

// Status is what one replica knows.
type Status struct {
	Replica string `json:"replica"`
	// InContactWithQuorum is false on a replica that may be cut off: what it says may be
	// behind.
	InContactWithQuorum bool                  `json:"hears-majority"`
	Role                string                `json:"role"`
	Leader              string                `json:"leader"`
	Term                uint64                `json:"term"`
	Revision            uint64                `json:"revision"`
	InForce             uint64                `json:"in-force-everywhere"`
	Claims              int                   `json:"claims"`
	Members             replicator.Membership `json:"members"`
	ClaimsMembers       replicator.Membership `json:"claims-members"`
	// ClaimsLog is where the log of the claims stands.
	ClaimsLog LogStatus                `json:"claims-log"`
	Entries   []EntryStatus            `json:"entries"`
	Endpoints []registrar.Announcement `json:"endpoints"`
}

// LogStatus is what a replica knows of one of its logs.
type LogStatus struct {
	Role   string `json:"role"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	Last   uint64 `json:"last"`
	Commit uint64 `json:"commit"`
	// Applied is how far the state goes.
	Applied uint64 `json:"applied"`
}

func (c *Controller) logStatus(g *group) LogStatus {
	return LogStatus{
		Role: g.replica.Role().String(), Leader: c.nameOf(g.replica.Leader()), Term: g.replica.Term(),
		Last: g.replica.LastIndex(), Commit: g.replica.Commit(), Applied: g.applied,
	}
}

// EntryStatus is what a replica knows of an entry that follows it.
type EntryStatus struct {
	Entry      string              `json:"entry"`
	DataCentre string              `json:"data-centre"`
	Admin      string              `json:"admin"`
	Revision   uint64              `json:"revision"`
	Standing   bool                `json:"standing"`
	Leaving    []messenger.Leaving `json:"leaving,omitempty"`
}

// Status returns what the replica knows.
func (c *Controller) Status(now time.Time) Status {
	s := Status{
		Replica:             c.self.Name,
		InContactWithQuorum: c.hearsMajority(now),
		Role:                c.config.replica.Role().String(),
		Leader:              c.nameOf(c.config.replica.Leader()),
		Term:                c.config.replica.Term(),
		Revision:            c.committer.Revision(),
		InForce:             c.inForce,
		Claims:              c.claimer.Len(),
		Members:             c.config.replica.Members(),
		ClaimsMembers:       c.claims.replica.Members(),
		ClaimsLog:           c.logStatus(&c.claims),
		Endpoints:           c.registry.List(""),
	}
	for _, e := range c.entries {
		s.Entries = append(s.Entries, EntryStatus{
			Entry: e.hello.Entry, DataCentre: e.hello.DataCentre, Admin: e.hello.Admin,
			Revision: e.revision, Standing: now.Before(e.standingUntil), Leaving: e.leaving,
		})
	}
	slices.SortFunc(s.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return s
}

// Document returns the configuration that this replica has, which may be behind.
func (c *Controller) Document() (uint64, validator.Document) {
	return c.committer.Revision(), c.committer.Document()
}
