package journaler

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// searchBytes is how much of a file a search for a frame holds at a time.
	searchBytes = 256 << 10
	// maxTornBytes is the size of the largest write that a crash may have cut. It is far above that of a frame, which holds
	// entries of maxFrameEntryBytes or one entry.
	maxTornBytes = 64 << 20
)

// scanner reads the frames of a file one after the other, so that only one is in memory at a time.
type scanner struct {
	file io.ReaderAt
	size int64
	// offset is where the next frame starts: all before it is valid.
	offset int64
	// last is where the last frame started, or -1 before the first one.
	last int64
}

func newScanner(file io.ReaderAt, size int64) *scanner {
	return &scanner{file: file, size: size, last: -1}
}

// next returns the payload of the next frame, or nil if no valid frame follows.
func (s *scanner) next() ([]byte, error) {
	header, err := s.readHeader(s.offset)
	if err != nil || header == nil {
		return nil, err
	}
	data := make([]byte, headerBytes+payloadLength(header))
	if err := s.read(data, s.offset); err != nil {
		return nil, err
	}
	payload, _, ok := parseFrame(data)
	if !ok {
		return nil, nil
	}
	s.last = s.offset
	s.offset += int64(len(data))
	return payload, nil
}

// readHeader returns the header of a frame at offset, or nil if no whole frame can be there.
func (s *scanner) readHeader(offset int64) ([]byte, error) {
	if s.size-offset < headerBytes {
		return nil, nil
	}
	header := make([]byte, headerBytes)
	if err := s.read(header, offset); err != nil {
		return nil, err
	}
	if !bytes.Equal(header[:4], magic) || payloadLength(header) > s.size-offset-headerBytes {
		return nil, nil
	}
	return header, nil
}

func payloadLength(header []byte) int64 { return int64(binary.LittleEndian.Uint32(header[4:8])) }

func (s *scanner) read(data []byte, offset int64) error {
	n, err := s.file.ReadAt(data, offset)
	if n == len(data) {
		return nil
	}
	return errors.Wrap(err, "read journal")
}

// checkRest returns an error unless what follows the valid frames is a torn write. Only the last frame may be torn, since
// each is synced before the next is written: a valid frame after an invalid one means that the file is damaged, and so does a
// last frame in which one bit has changed.
func (s *scanner) checkRest() error {
	following, err := s.findFrame(s.offset + 1)
	if err != nil {
		return err
	}
	if following >= 0 {
		return errors.Wrapf(ErrDamaged, "an invalid frame at byte %d is followed by a valid one at byte %d", s.offset, following)
	}
	if s.size-s.offset > maxTornBytes {
		return errors.Wrapf(ErrDamaged, "no frame starts in the %d bytes from byte %d on", s.size-s.offset, s.offset)
	}
	rest := make([]byte, s.size-s.offset)
	if err := s.read(rest, s.offset); err != nil {
		return err
	}
	if hasFlippedBit(rest) {
		return errors.Wrapf(ErrDamaged, "a bit of the last frame, at byte %d, has changed", s.offset)
	}
	return nil
}

// findFrame returns the offset of the first valid frame that starts at from or later, or -1.
func (s *scanner) findFrame(from int64) (int64, error) {
	window := make([]byte, searchBytes)
	for from < s.size {
		part := window[:min(int64(len(window)), s.size-from)]
		if err := s.read(part, from); err != nil {
			return -1, err
		}
		i := bytes.Index(part, magic)
		if i < 0 {
			from += max(1, int64(len(part)-len(magic)+1)) // the magic number may begin at the end of the part
			continue
		}
		from += int64(i)
		valid, err := s.isFrame(from)
		if err != nil {
			return -1, err
		}
		if valid {
			return from, nil
		}
		from++
	}
	return -1, nil
}

// isFrame reports whether a valid frame starts at offset.
func (s *scanner) isFrame(offset int64) (bool, error) {
	header, err := s.readHeader(offset)
	if err != nil || header == nil {
		return false, err
	}
	hash := newChecksum()
	_, _ = hash.Write(header[4:8]) // a hash takes everything
	if _, err := io.Copy(hash, io.NewSectionReader(s.file, offset+headerBytes, payloadLength(header))); err != nil {
		return false, errors.Wrap(err, "read journal")
	}
	return hash.Sum32() == binary.LittleEndian.Uint32(header[8:]), nil
}
