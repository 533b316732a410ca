package controller_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

// The alternatives that docs/design/rate-limits.md weighs, as rough models without faults and without latency: each
// decides on one call of a workspace at an entry.
type limitAlternative interface {
	admit(now time.Time, entry int, w *limitedWorkspace) bool
	// messages is the number of messages so far, from and to entries.
	messages() int
}

// expiringShares divides each limit among entries by their calls of the last interval, as probe budgets are divided.
type expiringShares struct {
	entries int
	count   int
	state   map[*limitedWorkspace]*sharedLimit
}

type sharedLimit struct {
	allotter *allotter.Allotter
	next     []time.Time
	calls    []int
	rate     []float64
	until    []time.Time
	tokens   []float64
	at       []time.Time
}

const (
	shareInterval   = 2 * time.Second
	microsPerCall   = 1_000_000
	shareMinWeight  = 1
	permitsInterval = 50 * time.Millisecond
)

func (x *expiringShares) messages() int { return x.count }

func (x *expiringShares) admit(now time.Time, e int, w *limitedWorkspace) bool {
	s, ok := x.state[w]
	if !ok {
		s = &sharedLimit{
			allotter: allotter.New(), next: make([]time.Time, x.entries), calls: make([]int, x.entries), rate: make([]float64, x.entries),
			until: make([]time.Time, x.entries), tokens: make([]float64, x.entries), at: make([]time.Time, x.entries),
		}
		x.state[w] = s
	}
	s.calls[e]++
	if !now.Before(s.next[e]) {
		x.count += 2
		s.next[e] = now.Add(shareInterval)
		s.until[e] = now.Add(allotter.ShareLifetime)
		share := s.allotter.Grant(now, fmt.Sprint(e), s.calls[e]+shareMinWeight, allotter.Share{ProbeMicros: int64(w.rate * microsPerCall)}, s.until[e])
		s.rate[e] = float64(share.ProbeMicros) / microsPerCall
		s.calls[e] = 0
	}
	if !now.Before(s.until[e]) {
		s.rate[e] = 0
	}
	// An entry's part of the burst is that of the rate. It may use one call at least.
	most := max(1, w.burst*s.rate[e]/w.rate)
	s.tokens[e] = min(s.tokens[e]+s.rate[e]*now.Sub(s.at[e]).Seconds(), most)
	s.at[e] = now
	if s.tokens[e] < 1 {
		return false
	}
	s.tokens[e]--
	return true
}

// permits has each call ask the leader for a permit. Requests of one entry share a message every permitsInterval.
type permits struct {
	permitter *permitter.Permitter
	last      map[int]time.Time
	count     int
}

func (x *permits) messages() int { return x.count }

func (x *permits) admit(now time.Time, e int, w *limitedWorkspace) bool {
	if now.Sub(x.last[e]) >= permitsInterval {
		x.last[e] = now
		x.count += 2
	}
	name := registrar.Name{Service: "s", Endpoint: w.name}
	grant, _ := x.permitter.Handle(now, 1, name, 1, throttler.Request{Limit: throttler.Limit{Rate: w.rate}, Observed: true, Permits: 1})
	return grant.Permits == 1
}

// TestRateLimitAlternatives measures the alternatives with one workspace at 8 times its usual rate: the part of the bound
// that was used, that of the limit, the calls of all workspaces refused below their limits, and the messages a second of
// one entry. With COMFREYPLANK_RATE_LIMIT_SIZES set it prints a part of the table of docs/design/rate-limits.md.
func TestRateLimitAlternatives(t *testing.T) {
	sizes := []int{16}
	if os.Getenv(allSizesVariable) != "" {
		sizes = []int{16, 140, 313}
	}
	for _, entries := range sizes {
		for _, surging := range []int{0, 20, 85} {
			for name, x := range map[string]limitAlternative{
				"shares that expire": &expiringShares{entries: entries, state: map[*limitedWorkspace]*sharedLimit{}},
				"permits":            &permits{permitter: permitter.New(), last: map[int]time.Time{}},
			} {
				q := newQuotaWorkspaces(entries, 1)
				now := time.Unix(1_700_000_000, 0)
				w := q.workspaces[surging]
				var from time.Time
				sent := 0
				for at := range 22 * 100 {
					now = now.Add(step)
					if at == 600 {
						w.factor = 8
					}
					if at == 1000 {
						from = now
						sent = x.messages()
					}
					calls, expected := 0, 1.0 // calls spread over the step
					for _, v := range q.workspaces {
						expected += v.usual * v.factor * step.Seconds()
					}
					for _, v := range q.workspaces {
						for range poisson(q.calls, v.usual*v.factor*step.Seconds()) {
							calls++
							at := now.Add(min(step, time.Duration(float64(calls)/expected*float64(step))))
							if x.admit(at, int(float64(entries)*math.Pow(q.calls.Float64(), q.skew)), v) {
								v.admitted = append(v.admitted, at)
							} else {
								v.refused = append(v.refused, at)
							}
						}
					}
				}
				const measured = 12
				used := float64(between(w.admitted, from, now.Add(step))) / (w.rate * measured)
				below, refused := q.refusedBelow(), 0
				for _, v := range q.workspaces {
					if v != w {
						refused += len(v.refused)
					}
				}
				messages := float64(x.messages()-sent) / measured / float64(entries)
				t.Logf("| %s | %d | %.1f | %.2f | %.2f | %d | %d | %.1f |", name, entries, w.rate, w.most(), used, below, refused, messages)
				assert.Check(t, below > 0, "%s refuses nothing below the limit and should be weighed again", name)
			}
		}
	}
}

// newQuotaWorkspaces returns the workspaces of a system of a size, without the system.
func newQuotaWorkspaces(entries int, seed uint64) *quotaSystem {
	q := &quotaSystem{skew: 1.5, calls: rand.New(rand.NewPCG(seed, 11))}
	sum := 0.0
	for i := range workspaceCount {
		sum += math.Pow(float64(i+1), -workspaceSkew)
	}
	for i := range workspaceCount {
		usual := callsPerEntry * float64(entries) * math.Pow(float64(i+1), -workspaceSkew) / sum
		w := &limitedWorkspace{name: fmt.Sprint("w", i), usual: usual, factor: 1, rate: limitHeadroom * usual, burst: limitHeadroom * usual}
		w.previousRate, w.previousBurst = w.rate, w.burst
		q.workspaces = append(q.workspaces, w)
	}
	return q
}
