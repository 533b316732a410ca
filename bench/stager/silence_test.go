package stager

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay forwards connections. It can blackhole the open ones: it drops all their further data
// without closing them, while new connections work.
type relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu       sync.Mutex
	open     []*atomic.Bool
	accepted int
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.group.Go(r.accept)
	t.Cleanup(func() { _ = listener.Close() })
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		blackholed := &atomic.Bool{}
		r.mu.Lock()
		r.open = append(r.open, blackholed)
		r.accepted++
		r.mu.Unlock()
		r.group.Go(func() { forward(client, server, blackholed) })
		r.group.Go(func() { forward(server, client, blackholed) })
	}
}

// forward copies one direction, and drops the data of a blackholed connection.
func forward(from, to net.Conn, blackholed *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if blackholed.Load() {
			if err != nil {
				return // the other end isn't closed
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, blackholed := range r.open {
		blackholed.Store(true)
	}
	r.open = nil
	r.accepted = 0
}

func (r *relay) reopened() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted > 0
}

// TestEntryReplacesBlackholedStream repeatedly blackholes the stream between an entry and its
// replica, and checks that the entry opens another one each time and applies changes.
func TestEntryReplacesBlackholedStream(t *testing.T) {
	s, err := New(bin, t.TempDir(), 1, 1)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	between := newRelay(t, s.Controls[0].Listen)
	e := s.Entries[0]
	e.Args = append(e.Args[:len(e.Args)-1], between.listener.Addr().String())
	assert.NilError(t, s.Start())
	for revision := range uint64(4) {
		r := s.apply(t, Document(revision, "change-"+string(rune('a'+revision))))
		assert.Equal(t, r.Reply.Revision, revision+1)
		assert.NilError(t, WaitUntil(testTimeout, e.Ready))
		between.blackhole()
		assert.NilError(t, WaitUntil(testTimeout, between.reopened))
	}
	assert.NilError(t, WaitUntil(testTimeout, e.Ready))
	var ready struct {
		Revision uint64 `json:"revision"`
	}
	assert.NilError(t, WaitUntil(testTimeout, func() bool {
		return Get("http://"+e.Listen+"/comfreyplank/ready", &ready) == nil && ready.Revision == 4
	}))
}
