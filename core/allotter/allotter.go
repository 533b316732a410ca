// Package allotter divides a budget into shares that expire. The shares that are
// out never add up to more than the budget.
package allotter

import "time"

// ShareLifetime is how long a share lasts from the moment its holder asked for it.
const ShareLifetime = 6 * time.Second

// Share is a part of a service's watching budget, for each second of its life.
type Share struct {
	// ProbeMicros is endpoint time in microseconds each second.
	ProbeMicros int64
	// ProbeBytes is traffic in bytes each second.
	ProbeBytes int64
}

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share {
	return Share{s.ProbeMicros + t.ProbeMicros, s.ProbeBytes + t.ProbeBytes}
}

// Minus returns the difference of two shares, at least zero.
func (s Share) Minus(t Share) Share {
	return Share{max(0, s.ProbeMicros-t.ProbeMicros), max(0, s.ProbeBytes-t.ProbeBytes)}
}

// Part returns weight parts of total of the share, rounded down.
func (s Share) Part(weight, total int) Share {
	if total <= 0 {
		return Share{}
	}
	w, n := int64(weight), int64(total)
	return Share{s.ProbeMicros * w / n, s.ProbeBytes * w / n}
}

// Limit returns the smaller of both in each field.
func (s Share) Limit(t Share) Share {
	return Share{min(s.ProbeMicros, t.ProbeMicros), min(s.ProbeBytes, t.ProbeBytes)}
}

// grant is a share that is out until a time.
type grant struct {
	share Share
	until time.Time
}

// holder is who has shares. Several may be out, since the holder may not have
// received the newer ones.
type holder struct {
	weight int
	grants []grant
	seen   time.Time
}

// out returns the largest share that the holder may be spending.
func (h *holder) out(now time.Time) Share {
	var most Share
	kept := h.grants[:0]
	for _, g := range h.grants {
		if !now.Before(g.until) {
			continue
		}
		kept = append(kept, g)
		most.ProbeMicros = max(most.ProbeMicros, g.share.ProbeMicros)
		most.ProbeBytes = max(most.ProbeBytes, g.share.ProbeBytes)
	}
	h.grants = kept
	return most
}

// Allotter divides one budget among holders.
type Allotter struct {
	holders map[string]*holder
}

// New returns an allotter with nothing out.
func New() *Allotter { return &Allotter{holders: make(map[string]*holder)} }

// Grant gives a holder its share of a budget until a time. Weight is the number
// of entries that the holder stands for.
func (a *Allotter) Grant(now time.Time, name string, weight int, budget Share, until time.Time) Share {
	h, ok := a.holders[name]
	if !ok {
		h = &holder{}
		a.holders[name] = h
	}
	h.weight = weight
	h.seen = now
	free := budget.Minus(a.others(now, name))
	share := budget.Part(weight, a.weight()).Limit(free)
	h.grants = append(h.grants, grant{share: share, until: until})
	return share
}

// Out returns the sum of all shares that may be in use.
func (a *Allotter) Out(now time.Time) Share {
	var sum Share
	for _, h := range a.holders {
		sum = sum.Plus(h.out(now))
	}
	return sum
}

// others returns what is out except to one holder, and forgets idle holders.
func (a *Allotter) others(now time.Time, name string) Share {
	var sum Share
	for other, h := range a.holders {
		if other == name {
			continue
		}
		out := h.out(now)
		if len(h.grants) == 0 && now.Sub(h.seen) > ShareLifetime {
			delete(a.holders, other)
			continue
		}
		sum = sum.Plus(out)
	}
	return sum
}

func (a *Allotter) weight() int {
	total := 0
	for _, h := range a.holders {
		total += h.weight
	}
	return total
}
