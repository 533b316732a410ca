// Package shedder implements the leader's part of admission by priority: it finds out from the counts of all entries
// which services have too little room, and decides which share of the calls of each priority entries admit. A call that
// is refused at admission costs no probe and no connection.
package shedder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
)

// Parameters of the decision.
const (
	// averageTime is the time over which counts are averaged. It covers a few reports of the entries, and is short
	// against the time for which callers go on trying.
	averageTime = time.Second
	// overloadStart is the part of the admitted calls that found no room from which calls are shed. Below it, entries
	// find room for most of them by looking at further endpoints.
	overloadStart = 0.15
	// overloadTarget is the part that is aimed at meanwhile: without any, there might be room for more calls.
	overloadTarget = 0.05
	// minOverloaded is the least number of calls a second that found no room: a few say nothing of the service.
	minOverloaded = 5.0
	// growth is the part by which the admitted share rises in a second while those calls find room.
	growth = 0.5
	// minShare bounds the admitted share of all calls, so that it can rise again soon.
	minShare = 0.05
	// inheritTime is how long a new leader keeps the shares in force: until the counts of all entries cover averageTime.
	inheritTime = 2 * averageTime
	// minShareOfMean is the least share of a priority relative to the mean share, so that no priority starves.
	minShareOfMean = 0.3
	// minChange is the least change of a share that entries are told of.
	minChange = 0.03
)

// calls are the calls of one priority to a service, as averages in calls a second.
type calls struct {
	priority                  int
	offered, shed, overloaded float64
}

// service is the state of one service.
type service struct {
	// calls is ordered by priority, the most urgent first.
	calls []calls
	at    time.Time
	// shedding is set while calls are shed. share is then the part of all calls that is admitted; zero until the counts
	// of this leader tell it.
	shedding bool
	share    float64
	decided  time.Time
	// inheritedUntil is until when shares of an earlier leader stay in force as they are; zero without any.
	inheritedUntil time.Time
	// shares are those in force, in the order of calls; nil while nothing is shed.
	shares []messenger.ServiceAdmission
}

// Shedder decides for all services. It is not safe for concurrent use.
type Shedder struct {
	services map[string]*service
	// names lists the services in a fixed order.
	names []string
	// fresh is set while there are counts that no decision has taken into account.
	fresh bool
}

// New returns the shedder of a new leader. It goes on with the shares that are in force until counts tell more.
func New(now time.Time, inForce []messenger.ServiceAdmission) *Shedder {
	s := &Shedder{services: make(map[string]*service)}
	for _, a := range inForce {
		v := s.service(now, a.Service)
		v.shedding = true
		v.inheritedUntil = now.Add(inheritTime)
		v.shares = append(v.shares, a)
	}
	return s
}

func (s *Shedder) service(now time.Time, name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{at: now, decided: now}
		s.services[name] = v
		i, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, i, name)
	}
	return v
}

// Record takes calls that entries have counted.
func (s *Shedder) Record(now time.Time, usage []messenger.ServiceUsage) {
	for _, u := range usage {
		v := s.service(now, u.Service)
		v.decay(now)
		c := v.of(u.Priority)
		perSecond := 1 / averageTime.Seconds()
		c.offered += float64(u.Offered) * perSecond
		c.shed += float64(u.Shed) * perSecond
		c.overloaded += float64(u.Overloaded) * perSecond
		s.fresh = true
	}
}

// of returns the calls of a priority.
func (v *service) of(priority int) *calls {
	i, ok := slices.BinarySearchFunc(v.calls, priority, func(c calls, p int) int { return cmp.Compare(c.priority, p) })
	if !ok {
		v.calls = slices.Insert(v.calls, i, calls{priority: priority})
	}
	return &v.calls[i]
}

func (v *service) decay(now time.Time) {
	factor := math.Exp(-now.Sub(v.at).Seconds() / averageTime.Seconds())
	v.at = now
	for i := range v.calls {
		c := &v.calls[i]
		c.offered *= factor
		c.shed *= factor
		c.overloaded *= factor
	}
}

// Due reports whether a call of Shares can change something.
func (s *Shedder) Due() bool {
	if s.fresh {
		return true
	}
	for _, v := range s.services {
		if v.shedding {
			return true
		}
	}
	return false
}

// Shares returns the shares in force, and whether they have changed since the last call.
func (s *Shedder) Shares(now time.Time) ([]messenger.ServiceAdmission, bool) {
	s.fresh = false
	var list []messenger.ServiceAdmission
	changed := false
	for _, name := range s.names {
		v := s.services[name]
		changed = v.decide(now, name) || changed
		list = append(list, v.shares...)
	}
	return list, changed
}

// decide updates the share of a service, and reports whether its shares have changed.
func (v *service) decide(now time.Time, name string) bool {
	if now.Before(v.inheritedUntil) {
		return false
	}
	v.decay(now)
	elapsed := math.Min(now.Sub(v.decided).Seconds(), averageTime.Seconds())
	v.decided = now
	offered, admitted, overloaded := v.totals()
	excess := 0.0
	if admitted > 0 {
		excess = overloaded / admitted
	}
	switch {
	case !v.shedding && (excess < overloadStart || overloaded < minOverloaded):
		return false
	case offered <= 0:
		v.share = 1
	case !v.shedding || v.share == 0:
		v.shedding = true
		v.share = (admitted - overloaded) / offered
	case excess > overloadTarget && overloaded >= minOverloaded:
		// While calls find no room, those that are served tell how much room there is.
		v.share = math.Min(v.share, (admitted-overloaded)/(1-overloadTarget)/offered)
	default:
		v.share *= 1 + growth*elapsed
	}
	v.share = math.Max(v.share, minShare)
	if v.share >= 1 {
		changed := v.shares != nil
		v.shedding, v.share, v.shares = false, 0, nil
		return changed
	}
	return v.apply(name, v.divide(offered))
}

func (v *service) totals() (offered, admitted, overloaded float64) {
	for _, c := range v.calls {
		offered += c.offered
		admitted += c.offered - c.shed
		overloaded += c.overloaded
	}
	return offered, admitted, overloaded
}

// divide divides the admitted part of the offered calls among the priorities: each gets its least share, and what remains
// goes to the most urgent calls first.
func (v *service) divide(offered float64) []float64 {
	least := minShareOfMean * v.share
	remaining := (v.share - least) * offered
	shares := make([]float64, len(v.calls))
	for i, c := range v.calls {
		shares[i] = least
		if c.offered <= 0 {
			continue
		}
		more := math.Min((1-least)*c.offered, math.Max(0, remaining))
		remaining -= more
		shares[i] += more / c.offered
	}
	return shares
}

// apply adopts shares that differ enough from those in force, and reports whether it did.
func (v *service) apply(name string, shares []float64) bool {
	changed := len(shares) != len(v.shares)
	for i := 0; i < len(shares) && !changed; i++ {
		changed = v.shares[i].Priority != v.calls[i].priority || math.Abs(v.shares[i].Share-shares[i]) >= minChange
	}
	if !changed {
		return false
	}
	v.shares = make([]messenger.ServiceAdmission, len(shares))
	for i, c := range v.calls {
		v.shares[i] = messenger.ServiceAdmission{Service: name, Priority: c.priority, Share: shares[i]}
	}
	return true
}
