// Package admitter implements an entry's part of the admission of calls: the rate limits of workspaces, and the shares
// of the calls to a service that are admitted when there is too little room. It counts calls for control, and applies
// the shares that control decides.
package admitter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
)

// Timing of an admitter.
const (
	// ReportInterval is how long counts wait, so that an entry sends at most five reports a second.
	ReportInterval = 200 * time.Millisecond
	// contactTimeout is the time after the last contact with control after which each workspace is limited locally. It
	// is longer than the interval of heartbeats and a slow round trip.
	contactTimeout = 1600 * time.Millisecond
	// confirmTimeout replaces it while a workspace sends much more than usual: the entry then asks for contact with its
	// next report.
	confirmTimeout = 400 * time.Millisecond
	// serviceShareLife is how long shares of services remain without contact. Afterwards the entry detects a shortage
	// on its own.
	serviceShareLife = 10 * time.Second
)

// Verdict is what becomes of a call.
type Verdict uint8

// The verdicts on a call.
const (
	// Admitted calls go on.
	Admitted Verdict = iota
	// RateLimited calls are beyond the rate limit of their workspace.
	RateLimited
	// Shed calls are refused because there is too little room for the calls of their priority.
	Shed
)

// Decision is the verdict on a call and, if it is refused, after which time the caller should try again.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// serviceKey identifies the calls of one priority to a service.
type serviceKey struct {
	service  string
	priority int
}

// service holds the share and the counts of the calls of one priority to a service.
type service struct {
	share  share
	counts messenger.ServiceUsage
}

// Change reports that a workspace has reached its rate limit, or is below it again.
type Change struct {
	Workspace string
	Limited   bool
	Share     float64
}

// Admitter decides on the calls of one entry. It is not safe for concurrent use.
type Admitter struct {
	rand          *rand.Rand
	countServices bool
	workspaces    map[string]*workspace
	services      map[serviceKey]*service
	// shedding is set while there are shares of services.
	shedding bool
	// latest is the last update.
	latest  messenger.AdmissionUpdate
	entries int
	// lastContact is when control was last known to be in contact. confirmSince is when an unusual number of calls
	// first required a newer contact; zero if none does.
	lastContact  time.Time
	confirmSince time.Time
	// reportAt is when the next report is due; zero while there is nothing to report.
	reportAt time.Time
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithRand sets the source of randomness.
func WithRand(source *rand.Rand) Option { return func(a *Admitter) { a.rand = source } }

// WithServiceUsage counts the calls of each service and priority, which control needs to decide on shares of services.
func WithServiceUsage() Option { return func(a *Admitter) { a.countServices = true } }

// New returns an admitter that admits every call.
func New(opts ...Option) *Admitter {
	a := &Admitter{workspaces: make(map[string]*workspace), services: make(map[serviceKey]*service), entries: assumedEntries}
	for _, opt := range opts {
		opt(a)
	}
	if a.rand == nil {
		a.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return a
}

// assumedEntries is the number of entries until control tells it.
const assumedEntries = 100

// Active reports whether Admit may refuse or count calls. The result changes only through Configure and Apply.
func (a *Admitter) Active() bool {
	return len(a.workspaces) > 0 || a.shedding || a.countServices
}

// Configure applies the rate limits of a document. An update that arrived before it may list its workspaces; it returns
// those that have reached their limits by it.
func (a *Admitter) Configure(now time.Time, workspaces []validator.Workspace) []Change {
	known := make(map[string]bool, len(workspaces))
	for _, w := range workspaces {
		if w.RatePerSecond <= 0 {
			continue
		}
		known[w.Name] = true
		ws, ok := a.workspaces[w.Name]
		if !ok {
			ws = newWorkspace(now, a.rand.Float64())
			a.workspaces[w.Name] = ws
		}
		ws.configure(w.RatePerSecond, w.Burst, a.entries)
	}
	for name := range a.workspaces {
		if !known[name] {
			delete(a.workspaces, name)
		}
	}
	return a.applyWorkspaces(now, a.latest.Workspaces)
}

// Shares returns the shares of workspaces in force.
func (a *Admitter) Shares() []messenger.WorkspaceAdmission { return a.latest.Workspaces }

// Contact reports that control is in contact, and how many entries it knows; zero if it does not say.
func (a *Admitter) Contact(now time.Time, entries int) {
	a.lastContact = now
	a.confirmSince = time.Time{}
	if entries > 0 && entries != a.entries {
		a.entries = entries
		for _, ws := range a.workspaces {
			ws.configure(ws.rate, ws.burst, entries)
		}
	}
}

// inContact reports whether the counts of this entry are known to reach control.
func (a *Admitter) inContact(now time.Time) bool {
	if now.Sub(a.lastContact) > contactTimeout {
		return false
	}
	return a.confirmSince.IsZero() || now.Sub(a.confirmSince) <= confirmTimeout
}

// Apply replaces all shares by those of an update, unless it is older than the last one. It returns the workspaces that
// have reached their limits, or are below them again.
func (a *Admitter) Apply(now time.Time, v messenger.AdmissionUpdate) []Change {
	if v.Version <= a.latest.Version {
		return nil
	}
	a.latest = v
	a.lastContact = now
	a.confirmSince = time.Time{}
	changes := a.applyWorkspaces(now, v.Workspaces)
	a.applyServices(v.Services)
	return changes
}

func (a *Admitter) applyWorkspaces(now time.Time, shares []messenger.WorkspaceAdmission) []Change {
	var changes []Change
	listed := make(map[string]bool, len(shares))
	for _, s := range shares {
		ws, ok := a.workspaces[s.Workspace]
		if !ok {
			continue
		}
		listed[s.Workspace] = true
		if !ws.share.limited {
			ws.limitedSince = now
			changes = append(changes, Change{Workspace: s.Workspace, Limited: true, Share: s.Share})
		}
		ws.share.set(s.Share)
	}
	for name, ws := range a.workspaces {
		if ws.share.limited && !listed[name] {
			ws.share.limited = false
			changes = append(changes, Change{Workspace: name, Share: 1})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return changes
}

func (a *Admitter) applyServices(shares []messenger.ServiceAdmission) {
	for _, s := range a.services {
		s.share.limited = false
	}
	for _, s := range shares {
		a.service(serviceKey{s.Service, s.Priority}).share.set(s.Share)
	}
	a.shedding = len(shares) > 0
}

// service returns the state of a service and priority.
func (a *Admitter) service(key serviceKey) *service {
	s, ok := a.services[key]
	if !ok {
		s = &service{share: share{credit: a.rand.Float64()}}
		a.services[key] = s
	}
	return s
}

// Admit decides on a call. A workspace without a name has no rate limit.
func (a *Admitter) Admit(now time.Time, workspace, service string, priority int) Decision {
	ws := a.workspaces[workspace]
	if ws != nil {
		if d := a.limit(now, ws); d.Verdict != Admitted {
			// Without contact the entry refuses on its own: a new leader would take the counts for those of a share.
			if a.inContact(now) {
				ws.refused++
				a.wantReport(now)
			}
			return d
		}
	}
	if d := a.shed(now, service, priority); d.Verdict != Admitted {
		return d
	}
	if ws != nil {
		ws.admit(now)
		a.wantReport(now)
	}
	return Decision{}
}

// limit applies the rate limit of a workspace.
func (a *Admitter) limit(now time.Time, ws *workspace) Decision {
	inContact := a.inContact(now)
	ws.advance(now, inContact)
	if ws.tokens < 1 {
		return Decision{RateLimited, ws.untilToken()}
	}
	if ws.isUnusual() && a.confirmSince.IsZero() {
		a.confirmSince = now
	}
	if !inContact && !ws.allowsLocally(a.rand.Float64()) {
		return Decision{RateLimited, ws.untilUsual()}
	}
	if !ws.share.admit() {
		return Decision{RateLimited, ws.untilShare(now, a.rand.Float64())}
	}
	return Decision{}
}

// shed applies the share of the calls of one priority to a service.
func (a *Admitter) shed(now time.Time, name string, priority int) Decision {
	if !a.shedding && !a.countServices {
		return Decision{}
	}
	s := a.service(serviceKey{name, priority})
	if a.countServices {
		s.counts.Offered++
		a.wantReport(now)
	}
	if !s.share.limited || now.Sub(a.lastContact) > serviceShareLife || s.share.admit() {
		return Decision{}
	}
	s.counts.Shed++
	return Decision{Shed, shedRetryAfter(s.share.value, a.rand.Float64())}
}

// GiveBack takes back an admitted call that has turned out not to have run.
func (a *Admitter) GiveBack(now time.Time, workspace string) {
	if ws := a.workspaces[workspace]; ws != nil {
		ws.giveBack()
		a.wantReport(now)
	}
}

// Overloaded counts an admitted call for which there was no endpoint with room.
func (a *Admitter) Overloaded(now time.Time, service string, priority int) {
	if a.countServices {
		a.service(serviceKey{service, priority}).counts.Overloaded++
		a.wantReport(now)
	}
}

func (a *Admitter) wantReport(now time.Time) {
	if a.reportAt.IsZero() {
		a.reportAt = now.Add(ReportInterval)
	}
}

// Due returns when the next report is due; zero while there is nothing to report.
func (a *Admitter) Due() time.Time { return a.reportAt }

// Report returns the counts since the last report, if it is due and there are any. If confirm is set, the entry
// requires a contact with control soon.
func (a *Admitter) Report(now time.Time) (report messenger.UsageReport, confirm, ok bool) {
	if a.reportAt.IsZero() || now.Before(a.reportAt) {
		return report, false, false
	}
	a.reportAt = time.Time{}
	for name, ws := range a.workspaces {
		if ws.admitted != 0 || ws.refused != 0 {
			report.Workspaces = append(report.Workspaces, messenger.WorkspaceUsage{Workspace: name, Admitted: ws.admitted, Refused: ws.refused})
			ws.admitted, ws.refused = 0, 0
		}
	}
	if a.countServices {
		report.Services = a.takeServices()
	}
	report.Sort()
	return report, !a.confirmSince.IsZero(), len(report.Workspaces)+len(report.Services) > 0
}

// takeServices returns the counts of services since the last report.
func (a *Admitter) takeServices() []messenger.ServiceUsage {
	var list []messenger.ServiceUsage
	for key, s := range a.services {
		if s.counts.Offered == 0 && s.counts.Overloaded == 0 {
			continue
		}
		s.counts.Service, s.counts.Priority = key.service, key.priority
		list = append(list, s.counts)
		s.counts = messenger.ServiceUsage{}
	}
	return list
}
