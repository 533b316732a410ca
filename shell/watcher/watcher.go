// Package watcher detects changes of a file by polling and on signals.
package watcher

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"
)

// PollInterval is the time between two reads of the file when there is no signal.
const PollInterval = 2 * time.Second

// errEmpty is logged for a file without content, which is treated as unreadable.
var errEmpty = errors.New("the file is empty")

// settleInterval is the pause between two reads that must return the same content. Truncating
// and rewriting a file takes far less time.
const settleInterval = 20 * time.Millisecond

// Watch calls onChange with the content of the file whenever it has changed, until the context is
// cancelled. A signal on the channel makes it read the file immediately. While the file is being
// written, Watch waits until the content is stable. An empty file is treated as unreadable.
func Watch(ctx context.Context, path string, reload <-chan os.Signal, onChange func(data []byte)) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	last := read(path)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			slog.Info("received reload signal", "signal", s.String())
		case <-ticker.C:
		}
		data := read(path)
		if data == nil || bytes.Equal(data, last) {
			continue
		}
		if data = readUntilStable(ctx, path, data); data == nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		onChange(data)
	}
}

// readUntilStable reads the file until two consecutive reads return the same content. It returns
// nil if the file can't be read or the context is cancelled.
func readUntilStable(ctx context.Context, path string, data []byte) []byte {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(settleInterval):
		}
		again := read(path)
		if again == nil || bytes.Equal(again, data) {
			return again
		}
		data = again
	}
}

// read returns the content of the file, or nil if the file is empty or can't be read. The next
// poll tries again.
func read(path string) []byte {
	data, err := os.ReadFile(path)
	if err == nil && len(data) == 0 {
		err = errEmpty
	}
	if err != nil {
		slog.Warn("can't read the settings file; keeping the previous settings", "path", path, "error", err)
		return nil
	}
	return data
}
