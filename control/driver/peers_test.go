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

// noClock stands in for the clock of a process.
type noClock struct{}

func (noClock) Stamp() recorder.Stamp  { return recorder.Stamp{} }
func (noClock) Observe(recorder.Stamp) {}

// TestLinkThatOpensAndSaysNothingIsGivenUp: a replica whose answers are lost from the first byte
// on accepts connections. The next one is tried after the time for silence.
func TestLinkThatOpensAndSaysNothingIsGivenUp(t *testing.T) {
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
	p := newPeers(ctx, &group, noClock{})
	start := time.Now()
	err = p.exchange(listener.Addr().String(), make(chan messenger.ToPeer))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < 2*messenger.StreamTimeout, "%s", time.Since(start))
	cancel()
	assert.NilError(t, listener.Close())
	group.Wait()
	for _, conn := range silent {
		_ = conn.Close() // nothing was said on it
	}
}
