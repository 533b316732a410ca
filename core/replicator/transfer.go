package replicator

import "time"

// The wait after which a piece of a snapshot that was not acknowledged is sent again, in heartbeat intervals: at first, and
// at most. It doubles with each repetition, and is at least twice the time that the last piece took.
const (
	firstResendHeartbeats = 4
	maxResendHeartbeats   = 64
)

// transfer is a snapshot on its way to a member, one piece at a time.
type transfer struct {
	// snapshot is the one that was the latest when the transfer began. A later one doesn't replace it: on a slow link, no
	// transfer would end while there are many changes.
	snapshot Snapshot
	// offset is how many bytes the member has, by its latest reply.
	offset int
	// firstSentAt and sentAt are when the piece at offset was sent first and last; zero if it has not been sent.
	firstSentAt, sentAt time.Time
	// resendAfter is the wait after which the piece is sent again.
	resendAfter time.Duration
	// The member has dropped what it had, and gets the next piece no earlier than notBefore. If it does so again, it then
	// waits for dropDelay.
	notBefore time.Time
	dropDelay time.Duration
}

// newTransfer starts the transfer of a snapshot.
func (r *Replica) newTransfer() transfer {
	wait := firstResendHeartbeats * r.heartbeatInterval
	return transfer{snapshot: r.stored, resendAfter: wait, dropDelay: wait}
}

// end returns where the piece at offset ends.
func (t *transfer) end() int { return min(t.offset+snapshotChunkBytes, len(t.snapshot.Data)) }

// sendSnapshot sends the next piece of a snapshot, or a heartbeat that asks how much has arrived while a piece is on its
// way. A piece is not repeated with each heartbeat: it may take longer than that on a slow link.
func (r *Replica) sendSnapshot(now time.Time, to ID, p *progress) {
	t := &p.transfer
	if t.snapshot.Index < max(p.next, 1) {
		*t = r.newTransfer()
	}
	isSent := !t.sentAt.IsZero()
	switch {
	case now.Before(t.notBefore):
		r.sendPiece(now, to, t, t.offset, t.offset)
	case isSent && now.Sub(t.sentAt) < t.resendAfter:
		r.sendPiece(now, to, t, t.end(), t.end())
	default:
		if isSent {
			t.resendAfter = r.doubled(t.resendAfter)
		} else {
			t.firstSentAt = now
		}
		t.sentAt = now
		r.sendPiece(now, to, t, t.offset, t.end())
	}
}

func (r *Replica) doubled(wait time.Duration) time.Duration {
	return min(2*wait, maxResendHeartbeats*r.heartbeatInterval)
}

// sendPiece sends the bytes of a snapshot in [from, to).
func (r *Replica) sendPiece(now time.Time, member ID, t *transfer, from, to int) {
	s := t.snapshot
	isLast := to == len(s.Data) && (from < to || len(s.Data) == 0)
	r.send(member, SnapshotChunk{
		Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: from, Data: s.Data[from:to], Done: isLast, LeaderTime: r.localTime(now),
	})
}

func (r *Replica) onSnapshotReply(now time.Time, e Envelope, m SnapshotReply) {
	p := r.progress[e.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	order := p.observe(m.Run, m.Sent, m.LeaderTime)
	if order == replyOfEarlierProcess {
		return
	}
	r.recordReply(now, p, m.LeaderTime)
	t := &p.transfer
	if order != replyInOrder || t.snapshot.Index != m.Index || p.next > r.log.baseIndex || m.Offset > len(t.snapshot.Data) {
		return
	}
	r.continueTransfer(now, e.From, p, m.Offset)
}

// continueTransfer goes on where the member says that it stands, also if that is less than before.
func (r *Replica) continueTransfer(now time.Time, to ID, p *progress, offset int) {
	t := &p.transfer
	switch {
	case offset > t.offset:
		t.resendAfter = max(firstResendHeartbeats*r.heartbeatInterval, 2*now.Sub(t.firstSentAt))
		t.offset = offset
		t.sentAt = time.Time{}
		r.sendSnapshot(now, to, p)
	case offset < t.offset:
		t.offset = offset
		t.sentAt = time.Time{}
		t.notBefore = now.Add(t.dropDelay)
		t.dropDelay = r.doubled(t.dropDelay)
	}
}

// incomingSnapshot collects the pieces of a snapshot.
type incomingSnapshot struct {
	// leader and term are those of the sender: another one may encode the same state otherwise.
	leader   ID
	term     uint64
	snapshot Snapshot
}

func (r *Replica) onSnapshotChunk(now time.Time, e Envelope, m SnapshotChunk) {
	r.followLeader(now, e.From)
	if term, ok := r.log.term(m.Index); ok && term == m.LogTerm {
		// The log agrees with the snapshot, which would drop the entries after it.
		r.raiseCommitIndex(m.Index)
	}
	if m.Index <= r.commitIndex {
		r.incoming = nil
		r.send(e.From, r.acceptingReply(now, m.LeaderTime, r.commitIndex))
		return
	}
	if !r.receives(e, m) {
		r.incoming = nil
		if m.Offset == 0 {
			r.incoming = &incomingSnapshot{leader: e.From, term: e.Term, snapshot: Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members}}
		}
	}
	if r.incoming != nil && m.Offset == len(r.incoming.snapshot.Data) {
		r.incoming.snapshot.Data = append(r.incoming.snapshot.Data, m.Data...)
		if m.Done && r.finishIncoming(now, e.From, m.LeaderTime) {
			return
		}
	}
	r.send(e.From, r.snapshotReply(now, m))
}

// receives reports whether a piece belongs to the snapshot that is being received.
func (r *Replica) receives(e Envelope, m SnapshotChunk) bool {
	in := r.incoming
	return in != nil && in.leader == e.From && in.term == e.Term && in.snapshot.Index == m.Index
}

func (r *Replica) snapshotReply(now time.Time, m SnapshotChunk) SnapshotReply {
	reply := SnapshotReply{Index: m.Index, LeaderTime: m.LeaderTime, Sent: r.localTime(now), Run: r.incarnation}
	if r.incoming != nil {
		reply.Offset = len(r.incoming.snapshot.Data)
	}
	return reply
}

// finishIncoming installs a complete snapshot, and reports whether it passed its check. Otherwise it is dropped, and the
// reply asks for it from the start.
func (r *Replica) finishIncoming(now time.Time, leader ID, leaderTime time.Duration) bool {
	s := r.incoming.snapshot
	r.incoming = nil
	if r.checkSnapshot(s.Data) != nil {
		return false
	}
	r.installSnapshot(s)
	r.send(leader, r.acceptingReply(now, leaderTime, s.Index))
	return true
}

// installSnapshot replaces the log and the state by a snapshot.
func (r *Replica) installSnapshot(s Snapshot) {
	r.stored = s
	r.log = log{baseIndex: s.Index, baseTerm: s.Term}
	r.members = s.Members
	r.membersIndex = s.Index
	r.commitIndex = s.Index
	r.deliveredIndex = s.Index
	r.synced = s.Index
	r.out.Snapshot = &s
	r.out.Entries = nil
	r.out.Committed = nil
}
