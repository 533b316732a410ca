package relayer

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echoTimeout bounds the wait for an expected line, and dropTimeout the wait for a line that
// must not arrive.
const (
	echoTimeout = 10 * time.Second
	dropTimeout = 100 * time.Millisecond
)

// newEchoRelay returns a relay in front of a server that echoes each line.
func newEchoRelay(t *testing.T) *Relay {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewReader(c)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	r, err := New(server.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		r.Close()
		_ = server.Close()
	})
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether a line is echoed within the timeout.
func echoes(c net.Conn, timeout time.Duration) bool {
	_, _ = c.Write([]byte("x\n"))
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err == nil
}

func TestRelayFaults(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Relay)
		// old and new tell whether connections opened before and after the fault work.
		old, new bool
	}{
		{"none", func(*Relay) {}, true, true},
		{"delayed", func(r *Relay) { r.Set(Fault{Delay: 10 * time.Millisecond}) }, true, true},
		{"data to the target is dropped", func(r *Relay) { r.Set(Fault{DropToTarget: true}) }, false, false},
		{"data from the target is dropped", func(r *Relay) { r.Set(Fault{DropFromTarget: true}) }, false, false},
		{"open connections are reset", func(r *Relay) { r.Reset() }, false, true},
		{"open connections are blackholed", func(r *Relay) { r.Blackhole() }, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newEchoRelay(t)
			old := dial(t, r)
			assert.Assert(t, echoes(old, echoTimeout))
			tt.do(r)
			assert.Equal(t, echoes(old, echoWait(tt.old)), tt.old)
			assert.Equal(t, echoes(dial(t, r), echoWait(tt.new)), tt.new)
			r.Set(Fault{})
			assert.Assert(t, echoes(dial(t, r), echoTimeout))
		})
	}
}

func echoWait(expected bool) time.Duration {
	if expected {
		return echoTimeout
	}
	return dropTimeout
}
