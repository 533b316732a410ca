package driver

import (
	"context"
	"time"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// submit passes a request to the state machine under a new number, and waits for the reply.
func submit[R any](ctx context.Context, d *Driver, name string, pending map[uint64]chan R, newInput func(number uint64) controller.Input) (R, error) {
	start := time.Now()
	defer func() { d.time(name, time.Since(start)) }()
	replies := make(chan R, 1)
	d.mu.Lock()
	d.lastRequest++
	pending[d.lastRequest] = replies
	d.step(newInput(d.lastRequest))
	d.mu.Unlock()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		var zero R
		return zero, ctx.Err()
	}
}

// Apply proposes a change and waits for its outcome. It sets the Request field of the change.
func (d *Driver) Apply(ctx context.Context, change controller.Apply) (controller.ApplyReply, error) {
	return submit(ctx, d, "apply", d.pendingApplies, func(number uint64) controller.Input {
		change.Request = number
		return change
	})
}

// Evacuate begins or finishes the evacuation of a data centre and waits for its outcome. It sets the Request field of the
// order.
func (d *Driver) Evacuate(ctx context.Context, order controller.Evacuate) (controller.EvacuateReply, error) {
	reply, err := submit(ctx, d, "evacuate", d.pendingOrders, func(number uint64) controller.Input {
		order.Request = number
		return order
	})
	if err != nil {
		d.handle(controller.Withdraw{Request: order.Request})
	}
	return reply, err
}

// ReadDocument returns the current configuration. The reply states whether a quorum confirmed it.
func (d *Driver) ReadDocument(ctx context.Context) (controller.DocumentReply, error) {
	return submit(ctx, d, "read", d.pendingReads, func(number uint64) controller.Input {
		return controller.ReadDocument{Request: number}
	})
}

// Announce handles an announcement that an endpoint sent to this replica, and reports whether the
// system can no longer lose it.
func (d *Driver) Announce(ctx context.Context, a registrar.Announcement) (bool, error) {
	reply, err := submit(ctx, d, "announce", d.pendingAnnounces, func(number uint64) controller.Input {
		return controller.Announce{Request: number, Announcement: a}
	})
	return reply.Accepted, err
}

// TransferLeadership hands the leadership of both logs to other replicas before a planned stop,
// as far as this replica leads them.
func (d *Driver) TransferLeadership() { d.handle(controller.TransferLeadership{}) }

// Status returns the current status of the replica.
func (d *Driver) Status() controller.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.Status(time.Now())
}

// LimitTotals returns the number of limits that the replica knows and how many permits it has issued.
func (d *Driver) LimitTotals() (limits int, issued uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.LimitTotals()
}

// EvacuatedCount returns the number of evacuated data centres, as far as the replica knows.
func (d *Driver) EvacuatedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.EvacuatedCount()
}

// LimitedWorkspaces returns the number of workspaces that are at their rate limits.
func (d *Driver) LimitedWorkspaces() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.LimitedWorkspaces()
}

// WarmUpCount returns the number of endpoints in warm-up, as far as the replica knows.
func (d *Driver) WarmUpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.WarmUpCount(time.Now())
}

// Document returns the revision and the configuration of this replica, which may be out of date.
func (d *Driver) Document() (uint64, validator.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.Document()
}
