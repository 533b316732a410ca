// Package runner runs one control replica: its journals, its streams, its operators'
// server, and its planned stop.
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
	"comfreyplank.org/shell/narrator"
	"comfreyplank.org/shell/publisher"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// handOverWait is how long leadership may take to move before a planned stop.
	handOverWait = 2 * time.Second
	// finishWait is how long operators' requests may take to end at a planned stop.
	finishWait   = time.Second
	pollInterval = 20 * time.Millisecond
)

// Settings are what a replica is told at its start.
type Settings struct {
	// Name is unique in the system, and stays when the disk is replaced.
	Name string
	// Listen is the address for entries and replicas, and Admin the one for operators
	// and metrics.
	Listen, Admin string
	// Advertise is where others reach this replica; empty means at Listen.
	Advertise string
	// Data is the data folder.
	Data string
	// Peers are the replicas of the first set.
	Peers []replicator.Member
	// OperatorKey must come with changes; empty asks for none.
	OperatorKey string
}

// Option sets up a replica.
type Option func(*options)

type options struct {
	narrator  *narrator.Narrator
	driver    []driver.Option
	listeners []listener
}

// listener is an address that is served besides the usual ones.
type listener struct {
	address string
	handler func(d *driver.Driver) http.Handler
}

// WithDriverOptions sets up the driver of the replica.
func WithDriverOptions(opts ...driver.Option) Option {
	return func(o *options) { o.driver = append(o.driver, opts...) }
}

// WithNarrator writes what the replica decides to a log.
func WithNarrator(n *narrator.Narrator) Option { return func(o *options) { o.narrator = n } }

// WithListener serves another address as well.
func WithListener(address string, handler func(d *driver.Driver) http.Handler) Option {
	return func(o *options) { o.listeners = append(o.listeners, listener{address, handler}) }
}

// Runner is a control replica.
type Runner struct {
	settings Settings
	options  options
	group    sync.WaitGroup
}

// New returns a replica that is not running yet.
func New(s Settings, opts ...Option) *Runner {
	r := &Runner{settings: s}
	for _, opt := range opts {
		opt(&r.options)
	}
	return r
}

// Run runs the replica until the stop context ends.
func (r *Runner) Run(stop context.Context) error {
	s := r.settings
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := publisher.New(s.Name, publisher.DefaultCapacity)
	count := counter.New(prometheus.DefaultRegisterer)
	publish := r.publishTo(ctx, events, count)
	set := append([]driver.Option{driver.WithPeers(s.Peers), driver.WithPublish(publish), driver.WithTimes(count.Request)}, r.options.driver...)
	d, err := driver.New(&r.group, events, s.Data, s.Name, cmp.Or(s.Advertise, s.Listen), set...)
	if err != nil {
		return err
	}
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
	r.group.Go(func() { logError("time line", events.Run(ctx)) })
	r.group.Go(func() { logError("streams", streams.Serve(streamListener)) })
	publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", s.Listen, "admin", s.Admin, "data", s.Data)
	select {
	case <-stop.Done():
		handOver(d)
		finish(servers)
	case err = <-failed:
	}
	cancel()
	for _, server := range servers {
		_ = server.Close() // operators come back to another replica
	}
	streams.Stop()
	r.group.Wait()
	slog.Info("stopped")
	return err
}

// publishTo returns where events go: to the time line and the metrics, and to the log
// where it is wanted.
func (r *Runner) publishTo(ctx context.Context, events *publisher.Publisher, count *counter.Counter) func(recorder.Event) {
	n := r.options.narrator
	if n != nil {
		r.group.Go(func() { n.Run(ctx) })
	}
	return func(e recorder.Event) {
		now := time.Now()
		events.Publish(now, e)
		count.Event(e.Kind)
		if n != nil {
			n.Log(now, e)
		}
	}
}

// serve serves the operators' address and the other ones.
func (r *Runner) serve(d *driver.Driver, admin http.Handler) ([]*http.Server, error) {
	addresses := append([]listener{{r.settings.Admin, func(*driver.Driver) http.Handler { return admin }}}, r.options.listeners...)
	servers := make([]*http.Server, 0, len(addresses))
	for _, l := range addresses {
		conn, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		s := &http.Server{Handler: l.handler(d), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
		servers = append(servers, s)
		r.group.Go(func() { logError("server at "+l.address, s.Serve(conn)) })
	}
	return servers, nil
}

// finish answers what operators have asked already.
func finish(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			slog.Warn("operators' requests were cut off", "error", err)
		}
	}
}

func adminHandler(o *operator.Operator, c *console.Console) http.Handler {
	r := chi.NewRouter()
	o.Register(r)
	c.Register(r)
	return r
}

func logError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		slog.Error(what+" ended", "error", err)
	}
}

// handOver gives leadership away, as long as another replica can take it.
func handOver(d *driver.Driver) {
	slog.Info("stopping")
	d.HandOver()
	end := time.Now().Add(handOverWait)
	for time.Now().Before(end) {
		status := d.Status()
		if status.Role != "leader" || len(status.Members) < 2 {
			return
		}
		time.Sleep(pollInterval)
	}
}
