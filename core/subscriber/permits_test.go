package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

func wanted(endpoint string, permits int) PermitsWanted {
	request := throttler.Request{Limit: throttler.Limit{Rate: 2}, Permits: permits}
	return PermitsWanted{Service: "s", Wanted: balancer.RequestPermits{Endpoint: endpoint, Incarnation: 1, Request: request}}
}

// permitRequests returns the requests for permits among the actions.
func permitRequests(actions []Action) []messenger.PermitRequest {
	var list []messenger.PermitRequest
	for _, a := range actions {
		if v, ok := a.(Send); ok {
			if r, ok := v.Message.(messenger.PermitRequest); ok {
				list = append(list, r)
			}
		}
	}
	return list
}

// TestPermitRequestsAreCollected guards against a message for each endpoint that names a limit.
func TestPermitRequestsAreCollected(t *testing.T) {
	s := configured()
	first := permitRequests(s.Handle(epoch, wanted("a", 1)))
	assert.Equal(t, len(first), 1, "the first is sent at once")
	for _, w := range []PermitsWanted{wanted("b", 1), wanted("a", 2), wanted("c", 1), wanted("a", 1)} {
		assert.Equal(t, len(permitRequests(s.Handle(epoch.Add(time.Millisecond), w))), 0)
	}
	at := epoch.Add(permitInterval)
	assert.Assert(t, !s.Due().After(at))
	requests := permitRequests(s.Handle(at, Tick{}))
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(requests[0].Demands), 3)
	assert.Equal(t, requests[0].Demands[0].Request.Permits, 3)
	assert.Assert(t, requests[0].Sequence > first[0].Sequence)
}

// TestPermitsCountFromTheirRequest guards against permits that are valid for longer because the
// reply took long, and against replies to requests of an earlier stream.
func TestPermitsCountFromTheirRequest(t *testing.T) {
	s := configured()
	request := permitRequests(s.Handle(epoch, wanted("a", 1)))[0]
	reply := messenger.PermitReply{Sequence: request.Sequence, Grants: []messenger.PermitGrant{
		{Name: registrar.Name{Service: "s", Endpoint: "a"}, Incarnation: 1, Grant: throttler.Grant{Permits: 1}},
	}}
	granted := s.Handle(epoch.Add(300*time.Millisecond), MessageReceived{reply})
	assert.DeepEqual(t, granted, []Action{GrantPermits{Service: "s", Granted: balancer.PermitsGranted{
		Endpoint: "a", Incarnation: 1, SentAt: epoch, Grant: throttler.Grant{Permits: 1},
	}}})
	assert.Equal(t, len(s.Handle(epoch.Add(300*time.Millisecond), MessageReceived{reply})), 0, "the reply counts once")
	later := permitRequests(s.Handle(epoch.Add(time.Second), wanted("a", 1)))[0]
	s.Handle(epoch.Add(time.Second), Closed{})
	reply.Sequence = later.Sequence
	assert.Equal(t, len(s.Handle(epoch.Add(time.Second), MessageReceived{reply})), 0)
	assert.Equal(t, len(permitRequests(s.Handle(epoch.Add(time.Second), wanted("a", 1)))), 0, "there is no stream")
}

// TestLimitsFollowTheEndpoint asserts that a limit reaches the balancer with its endpoint, whichever
// becomes known first, and ends with the endpoint's process.
func TestLimitsFollowTheEndpoint(t *testing.T) {
	s := configured()
	update := func(rate float64, version uint64) MessageReceived {
		return MessageReceived{messenger.LimitUpdate{Limits: []permitter.EndpointLimit{
			{Name: registrar.Name{Service: "s", Endpoint: "a"}, Incarnation: 1, Limit: throttler.Limit{Rate: rate, Version: version}},
		}}}
	}
	limit := func() throttler.Limit {
		service, _ := s.document.Service("s")
		return s.endpoints(epoch, service)[0].Limit
	}
	s.Handle(epoch, update(2, 5))
	announced := serving("a", false)
	s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Changed: []registrar.Announcement{announced}}})
	assert.Equal(t, limit(), throttler.Limit{Rate: 2, Version: 5})
	s.Handle(epoch, update(9, 4))
	assert.Equal(t, limit().Rate, 2.0, "an older version changes nothing")
	s.Handle(epoch, update(3, 6))
	assert.Equal(t, limit().Rate, 3.0)
	announced.Incarnation = 2
	s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Changed: []registrar.Announcement{announced}}})
	assert.Equal(t, limit(), throttler.Limit{})
	s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Removed: []registrar.Name{announced.Name}}})
	assert.Equal(t, len(s.limits), 0, "limits of endpoints that are gone are forgotten")
}
