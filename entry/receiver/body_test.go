package receiver

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingSource is a caller's connection: a read waits for bytes, until it is interrupted.
type blockingSource struct {
	parts chan string
	// reading receives a value as a read begins.
	reading chan struct{}
	done    chan struct{}
	once    sync.Once
}

var errInterrupted = errors.New("interrupted")

func newBlockingSource() *blockingSource {
	return &blockingSource{parts: make(chan string, 1), reading: make(chan struct{}, 10), done: make(chan struct{})}
}

// Read implements io.Reader.
func (s *blockingSource) Read(p []byte) (int, error) {
	s.reading <- struct{}{}
	select {
	case part, ok := <-s.parts:
		if !ok {
			return 0, io.EOF
		}
		return copy(p, part), nil
	case <-s.done:
		return 0, errInterrupted
	}
}

func (s *blockingSource) interrupt() { s.once.Do(func() { close(s.done) }) }

func newBody(source io.Reader, abandon func()) *Body {
	return &Body{source: source, size: -1, setDeadline: func(time.Time) error { return nil }, abandon: abandon}
}

// TestBodyHasOneReader guards against two readers that each get a part of the body.
func TestBodyHasOneReader(t *testing.T) {
	tests := []struct {
		name string
		// read reads the body "abcdef" and returns what the last reader gets of it.
		read    func(b *Body) (string, error)
		want    string
		wantErr error
	}{
		{"handler", func(b *Body) (string, error) { return readString(b) }, "abcdef", nil},
		{"transfer", func(b *Body) (string, error) { return readString(b.Transfer()) }, "abcdef", nil},
		{"handler, then transfer", func(b *Body) (string, error) {
			_, _ = b.Read(make([]byte, 2))
			return readString(b.Transfer())
		}, "cdef", nil},
		{"handler after a transfer", func(b *Body) (string, error) {
			b.Transfer()
			return readString(b)
		}, "", ErrTransferred},
		{"second transfer before the first has read", func(b *Body) (string, error) {
			b.Transfer()
			return readString(b.Transfer())
		}, "abcdef", nil},
		{"first transfer after the second", func(b *Body) (string, error) {
			first := b.Transfer()
			b.Transfer()
			return readString(first)
		}, "", ErrTransferred},
		{"second transfer after the first has read", func(b *Body) (string, error) {
			_, _ = b.Transfer().Read(make([]byte, 2))
			return readString(b.Transfer())
		}, "", ErrTransferred},
		{"transfer after the end of the request", func(b *Body) (string, error) {
			transfer := b.Transfer()
			b.stop()
			return readString(transfer)
		}, "", ErrStopped},
		{"body at its limit", func(b *Body) (string, error) {
			b.Limit(6)
			return readString(b)
		}, "abcdef", nil},
		{"body above its limit", func(b *Body) (string, error) {
			b.Limit(5)
			return readString(b)
		}, "", ErrTooLarge},
	}
	for _, tt := range tests {
		got, err := tt.read(newBody(strings.NewReader("abcdef"), func() {}))
		assert.Equal(t, got, tt.want, tt.name)
		assert.Assert(t, errors.Is(err, tt.wantErr), "%s: %v", tt.name, err)
	}
}

func readString(r io.Reader) (string, error) {
	text, err := io.ReadAll(r)
	return string(text), err
}

// TestBytesOfAFormerReaderAreNotSkipped guards against a body with a gap: a read that was pending when
// the body got a new reader has taken bytes that the new one can't get.
func TestBytesOfAFormerReaderAreNotSkipped(t *testing.T) {
	source := newBlockingSource()
	b := newBody(source, source.interrupt)
	first := b.Transfer()
	var group sync.WaitGroup
	group.Go(func() {
		n, err := first.Read(make([]byte, 8))
		assert.Check(t, n == 0 && errors.Is(err, ErrTransferred), "%d bytes, %v", n, err)
	})
	<-source.reading
	second := b.Transfer()
	source.parts <- "ab"
	group.Wait()
	_, err := second.Read(make([]byte, 8))
	assert.Assert(t, errors.Is(err, ErrTransferred), "%v", err)
	assert.Assert(t, second.Err() != nil)
}

// TestStopEndsAPendingRead guards against a reader that goes on after its request has ended.
func TestStopEndsAPendingRead(t *testing.T) {
	source := newBlockingSource()
	b := newBody(source, source.interrupt)
	transfer := b.Transfer()
	var group sync.WaitGroup
	group.Go(func() {
		_, err := transfer.Read(make([]byte, 8))
		assert.Check(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	})
	<-source.reading
	b.stop()
	group.Wait()
	source.parts <- "late"
	_, err := transfer.Read(make([]byte, 8))
	assert.Assert(t, errors.Is(err, ErrStopped), "%v", err)
}

// TestCompleteBodyKeepsItsConnection guards against a connection that is closed though its request was
// read to the end, and against one that is kept though it was not.
func TestCompleteBodyKeepsItsConnection(t *testing.T) {
	tests := []struct {
		name      string
		read      func(b *Body)
		abandoned bool
	}{
		{"whole", func(b *Body) { _, _ = io.Copy(io.Discard, b) }, false},
		{"whole by a transfer", func(b *Body) { _, _ = io.Copy(io.Discard, b.Transfer()) }, false},
		{"part", func(b *Body) { _, _ = b.Read(make([]byte, 2)) }, true},
		{"nothing", func(*Body) {}, true},
		{"too large", func(b *Body) {
			b.Limit(1)
			_, _ = io.Copy(io.Discard, b)
		}, true},
	}
	for _, tt := range tests {
		abandoned := false
		b := newBody(strings.NewReader("abcdef"), func() { abandoned = true })
		tt.read(b)
		b.stop()
		assert.Equal(t, abandoned, tt.abandoned, tt.name)
	}
}
