package subscriber

import (
	"slices"
	"time"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/scheduler"
	"comfreyplank.org/core/validator"
)

func (s *Subscriber) onAnnounced(now time.Time, a registrar.Announcement) {
	outcome := s.direct.Announce(now, a)
	if outcome == registrar.OutcomeStale || outcome == registrar.OutcomeFull {
		return
	}
	s.heard[a.Name] = now
	if s.connected {
		s.do(Send{Message: messenger.EndpointAnnouncements{Announcements: []registrar.Announcement{a}}})
	}
	if outcome == registrar.OutcomeChanged || !s.HoldsConfigLease(now) {
		s.change(now, a.Service, []registrar.Name{a.Name})
	}
}

func (s *Subscriber) onEndpoints(now time.Time, v messenger.EndpointUpdate) {
	if v.Full {
		s.startList(now)
	}
	changed := make([]registrar.Name, 0, len(v.Changed)+len(v.Removed))
	for _, a := range v.Changed {
		s.relayed[a.Name] = a
		delete(s.unlisted, a.Name)
		changed = append(changed, a.Name)
	}
	for _, name := range v.Removed {
		delete(s.relayed, name)
		delete(s.unlisted, name)
		changed = append(changed, name)
	}
	if v.Full {
		s.updateAll(now)
		return
	}
	s.changeAll(now, changed)
}

// changeAll tells the balancers what has changed of some endpoints.
func (s *Subscriber) changeAll(now time.Time, names []registrar.Name) {
	slices.SortFunc(names, registrar.Name.Compare)
	names = slices.Compact(names)
	for len(names) > 0 {
		service := names[0].Service
		n := 1
		for n < len(names) && names[n].Service == service {
			n++
		}
		s.change(now, service, names[:n])
		names = names[n:]
	}
}

// change tells the balancer of a service what has changed of some of its endpoints.
func (s *Subscriber) change(now time.Time, name string, names []registrar.Name) {
	service, ok := s.document.Service(name)
	if !ok {
		return
	}
	var v balancer.EndpointsChanged
	for _, endpoint := range names {
		if e, ok := s.usable(now, service, endpoint); ok {
			v.Changed = append(v.Changed, e)
			continue
		}
		v.Removed = append(v.Removed, endpoint.Endpoint)
	}
	s.do(ChangeEndpoints{Service: name, Changed: v})
}

// known joins what replicas relayed of an endpoint and what it said to this entry; the newer
// one counts.
func (s *Subscriber) known(name registrar.Name) (registrar.Announcement, bool) {
	relayed, ok := s.relayed[name]
	direct, heard := s.direct.Find(name)
	if heard && (!ok || direct.Newer(relayed)) {
		return direct, true
	}
	return relayed, ok
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
	var dropped []registrar.Name
	for name, until := range s.unlisted {
		if now.Before(until) {
			s.unlistedAt = scheduler.Earliest(s.unlistedAt, until)
			continue
		}
		delete(s.unlisted, name)
		delete(s.relayed, name)
		dropped = append(dropped, name)
	}
	s.changeAll(now, dropped)
}

// forget drops what endpoints said to this entry once their leases have ended.
func (s *Subscriber) forget(now time.Time, expired []registrar.Announcement) {
	names := make([]registrar.Name, 0, len(expired))
	for _, a := range expired {
		delete(s.heard, a.Name)
		names = append(names, a.Name)
	}
	s.changeAll(now, names)
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
	s.do(Reconfigure{Service: name, Reconfigure: balancer.Reconfigured{
		Service: service, Endpoints: s.endpoints(now, service), Entries: s.document.Entries,
	}})
}

// endpoints lists the endpoints of a service that may be used, by name.
func (s *Subscriber) endpoints(now time.Time, service validator.Service) []balancer.Endpoint {
	var names []registrar.Name
	for name := range s.relayed {
		if name.Service == service.Name {
			names = append(names, name)
		}
	}
	for _, a := range s.direct.All(service.Name) {
		names = append(names, a.Name)
	}
	slices.SortFunc(names, registrar.Name.Compare)
	var list []balancer.Endpoint
	for _, name := range slices.Compact(names) {
		if e, ok := s.usable(now, service, name); ok {
			list = append(list, e)
		}
	}
	return list
}

// usable returns an endpoint of a service, unless it is gone or the service does not admit it.
func (s *Subscriber) usable(now time.Time, service validator.Service, name registrar.Name) (balancer.Endpoint, bool) {
	a, ok := s.known(name)
	if !ok || a.Deregistered || !service.Admits(a.Endpoint) {
		return balancer.Endpoint{}, false
	}
	return s.endpoint(now, service, a), true
}

func (s *Subscriber) endpoint(now time.Time, service validator.Service, a registrar.Announcement) balancer.Endpoint {
	if service.Connections > 0 {
		a.Connections = service.Connections
	}
	return balancer.Endpoint{
		Announcement:     a,
		Stopped:          s.document.Stopped(a.Service, a.Endpoint, now),
		Remote:           a.DataCentre != s.hello.DataCentre,
		LastDirectReport: s.heard[a.Name],
	}
}
