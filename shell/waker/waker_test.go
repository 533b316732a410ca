package waker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/shell/waker"
)

// TestWakeIsCalledOncePerDueTime sets due times that are reached, in the past, replaced or
// cancelled.
func TestWakeIsCalledOncePerDueTime(t *testing.T) {
	const soon = 20 * time.Millisecond
	tests := []struct {
		name string
		set  func(w *waker.Waker, now time.Time)
		want int
	}{
		{"time in the future", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)) }, 1},
		{"time in the past", func(w *waker.Waker, now time.Time) { w.Set(now.Add(-time.Hour)) }, 1},
		{"same time twice", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(now.Add(soon)) }, 1},
		{"replaced by an earlier time", func(w *waker.Waker, now time.Time) { w.Set(now.Add(time.Hour)); w.Set(now.Add(soon)) }, 1},
		{"replaced by a later time", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(now.Add(time.Hour)) }, 0},
		{"cancelled", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(time.Time{}) }, 0},
		{"set after stop", func(w *waker.Waker, now time.Time) { w.Stop(); w.Set(now.Add(soon)) }, 0},
		{"never set", func(*waker.Waker, time.Time) {}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			called := make(chan struct{}, 10)
			w := waker.New(time.Now, func() { called <- struct{}{} })
			tt.set(w, time.Now())
			for range tt.want {
				<-called
			}
			time.Sleep(10 * soon)
			assert.Equal(t, len(called), 0, "wake was called too often")
		})
	}
}
