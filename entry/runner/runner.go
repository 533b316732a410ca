// Package runner runs one entry: its servers, its stream to control, and its
// planned stop.
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
	"comfreyplank.org/entry/server"
	"comfreyplank.org/shell/narrator"
	"comfreyplank.org/shell/publisher"
)

// Limits of the servers.
const (
	// headerTimeout and idleTimeout are those of the servers for administration; the
	// keeper has those for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is far above what the handler accepts.
	maxHeaderBytes = 8 * server.MaxHeaderBytes
	drainInterval  = 20 * time.Millisecond
	// quietTime is for how long nothing is in flight before idle connections are closed:
	// some ways to a caller and back. It is waited for quietPatience at most, and one part
	// in quietShare of the grace time.
	quietTime     = 250 * time.Millisecond
	quietPatience = 2 * time.Second
	quietShare    = 4
	// waitingInterval is how often a stop that takes long says what it waits for.
	waitingInterval = 2 * time.Second
)

// Settings are what an entry is told at its start.
type Settings struct {
	// Name is unique in the system.
	Name       string
	DataCentre string
	// Listen is the address for callers, and Admin the one for administration.
	Listen string
	Admin  string
	// Control are the addresses of control replicas.
	Control []string
	// AnnounceKey must come with announcements; empty asks for none.
	AnnounceKey string
	// ShutdownNotice is how long the entry serves on after a stop signal, and Grace how long
	// it then waits for requests in flight.
	ShutdownNotice time.Duration
	Grace          time.Duration
}

// Option sets up an entry.
type Option func(*Runner)

// WithDependencies changes the protocols and the balancers of the entry.
func WithDependencies(change func(*dispatcher.Dependencies)) Option {
	return func(r *Runner) { r.change = change }
}

// WithPublicHandler replaces the handler for callers.
func WithPublicHandler(public func(s *server.Server, calls http.Handler) http.Handler) Option {
	return func(r *Runner) { r.public = public }
}

// WithListener serves another address as well.
func WithListener(address string, handler func(s *server.Server) http.Handler) Option {
	return func(r *Runner) { r.listeners = append(r.listeners, listener{address, handler}) }
}

// WithFollowerOptions sets up how the entry follows control.
func WithFollowerOptions(opts ...follower.Option) Option {
	return func(r *Runner) { r.follow = append(r.follow, opts...) }
}

// WithTimelineCapacity sets how many events the time line keeps.
func WithTimelineCapacity(events int) Option { return func(r *Runner) { r.events = events } }

// WithNarrator writes what the entry decides to a log.
func WithNarrator(n *narrator.Narrator) Option { return func(r *Runner) { r.narrator = n } }

// listener is an address that is served besides the usual ones.
type listener struct {
	address string
	handler func(s *server.Server) http.Handler
}

// Runner is a running entry.
type Runner struct {
	settings   Settings
	change     func(*dispatcher.Dependencies)
	public     func(s *server.Server, calls http.Handler) http.Handler
	listeners  []listener
	follow     []follower.Option
	publisher  *publisher.Publisher
	narrator   *narrator.Narrator
	events     int
	dispatcher *dispatcher.Dispatcher
	follower   *follower.Follower
	server     *server.Server
	// keeper holds callers' connections while requests on them are served.
	keeper *keeper.Keeper
	group  sync.WaitGroup
	ctx    context.Context //nolint:containedctx // the life of the instance
	cancel context.CancelFunc
}

// New returns an entry that is not running yet.
func New(s Settings, opts ...Option) *Runner {
	i := &Runner{
		settings: s,
		change:   func(*dispatcher.Dependencies) {},
		public:   func(s *server.Server, calls http.Handler) http.Handler { return s.Public(calls) },
		events:   publisher.DefaultCapacity,
	}
	for _, opt := range opts {
		opt(i)
	}
	i.publisher = publisher.New(s.Name, i.events)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	around := dispatcher.Dependencies{
		Now:     time.Now,
		Start:   i.group.Go,
		Publish: i.publish,
		Claim:   i.claim,
		Count:   counter.New(prometheus.DefaultRegisterer),
	}
	i.change(&around)
	i.dispatcher = dispatcher.New(s.Name+"/"+uuid.NewString(), around)
	i.keeper = keeper.New(i.dispatcher.Timeouts)
	hello := messenger.Hello{Entry: s.Name, DataCentre: s.DataCentre, Admin: s.Admin}
	follow := append([]follower.Option{follower.WithPublish(i.publish)}, i.follow...)
	i.follower = follower.New(i.ctx, &i.group, hello, s.Control, i.dispatcher, i.publisher, follow...)
	i.server = server.New(i.follower, s.AnnounceKey)
	return i
}

// SetControlReplicas tells where control replicas are now.
func (i *Runner) SetControlReplicas(addresses []string) { i.follower.SetReplicas(addresses) }

func (i *Runner) publish(e recorder.Event) {
	now := time.Now()
	i.publisher.Publish(now, e)
	if i.narrator != nil {
		i.narrator.Note(now, e)
	}
}

func (i *Runner) claim(service string, call balancer.CallID, command claimer.Command) {
	i.follower.Claim(service, call, command)
}

// Run serves until the stop context ends and everything in flight has ended.
func (i *Runner) Run(stop context.Context) error {
	public := newServer(i.keeper.Handler(i.public(i.server, i.dispatcher)))
	i.keeper.Watch(public)
	admin := newServer(i.server.Admin(i.publisher))
	publicListener, err := net.Listen("tcp", i.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminListener, err := net.Listen("tcp", i.settings.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for administration")
	}
	others, err := i.listen()
	if err != nil {
		return err
	}
	i.group.Go(func() { i.dispatcher.Run(i.ctx) })
	i.group.Go(func() { i.follower.Run(i.ctx) })
	if i.narrator != nil {
		i.group.Go(func() { i.narrator.Run(i.ctx) })
	}
	i.group.Go(func() { logError("time line", i.publisher.Run(i.ctx)) })
	i.group.Go(func() { logError("callers' server", public.Serve(i.keeper.Listener(publicListener))) })
	i.group.Go(func() { logError("administration server", admin.Serve(adminListener)) })
	i.publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", i.settings.Listen, "admin", i.settings.Admin)
	<-stop.Done()
	err = i.drain(public, publicListener)
	i.cancel()
	for _, s := range append(others, admin, public) {
		_ = s.Close() // nothing of a caller is on it, or its time is over
	}
	if err != nil {
		return err // what is still in flight ends with the process
	}
	i.group.Wait()
	return nil
}

// listen serves the other addresses.
func (i *Runner) listen() ([]*http.Server, error) {
	servers := make([]*http.Server, 0, len(i.listeners))
	for _, l := range i.listeners {
		conn, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		s := newServer(l.handler(i.server))
		servers = append(servers, s)
		i.group.Go(func() { logError("server at "+l.address, s.Serve(conn)) })
	}
	return servers, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func logError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		slog.Error(what+" ended", "error", err)
	}
}

// inFlight returns how much a planned stop waits for, in the balancers and towards callers.
func (i *Runner) inFlight() int { return i.dispatcher.InFlight() + i.keeper.Serving() }

// await lets a planned stop go on until a phase has come.
func (i *Runner) await(d drainer.Drainer, phase drainer.Phase) drainer.Drainer {
	for d.Phase() < phase {
		time.Sleep(drainInterval)
		d = d.Advance(time.Now(), i.inFlight())
	}
	return d
}

// drain carries out the planned stop: unready, serving on, then finishing.
func (i *Runner) drain(public *http.Server, listener net.Listener) error {
	slog.Info("stopping", "notice", i.settings.ShutdownNotice)
	i.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "readiness fails, still serving"})
	i.server.Stop()
	d := drainer.New(i.settings.ShutdownNotice).WithIdleWait(quietTime, min(quietPatience, i.settings.Grace/quietShare)).WithStop(time.Now())
	d = i.await(d, drainer.PhaseAwaitingIdle)
	_ = listener.Close() // no new connections are taken any more
	d = i.await(d, drainer.PhaseFinishing)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Grace)
	defer cancel()
	if err := public.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "requests were still in flight")
	}
	told := time.Now()
	for d.Phase() != drainer.PhaseDone || !i.follower.Settled() {
		if ctx.Err() != nil {
			return errors.New("attempts or claims were still in flight")
		}
		if now := time.Now(); now.Sub(told) >= waitingInterval {
			told = now
			slog.Info("waiting to stop", "in-flight", i.dispatcher.InFlight(), "serving", i.keeper.Serving(), "commands", i.follower.Waiting())
		}
		time.Sleep(drainInterval)
		d = d.Advance(time.Now(), i.inFlight())
	}
	i.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "nothing in flight"})
	slog.Info("stopped")
	return nil
}
