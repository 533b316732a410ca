package connector

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// listenWithFullBacklog returns the address of a listener that drops SYN packets. To clients it
// looks like an instance that is switched off.
func listenWithFullBacklog(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
	// Connections that are not accepted fill the backlog.
	for range 4 {
		if conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	return address
}

func TestDialTimesOutBeforeRetransmission(t *testing.T) {
	start := time.Now()
	_, err := dial(t.Context(), listenWithFullBacklog(t))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < 900*time.Millisecond) // the kernel retransmits after 1 s
}
