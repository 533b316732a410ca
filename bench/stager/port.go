package stager

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// The range of ports that processes listen at. It is below the range of ephemeral ports, so
// that an outgoing connection never takes the port of a process that is down.
const (
	firstPort = 10_000
	portCount = 22_000
	portTries = 1_000
)

// ErrNoPort is returned if no free port was found.
var ErrNoPort = errors.New("no free port")

// reservations holds the lock files of ports until this process ends, so that no other
// process that runs a stage gets the same ports.
var reservations struct {
	mu    sync.Mutex
	files []*os.File
}

// Address returns a free address on loopback. It never returns the same one twice.
func Address() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		reservation, err := reserve(port)
		if err != nil {
			return "", err
		}
		if reservation == nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !isFree(address) {
			_ = reservation.Close() // the file is empty
			continue
		}
		reservations.mu.Lock()
		defer reservations.mu.Unlock()
		reservations.files = append(reservations.files, reservation)
		return address, nil
	}
	return "", ErrNoPort
}

// reserve locks the port against other stages. It returns nil if the port is reserved
// already.
func reserve(port int) (*os.File, error) {
	folder := filepath.Join(os.TempDir(), "comfreyplank-ports")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "reserve a port")
	}
	file, err := os.OpenFile(filepath.Join(folder, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "reserve a port")
	}
	if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return nil, file.Close()
	}
	return file, nil
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
