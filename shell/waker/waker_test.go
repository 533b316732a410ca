package waker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/shell/waker"
)

// TestMachineIsCalledOnceForEachTimeThatIsSet sets times that come, pass and are taken back.
func TestMachineIsCalledOnceForEachTimeThatIsSet(t *testing.T) {
	const soon = 20 * time.Millisecond
	tests := []struct {
		name string
		set  func(w *waker.Waker, now time.Time)
		want int
	}{
		{"a time that comes", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)) }, 1},
		{"a time that has passed", func(w *waker.Waker, now time.Time) { w.Set(now.Add(-time.Hour)) }, 1},
		{"the same time twice", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(now.Add(soon)) }, 1},
		{"an earlier time", func(w *waker.Waker, now time.Time) { w.Set(now.Add(time.Hour)); w.Set(now.Add(soon)) }, 1},
		{"a later time", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(now.Add(time.Hour)) }, 0},
		{"no time any more", func(w *waker.Waker, now time.Time) { w.Set(now.Add(soon)); w.Set(time.Time{}) }, 0},
		{"after the end", func(w *waker.Waker, now time.Time) { w.Stop(); w.Set(now.Add(soon)) }, 0},
		{"no time at all", func(*waker.Waker, time.Time) {}, 0},
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
			assert.Equal(t, len(called), 0, "it is called once too often")
		})
	}
}
