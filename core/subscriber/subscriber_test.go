package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

var epoch = time.Unix(1000, 0)

func serving(name string, deregistered bool) registrar.Announcement {
	return registrar.Announcement{Name: registrar.Name{Service: "s", Endpoint: name}, State: registrar.StateServing, Incarnation: 1, Deregistered: deregistered}
}

// configured returns a subscriber with an open stream and a configuration with the service s.
func configured(opts ...Option) *Subscriber {
	s := New(messenger.Hello{Entry: "e"}, []string{"r1", "r2"}, opts...)
	s.Handle(epoch, Tick{})
	s.Handle(epoch, Opened{})
	s.Handle(epoch, MessageReceived{messenger.Configuration{Revision: 1, Document: validator.Document{Services: []validator.Service{{Name: "s"}}}}})
	return s
}

// names returns the usable endpoints of the service s.
func names(s *Subscriber, now time.Time) []string {
	var list []string
	service, _ := s.document.Service("s")
	for _, e := range s.endpoints(now, service) {
		list = append(list, e.Endpoint)
	}
	return list
}

// TestUnlistedEndpointsStayForALease gets a full list that contains only one deregistration:
// a replica that has just started must not remove the entry's other endpoints.
func TestUnlistedEndpointsStayForALease(t *testing.T) {
	s := configured()
	s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Full: true, Changed: []registrar.Announcement{serving("a", false), serving("b", false), serving("c", false)}}})
	deregistered := serving("b", true)
	deregistered.Sequence = 1
	s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Full: true, Changed: []registrar.Announcement{deregistered}}})
	assert.DeepEqual(t, names(s, epoch), []string{"a", "c"})
	s.Handle(epoch.Add(time.Second), MessageReceived{messenger.EndpointUpdate{Changed: []registrar.Announcement{serving("c", false)}}})
	s.Handle(epoch.Add(registrar.Lease), Tick{})
	assert.DeepEqual(t, names(s, epoch), []string{"c"})
}

// TestReplicaThatIsBehindTakesNothingBack guards against an entry that turns to a replica which is behind, and takes an
// endpoint for an earlier incarnation, or one that has left for one that serves.
func TestReplicaThatIsBehindTakesNothingBack(t *testing.T) {
	at := func(incarnation, sequence uint64, state registrar.State) registrar.Announcement {
		a := serving("a", false)
		a.Incarnation, a.Sequence, a.State = incarnation, sequence, state
		return a
	}
	deregistered := at(2, 4, registrar.StateServing)
	deregistered.Deregistered = true
	tests := []struct {
		name         string
		known, heard registrar.Announcement
		taken        bool
	}{
		{"earlier incarnation", at(2, 1, registrar.StateServing), at(1, 9, registrar.StateServing), false},
		{"earlier incarnation that drains", at(2, 1, registrar.StateServing), at(1, 9, registrar.StateDraining), false},
		{"later incarnation", at(2, 5, registrar.StateDraining), at(3, 1, registrar.StateServing), true},
		{"from before it drained", at(2, 5, registrar.StateDraining), at(2, 4, registrar.StateServing), false},
		{"serves again", at(2, 5, registrar.StateDraining), at(2, 6, registrar.StateServing), true},
		{"draining, by a replica that has heard less", at(2, 5, registrar.StateServing), at(2, 4, registrar.StateDraining), true},
		{"deregistered, by a replica that has heard less", at(2, 5, registrar.StateServing), deregistered, true},
		{"a renewal behind", at(2, 5, registrar.StateServing), at(2, 4, registrar.StateServing), false},
		{"the same", at(2, 5, registrar.StateServing), at(2, 5, registrar.StateServing), true},
	}
	for _, tt := range tests {
		for _, full := range []bool{false, true} {
			s := configured()
			s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Full: true, Changed: []registrar.Announcement{tt.known}}})
			s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Full: full, Changed: []registrar.Announcement{tt.heard}}})
			want := tt.known
			if tt.taken {
				want = tt.heard
			}
			got, ok := s.latest(want.Name)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, want)
			if full {
				s.Handle(epoch.Add(registrar.Lease), Tick{})
				_, ok := s.latest(want.Name)
				listed := tt.heard.Incarnation >= tt.known.Incarnation
				assert.Equal(t, ok, listed, "%s: after a lease", tt.name)
			}
		}
	}
}

func TestReplicaListIsUsedOnlyWithDiscovery(t *testing.T) {
	tests := []struct {
		name string
		opts []Option
		want []string
	}{
		{"without discovery", nil, []string{"r1", "r2"}},
		{"with discovery", []Option{WithDiscovery()}, []string{"r3", "r2", "r1"}},
	}
	for _, tt := range tests {
		s := configured(tt.opts...)
		s.Handle(epoch, MessageReceived{messenger.ReplicaAddresses{Addresses: []string{"r3", "r2"}}})
		assert.DeepEqual(t, s.replicas, tt.want)
		s.Handle(epoch, SeedsChanged{Addresses: []string{"r9"}})
		assert.Equal(t, s.replicas[len(s.replicas)-1], "r9", tt.name)
	}
}

func TestServiceSettingSuppliesUnannouncedConnections(t *testing.T) {
	s := configured()
	got := s.endpoint(epoch, validator.Service{Name: "s", Connections: 260}, serving("a", false))
	assert.Equal(t, got.Connections, 260)
}

// TestConnectionAttemptsBackOff lets no stream open: the first replicas are tried in quick
// succession, the later ones a few times per second.
func TestConnectionAttemptsBackOff(t *testing.T) {
	s := New(messenger.Hello{Entry: "e"}, []string{"r1", "r2", "r3"})
	var opened []time.Duration
	for at := time.Duration(0); at < 10*time.Second; at = max(at, s.Due().Sub(epoch)) {
		for _, a := range s.Handle(epoch.Add(at), Tick{}) {
			if _, ok := a.(Open); ok {
				opened = append(opened, at)
			}
		}
	}
	assert.Equal(t, opened[0], time.Duration(0))
	assert.Assert(t, opened[1] <= 200*time.Millisecond, "%v", opened)
	assert.Assert(t, len(opened) < 25, "%v", opened)
	for i := 10; i < len(opened); i++ {
		assert.Assert(t, opened[i]-opened[i-1] >= connectMax, "%v", opened)
	}
}
