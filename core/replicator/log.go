package replicator

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
	// list holds entries with consecutive indexes, starting at baseIndex+1.
	list EntryList
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(l.list.Len()) }

func (l *log) lastTerm() uint64 {
	if l.list.Len() == 0 {
		return l.baseTerm
	}
	return l.list.entries[l.list.Len()-1].Term
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
	return l.list.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries with indexes in [from, to], but at most the first limit of them, and not more than maxBytes
// unless the first one is larger.
func (l *log) slice(from, to uint64, limit, maxBytes int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() || to < from {
		return nil
	}
	to = min(to, l.lastIndex(), from+uint64(limit)-1)
	return l.list.unpacked(int(from-l.baseIndex-1), int(to-l.baseIndex), maxBytes)
}

// bytesAfter returns the size of the entries after index.
func (l *log) bytesAfter(index uint64) int {
	return totalSize(l.list.entries[max(index, l.baseIndex)-l.baseIndex:])
}

func (l *log) append(entries ...Entry) { l.list.Append(entries...) }

// truncate drops the entry at index from and all later ones.
func (l *log) truncate(from uint64) { l.list.Truncate(int(from - l.baseIndex - 1)) }

// compact drops the entries up to and including index.
func (l *log) compact(index, term uint64) {
	l.list.DropFirst(int(min(index, l.lastIndex()) - l.baseIndex))
	l.baseIndex = index
	l.baseTerm = term
}
