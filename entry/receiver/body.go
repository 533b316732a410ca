// Package receiver owns the bodies of callers' requests: it decides who may read a body, and
// until when.
//
// The standard server reads what is left of a body itself, before it writes a response and again
// after the handler. If a body is still being forwarded at that moment, the endpoint misses the
// bytes that the server has taken. Here the server reads nothing: a body has one reader at a
// time, and its reading ends before the request does.
package receiver

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of reading a body, besides those of the caller's connection.
var (
	// ErrTooLarge is returned once a body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrStopped is returned once the request has ended.
	ErrStopped = errors.New("the request has ended")
	// ErrTransferred is returned to a reader whose turn has ended, and to one that came after
	// another had begun.
	ErrTransferred = errors.New("the body has another reader")
)

// Body is the body of a caller's request. Its methods may be called by several goroutines.
type Body struct {
	source io.Reader
	// size is the length that the caller states; negative when it states none.
	size int64
	// setDeadline sets the deadline for reads from the caller's connection.
	setDeadline func(time.Time) error
	// abandon interrupts a pending read, and has the connection closed after the response.
	abandon func()

	// turn is held while the source is read, so that there is one reader at a time.
	turn sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// limit is how many bytes the body may have; zero sets no limit.
	limit int64
	// received is how many bytes have been read.
	received int64
	// holder is the only one that may read; nil while that is the handler.
	holder *Transfer
	// passedOn is set once a transfer has read a part of the body, which can't be read again.
	passedOn bool
	// err is why nothing more can be read: io.EOF after the whole body. It is set once.
	err error
}

// Limit sets how many bytes the body may have.
func (b *Body) Limit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// SetDeadline sets until when a read may wait; the zero time sets no bound. On connections
// without deadlines a read just waits.
func (b *Body) SetDeadline(t time.Time) { _ = b.setDeadline(t) }

// Read implements io.Reader for the handler. It fails once the body has been transferred.
func (b *Body) Read(p []byte) (int, error) { return b.readAs(nil, p) }

// Close implements io.Closer. A body ends with its request, not by this.
func (b *Body) Close() error { return nil }

// Err returns why nothing more can be read: io.EOF after the whole body, and nil before any end.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Transfer hands the rest of the body to a new reader, and ends the turn of the one before. Where
// that one had begun to read, the rest is of no use, and reading it fails.
func (b *Body) Transfer() *Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.passedOn && b.err == nil {
		b.err = ErrTransferred
	}
	b.holder = &Transfer{body: b}
	return b.holder
}

// Transfer is the right to read the rest of a body, for whoever forwards it.
type Transfer struct{ body *Body }

// Read implements io.Reader.
func (t *Transfer) Read(p []byte) (int, error) { return t.body.readAs(t, p) }

// Err returns why the body can't be read to its end, and nil after the whole body or before any
// end.
func (t *Transfer) Err() error {
	err := t.body.Err()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Whole reports whether the whole body has been read.
func (t *Transfer) Whole() bool {
	b := t.body
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF) || (b.err == nil && b.size >= 0 && b.received >= b.size)
}

func (b *Body) readAs(reader *Transfer, p []byte) (int, error) {
	b.turn.Lock()
	defer b.turn.Unlock()
	if err := b.mayRead(reader); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	return b.account(reader, n, err)
}

func (b *Body) mayRead(reader *Transfer) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err != nil:
		return b.err
	case b.holder != reader:
		return ErrTransferred
	}
	return nil
}

// account records the result of a read, and returns what the reader gets of it.
func (b *Body) account(reader *Transfer, n int, err error) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += int64(n)
	switch {
	case b.limit > 0 && b.received > b.limit:
		n, err = 0, ErrTooLarge
	case n > 0 && b.holder != reader:
		n, err = 0, ErrTransferred // these bytes are missing to the new reader
	}
	b.passedOn = b.passedOn || (reader != nil && n > 0)
	if b.err == nil {
		b.err = err
	}
	return n, err
}

// stop ends the reading of the body: it interrupts a pending read and waits until that has
// returned. Where the caller has more to send, its connection is closed after the response.
func (b *Body) stop() {
	b.mu.Lock()
	complete := errors.Is(b.err, io.EOF)
	if b.err == nil {
		b.err = ErrStopped
	}
	b.mu.Unlock()
	if complete {
		return
	}
	b.abandon()
	b.turn.Lock() // waits for the pending read
	defer b.turn.Unlock()
}

// Bounds of what is read of a body that nobody needs, so that its connection can be used again.
const (
	maxDiscardBytes = 64 << 10
	maxDiscardTime  = 100 * time.Millisecond
)

// discard reads the rest of the body and drops it, if that takes few bytes and little time. It
// reports whether the whole body has been read.
func (b *Body) discard(now time.Time) bool {
	if b.size-b.receivedBytes() > maxDiscardBytes {
		return false
	}
	b.SetDeadline(now.Add(maxDiscardTime))
	defer b.SetDeadline(time.Time{})
	_, err := io.CopyN(io.Discard, b, maxDiscardBytes+1)
	return errors.Is(err, io.EOF)
}

func (b *Body) receivedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// transferred reports whether somebody else than the handler reads the body.
func (b *Body) transferred() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder != nil
}
