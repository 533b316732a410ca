// Package relayer provides TCP proxies on loopback that inject faults into the connections
// between two processes.
package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const bufferBytes = 32 << 10

// Fault describes how a relay disturbs the data that it forwards. The zero value forwards
// everything.
type Fault struct {
	// Delay is added before each forwarded chunk.
	Delay time.Duration
	// DropToTarget and DropFromTarget drop the data sent to or by the target.
	DropToTarget, DropFromTarget bool
}

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu    sync.Mutex
	fault Fault
	links []*link
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	// blackholed is set once the link drops all further data. It is never reset.
	blackholed bool
}

// New starts a relay that listens at a free port on loopback.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, target: target}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the fault for all data from now on, also on open connections.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Reset resets the open connections.
func (r *Relay) Reset() {
	for _, l := range r.openLinks() {
		l.reset()
	}
}

// Blackhole drops all further data on the open connections without closing them. New
// connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.blackholed = true
	}
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // ends accept
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

// forward copies one direction until one of the connections is closed.
func (r *Relay) forward(l *link, from, to net.Conn, toTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !r.drops(l, toTarget) {
				_ = to.Close() // propagates the end of the stream
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
			_ = from.Close() // propagates the failed write
			return
		}
	}
}

func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Delay
}

// drops reports whether data in this direction is dropped now. A link that has dropped
// data stays blackholed: TCP never delivers a stream with a gap.
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
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = c.Close() // it may already be closed
}
