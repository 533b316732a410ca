package committer

import (
	"cmp"
	"slices"

	"comfreyplank.org/core/validator"
)

// maxEvacuations limits the number of data centres whose evacuations are stored. Those that have finished are
// dropped first, the oldest before the others. It is far above the number of data centres of any planned deployment.
const maxEvacuations = 1_024

// Evacuation begins or finishes the evacuation of a data centre.
type Evacuation struct {
	DataCentre string `json:"data-centre"`
	// Active is set to begin the evacuation, and not set to finish it.
	Active bool `json:"active,omitempty"`
	// BaseRevision is the revision at which the order was given. It has no effect if the evacuation has changed since: a
	// command that is proposed twice, and is stored late, must not revoke a later order.
	BaseRevision uint64 `json:"base-revision"`
}

func (Evacuation) command() {}

// storedEvacuation is the state of a data centre that has been evacuated at some time.
type storedEvacuation struct {
	DataCentre string `json:"data-centre"`
	Active     bool   `json:"active,omitempty"`
	// Revision is the one that the latest change created.
	Revision uint64 `json:"revision"`
}

// Evacuate executes an evacuation of the log, and reports whether it has changed anything.
func (c *Committer) Evacuate(e Evacuation) bool {
	active, changedAt := c.Evacuation(e.DataCentre)
	if active == e.Active || changedAt > e.BaseRevision || !validator.ValidName(e.DataCentre) {
		return false
	}
	c.revision++
	c.evacuations = slices.DeleteFunc(slices.Clone(c.evacuations), func(s storedEvacuation) bool { return s.DataCentre == e.DataCentre })
	c.evacuations = append(c.evacuations, storedEvacuation{DataCentre: e.DataCentre, Active: e.Active, Revision: c.revision})
	if len(c.evacuations) > maxEvacuations {
		oldest := max(0, slices.IndexFunc(c.evacuations, func(s storedEvacuation) bool { return !s.Active }))
		c.evacuations = slices.Delete(c.evacuations, oldest, oldest+1)
	}
	return true
}

// Evacuation reports whether a data centre is evacuated, and which revision the latest change created; zero if there
// was none.
func (c *Committer) Evacuation(dataCentre string) (active bool, revision uint64) {
	for _, s := range c.evacuations {
		if s.DataCentre == dataCentre {
			return s.Active, s.Revision
		}
	}
	return false, 0
}

// Evacuated returns the names of the evacuated data centres, in order.
func (c *Committer) Evacuated() []string {
	var names []string
	for _, s := range c.evacuations {
		if s.Active {
			names = append(names, s.DataCentre)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
