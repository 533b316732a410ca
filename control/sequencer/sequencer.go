// Package sequencer lets requests that need much memory take their turns.
package sequencer

import (
	"context"

	"github.com/pkg/errors"
)

// ErrFull is returned when too many requests wait already.
var ErrFull = errors.New("too many requests wait for their turn")

// Sequencer admits a limited number of requests, of which one at a time has its turn.
type Sequencer struct {
	places chan struct{}
	turn   chan struct{}
}

// New returns a sequencer that admits up to the given number of requests.
func New(places int) *Sequencer {
	return &Sequencer{places: make(chan struct{}, places), turn: make(chan struct{}, 1)}
}

// Admit reserves a place, or returns ErrFull at once. The returned function frees it.
func (s *Sequencer) Admit() (leave func(), err error) {
	select {
	case s.places <- struct{}{}:
		return func() { <-s.places }, nil
	default:
		return nil, ErrFull
	}
}

// Take waits for the turn of an admitted request until ctx ends. The returned function ends the turn.
func (s *Sequencer) Take(ctx context.Context) (end func(), err error) {
	select {
	case s.turn <- struct{}{}:
		return func() { <-s.turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
