package driver

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
)

// fakeClock is a Clock whose stamps are always zero.
type fakeClock struct{}

func (fakeClock) Stamp() recorder.Stamp  { return recorder.Stamp{} }
func (fakeClock) Observe(recorder.Stamp) {}

// TestSilentStreamIsClosed opens a stream to a listener that accepts connections but never sends
// anything, as if all packets from that replica were lost. The stream must end after
// StreamTimeout, so that a new connection is tried.
func TestSilentStreamIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	var silent []net.Conn
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			silent = append(silent, conn)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	p := newPeers(ctx, &group, fakeClock{})
	start := time.Now()
	err = p.exchange(listener.Addr().String(), make(chan messenger.ToPeer))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < 2*messenger.StreamTimeout, "%s", time.Since(start))
	cancel()
	assert.NilError(t, listener.Close())
	group.Wait()
	for _, conn := range silent {
		_ = conn.Close() // nothing was sent on it
	}
}
