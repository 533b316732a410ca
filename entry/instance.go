package main

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
	"comfreyplank.org/entry/server"
	"comfreyplank.org/shell/publisher"
)

// Limits of the servers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is far above what the handler accepts.
	maxHeaderBytes = 8 * server.MaxHeaderBytes
	drainInterval  = 20 * time.Millisecond
)

// instance is a running entry.
type instance struct {
	settings   settings
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	follower   *follower.Follower
	server     *server.Server
	group      sync.WaitGroup
	ctx        context.Context //nolint:containedctx // the life of the instance
	cancel     context.CancelFunc
}

func newInstance(s settings) *instance {
	i := &instance{settings: s, publisher: publisher.New(s.Name, publisher.DefaultCapacity)}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.dispatcher = dispatcher.New(s.Name+"/"+uuid.NewString(), dispatcher.Surroundings{
		Now:     time.Now,
		Start:   i.group.Go,
		Publish: i.publish,
		Claim:   i.claim,
		Count:   counter.New(prometheus.DefaultRegisterer),
	})
	hello := messenger.Hello{Entry: s.Name, DataCentre: s.DataCentre, Admin: s.Admin}
	i.follower = follower.New(i.ctx, &i.group, hello, s.Control, i.dispatcher, i.publisher, follower.WithPublish(i.publish))
	i.server = server.New(i.follower, s.AnnounceKey)
	return i
}

func (i *instance) publish(e recorder.Event) { i.publisher.Publish(time.Now(), e) }

func (i *instance) claim(service string, call balancer.CallID, command claimer.Command) {
	i.follower.Claim(service, call, command)
}

// run serves until the stop context ends and everything in flight has ended.
func (i *instance) run(stop context.Context) error {
	public := newServer(i.server.Public(i.dispatcher))
	admin := newServer(i.server.Admin(i.publisher))
	publicListener, err := net.Listen("tcp", i.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	adminListener, err := net.Listen("tcp", i.settings.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for administration")
	}
	i.group.Go(func() { i.dispatcher.Run(i.ctx) })
	i.group.Go(func() { i.follower.Run(i.ctx) })
	i.group.Go(func() { logError("time line", i.publisher.Run(i.ctx)) })
	i.group.Go(func() { logError("callers' server", public.Serve(publicListener)) })
	i.group.Go(func() { logError("administration server", admin.Serve(adminListener)) })
	i.publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", i.settings.Listen, "admin", i.settings.Admin)
	<-stop.Done()
	err = i.drain(public)
	i.cancel()
	_ = admin.Close() // nothing of a caller is on it
	i.group.Wait()
	return err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func logError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		slog.Error(what+" ended", "error", err)
	}
}

// drain carries out the planned stop: unready, serving on, then finishing.
func (i *instance) drain(public *http.Server) error {
	slog.Info("stopping", "notice", i.settings.Notice)
	i.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "readiness fails, still serving"})
	i.server.Stop()
	d := drainer.New(i.settings.Notice).WithStop(time.Now())
	for d.Phase() == drainer.PhaseNoticing {
		time.Sleep(drainInterval)
		d = d.With(time.Now(), i.dispatcher.InFlight())
	}
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Grace)
	defer cancel()
	if err := public.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "requests were still in flight")
	}
	for d.Phase() != drainer.PhaseDone || !i.follower.Settled() {
		if ctx.Err() != nil {
			return errors.New("attempts or claims were still in flight")
		}
		time.Sleep(drainInterval)
		d = d.With(time.Now(), i.dispatcher.InFlight())
	}
	i.publish(recorder.Event{Kind: recorder.KindShutdown, Detail: "nothing in flight"})
	slog.Info("stopped")
	return nil
}
