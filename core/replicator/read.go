package replicator

import "time"

// readTimeout is how long a read may wait for confirmation by a quorum.
const readTimeout = 2 * time.Second

// maxPendingReads limits the number of reads that wait for confirmation.
const maxPendingReads = 4096

// ReadIndex starts a confirmed read. A later Output contains its result. There is no result if
// leadership changes meanwhile, if no quorum confirms the read within readTimeout or if too
// many reads are pending.
func (r *Replica) ReadIndex(now time.Time, id uint64) error {
	if r.role == RoleLeader {
		r.addRead(pendingRead{id: id, startedAt: now})
		return nil
	}
	if r.leader == "" {
		return ErrNoLeader
	}
	r.dropExpiredReads(now)
	r.lastForwardedRead++
	r.forwardedReads[r.lastForwardedRead] = pendingRead{id: id, startedAt: now}
	r.send(r.leader, ReadRequest{Read: r.lastForwardedRead})
	return nil
}

func (r *Replica) dropExpiredReads(now time.Time) {
	for number, p := range r.forwardedReads {
		if now.Sub(p.startedAt) > readTimeout {
			delete(r.forwardedReads, number)
		}
	}
}

func (r *Replica) addRead(p pendingRead) {
	if len(r.reads) < maxPendingReads {
		r.reads = append(r.reads, p)
		r.scheduleReadConfirmation()
		r.completeReads(p.startedAt)
	}
}

func (r *Replica) onReadRequest(now time.Time, e Envelope, m ReadRequest) {
	if r.role == RoleLeader {
		r.addRead(pendingRead{id: m.Read, from: e.From, startedAt: now})
	}
}

func (r *Replica) onReadReply(m ReadReply) {
	p, ok := r.forwardedReads[m.Read]
	if !ok {
		return
	}
	delete(r.forwardedReads, m.Read)
	r.out.Reads = append(r.out.Reads, Read{ID: p.id, Index: m.Index})
}

// completeReads sends the results of the reads that started no later than the last contact with
// a quorum. A leader knows all entries that were committed before its term only once the first
// entry of its own term is committed.
func (r *Replica) completeReads(now time.Time) {
	if r.role != RoleLeader || r.commitIndex < r.termStart {
		return
	}
	pending := r.reads[:0]
	for _, p := range r.reads {
		switch {
		case !r.lastQuorumContact.Before(p.startedAt):
			r.replyToRead(p)
		case now.Sub(p.startedAt) < readTimeout:
			pending = append(pending, p)
		}
	}
	r.reads = pending
}

func (r *Replica) replyToRead(p pendingRead) {
	if p.from == "" {
		r.out.Reads = append(r.out.Reads, Read{ID: p.id, Index: r.commitIndex})
		return
	}
	r.send(p.from, ReadReply{Read: p.id, Index: r.commitIndex})
}
