// Package pacer spreads long bodies over time, so that they don't fill the queue of a narrow
// link and short messages get through between their chunks.
package pacer

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the largest amount passed on at once: a few packets.
	chunkBytes = 2 << 10
	// unpacedBytes of each body pass without delay: most responses are shorter.
	unpacedBytes = 4 << 10
	// burstDuration is how long the rate may be exceeded: a short message waits about as long
	// behind a burst. Wide links send without any waits because of it.
	burstDuration = 5 * time.Millisecond
)

// Pacer limits the combined rate of all long bodies in one direction. The zero Pacer sets no
// limit. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter
}

// New returns a pacer with a limit in bytes per second; zero or less means no limit.
func New(bytesPerSecond float64) Pacer {
	if bytesPerSecond <= 0 {
		return Pacer{}
	}
	burst := max(chunkBytes, int(bytesPerSecond*burstDuration.Seconds()))
	return Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// Body returns a paced reader of one body.
func (p Pacer) Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	if p.limiter == nil {
		return body
	}
	return &pacedReader{ReadCloser: body, allowance: allowance{ctx: ctx, limiter: p.limiter, unpaced: unpacedBytes}}
}

// Writer returns a paced writer of one body.
func (p Pacer) Writer(ctx context.Context, dst io.Writer) io.Writer {
	if p.limiter == nil {
		return dst
	}
	return &pacedWriter{dst: dst, allowance: allowance{ctx: ctx, limiter: p.limiter, unpaced: unpacedBytes}}
}

// allowance tracks how much of one body may still pass unpaced.
type allowance struct {
	ctx     context.Context //nolint:containedctx // ends with the body
	limiter *rate.Limiter
	unpaced int
}

// wait blocks until n bytes, at most one chunk, may pass.
func (a *allowance) wait(n int) error {
	charged := max(0, n-a.unpaced)
	a.unpaced = max(0, a.unpaced-n)
	if charged == 0 {
		return nil
	}
	return a.limiter.WaitN(a.ctx, charged)
}

type pacedReader struct {
	io.ReadCloser
	allowance allowance
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p[:min(len(p), chunkBytes)])
	if waitErr := r.allowance.wait(n); waitErr != nil && err == nil {
		err = waitErr
	}
	return n, err
}

type pacedWriter struct {
	dst       io.Writer
	allowance allowance
}

// Write implements io.Writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), chunkBytes)]
		if err := w.allowance.wait(len(chunk)); err != nil {
			return written, err
		}
		n, err := w.dst.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
