package registrar

import (
	"container/heap"
	"time"
)

// deadline is the time at which a record is checked for expiry. The record may have been
// renewed in the meantime.
type deadline struct {
	at     time.Time
	record *record
}

// deadlines is a heap of deadlines, one per record, ordered by time.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) } //nolint:forcetypeassert // only deadlines are pushed

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = deadline{}
	*d = (*d)[:last]
	return x
}

// scheduleExpiry adds the deadline of a new record.
func (r *Registry) scheduleExpiry(rec *record) { heap.Push(&r.deadlines, deadline{rec.expires, rec}) }

// holds reports whether a record is still in the registry, expired or not.
func (r *Registry) holds(rec *record) bool {
	name := rec.announcement.Name
	return r.records[name] == rec || r.expired[name] == rec
}

// NextExpiry returns when the next lease ends unless it is renewed, or when the next expired
// announcement is dropped, whichever comes first. It returns zero if there is neither.
func (r *Registry) NextExpiry() time.Time {
	for len(r.deadlines) > 0 {
		first := &r.deadlines[0]
		switch {
		case !r.holds(first.record):
			heap.Pop(&r.deadlines)
		case first.at.Before(first.record.expires):
			first.at = first.record.expires
			heap.Fix(&r.deadlines, 0)
		default:
			return first.at
		}
	}
	return time.Time{}
}

// popExpired removes the deadline of a record that has expired and returns the record, or nil
// without one.
func (r *Registry) popExpired(now time.Time) *record {
	if at := r.NextExpiry(); at.IsZero() || now.Before(at) {
		return nil
	}
	return heap.Pop(&r.deadlines).(deadline).record //nolint:forcetypeassert // only deadlines are pushed
}
