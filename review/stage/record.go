package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the log of one run: what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it too.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Printf(format, args...)
}

// Close writes the record out.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
