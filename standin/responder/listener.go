package responder

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener can silence the open connections for good, while new ones work, as if a middlebox
// had lost its state for them.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// silenceAll silences all open connections and returns their number.
func (l *listener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// openCount returns the number of open connections.
func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type conn struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. A silent connection discards what it receives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn. A silent connection discards what is written to it.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It doesn't close a silent connection, so that the other end isn't
// notified.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
