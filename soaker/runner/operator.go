package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"comfreyplank.org/bench/stager"
	"comfreyplank.org/soaker/checker"
)

// Intervals between changes, and between polls of an entry or replica.
const (
	meanChangeInterval = 1200 * time.Millisecond
	pollInterval       = 150 * time.Millisecond
	// maxChangeTries is how often a change is sent at most until its result is certain.
	maxChangeTries = 6
)

// operator changes the configuration, and polls entries and replicas for the revision in
// effect.
type operator struct {
	controls, entries []*host
	check             *checker.Checker
	changes           atomic.Int64
}

// document returns a document with one service that has a route for each kind of execution.
func document(base uint64, id string) []byte {
	return fmt.Appendf(nil, `{"base-revision":%d,"change-id":%q,"entries":24,"services":[{"name":%q,"routes":[
		{"path-prefix":"/rounds","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/claims","execution":"at-most-once","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/pledges","execution":"once-only","deadline-ms":4000,"class":"interactive"}],
		"queue-limit":200,"retry-percent":20,"probe-ms-per-second":50,"probe-bytes-per-second":20000}]}`, base, id, service)
}

// newestRevision returns the highest revision that any replica reports, which may be out of
// date.
func (o *operator) newestRevision() (revision uint64, ok bool) {
	for _, h := range o.controls {
		var response struct {
			Revision uint64 `json:"revision"`
		}
		if stager.Get("http://"+h.process.Admin+"/comfreyplank/v1/document", &response) == nil {
			revision = max(revision, response.Revision)
			ok = true
		}
	}
	return revision, ok
}

func (o *operator) run(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.change(ctx, rng.IntN(len(o.controls)))
		time.Sleep(time.Duration(rng.Float64() * 2 * float64(meanChangeInterval)))
	}
}

// firstChange applies the first document and reports whether it is in effect.
func (o *operator) firstChange(ctx context.Context) bool {
	return stager.WaitUntil(recoveryTimeout, func() bool { return o.apply(ctx, 0, 0) }) == nil
}

// change applies a change to the newest revision and reports whether it is in effect.
func (o *operator) change(ctx context.Context, firstReplica int) bool {
	base, ok := o.newestRevision()
	return ok && o.apply(ctx, firstReplica, base)
}

// raceChanges applies two changes to the same revision at once, at two replicas.
func (o *operator) raceChanges(ctx context.Context) {
	base, ok := o.newestRevision()
	if !ok {
		return
	}
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() { o.apply(ctx, i, base) })
	}
	group.Wait()
}

// apply sends a change to one replica after the other until its result is certain, and
// reports whether it is in effect.
func (o *operator) apply(ctx context.Context, firstReplica int, base uint64) bool {
	id := fmt.Sprint("change-", o.changes.Add(1))
	for try := range maxChangeTries {
		if ctx.Err() != nil {
			return false
		}
		r, err := o.controls[(firstReplica+try)%len(o.controls)].process.Apply(document(base, id))
		if err != nil {
			continue
		}
		switch r.Status {
		case "in-force":
			o.check.RecordChange(r.Reply.Revision, id, true)
			return true
		case "accepted":
			o.check.RecordChange(r.Reply.Revision, id, false)
		case "refused":
			return false
		}
	}
	return false
}

// poll polls all entries and replicas until the context ends.
func (o *operator) poll(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range o.entries {
		group.Go(func() { o.pollEntry(ctx, h) })
	}
	for _, h := range o.controls {
		group.Go(func() { o.pollControl(ctx, h) })
	}
	group.Wait()
}

// pollEntry checks that an entry that holds its configuration lease has the revision in
// effect, and that its revision never decreases within an incarnation.
func (o *operator) pollEntry(ctx context.Context, h *host) {
	var lastRevision uint64
	var lastIncarnation int
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		incarnation, _ := h.state()
		inEffect := o.check.RevisionInEffect()
		var response struct {
			Ready    bool   `json:"ready"`
			Revision uint64 `json:"revision"`
		}
		if stager.Get("http://"+h.process.Listen+"/comfreyplank/ready", &response) != nil {
			continue
		}
		if now, _ := h.state(); now != incarnation {
			continue // the response may come from either incarnation
		}
		if incarnation != lastIncarnation {
			lastRevision = 0
			lastIncarnation = incarnation
		}
		if response.Revision < lastRevision {
			o.check.AddViolation("%s went from revision %d to %d", h.process.Name, lastRevision, response.Revision)
		}
		lastRevision = response.Revision
		if response.Ready && response.Revision < inEffect {
			o.check.AddViolation("%s is in standing at revision %d, and %d is in force everywhere", h.process.Name, response.Revision, inEffect)
		}
	}
}

func (o *operator) pollControl(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		o.readDocument(h)
	}
}

// readDocument reads the configuration from a replica, and reports whether a quorum
// confirmed it.
func (o *operator) readDocument(h *host) bool {
	acknowledged := o.check.NewestRevision()
	var response struct {
		Revision  uint64 `json:"revision"`
		Confirmed bool   `json:"confirmed"`
		Document  struct {
			ChangeID string `json:"change-id"`
		} `json:"document"`
	}
	if stager.Get("http://"+h.process.Admin+"/comfreyplank/v1/document", &response) != nil || !response.Confirmed {
		return false
	}
	if response.Revision > 0 {
		o.check.RecordRead(response.Revision, response.Document.ChangeID, acknowledged)
	}
	return true
}
