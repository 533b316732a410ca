package replicator

import "time"

// Tick lets time pass: elections, heartbeats, loss of the majority.
func (r *Replica) Tick(now time.Time) {
	if r.role == RoleLeader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.electAt) {
		r.hastenElection(now)
		r.campaign(now, true)
	}
}

func (r *Replica) tickLeader(now time.Time) {
	lost := now.Sub(r.electedAt) > r.electionMin && now.Sub(r.quorumAt) > r.electionMin
	if lost {
		r.becomeFollower(now, r.state.Term, "")
		return
	}
	if r.takeOverTo != "" && now.After(r.takeOverEnd) {
		r.takeOverTo = ""
	}
	if !now.Before(r.beatAt) || now.Sub(r.broadcastAt) >= r.heartbeat/roundsTogether {
		r.resetWindows()
		r.broadcast(now)
	}
	r.finishReads(now)
}

// campaign starts an election. A pre-election changes no term, so a replica that
// comes back from a partition disturbs nobody.
func (r *Replica) campaign(now time.Time, pre bool) {
	if !r.members.votes(r.id) {
		return
	}
	r.role = RoleCandidate
	r.leader = ""
	r.quorumAt = time.Time{}
	r.campaignPre = pre
	r.votes = map[ID]bool{r.id: true}
	if !pre {
		r.setState(HardState{Term: r.state.Term + 1, Vote: r.id})
	}
	if len(r.votes) >= r.members.Quorum() {
		r.win(now)
		return
	}
	for _, m := range r.members {
		if m.Voter && m.ID != r.id {
			r.send(m.ID, VoteRequest{LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(), PreVote: pre, LeadershipTransfer: r.handover})
		}
	}
}

func (r *Replica) setState(s HardState) {
	r.state = s
	r.pendingState = true
}

// win turns a pre-election into an election, and an election into leadership.
func (r *Replica) win(now time.Time) {
	if r.campaignPre {
		r.hastenElection(now)
		r.campaign(now, false)
		return
	}
	r.becomeLeader(now)
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = RoleLeader
	r.leader = r.id
	r.handover = false
	r.electedAt = now
	r.quorumAt = time.Time{}
	r.progress = make(map[ID]*progress)
	r.termStart = r.log.lastIndex() + 1
	r.syncProgress(now)
	r.appendOwn(EntryStart, nil)
	r.broadcast(now)
	r.advanceCommit(now)
}

// syncProgress keeps one progress for each other member.
func (r *Replica) syncProgress(now time.Time) {
	for _, m := range r.members {
		if m.ID != r.id && r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.lastIndex() + 1, probing: true, heard: now}
		}
	}
	for id := range r.progress {
		if _, ok := r.members.Find(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > r.state.Term {
		r.setState(HardState{Term: term})
	}
	if r.role != RoleFollower || r.leader != leader {
		r.quorumAt = time.Time{}
	}
	r.role = RoleFollower
	r.leader = leader
	r.takeOverTo = ""
	r.progress = nil
	r.reads = nil
	r.resetElection(now)
}

// Receive handles a message from another replica.
func (r *Replica) Receive(now time.Time, e Envelope) {
	if e.To != r.id {
		return
	}
	if r.ignores(now, e) {
		return
	}
	if e.Term > r.state.Term && raisesTerm(e.Message) {
		r.becomeFollower(now, e.Term, "")
	}
	if e.Term < r.state.Term {
		r.answerStale(e)
		return
	}
	r.dispatch(now, e)
}

// ignores drops elections while a leader is alive, so that a removed or cut-off
// replica can't depose it.
func (r *Replica) ignores(now time.Time, e Envelope) bool {
	request, ok := e.Message.(VoteRequest)
	if !ok || request.LeadershipTransfer {
		return false
	}
	if r.role == RoleLeader {
		return true
	}
	return r.leader != "" && now.Sub(r.heardLeader) < r.electionMin
}

// raisesTerm tells which messages prove that a term has begun.
func raisesTerm(m Message) bool {
	switch v := m.(type) {
	case VoteRequest:
		return !v.PreVote
	case VoteReply:
		return !v.PreVote || !v.Granted
	case Forward, ReadRequest:
		return false
	}
	return true
}

// answerStale tells a sender of an old term that there is a newer one.
func (r *Replica) answerStale(e Envelope) {
	switch v := e.Message.(type) {
	case VoteRequest:
		r.send(e.From, VoteReply{PreVote: v.PreVote})
	case Append, SnapshotChunk:
		r.send(e.From, AppendReply{})
	}
}

func (r *Replica) dispatch(now time.Time, e Envelope) {
	switch m := e.Message.(type) {
	case VoteRequest:
		r.onVoteRequest(now, e, m)
	case VoteReply:
		r.onVoteReply(now, e, m)
	case Append:
		r.onAppend(now, e, m)
	case AppendReply:
		r.onAppendReply(now, e, m)
	case SnapshotChunk:
		r.onSnapshotPiece(now, e, m)
	case SnapshotReply:
		r.onSnapshotReply(now, e, m)
	case Forward:
		r.onForward(m)
	case ReadRequest:
		r.onReadRequest(now, e, m)
	case ReadReply:
		r.onReadReply(m)
	case TimeoutNow:
		r.onTakeOver(now)
	}
}

func (r *Replica) onVoteRequest(now time.Time, e Envelope, m VoteRequest) {
	newer := m.LastTerm > r.log.lastTerm() ||
		(m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex())
	if m.PreVote {
		// The sender campaigns for the term after its own.
		if newer {
			r.sendInTerm(e.From, e.Term, VoteReply{Granted: true, PreVote: true})
			return
		}
		r.send(e.From, VoteReply{PreVote: true})
		return
	}
	granted := newer && r.role == RoleFollower && (r.state.Vote == "" || r.state.Vote == e.From)
	if granted {
		r.setState(HardState{Term: r.state.Term, Vote: e.From})
		r.resetElection(now)
	}
	r.send(e.From, VoteReply{Granted: granted})
}

func (r *Replica) onVoteReply(now time.Time, e Envelope, m VoteReply) {
	if r.role != RoleCandidate || m.PreVote != r.campaignPre || !m.Granted || !r.members.votes(e.From) {
		return
	}
	r.votes[e.From] = true
	if len(r.votes) >= r.members.Quorum() {
		r.win(now)
	}
}

// TransferLeadership asks the most advanced voter to take over leadership.
func (r *Replica) TransferLeadership(now time.Time) (ID, error) {
	if r.role != RoleLeader {
		return "", ErrNotLeader
	}
	var best ID
	var match uint64
	for _, m := range r.members {
		p := r.progress[m.ID]
		if p != nil && m.Voter && now.Sub(p.heard) < r.electionMin && p.match >= match {
			best = m.ID
			match = p.match
		}
	}
	if best == "" {
		return "", ErrNoLeader
	}
	r.takeOverTo = best
	r.takeOverEnd = now.Add(r.electionMin)
	r.tryTakeOver()
	return best, nil
}

// tryTakeOver asks the chosen voter once it has the whole log.
func (r *Replica) tryTakeOver() {
	p := r.progress[r.takeOverTo]
	if p != nil && p.match == r.log.lastIndex() {
		r.send(r.takeOverTo, TimeoutNow{})
	}
}

func (r *Replica) onTakeOver(now time.Time) {
	if r.role == RoleLeader {
		return
	}
	r.handover = true
	r.campaign(now, false)
	r.handover = false
}
