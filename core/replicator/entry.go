package replicator

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/pkg/errors"
)

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
	// Data is the command, compressed if PackedFrom is set.
	Data []byte
	// PackedFrom is the size of the data before it was compressed, in bytes; zero if it is not. Entries are packed only while
	// they wait in memory: messages, outputs and journals hold them unpacked.
	PackedFrom int
}

// Size returns the size of the unpacked data in bytes.
func (e Entry) Size() int { return max(len(e.Data), e.PackedFrom) }

// totalSize returns the size of the unpacked data of entries in bytes.
func totalSize(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += e.Size()
	}
	return n
}

// FirstBytes returns the first entries whose unpacked data takes no more than maxBytes together, but at least one if there is any.
func FirstBytes(entries []Entry, maxBytes int) []Entry {
	n := 0
	for i, e := range entries {
		n += e.Size()
		if n > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return slices.Clip(entries)
}

// packThreshold is the size from which an entry is worth packing, in bytes.
const packThreshold = 64 << 10

func (e Entry) isLarge() bool { return e.Kind == EntryCommand && e.Size() >= packThreshold }

// packed returns the entry with compressed data.
func (e Entry) packed() Entry {
	if e.PackedFrom != 0 {
		return e
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(e.Data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err) // can't happen: the level is valid and a buffer takes everything
	}
	e.PackedFrom = len(e.Data)
	e.Data = slices.Clip(b.Bytes())
	return e
}

// Unpacked returns the entry with its plain data.
func (e Entry) Unpacked() Entry {
	if e.PackedFrom == 0 {
		return e
	}
	plain := make([]byte, e.PackedFrom)
	if _, err := io.ReadFull(flate.NewReader(bytes.NewReader(e.Data)), plain); err != nil {
		panic(errors.Wrap(err, "unpack an entry")) // can't happen: packed has written it in this process
	}
	e.Data = plain
	e.PackedFrom = 0
	return e
}

// maxPlainBytes is how much of the large entries of a list stays unpacked: the latest ones, which are still being sent.
const maxPlainBytes = 4 << 20

// EntryList is a list of entries in the memory of a replica. It packs the large ones, but for the latest: a log of large
// documents that is read from a disk, or waits for a commit, doesn't take as much memory as the documents.
type EntryList struct {
	entries []Entry
	// bytes is the unpacked size of all entries.
	bytes int
	// Of the large entries, those from firstPlain on are not packed, and take plainBytes.
	firstPlain int
	plainBytes int
}

// Append adds entries to the end.
func (l *EntryList) Append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		l.bytes += e.Size()
		if e.isLarge() && e.PackedFrom == 0 {
			l.plainBytes += len(e.Data)
		}
	}
	l.pack()
}

// pack packs the first large entries while there are too many. It changes a copy, since the old array may be in use.
func (l *EntryList) pack() {
	if l.plainBytes <= maxPlainBytes {
		return
	}
	l.entries = slices.Clone(l.entries)
	for ; l.plainBytes > maxPlainBytes && l.firstPlain < len(l.entries)-1; l.firstPlain++ {
		e := &l.entries[l.firstPlain]
		if e.isLarge() && e.PackedFrom == 0 {
			l.plainBytes -= len(e.Data)
			*e = e.packed()
		}
	}
}

// Truncate keeps the first n entries. It copies them, since the old array may be in use.
func (l *EntryList) Truncate(n int) { l.replace(l.entries[:n]) }

// DropFirst removes the first n entries.
func (l *EntryList) DropFirst(n int) { l.replace(l.entries[n:]) }

func (l *EntryList) replace(kept []Entry) {
	*l = EntryList{}
	l.Append(slices.Clone(kept)...)
}

// Len returns the number of entries.
func (l *EntryList) Len() int { return len(l.entries) }

// Bytes returns the unpacked size of all entries.
func (l *EntryList) Bytes() int { return l.bytes }

// Kept returns the entries as they are kept, some of them packed.
func (l *EntryList) Kept() []Entry { return slices.Clip(l.entries) }

// unpacked returns the entries from position from to position to, without it, until they exceed maxBytes; but at least one.
func (l *EntryList) unpacked(from, to, maxBytes int) []Entry {
	part := FirstBytes(l.entries[from:to], maxBytes)
	if !slices.ContainsFunc(part, func(e Entry) bool { return e.PackedFrom != 0 }) {
		return part
	}
	part = slices.Clone(part)
	for i, e := range part {
		part[i] = e.Unpacked()
	}
	return part
}
