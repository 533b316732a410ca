package subscriber

import (
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
)

// permitInterval is the minimum time between two requests for permits. What is wanted meanwhile
// goes into one message, so that the number of messages does not grow with the endpoints.
const permitInterval = 50 * time.Millisecond

// maxSentRequests bounds the requests without a reply whose times are kept.
const maxSentRequests = 64

// permits holds the state of the requests for permits.
type permits struct {
	// pending is what the next request contains, by endpoint.
	pending  map[registrar.Name]messenger.PermitDemand
	sequence uint64
	// sent lists the requests without a reply, in the order of their sequences.
	sent   []sentRequest
	lastAt time.Time
}

// sentRequest records when a request was sent.
type sentRequest struct {
	sequence uint64
	sentAt   time.Time
}

// onPermitsWanted adds a demand to the next request. Without a stream it is dropped: the balancer
// asks again.
func (s *Subscriber) onPermitsWanted(now time.Time, v PermitsWanted) {
	if !s.connected {
		return
	}
	name := registrar.Name{Service: v.Service, Endpoint: v.Wanted.Endpoint}
	demand := messenger.PermitDemand{Name: name, Incarnation: v.Wanted.Incarnation, Request: v.Wanted.Request}
	if earlier, ok := s.permits.pending[name]; ok && earlier.Incarnation == demand.Incarnation {
		demand.Request.Permits += earlier.Request.Permits
	}
	s.permits.pending[name] = demand
	s.sendPermitRequestIfDue(now)
}

// permitsDue returns when the next request is sent; zero if there is nothing to send.
func (s *Subscriber) permitsDue() time.Time {
	if len(s.permits.pending) == 0 {
		return time.Time{}
	}
	return s.permits.lastAt.Add(permitInterval)
}

func (s *Subscriber) sendPermitRequestIfDue(now time.Time) {
	p := &s.permits
	if !s.connected || len(p.pending) == 0 || now.Before(s.permitsDue()) {
		return
	}
	demands := make([]messenger.PermitDemand, 0, len(p.pending))
	for _, d := range p.pending {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b messenger.PermitDemand) int { return a.Name.Compare(b.Name) })
	clear(p.pending)
	p.sequence++
	p.lastAt = now
	p.sent = append(p.sent, sentRequest{p.sequence, now})
	if len(p.sent) > maxSentRequests {
		p.sent = p.sent[1:]
	}
	s.emit(Send{Message: messenger.PermitRequest{Sequence: p.sequence, Demands: demands}})
}

// onPermitReply passes the permits on to the balancers. Their validity counts from the time when
// the request was sent, so that it doesn't depend on how long the reply took.
func (s *Subscriber) onPermitReply(v messenger.PermitReply) {
	i := slices.IndexFunc(s.permits.sent, func(r sentRequest) bool { return r.sequence == v.Sequence })
	if i < 0 {
		return
	}
	sentAt := s.permits.sent[i].sentAt
	s.permits.sent = slices.Delete(s.permits.sent, i, i+1)
	for _, g := range v.Grants {
		s.emit(GrantPermits{Service: g.Name.Service, Granted: balancer.PermitsGranted{
			Endpoint: g.Name.Endpoint, Incarnation: g.Incarnation, SentAt: sentAt, Grant: g.Grant,
		}})
	}
}

// onLimits passes the limits that control knows on to the balancers. A limit that is not listed
// any more stays: control may have lost it, and the endpoint's responses tell when it has ended.
func (s *Subscriber) onLimits(now time.Time, v messenger.LimitUpdate) {
	changed := make([]registrar.Name, 0, len(v.Limits))
	for _, l := range v.Limits {
		if known, ok := s.limits[l.Name]; ok && known.Limit.Version >= l.Limit.Version {
			continue
		}
		s.limits[l.Name] = l
		changed = append(changed, l.Name)
	}
	s.changeByService(now, changed)
}

// limitOf returns the limit of an endpoint if control knows one that its present process named.
func (s *Subscriber) limitOf(a registrar.Announcement) throttler.Limit {
	l, ok := s.limits[a.Name]
	if !ok || l.Incarnation != a.Incarnation {
		return throttler.Limit{}
	}
	return l.Limit
}
