package server

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopDoesNotWaitForSilentConnections stops a server that has accepted a connection whose
// client never sends anything, for example because its machine was lost. Without a short
// handshake timeout, the stop would wait much longer for that connection.
func TestStopDoesNotWaitForSilentConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(nil, nil)
	var group sync.WaitGroup
	group.Go(func() { _ = s.Serve(listener) }) // returns when the server stops
	silent, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	// The server writes its settings first, so once they arrive, the connection has been
	// accepted.
	_, err = silent.Read(make([]byte, 1))
	assert.NilError(t, err)
	stopped := make(chan struct{})
	group.Go(func() { s.Stop(); close(stopped) })
	select {
	case <-stopped:
	case <-time.After(5 * handshakeTimeout):
		t.Error("the server still waits for a silent connection")
	}
	group.Wait()
}
