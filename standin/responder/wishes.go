package responder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Wishes are what an endpoint says in its responses about new requests, whatever its behaviour and its announcements.
// It is immutable.
type Wishes struct {
	// Leaving makes the endpoint say that it leaves. It holds until Reincarnate.
	Leaving bool
	// PauseShare is the share of requests that the endpoint refuses in order to get none for the length of Pause.
	PauseShare float64
	Pause      time.Duration
}

// SetWishes replaces what the endpoint says about new requests.
func (r *Responder) SetWishes(w Wishes) { r.wishes.Store(&w) }

// Reincarnate announces the endpoint as if its process had started anew, without wishes. It reports whether an entry
// accepted the announcement.
func (r *Responder) Reincarnate(ctx context.Context) bool {
	r.SetWishes(Wishes{})
	r.incarnation.Store(uint64(time.Now().UnixNano()))
	return r.announce(ctx, http.MethodPut)
}

// drawPause returns the pause that the endpoint asks for with the next request, or zero.
func (w Wishes) drawPause() time.Duration {
	if w.PauseShare > 0 && rand.Float64() < w.PauseShare {
		return w.Pause
	}
	return 0
}

// refuseAndPause refuses a request and asks for a pause.
func (r *Responder) refuseAndPause(w http.ResponseWriter, pause time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	r.refuse(w)
}
