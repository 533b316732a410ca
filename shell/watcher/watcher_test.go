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

func TestSignalBringsTheChangedFileAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte("one"), 0o600))
	look := make(chan os.Signal)
	changed := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { Watch(ctx, path, look, func(data []byte) { changed <- string(data) }) })
	look <- syscall.SIGHUP // without a change nothing is said
	assert.NilError(t, os.WriteFile(path, []byte("two"), 0o600))
	look <- syscall.SIGHUP
	assert.Equal(t, <-changed, "two")
	assert.NilError(t, os.Remove(path))
	look <- syscall.SIGHUP // a file that is missing changes nothing
	assert.NilError(t, os.WriteFile(path, []byte("three"), 0o600))
	look <- syscall.SIGHUP
	assert.Equal(t, <-changed, "three")
	cancel()
	group.Wait()
}
