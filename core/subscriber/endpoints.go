package subscriber

import (
	"slices"
	"strings"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

func (s *Subscriber) onAnnounced(now time.Time, a registrar.Announcement) {
	outcome := s.direct.Announce(now, a)
	if outcome == registrar.OutcomeStale || outcome == registrar.OutcomeFull {
		return
	}
	s.heard[a.Name] = now
	if s.connected {
		s.do(Send{Message: messenger.Announced{Announcements: []registrar.Announcement{a}}})
	}
	if outcome == registrar.OutcomeChanged || !s.Standing(now) {
		s.update(now, a.Service)
	}
}

func (s *Subscriber) onEndpoints(now time.Time, v messenger.Endpoints) {
	if v.Full {
		s.startList(now)
	}
	services := make(map[string]bool)
	for _, a := range v.Changed {
		s.relayed[a.Name] = a
		delete(s.unlisted, a.Name)
		services[a.Service] = true
	}
	for _, name := range v.Removed {
		delete(s.relayed, name)
		delete(s.unlisted, name)
		services[name.Service] = true
	}
	if v.Full {
		s.updateAll(now)
		return
	}
	for service := range services {
		s.update(now, service)
	}
}

// startList begins a new list of endpoints. Those of the former one stay for a lease
// unless they are listed again: the replica may have started just now, and hear of
// them with their next announcement.
func (s *Subscriber) startList(now time.Time) {
	until := now.Add(registrar.Lease)
	for name := range s.relayed {
		if _, ok := s.unlisted[name]; !ok {
			s.unlisted[name] = until
		}
	}
	if s.unlistedAt.IsZero() {
		s.unlistedAt = until
	}
}

func (s *Subscriber) dropUnlisted(now time.Time) {
	if s.unlistedAt.IsZero() || now.Before(s.unlistedAt) {
		return
	}
	s.unlistedAt = time.Time{}
	for name, until := range s.unlisted {
		if now.Before(until) {
			s.unlistedAt = earliest(s.unlistedAt, until)
			continue
		}
		delete(s.unlisted, name)
		delete(s.relayed, name)
		s.update(now, name.Service)
	}
}

func (s *Subscriber) forget(expired []registrar.Announcement) {
	for _, a := range expired {
		delete(s.heard, a.Name)
	}
}

// updateAll brings every balancer up to date.
func (s *Subscriber) updateAll(now time.Time) {
	s.stopAt = time.Time{}
	for _, stop := range s.document.Stops {
		if stop.At.After(now) && (s.stopAt.IsZero() || stop.At.Before(s.stopAt)) {
			s.stopAt = stop.At
		}
	}
	for _, service := range s.document.Services {
		s.update(now, service.Name)
	}
}

func (s *Subscriber) update(now time.Time, name string) {
	service, ok := s.document.Service(name)
	if !ok {
		return
	}
	s.do(Update{Service: name, Update: balancer.Reconfigured{
		Service: service, Endpoints: s.endpoints(now, service), Entries: s.document.Entries,
	}})
}

// endpoints joins what replicas relayed and what endpoints said to this entry;
// the newer one counts.
func (s *Subscriber) endpoints(now time.Time, service validator.Service) []balancer.Endpoint {
	known := make(map[string]registrar.Announcement)
	for name, a := range s.relayed {
		if name.Service == service.Name {
			known[name.Endpoint] = a
		}
	}
	for _, a := range s.direct.All(service.Name) {
		if old, ok := known[a.Endpoint]; !ok || a.Newer(old) {
			known[a.Endpoint] = a
		}
	}
	var list []balancer.Endpoint
	for _, a := range known {
		if !a.Gone && service.Admits(a.Endpoint) {
			list = append(list, s.endpoint(now, service, a))
		}
	}
	slices.SortFunc(list, func(a, b balancer.Endpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (s *Subscriber) endpoint(now time.Time, service validator.Service, a registrar.Announcement) balancer.Endpoint {
	if service.Connections > 0 {
		a.Connections = service.Connections
	}
	return balancer.Endpoint{
		Announcement: a,
		Stopped:      s.document.Stopped(a.Service, a.Endpoint, now),
		Far:          a.DataCentre != s.hello.DataCentre,
		Direct:       s.heard[a.Name],
	}
}
