package wal

import (
	"errors"
	"syscall"
)

// compactOrReopen replaces the file by a snapshot, which covers the batch that
// waits. If that fails and the name still stands for the old file, what was
// synced there is as good as ever: it grows on by a frame of size bytes.
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

// compact writes a snapshot to a new file, which takes the old one's place. On a
// full disk a damaged file that was set aside makes room for the next attempt.
func (l *Log) compact() error {
	err := l.rewriteFile(l.options.Snapshot())
	if errors.Is(err, syscall.ENOSPC) {
		_ = l.options.FS.Remove(quarantineName(l.options.Name))
		_ = l.options.FS.SyncDir()
	}
	return err
}

// reopen continues the old file, cut to what was synced.
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

// rewriteFile writes the records to a new file and gives it the log's name.
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

// capped returns the length, or MaxBytes if that is less.
func (l *Log) capped(length int64) int64 {
	if l.options.MaxBytes > 0 {
		return min(length, l.options.MaxBytes)
	}
	return length
}

func (l *Log) exceedsLimit(length int64) bool { return l.capped(length) < length }
