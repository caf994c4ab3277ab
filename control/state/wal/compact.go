package wal

import (
	"errors"
	"fmt"
	"syscall"
)

func tempName(name string) string       { return name + ".new" }
func quarantineName(name string) string { return name + ".damaged" }

// writeBatch makes a batch last, as a frame behind the others or as part of the
// whole state in a new file.
func (l *Log) writeBatch(batch []pendingRecord) error {
	records := make([][]byte, 0, len(batch))
	size := int64(frameHeaderSize)
	for _, waiting := range batch {
		records = append(records, waiting.record)
		size += lengthPrefixSize + int64(len(waiting.record))
	}
	if l.file == nil || l.length+size > l.compactAt {
		err := l.compact()
		if err == nil {
			return nil
		}
		if l.nameAmbiguous {
			return fmt.Errorf("journal: %w", err)
		}
		// The old file still has its name, and what was synced is as good as
		// ever: where there is no room for another it goes on growing.
		l.compactAt = l.capped(l.length + l.options.MinCompactBytes)
		if l.exceedsLimit(l.length + size) {
			return fmt.Errorf("journal: %w", err)
		}
		if err = l.reopen(); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	framed := encodeFrame(l.generation, l.frames+1, records)
	if err := writeAndSync(l.file, framed); err != nil {
		// What lies behind the synced bytes is not known now: this handle is
		// never used again.
		l.closeFile()
		return fmt.Errorf("journal: %w", err)
	}
	l.frames++
	l.length += int64(len(framed))
	return nil
}

// reopen goes on with the old file, cut to what was synced.
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

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}

// compact writes the whole state to a new file, which takes the old one's place.
// The batch that waits is part of that state: see Options.Whole.
func (l *Log) compact() error {
	err := l.rewriteFile(l.options.Snapshot())
	if errors.Is(err, syscall.ENOSPC) {
		_ = l.options.FS.Remove(quarantineName(l.options.Name))
		_ = l.options.FS.SyncFolder()
	}
	return err
}

// rewriteFile makes a new file of records and gives it the journal's name.
func (l *Log) rewriteFile(records [][]byte) error {
	generation, frames := l.generation+1, uint64(0)
	content := make([]byte, headerSize)
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && size < maxBatchBytes {
			size += lengthPrefixSize + len(records[count])
			count++
		}
		frames++
		content = append(content, encodeFrame(generation, frames, records[:count])...)
		records = records[count:]
	}
	copy(content, encodeHeader(generation, len(content)))
	length := int64(len(content))
	if l.exceedsLimit(length) {
		return ErrNoSpace
	}
	file, renamed, err := replaceFile(l.options.FS, l.options.Name, content)
	if renamed {
		l.closeFile()
		l.nameAmbiguous = err != nil
	}
	if err != nil {
		return err
	}
	l.file, l.generation, l.frames, l.length = file, generation, frames, length
	l.compactAt = l.capped(max(l.options.MinCompactBytes, 2*length))
	return nil
}

// capped gives a length at which the file is written anew: at its limit it is
// anyway.
func (l *Log) capped(length int64) int64 {
	if l.options.MaxBytes > 0 {
		return min(length, l.options.MaxBytes)
	}
	return length
}

func (l *Log) exceedsLimit(length int64) bool { return l.capped(length) < length }

func writeAndSync(file File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

// ReplaceFile gives a file new content: after a loss of power it has the old or the
// new, and the new once Replace returned without an error.
func ReplaceFile(disk FS, name string, content []byte) error {
	file, _, err := replaceFile(disk, name, content)
	if err == nil {
		_ = file.Close()
	}
	return err
}

// replaceFile leaves the file open. Renamed tells that the name may stand for the
// new file, whatever else failed. The folder is synced after each step: the new
// name lasts before it takes the old one's place.
func replaceFile(disk FS, name string, content []byte) (file File, renamed bool, err error) {
	// The name might still stand for the very file that it once replaced.
	if err = disk.Remove(tempName(name)); err != nil {
		return nil, false, err
	}
	if file, err = disk.Create(tempName(name)); err != nil {
		return nil, false, err
	}
	if err = writeAndSync(file, content); err == nil {
		err = disk.SyncFolder()
	}
	if err == nil {
		renamed = true
		if err = disk.Rename(tempName(name), name); err == nil {
			err = disk.SyncFolder()
		}
	}
	if err != nil {
		_ = file.Close()
		if !renamed {
			_ = disk.Remove(tempName(name))
		}
		return nil, renamed, err
	}
	return file, true, nil
}
