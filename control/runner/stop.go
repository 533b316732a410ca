package runner

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"comfreyplank.org/control/driver"
)

// DefaultGrace is how long a planned stop of a replica may take unless the settings say otherwise.
const DefaultGrace = 6 * time.Second

// Limits of the parts of a planned stop, each also a share of the grace time: together the shares leave
// a quarter of it for ending the streams.
const (
	// maxTransferTime limits the wait for another leader, and maxRequestTime the wait for
	// operators' requests in flight.
	maxTransferTime = 2 * time.Second
	maxRequestTime  = time.Second
	transferShare   = 2
	requestShare    = 4
)

// stopParts are the parts of a planned stop, one after the other.
type stopParts struct{ transfer, requests time.Duration }

// divideGrace divides the grace time of a planned stop.
func divideGrace(grace time.Duration) stopParts {
	return stopParts{transfer: min(maxTransferTime, grace/transferShare), requests: min(maxRequestTime, grace/requestShare)}
}

// transferLeadership asks the driver to transfer the leadership of both logs, and waits until
// this replica no longer leads the configuration log, for at most the given time. It does not wait if
// there is no other replica.
func transferLeadership(d *driver.Driver, timeout time.Duration) {
	slog.Info("stopping")
	d.TransferLeadership()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		status := d.Status()
		if status.Role != "leader" || len(status.Members) < 2 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// shutDown waits until the requests in flight have completed, for at most the given time.
func shutDown(servers []*http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			slog.Warn("operators' requests did not complete in time", "error", err)
		}
	}
}
