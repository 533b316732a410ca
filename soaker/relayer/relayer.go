// Package relayer stands between two processes on loopback and lets the connections
// between them misbehave.
package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const bufferBytes = 32 << 10

// Fault is how a relay treats what passes.
type Fault struct {
	// Delay holds each part back.
	Delay time.Duration
	// DropToTarget and DropFromTarget swallow what goes to the target or comes from it.
	DropToTarget, DropFromTarget bool
}

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu    sync.Mutex
	fault Fault
	links []*link
}

// link is one connection through a relay.
type link struct {
	client, server net.Conn
	// blackholed is set once nothing passes over it any more, for good.
	blackholed bool
}

// New returns a relay at a free address on loopback.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, target: target}
	r.group.Go(r.accept)
	return r, nil
}

// Address is where the target is reached through the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault changes how what passes from now on is treated.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Reset resets the connections that are open.
func (r *Relay) Reset() {
	for _, l := range r.openLinks() {
		l.reset()
	}
}

// Blackhole lets nothing pass any more over the connections that are open, and tells neither
// end; new ones work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.blackholed = true
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // accept ends
	r.Reset()
	r.group.Wait()
}

func (r *Relay) openLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link(nil), r.links...)
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.connect(client) })
	}
}

func (r *Relay) connect(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		resetConn(client)
		return
	}
	l := &link{client: client, server: server}
	r.mu.Lock()
	r.links = append(r.links, l)
	r.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { r.forward(l, client, server, true) })
	group.Go(func() { r.forward(l, server, client, false) })
	group.Wait()
	l.reset()
	r.remove(l)
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.links {
		if other == l {
			r.links = append(r.links[:i], r.links[i+1:]...)
			return
		}
	}
}

// forward copies one direction until an end closes.
func (r *Relay) forward(l *link, from, to net.Conn, toTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !r.drops(l, toTarget) {
				_ = to.Close() // the other end learns of it
			}
			return
		}
		if delay := r.delay(); delay > 0 {
			time.Sleep(delay)
		}
		if r.drops(l, toTarget) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close() // as above
			return
		}
	}
}

func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Delay
}

// drops reports whether what passes now is lost. A stream that has lost a part can't go
// on, as TCP would not let it: nothing passes over it any more.
func (r *Relay) drops(l *link, toTarget bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (toTarget && r.fault.DropToTarget) || (!toTarget && r.fault.DropFromTarget) {
		l.blackholed = true
	}
	return l.blackholed
}

func (l *link) reset() {
	resetConn(l.client)
	resetConn(l.server)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a reset in place of an orderly end
	}
	_ = c.Close() // it may have ended
}
