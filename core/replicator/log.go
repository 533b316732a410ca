package replicator

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of an entry.
const (
	EntryCommand EntryKind = iota + 1
	EntryMembership
	EntryStart // the first entry of a leader's term, without data
)

// Entry is one record of the replicated log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte
}

// Position names an entry of the log.
type Position struct {
	Index, Term uint64
}

// log is the part of the log that is held in memory, after a snapshot.
type log struct {
	// base is the entry before the first; it is covered by the snapshot.
	baseIndex, baseTerm uint64
	// entries have consecutive indexes from baseIndex+1.
	entries []Entry
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at an index, if the log still knows it.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns at most limit entries from an index on, up to an index.
func (l *log) slice(from, to uint64, limit int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() || to < from {
		return nil
	}
	to = min(to, l.lastIndex(), from+uint64(limit)-1)
	part := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	return part[:len(part):len(part)]
}

func (l *log) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from an index on. The kept ones are copied, since
// slices of the old ones may still be on their way.
func (l *log) truncate(from uint64) {
	kept := l.entries[:from-l.baseIndex-1]
	l.entries = append(make([]Entry, 0, len(kept)+1), kept...)
}

// compact drops the entries up to an index.
func (l *log) compact(index, term uint64) {
	var kept []Entry
	if index < l.lastIndex() {
		kept = append(kept, l.entries[index-l.baseIndex:]...)
	}
	l.entries = kept
	l.baseIndex = index
	l.baseTerm = term
}
