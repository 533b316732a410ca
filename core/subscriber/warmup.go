package subscriber

import (
	"time"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// warmUp is what an announcement says of an endpoint's warm-up.
type warmUp struct {
	announcement registrar.Announcement
	// until is when the warm-up ends; zero without one.
	until time.Time
}

// noteWarmUp keeps when the warm-up of an announcement that has just arrived ends. The same announcement may arrive again
// from another replica, with less time left: it counts once.
func (s *Subscriber) noteWarmUp(now time.Time, a registrar.Announcement) {
	known, ok := s.warmUps[a.Name]
	if ok && !a.Newer(known.announcement) {
		return
	}
	w := warmUp{announcement: a}
	if a.WarmUp > 0 {
		w.until = now.Add(a.WarmUp)
	}
	s.warmUps[a.Name] = w
}

// warmUpUntil returns when the warm-up of an endpoint ends; zero without one, and if the service has no rate for it.
func (s *Subscriber) warmUpUntil(service validator.Service, a registrar.Announcement) time.Time {
	w := s.warmUps[a.Name]
	if service.WarmUpRequestsPerSecond == 0 || w.announcement.Incarnation != a.Incarnation {
		return time.Time{}
	}
	return w.until
}
