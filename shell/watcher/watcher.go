// Package watcher notices when a file changes, with or without a signal that says so.
package watcher

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Interval is how often the file is read when no signal comes.
const Interval = 2 * time.Second

// errEmpty is the reason why a file without content isn't taken.
var errEmpty = errors.New("the file is empty")

// settle is the pause between two reads that must agree: a writer that truncates a file
// and writes it anew takes far less.
const settle = 20 * time.Millisecond

// Watch calls changed with the file's content whenever it has changed, until the
// context ends. A value on the channel makes it look at once. A file that is being
// written is waited for; an empty one counts as unreadable.
func Watch(ctx context.Context, path string, look <-chan os.Signal, changed func(data []byte)) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	last := read(path)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-look:
			slog.Info("signal to reload", "signal", s.String())
		case <-ticker.C:
		}
		data := read(path)
		if data == nil || bytes.Equal(data, last) {
			continue
		}
		if data = settled(ctx, path, data); data == nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		changed(data)
	}
}

// settled reads the file until two reads in a row agree. It returns nil where the file
// can't be read or the context has ended.
func settled(ctx context.Context, path string, data []byte) []byte {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(settle):
		}
		again := read(path)
		if again == nil || bytes.Equal(again, data) {
			return again
		}
		data = again
	}
}

// read returns nil for a file that is empty or can't be read now; it is looked at again.
func read(path string) []byte {
	data, err := os.ReadFile(path)
	if err == nil && len(data) == 0 {
		err = errEmpty
	}
	if err != nil {
		slog.Warn("the settings can't be read; the former ones hold", "path", path, "error", err)
		return nil
	}
	return data
}
