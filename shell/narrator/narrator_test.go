package narrator

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/recorder"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.data.String()), "\n")
}

func TestRateIsLimitedAndDroppedEventsAreCounted(t *testing.T) {
	var out buffer
	n := New(slog.New(slog.NewTextHandler(&out, nil)), WithRate(3))
	for range queueCapacity + 10 {
		n.Log(time.Unix(1000, 0), recorder.Event{Kind: recorder.KindCallRefused, Request: "r1", Detail: "no room"})
	}
	assert.Equal(t, n.Dropped(), uint64(10))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.Run(ctx) })
	for n.Dropped() < queueCapacity+7 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	group.Wait()
	lines := out.lines()
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[0], `event=call-refused request=r1 detail="no room"`), lines[0])
}
