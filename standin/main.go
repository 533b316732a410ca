// Program standin runs stand-in endpoints for tests, demonstrations and load tests.
package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"comfreyplank.org/standin/responder"
)

// settings holds the command-line flags.
type settings struct {
	Service     string   `long:"service" required:"true" description:"service of the endpoints"`
	Count       int      `long:"count" default:"1" description:"number of endpoints"`
	First       string   `long:"first" required:"true" description:"IP address and port of the first endpoint; the others follow"`
	DataCentre  string   `long:"data-centre" default:"dc-1" description:"data centre of the endpoints"`
	Slots       int      `long:"slots" default:"6" description:"slots of an endpoint"`
	Connections int      `long:"connections" default:"250" description:"connections of an endpoint"`
	ServiceMs   float64  `long:"service-ms" default:"6" description:"mean service time in ms"`
	Name        string   `long:"name" description:"name of the first endpoint, instead of the service and a number"`
	Spread      float64  `long:"spread" default:"1" description:"part of the service time that varies"`
	Queue       int      `long:"queue" default:"100" description:"requests that may wait at an endpoint"`
	Limit       string   `long:"limit" description:"requests per second that each endpoint names as its limit for all entries together"`
	WarmUp      float64  `long:"warm-up" description:"seconds from its start for which each endpoint says that it is in warm-up"`
	Leaving     bool     `long:"leaving" description:"each endpoint says in its responses that it leaves"`
	Pause       float64  `long:"pause" description:"seconds that each endpoint asks for as a pause with the requests that it refuses by --pause-share"`
	PauseShare  float64  `long:"pause-share" description:"share of requests, from 0 to 1, that each endpoint refuses in order to get a pause"`
	Record      string   `long:"record" description:"file that gets the key of each run, also for a process that is killed"`
	Entries     []string `long:"entry" description:"address of an entry that takes announcements; may be repeated"`
}

func main() { os.Exit(run()) }

func run() int {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		return 2
	}
	if s.Pause < 0 || s.PauseShare < 0 || s.PauseShare > 1 {
		fmt.Fprintln(os.Stderr, "standin: --pause must not be negative, and --pause-share must be from 0 to 1")
		return 2
	}
	first, err := netip.ParseAddrPort(s.First)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	var record io.Writer
	if s.Record != "" {
		file, err := os.OpenFile(s.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			return 1
		}
		defer func() { _ = file.Close() }() // writes are not buffered
		record = file
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var group sync.WaitGroup
	for i := range s.Count {
		r, err := responder.New(s.endpoint(first, i, record))
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			return 1
		}
		group.Go(func() { r.Run(ctx) })
	}
	group.Wait()
	return 0
}

func (s settings) endpoint(first netip.AddrPort, i int, record io.Writer) responder.Settings {
	b := responder.Default()
	b.ServiceMs = s.ServiceMs
	b.Spread = s.Spread
	b.QueueLimit = s.Queue
	b.Limit = s.Limit
	port := first.Port() + uint16(i)
	name := fmt.Sprintf("%s-%d", s.Service, i+1)
	if s.Name != "" && i == 0 {
		name = s.Name
	}
	return responder.Settings{
		Service:     s.Service,
		Endpoint:    name,
		Address:     netip.AddrPortFrom(first.Addr(), port).String(),
		DataCentre:  s.DataCentre,
		Slots:       s.Slots,
		Connections: s.Connections,
		Entries:     s.Entries,
		Behaviour:   b,
		WarmUp:      time.Duration(s.WarmUp * float64(time.Second)),
		Wishes:      responder.Wishes{Leaving: s.Leaving, PauseShare: s.PauseShare, Pause: time.Duration(s.Pause * float64(time.Second))},
		Record:      record,
	}
}
