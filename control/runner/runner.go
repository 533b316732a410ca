// Package runner runs one control replica: it starts the driver, the server of the streams and
// the operators' server, and shuts them down in order at a planned stop.
package runner

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"comfreyplank.org/control/console"
	"comfreyplank.org/control/counter"
	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/operator"
	"comfreyplank.org/control/server"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/completer"
	"comfreyplank.org/shell/dater"
	"comfreyplank.org/shell/narrator"
	"comfreyplank.org/shell/publisher"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	pollInterval   = 20 * time.Millisecond
)

// Settings configure a replica.
type Settings struct {
	// Name is unique in the system, and stays the same when the disk is replaced.
	Name string
	// Listen is the address for entries and replicas, and Admin the address for operators and
	// metrics.
	Listen, Admin string
	// Advertise is the address at which entries and other replicas reach this one. If it is
	// empty, that is Listen.
	Advertise string
	// Data is the data folder.
	Data string
	// Peers are the replicas that bootstrap the system, this one included. Without peers, the
	// replica forms a system of its own.
	Peers []replicator.Member
	// Grace is how long a planned stop may take; zero selects DefaultGrace.
	Grace time.Duration
	// OperatorKey is the key that changes must carry. If it is empty, they need none.
	OperatorKey string
}

// Option configures a Runner.
type Option func(*options)

type options struct {
	narrator  *narrator.Narrator
	driver    []driver.Option
	listeners []listener
}

// listener is an address to serve by HTTP, with its handler.
type listener struct {
	address string
	handler func(d *driver.Driver) http.Handler
}

// WithDriverOptions adds options of the replica's driver.
func WithDriverOptions(opts ...driver.Option) Option {
	return func(o *options) { o.driver = append(o.driver, opts...) }
}

// WithNarrator passes the events of the replica to n, which logs them.
func WithNarrator(n *narrator.Narrator) Option { return func(o *options) { o.narrator = n } }

// WithListener adds another address to serve.
func WithListener(address string, handler func(d *driver.Driver) http.Handler) Option {
	return func(o *options) { o.listeners = append(o.listeners, listener{address, handler}) }
}

// Runner runs one control replica.
type Runner struct {
	settings Settings
	options  options
	group    sync.WaitGroup
}

// New returns a runner. The replica starts with Run.
func New(s Settings, opts ...Option) *Runner {
	r := &Runner{settings: s}
	for _, opt := range opts {
		opt(&r.options)
	}
	return r
}

// Run runs the replica until the stop context ends or the driver fails. In the first case it
// transfers the leadership and lets requests in flight complete before it returns.
func (r *Runner) Run(stop context.Context) error {
	s := r.settings
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := publisher.New(s.Name, publisher.DefaultCapacity)
	metrics := counter.New(prometheus.DefaultRegisterer)
	publish := r.newEventSink(ctx, events, metrics)
	driverOptions := append([]driver.Option{driver.WithPeers(s.Peers), driver.WithPublish(publish), driver.WithRequestObserver(metrics.Request)}, r.options.driver...)
	d, err := driver.New(&r.group, events, s.Data, s.Name, cmp.Or(s.Advertise, s.Listen), driverOptions...)
	if err != nil {
		return err
	}
	counter.ObserveLimits(prometheus.DefaultRegisterer, d.LimitTotals)
	counter.ObserveEvacuations(prometheus.DefaultRegisterer, d.EvacuatedCount)
	counter.ObserveWorkspaces(prometheus.DefaultRegisterer, d.LimitedWorkspaces)
	counter.ObserveWarmUps(prometheus.DefaultRegisterer, d.WarmUpCount)
	streamListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	operators := operator.New(d, events, s.OperatorKey)
	servers, err := r.serve(d, adminHandler(operators, console.New(d, operators, events, s.OperatorKey)))
	if err != nil {
		return err
	}
	streams := server.New(d, events)
	failed := make(chan error, 1)
	r.group.Go(func() { failed <- d.Run(ctx) })
	r.group.Go(func() { logError("event timeline", events.Run(ctx)) })
	r.group.Go(func() { logError("streams", streams.Serve(streamListener)) })
	publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", s.Listen, "admin", s.Admin, "data", s.Data)
	select {
	case <-stop.Done():
		parts := divideGrace(cmp.Or(s.Grace, DefaultGrace))
		transferLeadership(d, parts.transfer)
		shutDown(servers, parts.requests)
	case err = <-failed:
	}
	cancel()
	for _, server := range servers {
		_ = server.Close() // operators can use another replica
	}
	streams.Stop()
	r.group.Wait()
	slog.Info("stopped")
	return err
}

// newEventSink returns a function that adds an event to the timeline and to the metrics, and
// passes it to the narrator if there is one. The narrator runs until ctx ends.
func (r *Runner) newEventSink(ctx context.Context, events *publisher.Publisher, metrics *counter.Counter) func(recorder.Event) {
	n := r.options.narrator
	if n != nil {
		r.group.Go(func() { n.Run(ctx) })
	}
	return func(e recorder.Event) {
		now := time.Now()
		events.Publish(now, e)
		metrics.Event(e.Kind)
		if n != nil {
			n.Log(now, e)
		}
	}
}

// serve starts the servers of the operators' address and of the additional listeners.
func (r *Runner) serve(d *driver.Driver, admin http.Handler) ([]*http.Server, error) {
	addresses := append([]listener{{r.settings.Admin, func(*driver.Driver) http.Handler { return admin }}}, r.options.listeners...)
	servers := make([]*http.Server, 0, len(addresses))
	for _, l := range addresses {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		s := newServer(l.handler(d))
		servers = append(servers, s)
		r.group.Go(func() { logError("server at "+l.address, s.Serve(ln)) })
	}
	return servers, nil
}

// newServer returns a server of which no request ends without a response, and whose requests can be dated.
func newServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: completer.Handler(h), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	dater.New(time.Now).Observe(s)
	return s
}

func adminHandler(o *operator.Operator, c *console.Console) http.Handler {
	r := chi.NewRouter()
	o.Register(r)
	c.Register(r)
	return r
}

func logError(component string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		slog.Error(component+" ended", "error", err)
	}
}
