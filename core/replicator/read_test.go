package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadOfAnEarlierProcessIsNotConfirmed guards against a stale read: the reply to a read of an earlier process, which was
// held up, confirms the read of the next process that has the same ID.
func TestReadOfAnEarlierProcessIsNotConfirmed(t *testing.T) {
	const read = 1
	w := newNetwork(t, 3, 7)
	w.run(4 * time.Second)
	follower := w.followers()[0]
	assert.NilError(t, follower.ReadIndex(w.now, read))
	w.flush(follower)
	var late []Envelope
	w.onDeliver = func(e Envelope) Envelope {
		if _, ok := e.Message.(ReadReply); ok {
			late = append(late, e)
			e.To = "held up"
		}
		return e
	}
	w.run(500 * time.Millisecond)
	assert.Equal(t, len(late), 1)
	w.start(follower.ID())
	w.propose(w.leader().ID(), "later")
	w.run(500 * time.Millisecond)
	assert.Assert(t, follower.Leader() != "")
	assert.NilError(t, follower.ReadIndex(w.now, read))
	w.flush(follower)
	follower.Receive(w.now, late[0])
	assert.Equal(t, len(follower.TakeOutput().Reads), 0)
	w.onDeliver = nil
	follower.Receive(w.now, Envelope{From: w.leader().ID(), To: follower.ID(), Term: follower.Term(), Message: ReadReply{Read: follower.lastForwardedRead, Index: 9}})
	assert.DeepEqual(t, follower.TakeOutput().Reads, []Read{{ID: read, Index: 9}})
}
