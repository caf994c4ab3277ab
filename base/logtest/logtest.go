// Package logtest records what a logger writes in a test.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer is a log's writer that several goroutines may write to and read at a
// time. A logger does not order its writes, so a bytes.Buffer does not do for
// one that connections or background goroutines share. The zero value is empty
// and ready for use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line as the logger wrote it. It never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
