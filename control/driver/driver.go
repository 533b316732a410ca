// Package driver runs the state machine of a control replica: it passes messages, requests and
// ticks to the state machine, and executes the actions that it returns with journals, streams and
// pending requests.
package driver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"comfreyplank.org/control/journaler"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/fencer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/timekeeper"
	"comfreyplank.org/shell/waker"
)

// retryInterval is the delay before a failed write to a journal is tried again.
const retryInterval = time.Second

// journalBacklog is the capacity of a journal's queue. The state machine requests one sync at a
// time.
const journalBacklog = 16

// Driver runs the state machine of one replica.
type Driver struct {
	publish func(recorder.Event)
	time    func(request string, duration time.Duration)
	clock   Clock
	// suspended measures for how long the machine has been suspended, and suspendedBefore is what the state machine
	// knows of it.
	suspended       func() time.Duration
	suspendedBefore time.Duration
	peers           *peers
	journals        map[messenger.Group]*journalWriter
	// latestEndpoints and latestCommitted hold the latest values that are not yet stored.
	latestEndpoints chan []registrar.Announcement
	latestCommitted chan replicator.Position
	disk            *journaler.Disk
	lock            *journaler.Lock
	group           *sync.WaitGroup
	failed          chan error

	mu           sync.Mutex
	stateMachine *controller.Controller
	// waker calls wake when the state machine is due. It is nil before Run.
	waker *waker.Waker
	// streams holds the streams of entries by their Conn. The maps of pending requests hold the
	// channels for the replies, by request number.
	streams          map[controller.Conn]*Stream
	lastConn         controller.Conn
	pendingApplies   map[uint64]chan controller.ApplyReply
	pendingReads     map[uint64]chan controller.DocumentReply
	pendingOrders    map[uint64]chan controller.EvacuateReply
	pendingAnnounces map[uint64]chan controller.AnnounceReply
	lastRequest      uint64
}

// journalWriter holds the queue of actions that change one journal.
type journalWriter struct {
	journal *journaler.Journal
	queue   chan controller.Action
}

// Stream is the stream of one entry.
type Stream struct {
	Conn controller.Conn
	// Send queues the messages to the entry. If it is full because the entry can't keep up, the
	// stream is cancelled.
	Send   chan messenger.ToEntry
	Cancel context.CancelFunc
}

// entryBacklog is the capacity of Stream.Send.
const entryBacklog = 4096

// Option configures a Driver.
type Option func(*options)

type options struct {
	time       func(request string, duration time.Duration)
	publish    func(recorder.Event)
	suspended  func() time.Duration
	controller []controller.Option
}

// WithPeers sets the replicas that form the system, this one included.
func WithPeers(peers []replicator.Member) Option {
	return WithControllerOptions(controller.WithPeers(peers))
}

// WithControllerOptions adds options of the state machine.
func WithControllerOptions(opts ...controller.Option) Option {
	return func(o *options) { o.controller = append(o.controller, opts...) }
}

// WithRequestObserver sets a function that is called with the name and the duration of each
// request to the state machine.
func WithRequestObserver(time func(request string, duration time.Duration)) Option {
	return func(o *options) { o.time = time }
}

// WithPublish sets the function that receives the replica's events.
func WithPublish(publish func(recorder.Event)) Option {
	return func(o *options) { o.publish = publish }
}

// WithSuspended replaces the measurement of the time for which the machine has been suspended.
func WithSuspended(suspended func() time.Duration) Option {
	return func(o *options) { o.suspended = suspended }
}

// New locks and reads the data folder, and restores the state machine from it. The goroutines
// that Run starts for streams to other replicas belong to group.
func New(group *sync.WaitGroup, clock Clock, folder, name, address string, opts ...Option) (*Driver, error) {
	o := options{publish: func(recorder.Event) {}, time: func(string, time.Duration) {}, suspended: timekeeper.New().Suspended}
	for _, opt := range opts {
		opt(&o)
	}
	lock, err := journaler.NewLock(folder)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		publish:          o.publish,
		time:             o.time,
		suspended:        o.suspended,
		clock:            clock,
		journals:         make(map[messenger.Group]*journalWriter),
		latestEndpoints:  make(chan []registrar.Announcement, 1),
		latestCommitted:  make(chan replicator.Position, 1),
		disk:             journaler.New(folder),
		lock:             lock,
		group:            group,
		failed:           make(chan error, 1),
		streams:          make(map[controller.Conn]*Stream),
		pendingApplies:   make(map[uint64]chan controller.ApplyReply),
		pendingReads:     make(map[uint64]chan controller.DocumentReply),
		pendingOrders:    make(map[uint64]chan controller.EvacuateReply),
		pendingAnnounces: make(map[uint64]chan controller.AnnounceReply),
	}
	state, id, err := d.openWithRoom()
	if err != nil {
		lock.Release()
		return nil, err
	}
	self := replicator.Member{ID: id, Name: name, Address: address}
	d.stateMachine, err = controller.New(time.Now(), self, state, o.controller...)
	if err != nil {
		lock.Release()
		return nil, err
	}
	return d, nil
}

// SetAside moves the state of a damaged data folder to a folder within it, whose path it returns.
func SetAside(folder string) (string, error) {
	lock, err := journaler.NewLock(folder)
	if err != nil {
		return "", err
	}
	defer lock.Release()
	return journaler.New(folder).SetAside(logNames()...)
}

// logNames returns the names of the replicated logs on the disk.
func logNames() []string {
	names := make([]string, 0, len(messenger.Groups))
	for _, g := range messenger.Groups {
		names = append(names, g.String())
	}
	return names
}

// openWithRoom opens the data folder, and waits while the disk is full: a process that ended instead would be started again
// and again.
func (d *Driver) openWithRoom() (controller.StoredState, replicator.ID, error) {
	for {
		state, id, err := d.open()
		if !errors.Is(err, unix.ENOSPC) {
			return state, id, err
		}
		slog.Error("the disk is full; the replica starts once it has room", "error", err)
		for g, w := range d.journals {
			_ = w.journal.Close() // it is opened again
			delete(d.journals, g)
		}
		time.Sleep(retryInterval)
	}
}

func (d *Driver) open() (controller.StoredState, replicator.ID, error) {
	var state controller.StoredState
	id, err := d.disk.Identity(logNames()...)
	if err != nil {
		return state, "", err
	}
	for _, g := range messenger.Groups {
		journal, stored, err := d.disk.Open(g.String())
		if err != nil {
			return state, "", err
		}
		d.journals[g] = &journalWriter{journal: journal, queue: make(chan controller.Action, journalBacklog)}
		if g == messenger.GroupClaims {
			state.Claims = stored
			continue
		}
		state.Config = stored
	}
	if state.Endpoints, err = d.disk.LoadEndpoints(); err != nil {
		slog.Warn("the stored endpoints are ignored", "error", err)
	}
	if state.Config.Committed, err = d.disk.LoadCommitted(); err != nil {
		slog.Warn("the stored commit position is ignored", "error", err)
	}
	return state, id, nil
}

// Run runs the state machine until the context ends or a sync of a journal fails. Then it closes
// the journals and unlocks the data folder.
func (d *Driver) Run(ctx context.Context) error {
	d.mu.Lock()
	d.peers = newPeers(ctx, d.group, d.clock)
	d.waker = waker.New(time.Now, d.wake)
	d.mu.Unlock()
	var workers sync.WaitGroup
	for _, w := range d.journals {
		workers.Go(func() { d.writeJournal(ctx, w) })
	}
	workers.Go(func() { d.storeLatest(ctx) })
	d.wake()
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	d.stopWaker()
	workers.Wait()
	for _, w := range d.journals {
		if closeErr := w.journal.Close(); err == nil {
			err = closeErr
		}
	}
	d.lock.Release()
	return err
}

// wake handles a tick. The waker calls it.
func (d *Driver) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waker.Fired()
	d.step(controller.Tick{})
}

// stopWaker stops the timer, so that no more ticks occur.
func (d *Driver) stopWaker() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waker.Stop()
}

func (d *Driver) handle(in controller.Input) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(in)
}

// step passes an input to the state machine, executes the resulting actions and sets the timer.
// The caller must hold d.mu.
func (d *Driver) step(in controller.Input) {
	d.noticeSuspension()
	d.execute(d.stateMachine.Handle(time.Now(), in))
	if d.waker != nil {
		d.waker.Set(d.stateMachine.Due())
	}
}

// noticeSuspension tells the state machine that the machine was suspended, before anything that arrives afterwards.
func (d *Driver) noticeSuspension() {
	suspended := d.suspended()
	if suspended <= d.suspendedBefore+fencer.Tolerance {
		return
	}
	slog.Warn("the machine was suspended", "duration", suspended-d.suspendedBefore)
	d.suspendedBefore = suspended
	d.execute(d.stateMachine.Handle(time.Now(), controller.Resumed{}))
}

func (d *Driver) execute(actions []controller.Action) {
	for _, a := range actions {
		switch v := a.(type) {
		case controller.SendPeer:
			d.peers.send(v.Address, v.Message)
		case controller.SendEntry:
			d.sendEntry(v)
		case controller.Persist:
			d.journals[v.Group].queue <- v
		case controller.StoreSnapshot:
			d.journals[v.Group].queue <- v
		case controller.BootstrapGroup:
			d.journals[v.Group].queue <- v
		case controller.ApplyReply:
			d.pendingApplies[v.Request] <- v
			delete(d.pendingApplies, v.Request)
		case controller.EvacuateReply:
			d.pendingOrders[v.Request] <- v
			delete(d.pendingOrders, v.Request)
		case controller.DocumentReply:
			d.pendingReads[v.Request] <- v
			delete(d.pendingReads, v.Request)
		case controller.StoreEndpoints:
			replaceLatest(d.latestEndpoints, v.Announcements)
		case controller.StoreCommitted:
			replaceLatest(d.latestCommitted, v.Position)
		case controller.AnnounceReply:
			d.pendingAnnounces[v.Request] <- v
			delete(d.pendingAnnounces, v.Request)
		case controller.Record:
			d.publish(v.Event)
		}
	}
}

func (d *Driver) sendEntry(action controller.SendEntry) {
	s, ok := d.streams[action.Conn]
	if !ok {
		return
	}
	select {
	case s.Send <- action.Message:
	default:
		s.Cancel()
	}
}

// writeJournal executes the actions on one journal in order until ctx ends.
func (d *Driver) writeJournal(ctx context.Context, w *journalWriter) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.queue:
			d.sync(ctx, w, a)
		}
	}
}

// replaceLatest replaces the value in a channel of capacity 1. Only a holder of the driver's lock
// calls it, so that the send never blocks.
func replaceLatest[T any](ch chan T, value T) {
	select {
	case <-ch:
	default:
	}
	ch <- value
}

// storeLatest stores the endpoints and the commit position whenever they change. It ignores
// failed writes, since both values only make the next start faster.
func (d *Driver) storeLatest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-d.latestEndpoints:
			if err := d.disk.StoreEndpoints(list); err != nil {
				slog.Warn("the endpoints could not be stored", "error", err)
			}
		case p := <-d.latestCommitted:
			if err := d.disk.StoreCommitted(p); err != nil {
				slog.Warn("the commit position could not be stored", "error", err)
			}
		}
	}
}

// sync writes the action to the journal, and retries failed writes. Until it succeeds, the
// replica sends no message that depends on the action. ErrSync stops the process, because the
// content of the disk is then unknown.
func (d *Driver) sync(ctx context.Context, w *journalWriter, a controller.Action) {
	for {
		err := writeAction(w.journal, a)
		if err == nil {
			break
		}
		slog.Error("the journal can't be written; the replica accepts nothing until it can", "error", err)
		d.publish(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		if errors.Is(err, journaler.ErrSync) {
			d.fail(err)
			return
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
	if p, ok := a.(controller.Persist); ok {
		d.handle(controller.Persisted(p))
	}
}

func writeAction(j *journaler.Journal, a controller.Action) error {
	switch v := a.(type) {
	case controller.Persist:
		return j.Persist(v.Output)
	case controller.StoreSnapshot:
		return j.StoreSnapshot(v.Snapshot, v.Tail)
	case controller.BootstrapGroup:
		return j.BootstrapGroup(v.Stored)
	}
	return nil
}

// fail passes an error to Run, unless another one is waiting there.
func (d *Driver) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// Follow registers a new stream of an entry. The driver calls cancel if the entry can't keep up.
func (d *Driver) Follow(cancel context.CancelFunc) *Stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastConn++
	s := &Stream{Conn: d.lastConn, Send: make(chan messenger.ToEntry, entryBacklog), Cancel: cancel}
	d.streams[s.Conn] = s
	return s
}

// Unfollow removes a stream that has ended, and notifies the state machine.
func (d *Driver) Unfollow(s *Stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, s.Conn)
	d.step(controller.EntryDisconnected{Conn: s.Conn})
}

// EntryMessage handles a message from an entry.
func (d *Driver) EntryMessage(s *Stream, m messenger.ToControl) {
	d.handle(controller.EntryMessage{Conn: s.Conn, Message: m})
}

// PeerMessage handles messages from another replica. All of them are handled under one lock, so
// that replies that wait for a sync of the journal are ready together.
func (d *Driver) PeerMessage(messages []messenger.ToPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range messages {
		d.step(controller.PeerMessage{Message: m})
	}
}
