package controller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
)

// largeSource is the size of the document of an author, in bytes.
const largeSource = 512 << 10

// journalBytes returns the size of the entries in a journal.
func journalBytes(disk *replicator.Stored) int {
	n := 0
	for _, e := range disk.Entries {
		n += e.Size()
	}
	return n
}

// TestLogOfLargeDocumentsIsBounded guards against a journal, and a memory, that grow with the number of changes times the size
// of a document. A replica may be cut off, restart, or have a disk that hangs meanwhile.
func TestLogOfLargeDocumentsIsBounded(t *testing.T) {
	const bound = 4<<20 + 3*largeSource
	s := newReadySimulation(t, 3, 1)
	for i := range 40 {
		doc := documentWithGeneration(uint64(i+1), i+1)
		doc.Source = strings.Repeat(fmt.Sprintf("%08d", i), largeSource/8)
		for s.leader() == nil {
			s.step()
		}
		s.apply(s.leader(), doc)
		s.runFor(300 * time.Millisecond)
		switch i {
		case 6:
			s.isolate(s.replicas[0].name, true)
		case 17:
			s.isolate(s.replicas[0].name, false)
		case 20:
			s.crash(s.replicas[1])
			s.start(s.replicas[1])
		case 27:
			s.replicas[2].diskUntil = s.now.Add(5 * time.Second)
		}
		for _, c := range s.replicas {
			size := journalBytes(c.disk[messenger.GroupConfig])
			assert.Assert(t, size <= bound, "%s has a journal of %d bytes after change %d", c.name, size, i+1)
		}
	}
	s.runFor(8 * time.Second)
	for _, c := range s.replicas {
		_, doc := c.stateMachine.Document()
		assert.Equal(t, doc.Generation, s.acknowledged)
	}
	assert.Equal(t, s.acknowledged, uint64(40))
}

// TestDocumentBeyondTheMemoryIsRefused guards against a document that is acknowledged, and then ends the replicas.
func TestDocumentBeyondTheMemoryIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		memory  int
		maximum int
	}{
		{"the memory of a small node", 128 << 20, (72 << 20) / 40},
		{"no room at all", 20 << 20, 64 << 10},
		{"plenty", 8 << 30, validator.MaxDocumentBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limit := controller.MaxDocumentBytes(tt.memory)
			assert.Equal(t, limit, tt.maximum)
			now := time.Unix(1_700_000_000, 0)
			self := replicator.Member{ID: "c", Name: "c", Address: "c"}
			c, err := controller.New(now, self, controller.StoredState{}, controller.WithMaxDocumentBytes(limit))
			assert.NilError(t, err)
			for _, size := range []int{limit, limit + 1} {
				actions := c.Handle(now, controller.Apply{Request: 1, Document: sizedDocument(t, size)})
				reply, ok := actions[0].(controller.ApplyReply)
				assert.Assert(t, ok)
				assert.Equal(t, reply.Status == controller.ApplyRefused, size > limit, "%v", reply.Problems)
				if size > limit && limit < validator.MaxDocumentBytes {
					assert.Assert(t, strings.Contains(reply.Problems[0].String(), "memory"), "%v", reply.Problems)
				}
			}
		})
	}
}

// sizedDocument returns a valid document of so many bytes.
func sizedDocument(t *testing.T, bytes int) []byte {
	doc := documentWithGeneration(1, 1)
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	doc.Source = strings.Repeat("x", bytes-len(data)-len(`,"source":""`))
	data, err = json.Marshal(doc)
	assert.NilError(t, err)
	assert.Equal(t, len(data), bytes)
	return data
}
