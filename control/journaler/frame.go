package journaler

import (
	"bytes"
	"encoding/binary"
	"hash"
	"hash/crc32"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a journal.
var (
	// ErrDamaged is returned when synced data can't be read back. Damaged parts of a log are
	// never skipped: the replica needs a new disk.
	ErrDamaged = errors.New("the journal is damaged")
	// ErrTooLarge is returned for a payload of more than maxPayloadBytes, which is not written.
	ErrTooLarge = errors.New("the record is too large")
)

// A frame consists of a header and a payload. The header holds a magic number, the length of the
// payload, and a checksum over length and payload.
const (
	headerBytes     = 12
	maxPayloadBytes = 256 << 20
)

var (
	magic      = []byte{0xC0, 0x4F, 0x9E, 0x17}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// frame returns the frame of a payload.
func frame(payload []byte) ([]byte, error) {
	header, err := frameHeader(payload)
	if err != nil {
		return nil, err
	}
	return append(header, payload...), nil
}

// frameHeader returns the header of the frame of a payload.
func frameHeader(payload []byte) ([]byte, error) {
	if len(payload) > maxPayloadBytes {
		return nil, ErrTooLarge
	}
	header := make([]byte, headerBytes)
	copy(header, magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], checksum(header[4:8], payload))
	return header, nil
}

// newChecksum returns the hash of a checksum, to which length and payload are written.
func newChecksum() hash.Hash32 { return crc32.New(castagnoli) }

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parseFrame returns the payload of the frame at the start of data, and the data after it. If
// data does not start with a valid frame, ok is false.
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

// hasFlippedBit reports whether data would be one valid frame if a single bit of it were different. A torn write does
// not look like that: it lacks the end of the frame, or has zeros there.
func hasFlippedBit(data []byte) bool {
	if len(data) < headerBytes {
		return false
	}
	return hasFlippedHeaderBit(data) || hasFlippedPayloadBit(data)
}

func hasFlippedHeaderBit(data []byte) bool {
	flipped := slices.Clone(data)
	for bit := range headerBytes * 8 {
		flipped[bit/8] ^= 1 << (bit % 8)
		if _, rest, ok := parseFrame(flipped); ok && len(rest) == 0 {
			return true
		}
		flipped[bit/8] = data[bit/8]
	}
	return false
}

// hasFlippedPayloadBit compares the difference of the checksums with that which each bit of the payload would cause.
// The difference doesn't depend on the rest of the payload, since the checksum is linear.
func hasFlippedPayloadBit(data []byte) bool {
	payload := data[headerBytes:]
	if !bytes.Equal(data[:4], magic) || uint64(binary.LittleEndian.Uint32(data[4:8])) != uint64(len(payload)) {
		return false
	}
	difference := checksum(data[4:8], payload) ^ binary.LittleEndian.Uint32(data[8:12])
	var caused [8]uint32
	for bit := range caused {
		caused[bit] = castagnoli[1<<bit]
	}
	zerosToEnd := true
	for i := len(payload) - 1; i >= 0; i-- {
		zerosToEnd = zerosToEnd && payload[i] == 0
		for bit := range caused {
			if caused[bit] == difference {
				return !zerosToEnd
			}
			caused[bit] = caused[bit]>>8 ^ castagnoli[byte(caused[bit])]
		}
	}
	return false
}
