// Package watcher notices when a file changes, with or without a signal that says so.
package watcher

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"
)

// Interval is how often the file is read when no signal comes.
const Interval = 2 * time.Second

// Watch calls changed with the file's content whenever it has changed, until the
// context ends. A value on the channel makes it look at once.
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
		if data := read(path); data != nil && !bytes.Equal(data, last) {
			last = data
			changed(data)
		}
	}
}

// read returns nil for a file that can't be read now; it is looked at again.
func read(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		slog.Warn("the settings can't be read; the former ones hold", "path", path, "error", err)
		return nil
	}
	return data
}
