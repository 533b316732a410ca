package sequencer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneRequestHasItsTurn guards against memory that grows with the number of documents that are decoded at once.
func TestOneRequestHasItsTurn(t *testing.T) {
	s := New(2)
	for range 2 {
		_, err := s.Admit()
		assert.NilError(t, err)
	}
	_, err := s.Admit()
	assert.ErrorIs(t, err, ErrFull)
	end, err := s.Take(context.Background())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = s.Take(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	end()
	_, err = s.Take(context.Background())
	assert.NilError(t, err)
}

// TestPlacesAreFreed guards against an operator who is refused for good after others have left.
func TestPlacesAreFreed(t *testing.T) {
	s := New(1)
	for range 3 {
		leave, err := s.Admit()
		assert.NilError(t, err)
		leave()
	}
}
