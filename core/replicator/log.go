package replicator

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryMembership
	EntryNoOp // first entry of a leader's term, without data
)

// Entry is one record of the replicated log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// Snapshot is the state after the entry at Index has been applied.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte
}

// Position identifies an entry of the log.
type Position struct {
	Index, Term uint64
}

// log is the part of the replicated log that follows a snapshot, held in memory.
type log struct {
	// baseIndex and baseTerm belong to the last entry that the snapshot covers.
	baseIndex, baseTerm uint64
	// entries have consecutive indexes, starting at baseIndex+1.
	entries []Entry
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index. It returns false for an entry that is neither
// in the log nor the last one of the snapshot.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries with indexes in [from, to], but at most the first limit of them.
func (l *log) slice(from, to uint64, limit int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() || to < from {
		return nil
	}
	to = min(to, l.lastIndex(), from+uint64(limit)-1)
	part := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	return part[:len(part):len(part)]
}

func (l *log) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entry at index from and all later ones. It copies the remaining entries,
// since messages that are not yet sent may refer to the old array.
func (l *log) truncate(from uint64) {
	kept := l.entries[:from-l.baseIndex-1]
	l.entries = append(make([]Entry, 0, len(kept)+1), kept...)
}

// compact drops the entries up to and including index.
func (l *log) compact(index, term uint64) {
	var kept []Entry
	if index < l.lastIndex() {
		kept = append(kept, l.entries[index-l.baseIndex:]...)
	}
	l.entries = kept
	l.baseIndex = index
	l.baseTerm = term
}
