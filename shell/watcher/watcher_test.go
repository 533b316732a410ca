package watcher

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSignalTriggersImmediateRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte("one"), 0o600))
	reload := make(chan os.Signal)
	changed := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { Watch(ctx, path, reload, func(data []byte) { changed <- string(data) }) })
	reload <- syscall.SIGHUP // an unchanged file is not reported
	assert.NilError(t, os.WriteFile(path, []byte("two"), 0o600))
	reload <- syscall.SIGHUP
	assert.Equal(t, <-changed, "two")
	assert.NilError(t, os.Remove(path))
	reload <- syscall.SIGHUP // a missing file is not reported
	assert.NilError(t, os.WriteFile(path, []byte("three"), 0o600))
	reload <- syscall.SIGHUP
	assert.Equal(t, <-changed, "three")
	cancel()
	group.Wait()
}

func TestPartiallyWrittenFileIsNotReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte("one"), 0o600))
	reload := make(chan os.Signal)
	var reported []string
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { Watch(ctx, path, reload, func(data []byte) { reported = append(reported, string(data)) }) })
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // when this signal is received, the initial content has been read
	assert.NilError(t, os.Truncate(path, 0))
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // when this signal is received, the empty file has been read once
	assert.NilError(t, os.WriteFile(path, []byte("two"), 0o600))
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	cancel()
	group.Wait()
	assert.DeepEqual(t, reported, []string{"two"})
}
