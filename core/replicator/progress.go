package replicator

import "time"

// progress is the leader's view of another member. All of it is true of one process of the member, which run names,
// except match, which is true of its disk: a replica that has lost its disk gets another ID.
type progress struct {
	// run identifies the member's process; zero until its first reply.
	run uint64
	// match is the last index known to be synced by the member; match < next.
	match, next uint64
	// leaderTime is the latest local time of the leader that the member has returned.
	leaderTime time.Duration
	// followerTime is the latest local time of the member's process.
	followerTime time.Duration
	lastContact  time.Time
	report       uint64
	unacked      int
	// probing is set after an election, a restart of the member or a rejection, until the member accepts an append.
	probing bool
	// transfer is the snapshot that is being sent to the member.
	transfer transfer
}

// replyOrder tells what a reply may change in the progress of its sender.
type replyOrder uint8

const (
	// replyInOrder is the latest statement of the member's process about itself.
	replyInOrder replyOrder = iota + 1
	// replyOutOfOrder was overtaken by a later reply of the same process: what it states may no longer hold.
	replyOutOfOrder
	// replyOfEarlierProcess says nothing of the process that runs now.
	replyOfEarlierProcess
)

// observe notes which process of the member has sent a reply, and forgets what was true of another one. A process is later
// than another if it has answered a later message, so a reply that doesn't return a leader time can't introduce one.
func (p *progress) observe(run uint64, sent, leaderTime time.Duration) replyOrder {
	switch {
	case run == 0: // the sender is of a version that doesn't name its process
		return replyInOrder
	case run == p.run && sent < p.followerTime:
		return replyOutOfOrder
	case run == p.run || p.run == 0:
		p.run = run
		p.followerTime = sent
		return replyInOrder
	case leaderTime < p.leaderTime || leaderTime == 0:
		return replyOfEarlierProcess
	}
	p.run = run
	p.followerTime = sent
	p.unacked = 0
	p.probing = true
	p.transfer = transfer{}
	return replyInOrder
}

// stepBack makes the next append start after the last entry that the member may have in common with the leader. A member
// that rejects even what it had synced, and says that it has less, has lost it: that no longer counts for a commit.
func (p *progress) stepBack(last uint64) {
	hasLost := p.next == p.match+1 && last < p.match
	p.probing = true
	p.next = max(min(last+1, p.next-1), 1)
	if hasLost {
		p.match = p.next - 1
		return
	}
	p.next = max(p.next, p.match+1)
}
