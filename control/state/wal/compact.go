package wal

import (
	"errors"
	"syscall"
)

// compactOrReopen replaces the file by a snapshot, which covers the pending
// batch. If that fails but the name still refers to the old file, the synced
// content of that file remains valid, so the caller appends the batch to it as a
// frame of size bytes, if MaxBytes permits.
func (l *Log) compactOrReopen(size int64) (compacted bool, err error) {
	if err = l.compact(); err == nil {
		return true, nil
	}
	if l.nameAmbiguous {
		return false, err
	}
	l.compactAt = l.capped(l.length + l.options.MinCompactBytes)
	if l.exceedsLimit(l.length + size) {
		return false, err
	}
	return false, l.reopen()
}

// compact writes a snapshot to a new file, which replaces the current one. If the
// disk is full, the quarantined file is deleted to make room for the next
// attempt.
func (l *Log) compact() error {
	err := l.rewriteFile(l.options.Snapshot())
	if errors.Is(err, syscall.ENOSPC) {
		_ = l.options.FS.Remove(quarantineName(l.options.Name))
		_ = l.options.FS.SyncDir()
	}
	return err
}

// reopen opens the current file again after an error, truncated to its synced
// length.
func (l *Log) reopen() error {
	if l.file != nil {
		return nil
	}
	file, err := l.options.FS.Append(l.options.Name, l.length)
	if err == nil {
		l.file = file
	}
	return err
}

// rewriteFile replaces the log's file by a new one that contains the records.
func (l *Log) rewriteFile(records [][]byte) error {
	content, frames := encodeFile(l.generation+1, records)
	length := int64(len(content))
	if l.exceedsLimit(length) {
		return ErrLimitExceeded
	}
	file, renamed, err := replaceFile(l.options.FS, l.options.Name, content)
	if renamed {
		l.closeFile()
		l.nameAmbiguous = err != nil
	}
	if err != nil {
		return err
	}
	l.file, l.generation, l.frames, l.length = file, l.generation+1, frames, length
	l.compactAt = l.capped(max(l.options.MinCompactBytes, 2*length))
	return nil
}

// capped returns length, but at most MaxBytes.
func (l *Log) capped(length int64) int64 {
	if l.options.MaxBytes > 0 {
		return min(length, l.options.MaxBytes)
	}
	return length
}

func (l *Log) exceedsLimit(length int64) bool { return l.capped(length) < length }
