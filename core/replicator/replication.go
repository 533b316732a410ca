package replicator

import (
	"slices"
	"time"
)

// Propose adds a command to the log, by way of the leader if need be. A nil
// error doesn't mean that it will commit.
func (r *Replica) Propose(data []byte) error {
	if r.role == RoleLeader && r.takeOverTo == "" {
		r.appendOwn(EntryCommand, data)
		return nil
	}
	if r.role == RoleLeader || r.leader == "" {
		return ErrNoLeader
	}
	r.send(r.leader, Forward{Data: data})
	return nil
}

func (r *Replica) onForward(m Forward) {
	if r.role == RoleLeader && r.takeOverTo == "" {
		r.appendOwn(EntryCommand, m.Data)
	}
}

// ChangeMembers replaces the membership. Only one voter may come or go, and only
// after the change before has committed.
func (r *Replica) ChangeMembers(now time.Time, next Membership) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if r.membersIndex > r.commit || r.commit < r.termStart {
		return ErrChangePending
	}
	if next.Voters() == 0 || !r.members.differsByOne(next) {
		return ErrChangeTooLarge
	}
	r.members = next
	r.membersIndex = r.log.lastIndex() + 1
	r.appendOwn(EntryMembership, next.encode())
	r.syncProgress(now)
	return nil
}

// appendOwn adds an entry of the leader's own term.
func (r *Replica) appendOwn(kind EntryKind, data []byte) {
	e := Entry{Index: r.log.lastIndex() + 1, Term: r.state.Term, Kind: kind, Data: data}
	r.log.append(e)
	r.out.Entries = append(r.out.Entries, e)
}

// resetWindows lets entries flow again to members whose replies were lost.
func (r *Replica) resetWindows() {
	for _, p := range r.progress {
		p.unacked = 0
	}
}

// broadcast sends heartbeats, with entries where some are missing.
func (r *Replica) broadcast(now time.Time) {
	r.beatAt = now.Add(r.heartbeat)
	r.broadcastAt = now
	r.noteQuorum(now)
	for _, m := range r.members {
		if p := r.progress[m.ID]; p != nil {
			r.sendAppend(now, m.ID, p)
		}
	}
}

// sendPending sends new entries to every member that keeps up. It needs no time
// of its own: rounds are taken with heartbeats.
func (r *Replica) sendPending() {
	for _, m := range r.members {
		p := r.progress[m.ID]
		for p != nil && !p.probing && p.next <= r.log.lastIndex() && p.unacked < maxUnackedAppends && p.next > r.log.baseIndex {
			r.sendEntries(m.ID, p, 0, -1)
		}
	}
}

func (r *Replica) sendAppend(now time.Time, to ID, p *progress) {
	if p.next <= r.log.baseIndex {
		r.sendSnapshot(now, to, p)
		return
	}
	age := time.Duration(-1)
	if !r.quorumAt.IsZero() {
		age = now.Sub(r.quorumAt)
	}
	r.sendEntries(to, p, r.clock(now), age)
}

func (r *Replica) sendEntries(to ID, p *progress, round, age time.Duration) {
	prev := p.next - 1
	prevTerm, _ := r.log.term(prev)
	var entries []Entry
	if !p.probing {
		entries = withinBytes(r.log.slice(p.next, r.log.lastIndex(), maxEntriesPerAppend))
	}
	p.next += uint64(len(entries))
	p.unacked++
	r.send(to, Append{PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commit, LeaderTime: round, Echo: p.sent, EchoRun: p.run, QuorumAge: age})
}

// withinBytes cuts the entries to about the largest message, but keeps one.
func withinBytes(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytesPerAppend && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (r *Replica) followLeader(now time.Time, leader ID) {
	if r.role != RoleFollower || r.leader != leader {
		r.becomeFollower(now, r.state.Term, leader)
	}
	r.heardLeader = now
	r.resetElection(now)
}

func (r *Replica) onAppend(now time.Time, e Envelope, m Append) {
	r.followLeader(now, e.From)
	r.noteLeaderQuorum(m)
	reply := r.reply(now, m.LeaderTime)
	switch term, ok := r.log.term(m.PrevIndex); {
	case m.PrevIndex < r.commit:
		// All up to the own commit agrees with every leader's log.
		reply.OK = true
		reply.Match = r.commit
		if rest := after(m.Entries, r.commit); m.PrevIndex+uint64(len(m.Entries)) > r.commit {
			reply.Match = r.store(r.commit, rest)
		}
	case ok && term == m.PrevTerm:
		reply.OK = true
		reply.Match = r.store(m.PrevIndex, m.Entries)
	default:
		reply.Match = min(r.log.lastIndex(), m.PrevIndex-1)
		if ok {
			reply.Match = r.commit
		}
	}
	if reply.OK {
		r.raiseCommit(min(m.Commit, reply.Match))
	}
	r.send(e.From, reply)
}

func (r *Replica) reply(now time.Time, round time.Duration) AppendReply {
	return AppendReply{LeaderTime: round, Sent: r.clock(now), Run: r.run, Report: r.report}
}

func (r *Replica) agree(now time.Time, round time.Duration, match uint64) AppendReply {
	reply := r.reply(now, round)
	reply.OK = true
	reply.Match = match
	return reply
}

func after(entries []Entry, index uint64) []Entry {
	for i, e := range entries {
		if e.Index > index {
			return entries[i:]
		}
	}
	return nil
}

// store appends entries that follow prev, and drops own ones that conflict. It
// returns the last index that agrees with the leader's log.
func (r *Replica) store(prev uint64, entries []Entry) uint64 {
	last := prev
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			last = e.Index
			continue
		}
		r.replaceFrom(e.Index, entries[i:])
		return entries[len(entries)-1].Index
	}
	return last
}

func (r *Replica) replaceFrom(index uint64, entries []Entry) {
	if index <= r.log.lastIndex() {
		r.log.truncate(index)
		r.synced = min(r.synced, index-1)
		r.out.Entries = slices.DeleteFunc(r.out.Entries, func(e Entry) bool { return e.Index >= index })
		if r.membersIndex >= index {
			r.members = r.membershipAt(index - 1)
			r.membersIndex = index - 1
		}
	}
	r.log.append(entries...)
	r.out.Entries = append(r.out.Entries, entries...)
	if err := r.adoptMembership(entries); err != nil {
		panic(err) // only a leader's own encoding gets here
	}
}

func (r *Replica) raiseCommit(index uint64) {
	r.commit = max(r.commit, min(index, r.log.lastIndex()))
}

func (r *Replica) onAppendReply(now time.Time, e Envelope, m AppendReply) {
	p := r.progress[e.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	r.noteReply(now, p, m.LeaderTime)
	if p.run != m.Run || p.sent < m.Sent {
		p.run = m.Run
		p.sent = m.Sent
	}
	p.report = m.Report
	if !m.OK {
		p.probing = true
		p.next = max(min(m.Match+1, p.next-1), p.match+1, 1)
		r.sendAppend(now, e.From, p)
		return
	}
	p.probing = false
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if e.From == r.takeOverTo {
		r.tryTakeOver()
	}
}

func (r *Replica) noteReply(now time.Time, p *progress, round time.Duration) {
	p.heard = now
	p.unacked = max(0, p.unacked-1)
	p.round = max(p.round, round)
	r.noteQuorum(now)
	r.finishReads(now)
}

// noteQuorum finds the latest time to which a majority has replied.
func (r *Replica) noteQuorum(now time.Time) {
	var rounds []time.Duration
	for _, m := range r.members {
		switch p := r.progress[m.ID]; {
		case !m.Voter:
		case m.ID == r.id:
			rounds = append(rounds, r.clock(now))
		case p != nil:
			rounds = append(rounds, p.round)
		}
	}
	quorum := r.members.Quorum()
	if len(rounds) < quorum {
		return
	}
	slices.Sort(rounds)
	if round := rounds[len(rounds)-quorum]; round > 0 || r.members.Voters() == 1 {
		r.quorumAt = r.epoch.Add(round)
	}
}

// noteLeaderQuorum derives, on the own clock, when a majority surely followed the
// leader: the leader sent this after it handled our message of m.Echo.
func (r *Replica) noteLeaderQuorum(m Append) {
	if m.QuorumAge < 0 || m.EchoRun != r.run {
		return
	}
	at := r.epoch.Add(m.Echo - m.QuorumAge)
	if at.After(r.quorumAt) {
		r.quorumAt = at
	}
}

// advanceCommit commits what a majority has synced, if it ends in this term.
func (r *Replica) advanceCommit(now time.Time) {
	var synced []uint64
	for _, m := range r.members {
		switch p := r.progress[m.ID]; {
		case !m.Voter:
		case m.ID == r.id:
			synced = append(synced, r.synced)
		case p != nil:
			synced = append(synced, p.match)
		}
	}
	quorum := r.members.Quorum()
	if len(synced) < quorum {
		return
	}
	slices.Sort(synced)
	index := synced[len(synced)-quorum]
	if term, ok := r.log.term(index); !ok || term != r.state.Term || index <= r.commit {
		return
	}
	r.raiseCommit(index)
	r.broadcast(now)
	r.leaveIfRemoved(now)
}

// leaveIfRemoved ends the leadership of a replica that is no longer a voter.
func (r *Replica) leaveIfRemoved(now time.Time) {
	if r.membersIndex <= r.commit && !r.members.votes(r.id) {
		r.becomeFollower(now, r.state.Term, "")
	}
}

func (r *Replica) sendSnapshot(now time.Time, to ID, p *progress) {
	if p.snapshotIndex != r.stored.Index {
		p.snapshotIndex = r.stored.Index
		p.offset = 0
	}
	end := min(p.offset+snapshotPieceBytes, len(r.stored.Data))
	r.send(to, SnapshotChunk{
		Index: r.stored.Index, LogTerm: r.stored.Term, Members: r.stored.Members,
		Offset: p.offset, Data: r.stored.Data[p.offset:end], Done: end == len(r.stored.Data), LeaderTime: r.clock(now),
	})
}

func (r *Replica) onSnapshotPiece(now time.Time, e Envelope, m SnapshotChunk) {
	r.followLeader(now, e.From)
	if m.Index <= r.commit {
		r.send(e.From, r.agree(now, m.LeaderTime, r.commit))
		return
	}
	if m.Offset == 0 {
		r.incoming = &Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members}
	}
	if r.incoming == nil || r.incoming.Index != m.Index {
		r.send(e.From, SnapshotReply{Index: m.Index, LeaderTime: m.LeaderTime})
		return
	}
	if m.Offset == len(r.incoming.Data) {
		r.incoming.Data = append(r.incoming.Data, m.Data...)
		if m.Done {
			r.install(*r.incoming)
			r.send(e.From, r.agree(now, m.LeaderTime, m.Index))
			return
		}
	}
	r.send(e.From, SnapshotReply{Index: m.Index, Offset: len(r.incoming.Data), LeaderTime: m.LeaderTime})
}

// install replaces log and state by a snapshot.
func (r *Replica) install(s Snapshot) {
	r.incoming = nil
	r.stored = s
	r.log = log{baseIndex: s.Index, baseTerm: s.Term}
	r.members = s.Members
	r.membersIndex = s.Index
	r.commit = s.Index
	r.emitted = s.Index
	r.synced = s.Index
	r.out.Snapshot = &s
	r.out.Entries = nil
	r.out.Committed = nil
}

func (r *Replica) onSnapshotReply(now time.Time, e Envelope, m SnapshotReply) {
	p := r.progress[e.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	r.noteReply(now, p, m.LeaderTime)
	progressed := p.snapshotIndex == m.Index && m.Offset > p.offset && m.Offset <= len(r.stored.Data)
	if progressed && p.next <= r.log.baseIndex {
		p.offset = m.Offset
		r.sendSnapshot(now, e.From, p)
	}
}
