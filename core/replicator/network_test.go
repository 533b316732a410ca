package replicator

import (
	"slices"
	"time"
)

// link is a slow link: each message takes delay, and its bytes follow each other at rate bytes a second. Zero means no limit.
type link struct {
	delay time.Duration
	rate  int
	// freeAt is when the last byte so far has been sent.
	freeAt time.Time
}

type delayedMessage struct {
	at time.Time
	e  Envelope
}

// delay puts a message on the slow link that it has to pass, and reports whether there is one.
func (w *network) delay(e Envelope) bool {
	l := w.links[e.To]
	if l == nil {
		l = w.links[e.From]
	}
	if l == nil {
		return false
	}
	at := w.now.Add(l.delay)
	if l.rate > 0 && e.From != l.member(w) {
		start := w.now
		if l.freeAt.After(start) {
			start = l.freeAt
		}
		l.freeAt = start.Add(time.Duration(messageBytes(e)) * time.Second / time.Duration(l.rate))
		at = l.freeAt.Add(l.delay)
	}
	w.delayed = append(w.delayed, delayedMessage{at, e})
	return true
}

// member returns the node that the link leads to; only what it receives takes time to send.
func (l *link) member(w *network) ID {
	for id, other := range w.links {
		if other == l {
			return id
		}
	}
	return ""
}

func messageBytes(e Envelope) int {
	const header = 100
	switch m := e.Message.(type) {
	case SnapshotChunk:
		return header + len(m.Data)
	case Append:
		n := header
		for _, entry := range m.Entries {
			n += len(entry.Data)
		}
		return n
	}
	return header
}

func (w *network) deliverDelayed() {
	var due []Envelope
	w.delayed = slices.DeleteFunc(w.delayed, func(m delayedMessage) bool {
		if m.at.After(w.now) {
			return false
		}
		due = append(due, m.e)
		return true
	})
	for _, e := range due {
		w.deliver(e)
	}
}

// pause lets a node stand still: what arrives waits until it wakes.
func (w *network) pause(id ID) {
	if w.nodes[id].up && w.paused[id] == nil {
		w.paused[id] = []Envelope{}
	}
}

// wake lets a node go on. It handles what has arrived in order, with its timers in between at any place.
func (w *network) wake(id ID) {
	waiting := w.paused[id]
	if waiting == nil {
		return
	}
	delete(w.paused, id)
	n := w.nodes[id]
	tickAt := w.rand.IntN(len(waiting) + 1)
	for i, e := range waiting {
		if i == tickAt {
			n.Tick(w.now)
			w.flush(n)
		}
		w.deliver(e)
	}
}
