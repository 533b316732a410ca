package committer

import (
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

func TestHighestGenerationTakesEffect(t *testing.T) {
	tests := []struct {
		name       string
		generation uint64
		content    int
		verdict    Verdict
		current    uint64
		entries    int
	}{
		{"first", 7, 1, VerdictAccepted, 7, 1},
		{"same document again", 7, 1, VerdictSuperseded, 7, 1},
		{"other content with the current generation", 7, 2, VerdictSuperseded, 7, 1},
		{"older", 3, 3, VerdictSuperseded, 7, 1},
		{"newer, with a gap", 19, 4, VerdictAccepted, 19, 4},
		{"first document again", 7, 1, VerdictSuperseded, 19, 4},
		{"no generation", 0, 5, VerdictConflict, 19, 4},
	}
	c := New()
	for _, tt := range tests {
		doc := validator.Document{ChangeID: tt.name, Generation: tt.generation, Entries: tt.content, BaseRevision: c.Revision()}
		answer, err := c.Apply(Change{Document: doc})
		assert.NilError(t, err)
		assert.Equal(t, answer.Verdict, tt.verdict, tt.name)
		assert.Equal(t, c.Document().Generation, tt.current, tt.name)
		assert.Equal(t, c.Document().Entries, tt.entries, tt.name)
	}
}

func announcement(incarnation uint64, deregistered bool) registrar.Announcement {
	return registrar.Announcement{
		Name: registrar.Name{Service: "s", Endpoint: "a"}, State: registrar.StateDraining, Incarnation: incarnation, Sequence: 5, Deregistered: deregistered,
	}
}

func TestDepartureIsNotRevoked(t *testing.T) {
	c := New()
	c.RecordDeparture(Departure{announcement(2, false)})
	tests := []struct {
		name      string
		announced registrar.Announcement
		state     registrar.State
		ok        bool
	}{
		{"serving again", registrar.Announcement{Name: registrar.Name{Service: "s", Endpoint: "a"}, State: registrar.StateServing, Incarnation: 2, Sequence: 9}, registrar.StateDraining, true},
		{"previous process", registrar.Announcement{Name: registrar.Name{Service: "s", Endpoint: "a"}, State: registrar.StateServing, Incarnation: 1, Sequence: 9}, registrar.StateServing, false},
		{"next process", registrar.Announcement{Name: registrar.Name{Service: "s", Endpoint: "a"}, State: registrar.StateServing, Incarnation: 3}, registrar.StateServing, true},
		{"another endpoint", registrar.Announcement{Name: registrar.Name{Service: "s", Endpoint: "b"}, State: registrar.StateServing, Incarnation: 2}, registrar.StateServing, true},
	}
	for _, tt := range tests {
		got, ok := c.ApplyDeparture(tt.announced)
		assert.Equal(t, ok, tt.ok, tt.name)
		assert.Equal(t, got.State, tt.state, tt.name)
	}
	assert.Assert(t, c.HasDeparture(announcement(2, false)))
	assert.Assert(t, !c.HasDeparture(announcement(2, true)))
	c.RecordDeparture(Departure{announcement(2, true)})
	c.RecordDeparture(Departure{announcement(2, false)}) // arrives late
	assert.Assert(t, c.HasDeparture(announcement(2, true)))
	assert.Equal(t, len(c.Departures()), 1)
}

func TestDeparturesAreBounded(t *testing.T) {
	c := New()
	for i := range uint64(maxDepartures + 10) {
		a := announcement(1, true)
		a.Endpoint += string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		c.RecordDeparture(Departure{a})
	}
	assert.Equal(t, len(c.Departures()), maxDepartures)
}

func TestEncodeDecode(t *testing.T) {
	for _, command := range []Command{
		Change{validator.Document{ChangeID: "c", Generation: 4, Source: "{}"}},
		Departure{announcement(2, true)},
		Evacuation{DataCentre: "dc", Active: true, BaseRevision: 3},
		Evacuation{DataCentre: "dc"},
	} {
		data, err := Encode(command)
		assert.NilError(t, err)
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, command)
	}
	_, err := Decode([]byte("{}"))
	assert.ErrorIs(t, err, ErrEmptyCommand)
}

func TestSnapshotHoldsDepartures(t *testing.T) {
	c := New()
	c.RecordDeparture(Departure{announcement(2, true)})
	data, err := c.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Departures(), c.Departures())
}
