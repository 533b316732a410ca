package replicator

import (
	"slices"
	"time"
)

// Propose appends a command to the log, or forwards it to the leader. A nil error does not mean
// that the command will be committed.
func (r *Replica) Propose(data []byte) error {
	if r.role == RoleLeader && r.transferTo == "" {
		if r.hasBacklog(len(data)) {
			return ErrBacklog
		}
		r.appendEntry(EntryCommand, data)
		return nil
	}
	if r.role == RoleLeader || r.leader == "" {
		return ErrNoLeader
	}
	r.send(r.leader, Forward{Data: data})
	return nil
}

func (r *Replica) onForward(m Forward) {
	if r.role == RoleLeader && r.transferTo == "" && !r.hasBacklog(len(m.Data)) {
		r.appendEntry(EntryCommand, m.Data)
	}
}

// hasBacklog reports whether an entry with so many bytes must wait until others are committed.
func (r *Replica) hasBacklog(bytes int) bool {
	if r.log.list.Bytes()+bytes <= maxUncommittedBytes {
		return false
	}
	uncommitted := r.log.bytesAfter(r.commitIndex)
	return uncommitted > 0 && uncommitted+bytes > maxUncommittedBytes
}

// ChangeMembers replaces the membership. At most one voter may be added or removed, and only
// after the previous change has been committed.
func (r *Replica) ChangeMembers(now time.Time, next Membership) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if r.membersIndex > r.commitIndex || r.commitIndex < r.termStart {
		return ErrChangePending
	}
	if next.Voters() == 0 || !r.members.differsByOneVoter(next) {
		return ErrChangeTooLarge
	}
	r.members = next
	r.membersIndex = r.log.lastIndex() + 1
	r.appendEntry(EntryMembership, next.encode())
	r.syncProgress(now)
	return nil
}

// appendEntry appends an entry of the current term to the leader's log.
func (r *Replica) appendEntry(kind EntryKind, data []byte) {
	e := Entry{Index: r.log.lastIndex() + 1, Term: r.state.Term, Kind: kind, Data: data}
	r.log.append(e)
	r.out.Entries = append(r.out.Entries, e)
}

// resetSendWindows resumes sending to members whose replies were lost.
func (r *Replica) resetSendWindows() {
	for _, p := range r.progress {
		p.unacked = 0
	}
}

// broadcast sends a heartbeat to each member, with the entries that the member lacks.
func (r *Replica) broadcast(now time.Time) {
	r.nextHeartbeat = now.Add(r.heartbeatInterval)
	r.lastBroadcast = now
	r.updateQuorumContact(now)
	for _, m := range r.members {
		if p := r.progress[m.ID]; p != nil {
			r.sendAppend(now, m.ID, p)
		}
	}
}

// sendNewEntries sends new entries to every member that keeps up. These messages carry no
// leader time, since the heartbeats measure the contact with a quorum.
func (r *Replica) sendNewEntries() {
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
	quorumAge := time.Duration(-1)
	if contact := r.LastQuorumContact(); !contact.IsZero() {
		quorumAge = now.Sub(contact)
	}
	r.sendEntries(to, p, r.localTime(now), quorumAge)
}

func (r *Replica) sendEntries(to ID, p *progress, leaderTime, quorumAge time.Duration) {
	prev := p.next - 1
	prevTerm, _ := r.log.term(prev)
	var entries []Entry
	if !p.probing {
		entries = r.log.slice(p.next, r.log.lastIndex(), maxEntriesPerAppend, maxBytesPerAppend)
	}
	p.next += uint64(len(entries))
	p.unacked++
	r.send(to, Append{PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commitIndex, LeaderTime: leaderTime, Echo: p.followerTime, EchoRun: p.run, QuorumAge: quorumAge})
}

func (r *Replica) followLeader(now time.Time, leader ID) {
	if r.role != RoleFollower || r.leader != leader {
		r.becomeFollower(now, r.state.Term, leader)
	}
	r.lastLeaderContact = now
	r.resetElectionTimeout(now)
}

func (r *Replica) onAppend(now time.Time, e Envelope, m Append) {
	r.followLeader(now, e.From)
	if totalSize(r.out.Entries) > maxOutputBytes {
		m.Entries = nil // the disk doesn't keep up; the leader sends them again
	}
	reply := r.reply(now, m.LeaderTime)
	switch term, ok := r.log.term(m.PrevIndex); {
	case m.PrevIndex < r.commitIndex:
		// Committed entries agree with the log of every leader.
		reply.OK = true
		reply.Match = r.commitIndex
		if missing := entriesAfter(m.Entries, r.commitIndex); m.PrevIndex+uint64(len(m.Entries)) > r.commitIndex {
			reply.Match = r.storeEntries(r.commitIndex, missing)
		}
	case ok && term == m.PrevTerm:
		reply.OK = true
		reply.Match = r.storeEntries(m.PrevIndex, m.Entries)
	default:
		reply.Match = min(r.log.lastIndex(), m.PrevIndex-1)
		if ok {
			reply.Match = r.commitIndex
		}
	}
	if reply.OK {
		r.raiseCommitIndex(min(m.Commit, reply.Match))
	}
	r.updateQuorumContactFromLeader(m)
	r.send(e.From, reply)
}

func (r *Replica) reply(now time.Time, leaderTime time.Duration) AppendReply {
	return AppendReply{LeaderTime: leaderTime, Sent: r.localTime(now), Run: r.incarnation, Report: r.report}
}

func (r *Replica) acceptingReply(now time.Time, leaderTime time.Duration, match uint64) AppendReply {
	reply := r.reply(now, leaderTime)
	reply.OK = true
	reply.Match = match
	return reply
}

func entriesAfter(entries []Entry, index uint64) []Entry {
	for i, e := range entries {
		if e.Index > index {
			return entries[i:]
		}
	}
	return nil
}

// storeEntries appends the entries that follow prev, and drops conflicting entries of the local
// log. It returns the last index that agrees with the leader's log.
func (r *Replica) storeEntries(prev uint64, entries []Entry) uint64 {
	last := prev
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			last = e.Index
			continue
		}
		r.overwriteFrom(e.Index, entries[i:])
		return entries[len(entries)-1].Index
	}
	return last
}

func (r *Replica) overwriteFrom(index uint64, entries []Entry) {
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
	if err := r.applyMembershipEntries(entries); err != nil {
		panic(err) // can't happen: Envelope.Check has decoded it
	}
}

func (r *Replica) raiseCommitIndex(index uint64) {
	r.commitIndex = max(r.commitIndex, min(index, r.log.lastIndex()))
}

func (r *Replica) onAppendReply(now time.Time, e Envelope, m AppendReply) {
	p := r.progress[e.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	if m.Match > r.log.lastIndex() {
		return // no replica has synced entries that this leader doesn't have
	}
	order := p.observe(m.Run, m.Sent, m.LeaderTime)
	if order == replyOfEarlierProcess {
		return
	}
	r.recordReply(now, p, m.LeaderTime)
	if order == replyInOrder {
		p.report = m.Report
	}
	if !m.OK {
		if order == replyInOrder {
			p.stepBack(m.Match)
			r.sendAppend(now, e.From, p)
		}
		return
	}
	p.probing = false
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	if p.match >= p.transfer.snapshot.Index {
		p.transfer = transfer{}
	}
	r.advanceCommitIndex(now)
	if e.From == r.transferTo {
		r.trySendTimeoutNow()
	}
}

func (r *Replica) recordReply(now time.Time, p *progress, leaderTime time.Duration) {
	p.lastContact = now
	p.unacked = max(0, p.unacked-1)
	p.leaderTime = max(p.leaderTime, leaderTime)
	r.updateQuorumContact(now)
	r.completeReads(now)
}

// updateQuorumContact finds the latest leader time that a quorum has returned.
func (r *Replica) updateQuorumContact(now time.Time) {
	var times []time.Duration
	for _, m := range r.members {
		switch p := r.progress[m.ID]; {
		case !m.Voter:
		case m.ID == r.id:
			times = append(times, r.localTime(now))
		case p != nil:
			times = append(times, p.leaderTime)
		}
	}
	quorum := r.members.Quorum()
	if len(times) < quorum {
		return
	}
	slices.Sort(times)
	if leaderTime := times[len(times)-quorum]; leaderTime > 0 || r.members.Voters() == 1 {
		r.lastQuorumContact = r.epoch.Add(leaderTime)
	}
}

// updateQuorumContactFromLeader derives, on the local clock, a time at which a quorum certainly
// followed the leader: the leader sent m after it handled the reply that this replica sent at
// m.Echo. A replica that lacks entries which the leader knows as committed, because it is catching up, doesn't take
// the time: it must not be taken for up to date.
func (r *Replica) updateQuorumContactFromLeader(m Append) {
	if m.QuorumAge < 0 || m.EchoRun != r.incarnation || r.commitIndex < m.Commit {
		return
	}
	at := r.epoch.Add(m.Echo - m.QuorumAge)
	if at.After(r.lastQuorumContact) {
		r.lastQuorumContact = at
	}
}

// advanceCommitIndex commits the entries that a quorum has synced, if the last of them is of
// the current term.
func (r *Replica) advanceCommitIndex(now time.Time) {
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
	if term, ok := r.log.term(index); !ok || term != r.state.Term || index <= r.commitIndex {
		return
	}
	r.raiseCommitIndex(index)
	r.broadcast(now)
	r.stepDownIfRemoved(now)
}

// stepDownIfRemoved makes a leader step down once a membership in which it is not a voter is
// committed.
func (r *Replica) stepDownIfRemoved(now time.Time) {
	if r.membersIndex <= r.commitIndex && !r.members.votes(r.id) {
		r.becomeFollower(now, r.state.Term, "")
	}
}
