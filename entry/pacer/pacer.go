// Package pacer spreads long bodies over time, so that they don't fill the queue of a
// narrow link and short messages get through between their parts.
package pacer

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// pieceBytes is the most that is passed on at once: a few packets.
	pieceBytes = 2 << 10
	// freeBytes of each body are not held back: most answers are shorter.
	freeBytes = 4 << 10
	// burstTime is for how long the rate may be exceeded: a short message waits about as
	// long behind what was sent at once. It spares wide links the waits.
	burstTime = 5 * time.Millisecond
)

// Pacer bounds the rate of all long bodies in one direction together. The zero pacer
// bounds nothing. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter
}

// New returns a pacer of so many bytes a second; zero or less bounds nothing.
func New(bytesPerSecond float64) Pacer {
	if bytesPerSecond <= 0 {
		return Pacer{}
	}
	burst := max(pieceBytes, int(bytesPerSecond*burstTime.Seconds()))
	return Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// Body returns a paced reader of one body.
func (p Pacer) Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	if p.limiter == nil {
		return body
	}
	return &reader{ReadCloser: body, turn: turn{ctx: ctx, limiter: p.limiter, free: freeBytes}}
}

// Writer returns a paced writer of one body.
func (p Pacer) Writer(ctx context.Context, to io.Writer) io.Writer {
	if p.limiter == nil {
		return to
	}
	return &writer{to: to, turn: turn{ctx: ctx, limiter: p.limiter, free: freeBytes}}
}

// turn is where one body stands.
type turn struct {
	ctx     context.Context //nolint:containedctx // the life of the body
	limiter *rate.Limiter
	free    int
}

// wait waits until so many bytes, at most a piece, may pass.
func (t *turn) wait(n int) error {
	paid := max(0, n-t.free)
	t.free = max(0, t.free-n)
	if paid == 0 {
		return nil
	}
	return t.limiter.WaitN(t.ctx, paid)
}

type reader struct {
	io.ReadCloser
	turn turn
}

// Read is part of io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p[:min(len(p), pieceBytes)])
	if waited := r.turn.wait(n); waited != nil && err == nil {
		err = waited
	}
	return n, err
}

type writer struct {
	to   io.Writer
	turn turn
}

// Write is part of io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), pieceBytes)]
		if err := w.turn.wait(len(piece)); err != nil {
			return written, err
		}
		n, err := w.to.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
