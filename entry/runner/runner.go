// Package runner runs one entry: its servers, its stream to control, and its planned stop.
package runner

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/drainer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/entry/counter"
	"comfreyplank.org/entry/dispatcher"
	"comfreyplank.org/entry/follower"
	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/entry/pipeliner"
	"comfreyplank.org/entry/receiver"
	"comfreyplank.org/entry/regulator"
	"comfreyplank.org/entry/server"
	"comfreyplank.org/shell/completer"
	"comfreyplank.org/shell/narrator"
	"comfreyplank.org/shell/publisher"
)

// Limits of the servers and timing of a planned stop.
const (
	// headerTimeout and idleTimeout apply to the administration servers; the keeper sets those
	// for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is far above the limit of the handler, so that the handler refuses first.
	maxHeaderBytes = 8 * server.MaxHeaderBytes
	drainInterval  = 20 * time.Millisecond
	// idleTime is how long nothing must be in flight before idle connections are closed:
	// several round trips to a caller. The stop waits for that at most maxIdleWait, and at
	// most one part in idleShare of the grace time.
	idleTime    = 250 * time.Millisecond
	maxIdleWait = 2 * time.Second
	idleShare   = 4
	// progressLogInterval is how often a long stop logs what it waits for.
	progressLogInterval = 2 * time.Second
)

// Settings configures an entry.
type Settings struct {
	// Name is unique in the system.
	Name       string
	DataCentre string
	// Listen is the address for callers, and Admin the one for administration.
	Listen string
	Admin  string
	// Control holds the addresses of control replicas.
	Control []string
	// AnnounceKey must come with announcements; if empty, none is required.
	AnnounceKey string
	// ShutdownNotice is how long the entry serves on after a stop signal, and Grace how long after
	// that it has ended at the latest, with or without requests in flight.
	ShutdownNotice time.Duration
	Grace          time.Duration
}

// Option configures an entry.
type Option func(*Runner)

// WithDependencies changes the protocols and the balancer options of the entry.
func WithDependencies(configure func(*dispatcher.Dependencies)) Option {
	return func(r *Runner) { r.configure = configure }
}

// WithPublicHandler replaces the handler for callers.
func WithPublicHandler(public func(s *server.Server, calls http.Handler) http.Handler) Option {
	return func(r *Runner) { r.public = public }
}

// WithListener serves a further address.
func WithListener(address string, handler func(s *server.Server) http.Handler) Option {
	return func(r *Runner) { r.extraListeners = append(r.extraListeners, extraListener{address, handler}) }
}

// WithFollowerOptions configures how the entry follows control.
func WithFollowerOptions(opts ...follower.Option) Option {
	return func(r *Runner) { r.followerOptions = append(r.followerOptions, opts...) }
}

// WithRegulatorOptions configures how the entry admits calls.
func WithRegulatorOptions(opts ...regulator.Option) Option {
	return func(r *Runner) { r.regulatorOptions = append(r.regulatorOptions, opts...) }
}

// WithTimelineCapacity sets how many events the timeline keeps.
func WithTimelineCapacity(timelineCapacity int) Option {
	return func(r *Runner) { r.timelineCapacity = timelineCapacity }
}

// WithPipelining runs requests concurrently that callers pipeline on one connection, where they may be repeated.
func WithPipelining() Option { return func(r *Runner) { r.pipelining = true } }

// WithNarrator logs the entry's decisions.
func WithNarrator(n *narrator.Narrator) Option { return func(r *Runner) { r.narrator = n } }

// extraListener is an address served besides the public and the administration address.
type extraListener struct {
	address string
	handler func(s *server.Server) http.Handler
}

// Runner runs one entry.
type Runner struct {
	settings         Settings
	configure        func(*dispatcher.Dependencies)
	public           func(s *server.Server, calls http.Handler) http.Handler
	extraListeners   []extraListener
	followerOptions  []follower.Option
	regulatorOptions []regulator.Option
	publisher        *publisher.Publisher
	narrator         *narrator.Narrator
	timelineCapacity int
	dispatcher       *dispatcher.Dispatcher
	follower         *follower.Follower
	regulator        *regulator.Regulator
	server           *server.Server
	// keeper keeps callers' connections open while requests on them are served.
	keeper     *keeper.Keeper
	pipelining bool
	// pipeliner starts pipelined requests ahead; nil without pipelining.
	pipeliner *pipeliner.Pipeliner
	group     sync.WaitGroup
	ctx       context.Context //nolint:containedctx // ends with the process
	cancel    context.CancelFunc
}

// New returns an entry that is not running yet.
func New(s Settings, opts ...Option) *Runner {
	r := &Runner{
		settings:         s,
		configure:        func(*dispatcher.Dependencies) {},
		public:           func(s *server.Server, calls http.Handler) http.Handler { return s.Public(calls) },
		timelineCapacity: publisher.DefaultCapacity,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.publisher = publisher.New(s.Name, r.timelineCapacity)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	metrics := counter.New(prometheus.DefaultRegisterer)
	r.regulator = regulator.New(
		func(report messenger.UsageReport, confirm bool) { r.follower.ReportUsage(report, confirm) },
		append([]regulator.Option{regulator.WithPublish(r.publish), regulator.WithMetrics(metrics)}, r.regulatorOptions...)...,
	)
	deps := dispatcher.Dependencies{
		Now:     time.Now,
		Start:   r.group.Go,
		Publish: r.publish,
		Claim:   r.claim,
		RequestPermits: func(service string, wanted balancer.RequestPermits) {
			r.follower.RequestPermits(service, wanted)
		},
		Admission: r.regulator,
		Counter:   metrics,
	}
	r.configure(&deps)
	r.dispatcher = dispatcher.New(s.Name+"/"+uuid.NewString(), deps)
	r.keeper = keeper.New(r.dispatcher.Timeouts)
	if r.pipelining {
		r.pipeliner = pipeliner.New(r.group.Go, r.dispatcher.MayRunAhead, pipeliner.WithCounter(metrics))
	}
	hello := messenger.Hello{Entry: s.Name, DataCentre: s.DataCentre, Admin: s.Admin}
	followerOptions := append([]follower.Option{follower.WithPublish(r.publish), follower.WithRegulator(r.regulator)}, r.followerOptions...)
	r.follower = follower.New(r.ctx, &r.group, hello, s.Control, r.dispatcher, r.publisher, followerOptions...)
	r.server = server.New(r.follower, s.AnnounceKey)
	return r
}

// SetControlReplicas replaces the addresses of the control replicas.
func (r *Runner) SetControlReplicas(addresses []string) { r.follower.SetReplicas(addresses) }

func (r *Runner) publish(e recorder.Event) {
	now := time.Now()
	r.publisher.Publish(now, e)
	if r.narrator != nil {
		r.narrator.Log(now, e)
	}
}

func (r *Runner) claim(service string, call balancer.CallID, command claimer.Command) {
	r.follower.Claim(service, call, command)
}

// Run serves until the stop context ends and everything in flight has ended.
func (r *Runner) Run(stop context.Context) error {
	public, keepOpen := r.publicServer()
	admin := newServer(r.server.Admin(r.publisher))
	publicListener, err := net.Listen("tcp", r.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminListener, err := net.Listen("tcp", r.settings.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for administration")
	}
	extra, err := r.serveExtra()
	if err != nil {
		return err
	}
	r.group.Go(func() { r.dispatcher.Run(r.ctx) })
	r.group.Go(func() { r.follower.Run(r.ctx) })
	r.group.Go(func() { r.regulator.Run(r.ctx) })
	if r.narrator != nil {
		r.group.Go(func() { r.narrator.Run(r.ctx) })
	}
	r.group.Go(func() { logError("timeline", r.publisher.Run(r.ctx)) })
	r.group.Go(func() { logError("public server", public.Serve(keepOpen(publicListener))) })
	r.group.Go(func() { logError("administration server", admin.Serve(adminListener)) })
	r.publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", r.settings.Listen, "admin", r.settings.Admin)
	<-stop.Done()
	err = r.drain(public, publicListener)
	r.cancel()
	for _, s := range append(extra, admin, public) {
		_ = s.Close() // either no caller uses it any more, or the grace time is over
	}
	if err != nil {
		return err // requests still in flight end with the process
	}
	r.group.Wait()
	return nil
}

// publicServer returns the server for callers, and what its listener is wrapped in.
func (r *Runner) publicServer() (*http.Server, func(net.Listener) net.Listener) {
	h := receiver.Handler(r.public(r.server, r.dispatcher))
	if r.pipeliner == nil {
		s := newServer(r.keeper.Handler(h))
		r.keeper.Configure(s)
		return s, r.keeper.Listener
	}
	s := newServer(r.keeper.Handler(r.pipeliner.Handler(h)))
	r.keeper.Configure(s)
	r.pipeliner.Configure(s)
	return s, func(l net.Listener) net.Listener { return r.keeper.Listener(r.pipeliner.Listener(l)) }
}

// serveExtra serves the addresses set by WithListener.
func (r *Runner) serveExtra() ([]*http.Server, error) {
	servers := make([]*http.Server, 0, len(r.extraListeners))
	for _, l := range r.extraListeners {
		conn, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		s := newServer(l.handler(r.server))
		servers = append(servers, s)
		r.group.Go(func() { logError("server at "+l.address, s.Serve(conn)) })
	}
	return servers, nil
}

// newServer returns a server of which no request ends without a response.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: completer.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func logError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		slog.Error(what+" ended", "error", err)
	}
}

// inFlight returns how many calls, attempts and requests a planned stop waits for, in the
// balancers and on callers' connections.
func (r *Runner) inFlight() int {
	return r.dispatcher.InFlight() + r.keeper.Serving() + r.waitingAhead()
}

// waitingAhead returns how many pipelined requests were started ahead and wait for their turn.
func (r *Runner) waitingAhead() int {
	if r.pipeliner == nil {
		return 0
	}
	return r.pipeliner.Waiting()
}

// awaitPhase advances a planned stop until it reaches the given phase.
func (r *Runner) awaitPhase(d drainer.Drainer, phase drainer.Phase) drainer.Drainer {
	for d.Phase() < phase {
		time.Sleep(drainInterval)
		d = d.Advance(time.Now(), r.inFlight())
	}
	return d
}

// newDrainer returns the drainer of a planned stop. The wait for an idle moment is a part of the grace
// time.
func (r *Runner) newDrainer() drainer.Drainer {
	notice, grace := r.settings.ShutdownNotice, r.settings.Grace
	return drainer.New(notice).WithIdleWait(idleTime, min(maxIdleWait, grace/idleShare)).WithTotal(notice + grace)
}

// drain carries out the planned stop: it fails the readiness check, serves on for a while, and
// then waits for requests in flight.
func (r *Runner) drain(public *http.Server, listener net.Listener) error {
	slog.Info("stopping", "notice", r.settings.ShutdownNotice)
	r.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "readiness fails, still serving"})
	r.server.Stop()
	if r.pipeliner != nil {
		r.pipeliner.Stop()
	}
	d := r.newDrainer().WithStop(time.Now())
	r.dispatcher.Stop(d)
	d = r.awaitPhase(d, drainer.PhaseAwaitingIdle)
	_ = listener.Close() // stops accepting connections
	d = r.awaitPhase(d, drainer.PhaseFinishing)
	ctx, cancel := context.WithDeadline(context.Background(), d.End())
	defer cancel()
	// From the shutdown on the server closes each connection after its next response, so no request may wait behind it.
	for r.waitingAhead() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
	if err := public.Shutdown(ctx); err != nil && r.inFlight() > 0 { // connections without a request don't count
		return errors.Wrap(err, "requests still in flight when the grace time ended")
	}
	if err := r.awaitEnd(ctx, d); err != nil {
		return err
	}
	r.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "nothing in flight"})
	slog.Info("stopped")
	return nil
}

// awaitEnd waits until nothing is in flight, at most until the context ends.
func (r *Runner) awaitEnd(ctx context.Context, d drainer.Drainer) error {
	lastLogged := time.Now()
	for {
		d = d.Advance(time.Now(), r.inFlight())
		if d.Phase() == drainer.PhaseDone && r.follower.CommandsDone() {
			return nil
		}
		if ctx.Err() != nil {
			return errors.New("attempts or claims still in flight when the grace time ended")
		}
		if now := time.Now(); now.Sub(lastLogged) >= progressLogInterval {
			lastLogged = now
			slog.Info("waiting to stop", "in-flight", r.dispatcher.InFlight(), "serving", r.keeper.Serving(), "commands", r.follower.PendingCommands())
		}
		time.Sleep(drainInterval)
	}
}
