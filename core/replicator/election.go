package replicator

import "time"

// Tick handles the passing of time: it starts elections, sends heartbeats and detects the loss
// of the quorum.
func (r *Replica) Tick(now time.Time) {
	if r.role == RoleLeader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.nextElection) {
		r.scheduleEarlyElection(now)
		r.campaign(now, true)
	}
}

func (r *Replica) tickLeader(now time.Time) {
	quorumLost := now.Sub(r.electedAt) > r.minElectionTimeout && now.Sub(r.lastQuorumContact) > r.minElectionTimeout
	if quorumLost {
		r.becomeFollower(now, r.state.Term, "")
		return
	}
	if r.transferTo != "" && now.After(r.transferDeadline) {
		r.transferTo = ""
	}
	if !now.Before(r.nextHeartbeat) || now.Sub(r.lastBroadcast) >= r.heartbeatInterval/earlyBroadcastDivisor {
		r.resetSendWindows()
		r.broadcast(now)
	}
	r.completeReads(now)
}

// campaign starts an election, or a pre-vote if preVote is set. A pre-vote does not change the
// term, so a replica that returns from a partition does not disrupt the group.
func (r *Replica) campaign(now time.Time, preVote bool) {
	if !r.members.votes(r.id) {
		return
	}
	r.role = RoleCandidate
	r.leader = ""
	r.lastQuorumContact = time.Time{}
	r.isPreVote = preVote
	r.votes = map[ID]bool{r.id: true}
	if !preVote {
		r.setState(HardState{Term: r.state.Term + 1, Vote: r.id})
	}
	if len(r.votes) >= r.members.Quorum() {
		r.onVoteWon(now)
		return
	}
	for _, m := range r.members {
		if m.Voter && m.ID != r.id {
			r.send(m.ID, VoteRequest{LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(), PreVote: preVote, LeadershipTransfer: r.leadershipTransfer})
		}
	}
}

func (r *Replica) setState(s HardState) {
	r.state = s
	r.stateChanged = true
}

// onVoteWon starts an election after a won pre-vote, and becomes leader after a won election.
func (r *Replica) onVoteWon(now time.Time) {
	if r.isPreVote {
		r.scheduleEarlyElection(now)
		r.campaign(now, false)
		return
	}
	r.becomeLeader(now)
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = RoleLeader
	r.leader = r.id
	r.leadershipTransfer = false
	r.electedAt = now
	r.lastQuorumContact = time.Time{}
	r.progress = make(map[ID]*progress)
	r.termStart = r.log.lastIndex() + 1
	r.syncProgress(now)
	r.appendEntry(EntryNoOp, nil)
	r.broadcast(now)
	r.advanceCommitIndex(now)
}

// syncProgress adds missing members to r.progress and deletes former members from it.
func (r *Replica) syncProgress(now time.Time) {
	for _, m := range r.members {
		if m.ID != r.id && r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.lastIndex() + 1, probing: true, lastContact: now}
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
		r.lastQuorumContact = time.Time{}
	}
	r.role = RoleFollower
	r.leader = leader
	r.transferTo = ""
	r.progress = nil
	r.reads = nil
	r.resetElectionTimeout(now)
}

// Resume continues after a time in which the clock stood still. What was measured before doesn't hold any more: a leader
// steps down, and messages that refer to earlier times of this replica are not taken for contact with a quorum.
func (r *Replica) Resume(now time.Time) {
	if r.role != RoleFollower {
		r.becomeFollower(now, r.state.Term, "")
	}
	r.lastQuorumContact = time.Time{}
	r.incarnation = r.rand.Uint64()
}

// Receive handles a message from another replica.
func (r *Replica) Receive(now time.Time, e Envelope) {
	if e.To != r.id {
		return
	}
	if r.ignoresElection(now, e) {
		return
	}
	if e.Term > r.state.Term && advancesTerm(e.Message) {
		r.becomeFollower(now, e.Term, "")
	}
	if e.Term < r.state.Term {
		r.replyToStaleTerm(e)
		return
	}
	r.dispatch(now, e)
}

// ignoresElection reports whether to drop a vote request because a leader is alive. Otherwise
// a removed or partitioned replica could depose that leader.
func (r *Replica) ignoresElection(now time.Time, e Envelope) bool {
	request, ok := e.Message.(VoteRequest)
	if !ok || request.LeadershipTransfer {
		return false
	}
	if r.role == RoleLeader {
		return true
	}
	return r.leader != "" && now.Sub(r.lastLeaderContact) < r.minElectionTimeout
}

// advancesTerm reports whether a message proves that its term has begun.
func advancesTerm(m Message) bool {
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

// replyToStaleTerm notifies the sender of a message of an old term that there is a newer term.
func (r *Replica) replyToStaleTerm(e Envelope) {
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
		r.onSnapshotChunk(now, e, m)
	case SnapshotReply:
		r.onSnapshotReply(now, e, m)
	case Forward:
		r.onForward(m)
	case ReadRequest:
		r.onReadRequest(now, e, m)
	case ReadReply:
		r.onReadReply(m)
	case TimeoutNow:
		r.onTimeoutNow(now)
	}
}

func (r *Replica) onVoteRequest(now time.Time, e Envelope, m VoteRequest) {
	upToDate := m.LastTerm > r.log.lastTerm() ||
		(m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex())
	if m.PreVote {
		// The sender asks for a vote in the term after e.Term. The reply carries e.Term,
		// because the sender drops replies of an older term.
		if upToDate {
			r.sendInTerm(e.From, e.Term, VoteReply{Granted: true, PreVote: true})
			return
		}
		r.send(e.From, VoteReply{PreVote: true})
		return
	}
	granted := upToDate && r.role == RoleFollower && (r.state.Vote == "" || r.state.Vote == e.From)
	if granted {
		r.setState(HardState{Term: r.state.Term, Vote: e.From})
		r.resetElectionTimeout(now)
	}
	r.send(e.From, VoteReply{Granted: granted})
}

func (r *Replica) onVoteReply(now time.Time, e Envelope, m VoteReply) {
	if r.role != RoleCandidate || m.PreVote != r.isPreVote || !m.Granted || !r.members.votes(e.From) {
		return
	}
	r.votes[e.From] = true
	if len(r.votes) >= r.members.Quorum() {
		r.onVoteWon(now)
	}
}

// TransferLeadership asks the most up-to-date voter that is in contact to become leader, and
// returns its ID. The replica accepts no commands until the transfer succeeds or times out.
func (r *Replica) TransferLeadership(now time.Time) (ID, error) {
	if r.role != RoleLeader {
		return "", ErrNotLeader
	}
	var target ID
	var match uint64
	for _, m := range r.members {
		p := r.progress[m.ID]
		if p != nil && m.Voter && now.Sub(p.lastContact) < r.minElectionTimeout && p.match >= match {
			target = m.ID
			match = p.match
		}
	}
	if target == "" {
		return "", ErrNoLeader
	}
	r.transferTo = target
	r.transferDeadline = now.Add(r.minElectionTimeout)
	r.trySendTimeoutNow()
	return target, nil
}

// trySendTimeoutNow tells the target of the transfer to start an election once it has the
// complete log.
func (r *Replica) trySendTimeoutNow() {
	p := r.progress[r.transferTo]
	if p != nil && p.match == r.log.lastIndex() {
		r.send(r.transferTo, TimeoutNow{})
	}
}

func (r *Replica) onTimeoutNow(now time.Time) {
	if r.role == RoleLeader {
		return
	}
	r.leadershipTransfer = true
	r.campaign(now, false)
	r.leadershipTransfer = false
}
