package responder

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener can make the connections that are open go silent for good, while new
// ones work, as when something between both ends has forgotten them.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept is part of net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// silenceAll makes all open connections go silent.
func (l *listener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// openCount returns how many connections are openCount.
func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read is part of net.Conn. What a silent connection receives is swallowed.
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

// Write is part of net.Conn. What a silent connection sends is lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close is part of net.Conn. The other end of a silent connection learns nothing.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
