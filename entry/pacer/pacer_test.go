package pacer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongBodiesTakeTheTimeOfTheirRate checks that long bodies are held to the rate, while
// short ones pass at once.
func TestLongBodiesTakeTheTimeOfTheirRate(t *testing.T) {
	const bytesPerSecond = 200 << 10
	tests := []struct {
		name        string
		pacer       Pacer
		bytes       int
		minDuration time.Duration
	}{
		{"no limit", Pacer{}, 1 << 20, 0},
		{"zero means no limit", New(0), 1 << 20, 0},
		{"a short body", New(bytesPerSecond), unpacedBytes, 0},
		{"a long body", New(bytesPerSecond), unpacedBytes + bytesPerSecond/10 + chunkBytes, 90 * time.Millisecond},
		{"a wide link", New(1 << 30), 1 << 20, 0},
	}
	for _, tt := range tests {
		data := bytes.Repeat([]byte("x"), tt.bytes)
		start := time.Now()
		got, err := io.ReadAll(tt.pacer.Body(context.Background(), io.NopCloser(bytes.NewReader(data))))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data), tt.name)
		assert.Assert(t, time.Since(start) >= tt.minDuration, tt.name)

		var out bytes.Buffer
		start = time.Now()
		n, err := tt.pacer.Writer(context.Background(), &out).Write(data)
		assert.NilError(t, err)
		assert.Equal(t, n, len(data))
		assert.Assert(t, bytes.Equal(out.Bytes(), data), tt.name)
		assert.Assert(t, time.Since(start) >= tt.minDuration/2, tt.name)
	}
}

// TestBodiesShareTheRate sends two long bodies through one pacer.
func TestBodiesShareTheRate(t *testing.T) {
	p := New(200 << 10)
	data := make([]byte, unpacedBytes+10<<10)
	start := time.Now()
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := p.Writer(context.Background(), io.Discard).Write(data)
			done <- err
		}()
	}
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
}

func TestWaitEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	n, err := New(1<<10).Writer(ctx, io.Discard).Write(make([]byte, 1<<20))
	assert.Assert(t, err != nil)
	assert.Assert(t, n < 1<<20)
	_, err = io.ReadAll(New(1<<10).Body(ctx, io.NopCloser(bytes.NewReader(make([]byte, 1<<20)))))
	assert.Assert(t, err != nil)
}

// TestWriterReturnsErrorOfDestination checks that the error of the underlying writer is passed
// on.
func TestWriterReturnsErrorOfDestination(t *testing.T) {
	n, err := New(1<<20).Writer(context.Background(), failingWriter{}).Write(make([]byte, 10))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
	assert.Equal(t, n, 0)
}

type failingWriter struct{}

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }
