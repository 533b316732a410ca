package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

func TestBulkIsNeverStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(1000)
	for i := range 100 {
		q.Push(now, uint64(i), validator.ClassInteractive, now.Add(time.Minute), 0)
	}
	for i := range 5 {
		q.Push(now, uint64(1000+i), validator.ClassBulk, now.Add(time.Minute), 0)
	}
	first := 0
	for i := range 50 {
		call, _, ok := q.Pop(now)
		assert.Assert(t, ok)
		if call >= 1000 && first == 0 {
			first = i + 1
		}
	}
	assert.Equal(t, first, bulkTurn)
}

func TestQueueRefusesWhatCannotBeInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(100)
	for i := range 20 {
		q.Push(now, uint64(i), validator.ClassInteractive, now.Add(time.Minute), 0)
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	assert.Assert(t, q.Push(now, 1, validator.ClassInteractive, now.Add(100*time.Millisecond), 20*time.Millisecond))
	for i := range 50 {
		q.Push(now, uint64(100+i), validator.ClassInteractive, now.Add(time.Minute), 0)
	}
	assert.Assert(t, !q.Push(now, 2, validator.ClassInteractive, now.Add(100*time.Millisecond), 20*time.Millisecond))
	assert.Assert(t, !q.Push(now, 3, validator.ClassBulk, now.Add(5*time.Millisecond), 20*time.Millisecond))
}

func TestExpiredCallsLeaveTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(10)
	q.Push(now, 1, validator.ClassInteractive, now.Add(time.Second), 0)
	q.Push(now, 2, validator.ClassBulk, now.Add(time.Minute), 0)
	assert.DeepEqual(t, q.RemoveExpired(now.Add(time.Second)), []uint64{1})
	q.Remove(2)
	assert.Equal(t, q.Len(), 0)
}
