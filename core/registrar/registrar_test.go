package registrar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func announcement(incarnation, sequence uint64, state State) Announcement {
	return Announcement{
		Name: Name{"rounds", "e1"}, Address: "127.0.0.1:80", DataCentre: "dc", Slots: 1, Connections: 1,
		State: state, Incarnation: incarnation, Sequence: sequence,
	}
}

func TestNewestAnnouncementWins(t *testing.T) {
	gone := announcement(2, 9, StateServing)
	gone.Deregistered = true
	tests := []struct {
		name string
		a    Announcement
		want Outcome
	}{
		{"first", announcement(2, 5, StateServing), OutcomeChanged},
		{"same again", announcement(2, 5, StateServing), OutcomeStale},
		{"renewal", announcement(2, 6, StateServing), OutcomeRenewed},
		{"change", announcement(2, 7, StateDraining), OutcomeChanged},
		{"late one", announcement(2, 6, StateServing), OutcomeStale},
		{"former process", announcement(1, 99, StateServing), OutcomeStale},
		{"goodbye", gone, OutcomeChanged},
		{"late after goodbye", announcement(2, 8, StateServing), OutcomeStale},
		{"next process", announcement(3, 1, StateStarting), OutcomeChanged},
	}
	r := New()
	now := time.Unix(1000, 0)
	for _, tt := range tests {
		assert.Equal(t, r.Announce(now, tt.a), tt.want, tt.name)
	}
	assert.Equal(t, r.List("rounds")[0].State, StateStarting)
}

func TestLeaseEndsOnTheReceiversClock(t *testing.T) {
	r := New()
	now := time.Unix(1000, 0)
	r.Announce(now, announcement(1, 1, StateServing))
	assert.Equal(t, len(r.Expire(now.Add(Lease-1))), 0)
	r.Announce(now.Add(Lease-1), announcement(1, 2, StateServing))
	assert.Equal(t, len(r.Expire(now.Add(Lease))), 0)
	assert.Equal(t, len(r.Expire(now.Add(2*Lease))), 1)
	assert.Equal(t, r.Len(), 0)
}

func TestCheckNamesEveryProblem(t *testing.T) {
	assert.Equal(t, len(announcement(1, 1, StateServing).Check()), 0)
	problems := Announcement{Address: "host:80", State: "up"}.Check()
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	assert.DeepEqual(t, paths, []string{"service", "endpoint", "address", "data-centre", "slots", "connections", "state", "incarnation"})
}

func owner(name string, incarnation uint64, address string) Announcement {
	a := announcement(incarnation, 1, StateServing)
	a.Endpoint = name
	a.Address = address
	return a
}

func TestAddressBelongsToTheLatestIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(WithAddressOwners(), WithLease(time.Second))
	steps := []struct {
		name    string
		a       Announcement
		want    Outcome
		serving []string
	}{
		{"first", owner("a", 10, "x"), OutcomeChanged, []string{"a"}},
		{"later process at the address", owner("b", 20, "x"), OutcomeChanged, []string{"b"}},
		{"delayed word of the first", owner("a", 10, "x"), OutcomeStale, []string{"b"}},
		{"unknown process that is older", owner("c", 15, "x"), OutcomeStale, []string{"b"}},
		{"the first at another address", owner("a", 30, "y"), OutcomeChanged, []string{"a", "b"}},
	}
	for _, s := range steps {
		assert.Equal(t, r.Announce(now, s.a), s.want, s.name)
		var serving []string
		for _, a := range r.List("") {
			serving = append(serving, a.Endpoint)
		}
		assert.DeepEqual(t, serving, s.serving)
	}
}

func TestExpiredAnnouncementIsNotPassedOnAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(WithLease(time.Second))
	r.Announce(now, announcement(1, 5, StateServing))
	assert.Equal(t, len(r.Expire(now.Add(time.Second))), 1)
	assert.Equal(t, r.Announce(now.Add(time.Second), announcement(1, 5, StateServing)), OutcomeStale)
	assert.Equal(t, r.Announce(now.Add(time.Second), announcement(1, 6, StateServing)), OutcomeChanged)
}
