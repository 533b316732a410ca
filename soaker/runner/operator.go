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

// Pauses between changes, and between looks at entries and replicas.
const (
	changeGap = 1200 * time.Millisecond
	lookGap   = 150 * time.Millisecond
	// changeTries is how often a change without a clear answer is sent again.
	changeTries = 6
)

// operator changes the configuration and watches what is in force.
type operator struct {
	controls, entries []*host
	check             *checker.Checker
	changes           atomic.Int64
}

// document is one service with a route of each execution.
func document(base uint64, id string) []byte {
	return fmt.Appendf(nil, `{"base-revision":%d,"change-id":%q,"entries":24,"services":[{"name":%q,"routes":[
		{"path-prefix":"/rounds","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/claims","execution":"at-most-once","deadline-ms":2000,"class":"interactive"},
		{"path-prefix":"/pledges","execution":"once-only","deadline-ms":4000,"class":"interactive"}],
		"queue-limit":200,"retry-percent":20,"probe-ms-per-second":50,"probe-bytes-per-second":20000}]}`, base, id, service)
}

// newest returns the present revision as a replica knows it, which may be behind.
func (o *operator) newest() (revision uint64, ok bool) {
	for _, h := range o.controls {
		var answer struct {
			Revision uint64 `json:"revision"`
		}
		if stager.Get("http://"+h.process.Admin+"/comfreyplank/v1/document", &answer) == nil {
			revision = max(revision, answer.Revision)
			ok = true
		}
	}
	return revision, ok
}

func (o *operator) run(ctx context.Context, source *rand.Rand) {
	for ctx.Err() == nil {
		o.change(ctx, source.IntN(len(o.controls)))
		time.Sleep(time.Duration(source.Float64() * 2 * float64(changeGap)))
	}
}

// firstChange puts the first document in force, and reports whether it did.
func (o *operator) firstChange(ctx context.Context) bool {
	return stager.Until(patience, func() bool { return o.apply(ctx, 0, 0) }) == nil
}

// change makes a change at the newest revision, and reports whether it is in force.
func (o *operator) change(ctx context.Context, first int) bool {
	base, ok := o.newest()
	return ok && o.apply(ctx, first, base)
}

// race makes two changes at the same revision at once, at two replicas.
func (o *operator) race(ctx context.Context) {
	base, ok := o.newest()
	if !ok {
		return
	}
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() { o.apply(ctx, i, base) })
	}
	group.Wait()
}

// apply sends a change, and the same again to other replicas until the answer is clear.
func (o *operator) apply(ctx context.Context, first int, base uint64) bool {
	id := fmt.Sprint("change-", o.changes.Add(1))
	for try := range changeTries {
		if ctx.Err() != nil {
			return false
		}
		r, err := o.controls[(first+try)%len(o.controls)].process.Apply(document(base, id))
		if err != nil {
			continue
		}
		switch r.Status {
		case "in-force":
			o.check.Accepted(r.Answer.Revision, id, true)
			return true
		case "accepted":
			o.check.Accepted(r.Answer.Revision, id, false)
		case "refused":
			return false
		}
	}
	return false
}

// watch looks at every entry and replica until the context ends.
func (o *operator) watch(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range o.entries {
		group.Go(func() { o.watchEntry(ctx, h) })
	}
	for _, h := range o.controls {
		group.Go(func() { o.watchControl(ctx, h) })
	}
	group.Wait()
}

// watchEntry asserts that an entry in standing has what is in force, and that none goes
// back within a life.
func (o *operator) watchEntry(ctx context.Context, h *host) {
	var last uint64
	var lastLife int
	for ctx.Err() == nil {
		time.Sleep(lookGap)
		life, _ := h.state()
		least := o.check.InForce()
		var answer struct {
			Ready    bool   `json:"ready"`
			Revision uint64 `json:"revision"`
		}
		if stager.Get("http://"+h.process.Listen+"/comfreyplank/ready", &answer) != nil {
			continue
		}
		if now, _ := h.state(); now != life {
			continue // the answer may be of either life
		}
		if life != lastLife {
			last = 0
			lastLife = life
		}
		if answer.Revision < last {
			o.check.Violated("%s went from revision %d to %d", h.process.Name, last, answer.Revision)
		}
		last = answer.Revision
		if answer.Ready && answer.Revision < least {
			o.check.Violated("%s is in standing at revision %d, and %d is in force everywhere", h.process.Name, answer.Revision, least)
		}
	}
}

func (o *operator) watchControl(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		time.Sleep(lookGap)
		o.read(h)
	}
}

// read reads the configuration from a replica, and reports whether a majority confirmed it.
func (o *operator) read(h *host) bool {
	least := o.check.Newest()
	var answer struct {
		Revision  uint64 `json:"revision"`
		Confirmed bool   `json:"confirmed"`
		Document  struct {
			ChangeID string `json:"change-id"`
		} `json:"document"`
	}
	if stager.Get("http://"+h.process.Admin+"/comfreyplank/v1/document", &answer) != nil || !answer.Confirmed {
		return false
	}
	if answer.Revision > 0 {
		o.check.Read(answer.Revision, answer.Document.ChangeID, least)
	}
	return true
}
