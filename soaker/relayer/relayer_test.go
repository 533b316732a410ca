package relayer

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patience is how long a part is waited for, and silence how long for one that must not
// come.
const (
	patience = 10 * time.Second
	silence  = 100 * time.Millisecond
)

// echoed returns a relay in front of a server that returns each line.
func echoed(t *testing.T) *Relay {
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

// returns reports whether a line comes back.
func returns(c net.Conn, within time.Duration) bool {
	_, _ = c.Write([]byte("x\n"))
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err == nil
}

func TestRelayFaults(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Relay)
		// old and fresh tell whether connections from before and after it work.
		old, fresh bool
	}{
		{"none", func(*Relay) {}, true, true},
		{"slow", func(r *Relay) { r.Set(Fault{Delay: 10 * time.Millisecond}) }, true, true},
		{"lost on the way there", func(r *Relay) { r.Set(Fault{LoseTo: true}) }, false, false},
		{"lost on the way back", func(r *Relay) { r.Set(Fault{LoseFrom: true}) }, false, false},
		{"reset", func(r *Relay) { r.Reset() }, false, true},
		{"forgotten", func(r *Relay) { r.Forget() }, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := echoed(t)
			old := dial(t, r)
			assert.Assert(t, returns(old, patience))
			tt.do(r)
			assert.Equal(t, returns(old, waitFor(tt.old)), tt.old)
			assert.Equal(t, returns(dial(t, r), waitFor(tt.fresh)), tt.fresh)
			r.Set(Fault{})
			assert.Assert(t, returns(dial(t, r), patience))
		})
	}
}

func waitFor(answer bool) time.Duration {
	if answer {
		return patience
	}
	return silence
}
