package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"comfreyplank.org/control/console"
	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/operator"
	"comfreyplank.org/control/server"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/shell/publisher"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// handOverWait is how long leadership may take to move before a planned stop.
	handOverWait = 2 * time.Second
	pollInterval = 20 * time.Millisecond
)

// serve runs a replica until the stop context ends.
func serve(stop context.Context, s settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	events := publisher.New(s.Name, publisher.DefaultCapacity)
	publish := func(e recorder.Event) { events.Publish(time.Now(), e) }
	d, err := driver.New(&group, events, s.Data, s.Name, s.Listen, driver.WithPeers(s.members()), driver.WithPublish(publish))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	adminListener, err := net.Listen("tcp", s.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	streams := server.New(d, events)
	operators := operator.New(d, events, s.OperatorKey)
	admin := adminServer(operators, console.New(d, operators, events, s.OperatorKey))
	failed := make(chan error, 1)
	group.Go(func() { failed <- d.Run(ctx) })
	group.Go(func() { logError("time line", events.Run(ctx)) })
	group.Go(func() { logError("streams", streams.Serve(listener)) })
	group.Go(func() { logError("operators' server", admin.Serve(adminListener)) })
	publish(recorder.Event{Kind: recorder.KindStarted})
	slog.Info("serving", "listen", s.Listen, "admin", s.Admin, "data", s.Data)
	select {
	case <-stop.Done():
		handOver(d)
	case err = <-failed:
	}
	cancel()
	_ = admin.Close() // operators come back to another replica
	streams.Stop()
	group.Wait()
	slog.Info("stopped")
	return err
}

func adminServer(o *operator.Operator, c *console.Console) *http.Server {
	r := chi.NewRouter()
	o.Register(r)
	c.Register(r)
	return &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
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
