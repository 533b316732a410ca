package replicator

import "time"

// readTimeout is how long a read may wait for a majority.
const readTimeout = 2 * time.Second

// maxPendingReads bounds the reads that wait at once.
const maxPendingReads = 4096

// ReadIndex starts a confirmed read. Its result comes in an Output, or never if
// leadership changes meanwhile.
func (r *Replica) ReadIndex(now time.Time, id uint64) error {
	if r.role == RoleLeader {
		r.addRead(pendingRead{id: id, since: now})
		return nil
	}
	if r.leader == "" {
		return ErrNoLeader
	}
	r.dropOldReads(now)
	r.remoteReads[id] = now
	r.send(r.leader, ReadRequest{Read: id})
	return nil
}

func (r *Replica) dropOldReads(now time.Time) {
	for id, since := range r.remoteReads {
		if now.Sub(since) > readTimeout {
			delete(r.remoteReads, id)
		}
	}
}

func (r *Replica) addRead(p pendingRead) {
	if len(r.reads) < maxPendingReads {
		r.reads = append(r.reads, p)
		r.confirmSoon()
		r.finishReads(p.since)
	}
}

func (r *Replica) onReadRequest(now time.Time, e Envelope, m ReadRequest) {
	if r.role == RoleLeader {
		r.addRead(pendingRead{id: m.Read, from: e.From, since: now})
	}
}

func (r *Replica) onReadReply(m ReadReply) {
	if _, ok := r.remoteReads[m.Read]; !ok {
		return
	}
	delete(r.remoteReads, m.Read)
	r.out.Reads = append(r.out.Reads, ConfirmedRead{ID: m.Read, Index: m.Index})
}

// finishReads answers the reads that began before a majority was last heard. A
// leader knows all that was committed before it only after the start of its term
// has committed.
func (r *Replica) finishReads(now time.Time) {
	if r.role != RoleLeader || r.commit < r.termStart {
		return
	}
	kept := r.reads[:0]
	for _, p := range r.reads {
		switch {
		case !r.quorumAt.Before(p.since):
			r.answerRead(p)
		case now.Sub(p.since) < readTimeout:
			kept = append(kept, p)
		}
	}
	r.reads = kept
}

func (r *Replica) answerRead(p pendingRead) {
	if p.from == "" {
		r.out.Reads = append(r.out.Reads, ConfirmedRead{ID: p.id, Index: r.commit})
		return
	}
	r.send(p.from, ReadReply{Read: p.id, Index: r.commit})
}
