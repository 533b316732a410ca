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

func TestFileThatIsBeingWrittenIsNotTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte("one"), 0o600))
	look := make(chan os.Signal)
	var taken []string
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { Watch(ctx, path, look, func(data []byte) { taken = append(taken, string(data)) }) })
	look <- syscall.SIGHUP
	look <- syscall.SIGHUP // the first content is known once this one is received
	assert.NilError(t, os.Truncate(path, 0))
	look <- syscall.SIGHUP
	look <- syscall.SIGHUP // the empty file has been looked at once this one is received
	assert.NilError(t, os.WriteFile(path, []byte("two"), 0o600))
	look <- syscall.SIGHUP
	look <- syscall.SIGHUP
	cancel()
	group.Wait()
	assert.DeepEqual(t, taken, []string{"two"})
}
