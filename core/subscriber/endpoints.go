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
	s.directAt[a.Name] = now
	s.noteWarmUp(now, a)
	if s.connected {
		s.emit(Send{Message: messenger.EndpointAnnouncements{Announcements: []registrar.Announcement{a}}})
	}
	if outcome == registrar.OutcomeChanged || !s.HoldsConfigLease(now) {
		s.changeEndpoints(now, a.Service, []registrar.Name{a.Name})
	}
}

func (s *Subscriber) onEndpoints(now time.Time, v messenger.EndpointUpdate) {
	if v.Full {
		s.startFullList(now)
	}
	changed := make([]registrar.Name, 0, len(v.Changed)+len(v.Removed))
	for _, a := range v.Changed {
		known, ok := s.relayed[a.Name]
		if ok && known.Incarnation > a.Incarnation {
			continue // the replica is behind; if it stays so, what is known ends with its lease
		}
		if !ok || !known.Outdates(a) {
			s.relayed[a.Name] = a
		}
		s.noteWarmUp(now, a)
		delete(s.unlisted, a.Name)
		changed = append(changed, a.Name)
	}
	for _, name := range v.Removed {
		s.forgetRelayed(name)
		changed = append(changed, name)
	}
	if v.Full {
		s.reconfigureAll(now)
		return
	}
	s.changeByService(now, changed)
}

// forgetRelayed drops what replicas have said of an endpoint.
func (s *Subscriber) forgetRelayed(name registrar.Name) {
	delete(s.relayed, name)
	delete(s.unlisted, name)
	delete(s.limits, name)
	if _, ok := s.direct.Find(name); !ok {
		delete(s.warmUps, name)
	}
}

// changeByService notifies the balancers of changes to the named endpoints, grouped by service.
func (s *Subscriber) changeByService(now time.Time, names []registrar.Name) {
	slices.SortFunc(names, registrar.Name.Compare)
	names = slices.Compact(names)
	for len(names) > 0 {
		service := names[0].Service
		n := 1
		for n < len(names) && names[n].Service == service {
			n++
		}
		s.changeEndpoints(now, service, names[:n])
		names = names[n:]
	}
}

// changeEndpoints notifies the balancer of a service of changes to the named endpoints.
func (s *Subscriber) changeEndpoints(now time.Time, name string, names []registrar.Name) {
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
	s.emit(ChangeEndpoints{Service: name, Changed: v})
}

// latest returns the newer of the relayed and the direct announcement of an endpoint.
func (s *Subscriber) latest(name registrar.Name) (registrar.Announcement, bool) {
	relayed, ok := s.relayed[name]
	direct, isDirect := s.direct.Find(name)
	if isDirect && (!ok || direct.Newer(relayed)) {
		return direct, true
	}
	return relayed, ok
}

// startFullList begins a full list of endpoints. Endpoints that are not in the new list are
// kept for the length of a registry lease: the replica may have just started, and learns of
// them with their next announcement.
func (s *Subscriber) startFullList(now time.Time) {
	until := now.Add(registrar.Lease)
	for name := range s.relayed {
		if _, ok := s.unlisted[name]; !ok {
			s.unlisted[name] = until
		}
	}
	if s.unlistedExpiry.IsZero() {
		s.unlistedExpiry = until
	}
}

func (s *Subscriber) dropUnlisted(now time.Time) {
	if s.unlistedExpiry.IsZero() || now.Before(s.unlistedExpiry) {
		return
	}
	s.unlistedExpiry = time.Time{}
	var dropped []registrar.Name
	for name, until := range s.unlisted {
		if now.Before(until) {
			s.unlistedExpiry = scheduler.Earliest(s.unlistedExpiry, until)
			continue
		}
		s.forgetRelayed(name)
		dropped = append(dropped, name)
	}
	s.changeByService(now, dropped)
}

// forgetExpired drops direct announcements whose leases have ended.
func (s *Subscriber) forgetExpired(now time.Time, expired []registrar.Announcement) {
	names := make([]registrar.Name, 0, len(expired))
	for _, a := range expired {
		delete(s.directAt, a.Name)
		if _, ok := s.relayed[a.Name]; !ok {
			delete(s.warmUps, a.Name)
		}
		names = append(names, a.Name)
	}
	s.changeByService(now, names)
}

// reconfigureAll reconfigures every balancer and determines the next scheduled stop.
func (s *Subscriber) reconfigureAll(now time.Time) {
	s.nextStopAt = time.Time{}
	for _, stop := range s.document.Stops {
		if stop.At.After(now) && (s.nextStopAt.IsZero() || stop.At.Before(s.nextStopAt)) {
			s.nextStopAt = stop.At
		}
	}
	for _, service := range s.document.Services {
		s.reconfigure(now, service.Name)
	}
}

func (s *Subscriber) reconfigure(now time.Time, name string) {
	service, ok := s.document.Service(name)
	if !ok {
		return
	}
	s.emit(Reconfigure{Service: name, Reconfigure: balancer.Reconfigured{
		Service: service, Endpoints: s.endpoints(now, service), Entries: s.document.Entries,
	}})
}

// endpoints returns the usable endpoints of a service, ordered by name.
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

// usable returns an endpoint of a service, unless it is unknown or deregistered, or the service
// does not admit it.
func (s *Subscriber) usable(now time.Time, service validator.Service, name registrar.Name) (balancer.Endpoint, bool) {
	a, ok := s.latest(name)
	if !ok || a.Deregistered || !service.Admits(a.Endpoint) {
		return balancer.Endpoint{}, false
	}
	return s.endpoint(now, service, a), true
}

func (s *Subscriber) endpoint(now time.Time, service validator.Service, a registrar.Announcement) balancer.Endpoint {
	if service.Connections > 0 {
		a.Connections = service.Connections
	}
	until := s.warmUpUntil(service, a)
	a.WarmUp = 0 // counted from a time that the balancer doesn't know
	return balancer.Endpoint{
		Announcement:     a,
		WarmUpUntil:      until,
		Stopped:          s.document.Stopped(a.Service, a.Endpoint, now),
		Evacuated:        slices.Contains(s.evacuated, a.DataCentre),
		Remote:           a.DataCentre != s.hello.DataCentre,
		LastDirectReport: s.directAt[a.Name],
		Limit:            s.limitOf(a),
	}
}
