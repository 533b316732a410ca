package committer

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/validator"
)

func begin(name string, base uint64) Evacuation {
	return Evacuation{DataCentre: name, Active: true, BaseRevision: base}
}

func finish(name string, base uint64) Evacuation {
	return Evacuation{DataCentre: name, BaseRevision: base}
}

// TestEvacuationsTakeEffectInOrder guards against an order that is stored twice and revokes a later one.
func TestEvacuationsTakeEffectInOrder(t *testing.T) {
	tests := []struct {
		name      string
		command   Evacuation
		changed   bool
		evacuated []string
		revision  uint64
	}{
		{"finish without begin", finish("a", 0), false, nil, 0},
		{"begin", begin("b", 0), true, []string{"b"}, 1},
		{"begin again", begin("b", 1), false, []string{"b"}, 1},
		{"another", begin("a", 1), true, []string{"a", "b"}, 2},
		{"finish from before the begin", finish("a", 1), false, []string{"a", "b"}, 2},
		{"finish", finish("a", 2), true, []string{"b"}, 3},
		{"begin that is stored late", begin("a", 1), false, []string{"b"}, 3},
		{"begin that was based on another's change", begin("a", 3), true, []string{"a", "b"}, 4},
		{"finish the first, based on an earlier change of the other", finish("b", 2), true, []string{"a"}, 5},
		{"no name", begin("", 9), false, []string{"a"}, 5},
	}
	c := New()
	for _, tt := range tests {
		assert.Equal(t, c.Evacuate(tt.command), tt.changed, tt.name)
		assert.DeepEqual(t, c.Evacuated(), tt.evacuated)
		assert.Equal(t, c.Revision(), tt.revision, tt.name)
	}
}

// TestEvacuationsAndDocumentsAreIndependent guards against a document that ends an evacuation, and an evacuation that
// refuses the document of an operator who has read the configuration before.
func TestEvacuationsAndDocumentsAreIndependent(t *testing.T) {
	apply := func(c *Committer, id string, base uint64) Answer {
		answer, err := c.Apply(Change{validator.Document{ChangeID: id, BaseRevision: base}})
		assert.NilError(t, err)
		return answer
	}
	c := New()
	assert.Equal(t, apply(c, "first", 0).Verdict, VerdictAccepted)
	c.Evacuate(begin("a", 1))
	assert.Equal(t, apply(c, "second", 1), Answer{ChangeID: "second", Verdict: VerdictAccepted, Revision: 3, Digest: c.answers[1].Digest})
	assert.DeepEqual(t, c.Evacuated(), []string{"a"})
	assert.Equal(t, apply(c, "third", 1).Verdict, VerdictConflict)
	assert.Equal(t, apply(c, "fourth", 2).Verdict, VerdictConflict)
	c.Evacuate(finish("a", 3))
	assert.Equal(t, apply(c, "future", 5).Verdict, VerdictConflict)
	assert.Equal(t, apply(c, "fifth", 4).Verdict, VerdictAccepted)
}

// TestEvacuationKeepsAnswerToGeneration guards against a document that waits for the effect of a later evacuation.
func TestEvacuationKeepsAnswerToGeneration(t *testing.T) {
	c := New()
	doc := validator.Document{ChangeID: "a", Generation: 7}
	_, err := c.Apply(Change{doc})
	assert.NilError(t, err)
	c.Evacuate(begin("a", 1))
	answer, known := c.Answer(doc)
	assert.Assert(t, known)
	assert.Equal(t, answer.Revision, uint64(1))
}

// TestSnapshotHoldsEvacuations guards against evacuations that are lost as a snapshot replaces the log.
func TestSnapshotHoldsEvacuations(t *testing.T) {
	c := New()
	_, err := c.Apply(Change{validator.Document{ChangeID: "first"}})
	assert.NilError(t, err)
	c.Evacuate(begin("a", 1))
	c.Evacuate(begin("b", 2))
	c.Evacuate(finish("a", 3))
	data, err := c.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Evacuated(), []string{"b"})
	assert.Equal(t, restored.Revision(), uint64(4))
	assert.Assert(t, !restored.Evacuate(begin("a", 1)), "the finished evacuation is known")
	answer, err := restored.Apply(Change{validator.Document{ChangeID: "second", BaseRevision: 1}})
	assert.NilError(t, err)
	assert.Equal(t, answer.Verdict, VerdictAccepted)
}

// TestSnapshotWithoutEvacuationsIsUnchanged guards against replicas of an earlier version that can't read a snapshot,
// and against snapshots of such a version that can't be read.
func TestSnapshotWithoutEvacuationsIsUnchanged(t *testing.T) {
	c := New()
	_, err := c.Apply(Change{validator.Document{ChangeID: "first", Entries: 3}})
	assert.NilError(t, err)
	c.RecordDeparture(Departure{announcement(2, true)})
	data, err := c.Snapshot()
	assert.NilError(t, err)
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(data, &fields))
	assert.Equal(t, len(fields), 4)
	for _, name := range []string{"revision", "document", "answers", "departures"} {
		assert.Assert(t, fields[name] != nil, name)
	}
	restored, err := Restore([]byte(`{"revision":5,"document":{"change-id":"c"},"answers":null}`))
	assert.NilError(t, err)
	assert.Equal(t, len(restored.Evacuated()), 0)
	answer, err := restored.Apply(Change{validator.Document{ChangeID: "early", BaseRevision: 4}})
	assert.NilError(t, err)
	assert.Equal(t, answer.Verdict, VerdictConflict)
}

// TestEvacuationsAreBounded guards against a state that grows with the names that operators send.
func TestEvacuationsAreBounded(t *testing.T) {
	c := New()
	c.Evacuate(begin("kept", 0))
	for i := range maxEvacuations + 10 {
		name := fmt.Sprint("dc-", i)
		c.Evacuate(begin(name, c.Revision()))
		c.Evacuate(finish(name, c.Revision()))
	}
	assert.Equal(t, len(c.evacuations), maxEvacuations)
	assert.DeepEqual(t, c.Evacuated(), []string{"kept"})
}
