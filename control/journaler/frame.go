package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// Errors of a journal.
var (
	// ErrDamaged is returned when synced data can't be read back. Nothing is
	// skipped: the replica must get a new disk.
	ErrDamaged = errors.New("the journal is damaged")
	// ErrTooLarge is returned for a frame that could not be read back.
	ErrTooLarge = errors.New("the record is too large")
)

// A frame is a magic number, the payload's length, a checksum over both, and the
// payload.
const (
	headerBytes     = 12
	maxPayloadBytes = 256 << 20
)

var (
	magic      = []byte{0xC0, 0x4F, 0x9E, 0x17}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// frame wraps a payload for the disk.
func frame(payload []byte) ([]byte, error) {
	if len(payload) > maxPayloadBytes {
		return nil, ErrTooLarge
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(data[8:], checksum(data[4:8], payload))
	return append(data, payload...), nil
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parseFrame returns the payload of the frame at the start of data and the rest, or
// false when there is no whole one.
func parseFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return nil, data, false
	}
	length := binary.LittleEndian.Uint32(data[4:8])
	if uint64(length) > uint64(len(data)-headerBytes) {
		return nil, data, false
	}
	payload = data[headerBytes : headerBytes+int(length)]
	if checksum(data[4:8], payload) != binary.LittleEndian.Uint32(data[8:12]) {
		return nil, data, false
	}
	return payload, data[headerBytes+int(length):], true
}

// parseFrames returns the payloads of a file and the length of its whole frames. Only
// the last write may be torn, since each is synced before the next; if a whole
// frame follows a broken one, the file is damaged.
func parseFrames(data []byte) (payloads [][]byte, whole int, err error) {
	rest := data
	for len(rest) > 0 {
		payload, next, ok := parseFrame(rest)
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		rest = next
	}
	whole = len(data) - len(rest)
	if at := findFrame(rest); at >= 0 {
		return nil, 0, errors.Wrapf(ErrDamaged, "a broken record at byte %d is followed by a whole one at byte %d", whole, whole+at)
	}
	return payloads, whole, nil
}

// findFrame returns where the first whole frame after a broken one starts, or -1.
func findFrame(data []byte) int {
	for at := 1; at < len(data); at++ {
		i := bytes.Index(data[at:], magic)
		if i < 0 {
			return -1
		}
		at += i
		if _, _, ok := parseFrame(data[at:]); ok {
			return at
		}
	}
	return -1
}
