// Package driver runs the controller machine of a replica: it hands in what
// happens and carries out what the machine decides, with journals, streams and
// waiting operators around it.
package driver

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/control/journaler"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/waker"
)

// retryInterval is how long a failed write waits before it is tried again.
const retryInterval = time.Second

// backlog is how many actions for a journal may wait; the machine asks for one
// sync at a time.
const backlog = 16

// Driver runs one replica.
type Driver struct {
	publish  func(recorder.Event)
	time     func(request string, took time.Duration)
	clock    Clock
	peers    *peers
	journals map[messenger.Group]*worker
	// endpoints and committed have the latest of each to store.
	endpoints chan []registrar.Announcement
	committed chan replicator.Position
	folder    string
	lock      *journaler.Lock
	group     *sync.WaitGroup
	failed    chan error

	mu      sync.Mutex
	machine *controller.Controller
	// waker calls the machine when it is due; nil before Run.
	waker *waker.Waker
	// streams of entries, and operators who wait, by their numbers.
	streams     map[controller.Conn]*Stream
	lastStream  controller.Conn
	applies     map[uint64]chan controller.ApplyReply
	documents   map[uint64]chan controller.DocumentReply
	announces   map[uint64]chan controller.AnnounceReply
	lastRequest uint64
}

// worker syncs what one journal is given, in order.
type worker struct {
	journal *journaler.Journal
	queue   chan controller.Action
}

// Stream is the stream of one entry.
type Stream struct {
	Conn controller.Conn
	// Send has the messages that wait; it is full when the entry can't keep up,
	// and then the stream is ended.
	Send chan messenger.ToEntry
	End  context.CancelFunc
}

// streamBacklog is how many messages may wait on a stream.
const streamBacklog = 4096

// Option sets up a driver.
type Option func(*options)

type options struct {
	time       func(request string, took time.Duration)
	publish    func(recorder.Event)
	controller []controller.Option
}

// WithPeers sets the replicas that form the system, this one included.
func WithPeers(peers []replicator.Member) Option {
	return WithControllerOptions(controller.WithPeers(peers))
}

// WithControllerOptions sets up the machine of the replica.
func WithControllerOptions(opts ...controller.Option) Option {
	return func(o *options) { o.controller = append(o.controller, opts...) }
}

// WithTimes sets who is told how long answers took.
func WithTimes(time func(request string, took time.Duration)) Option {
	return func(o *options) { o.time = time }
}

// WithPublish sets where events go.
func WithPublish(publish func(recorder.Event)) Option {
	return func(o *options) { o.publish = publish }
}

// New opens the data folder and makes the machine of the replica.
func New(group *sync.WaitGroup, clock Clock, folder, name, address string, opts ...Option) (*Driver, error) {
	o := options{publish: func(recorder.Event) {}, time: func(string, time.Duration) {}}
	for _, opt := range opts {
		opt(&o)
	}
	lock, err := journaler.NewLock(folder)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		publish:   o.publish,
		time:      o.time,
		clock:     clock,
		journals:  make(map[messenger.Group]*worker),
		endpoints: make(chan []registrar.Announcement, 1),
		committed: make(chan replicator.Position, 1),
		folder:    folder,
		lock:      lock,
		group:     group,
		failed:    make(chan error, 1),
		streams:   make(map[controller.Conn]*Stream),
		applies:   make(map[uint64]chan controller.ApplyReply),
		documents: make(map[uint64]chan controller.DocumentReply),
		announces: make(map[uint64]chan controller.AnnounceReply),
	}
	disk, id, err := d.open(folder)
	if err != nil {
		lock.Release()
		return nil, err
	}
	self := replicator.Member{ID: id, Name: name, Address: address}
	d.machine, err = controller.New(time.Now(), self, disk, o.controller...)
	if err != nil {
		lock.Release()
		return nil, err
	}
	return d, nil
}

func (d *Driver) open(folder string) (controller.StoredState, replicator.ID, error) {
	var disk controller.StoredState
	logs := make([]string, 0, len(messenger.Groups))
	for _, g := range messenger.Groups {
		logs = append(logs, g.String())
	}
	id, err := journaler.Identity(folder, logs...)
	if err != nil {
		return disk, "", err
	}
	for _, g := range messenger.Groups {
		journal, stored, err := journaler.Open(filepath.Join(folder, g.String()))
		if err != nil {
			return disk, "", err
		}
		d.journals[g] = &worker{journal: journal, queue: make(chan controller.Action, backlog)}
		if g == messenger.GroupClaims {
			disk.Claims = stored
			continue
		}
		disk.Config = stored
	}
	if disk.Endpoints, err = journaler.LoadEndpoints(folder); err != nil {
		slog.Warn("the stored endpoints are not used", "error", err)
	}
	if disk.Config.Committed, err = journaler.LoadCommitted(folder); err != nil {
		slog.Warn("what was committed before the start is not used", "error", err)
	}
	return disk, id, nil
}

// Run lets time pass until the context ends or a journal fails for good.
func (d *Driver) Run(ctx context.Context) error {
	d.mu.Lock()
	d.peers = newPeers(ctx, d.group, d.clock)
	d.waker = waker.New(time.Now, d.wake)
	d.mu.Unlock()
	var workers sync.WaitGroup
	for _, w := range d.journals {
		workers.Go(func() { d.work(ctx, w) })
	}
	workers.Go(func() { d.keep(ctx) })
	d.wake()
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	d.rest()
	workers.Wait()
	for _, w := range d.journals {
		if closed := w.journal.Close(); err == nil {
			err = closed
		}
	}
	d.lock.Release()
	return err
}

// wake lets time pass in the controller.
func (d *Driver) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waker.Fired()
	d.step(controller.Tick{})
}

// rest keeps the controller from being called by its timer.
func (d *Driver) rest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waker.Stop()
}

func (d *Driver) handle(in controller.Input) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(in)
}

// step hands an input to the controller, carries out its actions and sets the timer.
func (d *Driver) step(in controller.Input) {
	d.carryOut(d.machine.Handle(time.Now(), in))
	if d.waker != nil {
		d.waker.Set(d.machine.Due())
	}
}

func (d *Driver) carryOut(actions []controller.Action) {
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
			d.applies[v.Request] <- v
			delete(d.applies, v.Request)
		case controller.DocumentReply:
			d.documents[v.Request] <- v
			delete(d.documents, v.Request)
		case controller.StoreEndpoints:
			offer(d.endpoints, v.Announcements)
		case controller.StoreCommitted:
			offer(d.committed, v.Position)
		case controller.AnnounceReply:
			d.announces[v.Request] <- v
			delete(d.announces, v.Request)
		case controller.Record:
			d.publish(v.Event)
		}
	}
}

func (d *Driver) sendEntry(v controller.SendEntry) {
	s, ok := d.streams[v.Conn]
	if !ok {
		return
	}
	select {
	case s.Send <- v.Message:
	default:
		s.End()
	}
}

// work syncs what comes for one journal.
func (d *Driver) work(ctx context.Context, w *worker) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.queue:
			d.sync(ctx, w, a)
		}
	}
}

// offer replaces what waits to be stored. Only the holder of the lock offers, so there is
// room for it.
func offer[T any](to chan T, latest T) {
	select {
	case <-to:
	default:
	}
	to <- latest
}

// keep stores the endpoints and what is committed as they change. What can't be written
// is left out: it only makes the next start quicker.
func (d *Driver) keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-d.endpoints:
			if err := journaler.StoreEndpoints(d.folder, list); err != nil {
				slog.Warn("the endpoints were not stored", "error", err)
			}
		case p := <-d.committed:
			if err := journaler.StoreCommitted(d.folder, p); err != nil {
				slog.Warn("what is committed was not stored", "error", err)
			}
		}
	}
}

// sync tries until the action is on the disk. Until then the replica says nothing
// that depends on it. A sync that fails ends the process: what the disk holds is
// not known any more.
func (d *Driver) sync(ctx context.Context, w *worker, a controller.Action) {
	for {
		err := store(w.journal, a)
		if err == nil {
			break
		}
		slog.Error("the journal can't be written; nothing is accepted meanwhile", "error", err)
		d.publish(recorder.Event{Kind: recorder.KindJournalFailed, Detail: err.Error()})
		if errors.Is(err, journaler.ErrSync) {
			d.fail(err)
			return
		}
		if !wait(ctx, retryInterval) {
			return
		}
	}
	if p, ok := a.(controller.Persist); ok {
		d.handle(controller.Persisted(p))
	}
}

func store(j *journaler.Journal, a controller.Action) error {
	switch v := a.(type) {
	case controller.Persist:
		return j.Persist(v.Output)
	case controller.StoreSnapshot:
		return j.Store(v.Snapshot, v.Tail)
	case controller.BootstrapGroup:
		return j.Found(v.Stored)
	}
	return nil
}

func (d *Driver) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// Follow opens the stream of an entry.
func (d *Driver) Follow(end context.CancelFunc) *Stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastStream++
	s := &Stream{Conn: d.lastStream, Send: make(chan messenger.ToEntry, streamBacklog), End: end}
	d.streams[s.Conn] = s
	return s
}

// Unfollow ends the stream of an entry.
func (d *Driver) Unfollow(s *Stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, s.Conn)
	d.step(controller.EntryDisconnected{Conn: s.Conn})
}

// EntrySaid hands in a message of an entry.
func (d *Driver) EntrySaid(s *Stream, m messenger.ToControl) {
	d.handle(controller.EntryMessage{Conn: s.Conn, Message: m})
}

// PeerSaid hands in messages of another replica. The answers to all of them are
// ready before the first leaves.
func (d *Driver) PeerSaid(messages []messenger.ToPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range messages {
		d.step(controller.PeerMessage{Message: m})
	}
}

// ask hands in a request under a new number, and waits for its answer.
func ask[A any](ctx context.Context, d *Driver, name string, waiting map[uint64]chan A, request func(number uint64) controller.Input) (A, error) {
	start := time.Now()
	defer func() { d.time(name, time.Since(start)) }()
	answers := make(chan A, 1)
	d.mu.Lock()
	d.lastRequest++
	waiting[d.lastRequest] = answers
	d.step(request(d.lastRequest))
	d.mu.Unlock()
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

// Apply makes a change and waits for what becomes of it. The request's number is set
// here.
func (d *Driver) Apply(ctx context.Context, change controller.Apply) (controller.ApplyReply, error) {
	return ask(ctx, d, "apply", d.applies, func(number uint64) controller.Input {
		change.Request = number
		return change
	})
}

// ReadDocument returns the configuration in force, confirmed by a majority.
func (d *Driver) ReadDocument(ctx context.Context) (controller.DocumentReply, error) {
	return ask(ctx, d, "read", d.documents, func(number uint64) controller.Input {
		return controller.ReadDocument{Request: number}
	})
}

// Announce takes in what an endpoint said to this replica, and reports whether it
// can't be forgotten.
func (d *Driver) Announce(ctx context.Context, a registrar.Announcement) (bool, error) {
	answer, err := ask(ctx, d, "announce", d.announces, func(number uint64) controller.Input {
		return controller.Announce{Request: number, Announcement: a}
	})
	return answer.Accepted, err
}

// HandOver gives leadership away before a planned stop.
func (d *Driver) HandOver() { d.handle(controller.TransferLeadership{}) }

// Status returns what the replica knows.
func (d *Driver) Status() controller.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Status(time.Now())
}

// Document returns what the replica has, which may be behind.
func (d *Driver) Document() (uint64, validator.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Document()
}
