package registrar

import (
	"container/heap"
	"time"
)

// deadline is when a record is to be looked at. Its record may have been renewed since.
type deadline struct {
	at     time.Time
	record *record
}

// deadlines is a heap ordered by time with one deadline a record.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push is part of heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) } //nolint:forcetypeassert // only deadlines are pushed

// Pop is part of heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = deadline{}
	*d = (*d)[:last]
	return x
}

// watch lets a new record end at its time.
func (r *Registry) watch(rec *record) { heap.Push(&r.deadlines, deadline{rec.expires, rec}) }

// holds reports whether the registry still holds a record.
func (r *Registry) holds(rec *record) bool {
	name := rec.announcement.Name
	return r.records[name] == rec || r.expired[name] == rec
}

// NextExpiry returns when the first lease ends, or the first expired announcement is
// forgotten, unless renewed; zero where there is none.
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

// takeDue returns a record whose time is over, or nil.
func (r *Registry) takeDue(now time.Time) *record {
	if at := r.NextExpiry(); at.IsZero() || now.Before(at) {
		return nil
	}
	return heap.Pop(&r.deadlines).(deadline).record //nolint:forcetypeassert // only deadlines are pushed
}
