// Package allotter divides a budget into shares that expire. The outstanding shares
// never add up to more than the budget.
package allotter

import "time"

// ShareLifetime is the time for which a share is valid, counted from the holder's request.
const ShareLifetime = 6 * time.Second

// Share is a part of a service's probe budget, per second.
type Share struct {
	// ProbeMicros is the endpoint time for probes, in microseconds per second.
	ProbeMicros int64
	// ProbeBytes is the probe traffic, in bytes per second.
	ProbeBytes int64
}

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share {
	return Share{s.ProbeMicros + t.ProbeMicros, s.ProbeBytes + t.ProbeBytes}
}

// Minus returns the difference of two shares. Negative fields become zero.
func (s Share) Minus(t Share) Share {
	return Share{max(0, s.ProbeMicros-t.ProbeMicros), max(0, s.ProbeBytes-t.ProbeBytes)}
}

// Fraction returns the fraction weight/total of the share, rounded down.
func (s Share) Fraction(weight, total int) Share {
	if total <= 0 {
		return Share{}
	}
	w, n := int64(weight), int64(total)
	return Share{s.ProbeMicros * w / n, s.ProbeBytes * w / n}
}

// Min returns the minimum of two shares in each field.
func (s Share) Min(t Share) Share {
	return Share{min(s.ProbeMicros, t.ProbeMicros), min(s.ProbeBytes, t.ProbeBytes)}
}

// grant is a share that is outstanding until a time.
type grant struct {
	share Share
	until time.Time
}

// holder is a recipient of shares. Several of its grants may be outstanding, since it may not
// have received the newer ones.
type holder struct {
	weight int
	grants []grant
	seen   time.Time
}

// outstanding returns the largest share that the holder may be using, and drops expired grants.
func (h *holder) outstanding(now time.Time) Share {
	var largest Share
	kept := h.grants[:0]
	for _, g := range h.grants {
		if !now.Before(g.until) {
			continue
		}
		kept = append(kept, g)
		largest.ProbeMicros = max(largest.ProbeMicros, g.share.ProbeMicros)
		largest.ProbeBytes = max(largest.ProbeBytes, g.share.ProbeBytes)
	}
	h.grants = kept
	return largest
}

// Allotter divides one budget among holders.
type Allotter struct {
	holders map[string]*holder
}

// New returns an allotter without outstanding shares.
func New() *Allotter { return &Allotter{holders: make(map[string]*holder)} }

// Grant grants a holder its share of a budget until the given time. Weight is the number of
// entries that the holder represents.
func (a *Allotter) Grant(now time.Time, name string, weight int, budget Share, until time.Time) Share {
	h, ok := a.holders[name]
	if !ok {
		h = &holder{}
		a.holders[name] = h
	}
	h.weight = weight
	h.seen = now
	free := budget.Minus(a.others(now, name))
	share := budget.Fraction(weight, a.weight()).Min(free)
	h.grants = append(h.grants, grant{share: share, until: until})
	return share
}

// Outstanding returns the sum of all shares that may be in use.
func (a *Allotter) Outstanding(now time.Time) Share {
	var sum Share
	for _, h := range a.holders {
		sum = sum.Plus(h.outstanding(now))
	}
	return sum
}

// others returns the outstanding shares of all holders but one. It removes holders without
// grants that have not been seen for a share's lifetime.
func (a *Allotter) others(now time.Time, name string) Share {
	var sum Share
	for other, h := range a.holders {
		if other == name {
			continue
		}
		outstanding := h.outstanding(now)
		if len(h.grants) == 0 && now.Sub(h.seen) > ShareLifetime {
			delete(a.holders, other)
			continue
		}
		sum = sum.Plus(outstanding)
	}
	return sum
}

// weight returns the total weight of all holders.
func (a *Allotter) weight() int {
	total := 0
	for _, h := range a.holders {
		total += h.weight
	}
	return total
}
