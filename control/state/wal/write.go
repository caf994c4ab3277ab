package wal

import (
	"errors"
	"fmt"
	"syscall"
)

func newName(name string) string   { return name + ".new" }
func asideName(name string) string { return name + ".damaged" }

// write makes a batch last, as a frame behind the others or as part of the
// whole state in a new file.
func (j *Journal) write(batch []entry) error {
	records := make([][]byte, 0, len(batch))
	size := int64(frameLength)
	for _, waiting := range batch {
		records = append(records, waiting.record)
		size += sizeLength + int64(len(waiting.record))
	}
	if j.file == nil || j.length+size > j.rewrite {
		err := j.renew()
		if err == nil {
			return nil
		}
		if j.adrift {
			return fmt.Errorf("journal: %w", err)
		}
		// The old file still has its name, and what was synced is as good as
		// ever: where there is no room for another it goes on growing.
		j.rewrite = j.bounded(j.length + j.options.Shortest)
		if j.beyond(j.length + size) {
			return fmt.Errorf("journal: %w", err)
		}
		if err = j.reopen(); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	framed := frame(j.generation, j.frames+1, records)
	if err := put(j.file, framed); err != nil {
		// What lies behind the synced bytes is not known now: this handle is
		// never used again.
		j.drop()
		return fmt.Errorf("journal: %w", err)
	}
	j.frames++
	j.length += int64(len(framed))
	return nil
}

// reopen goes on with the old file, cut to what was synced.
func (j *Journal) reopen() error {
	if j.file != nil {
		return nil
	}
	file, err := j.options.Disk.Append(j.options.Name, j.length)
	if err == nil {
		j.file = file
	}
	return err
}

func (j *Journal) drop() {
	if j.file != nil {
		_ = j.file.Close()
		j.file = nil
	}
}

// renew writes the whole state to a new file, which takes the old one's place.
// The batch that waits is part of that state: see Options.Whole.
func (j *Journal) renew() error {
	err := j.fill(j.options.Whole())
	if errors.Is(err, syscall.ENOSPC) {
		_ = j.options.Disk.Remove(asideName(j.options.Name))
		_ = j.options.Disk.SyncFolder()
	}
	return err
}

// fill makes a new file of records and gives it the journal's name.
func (j *Journal) fill(records [][]byte) error {
	generation, frames := j.generation+1, uint64(0)
	content := make([]byte, headLength)
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && size < batchLimit {
			size += sizeLength + len(records[count])
			count++
		}
		frames++
		content = append(content, frame(generation, frames, records[:count])...)
		records = records[count:]
	}
	copy(content, head(generation, len(content)))
	length := int64(len(content))
	if j.beyond(length) {
		return ErrRoom
	}
	file, renamed, err := replace(j.options.Disk, j.options.Name, content)
	if renamed {
		j.drop()
		j.adrift = err != nil
	}
	if err != nil {
		return err
	}
	j.file, j.generation, j.frames, j.length = file, generation, frames, length
	j.rewrite = j.bounded(max(j.options.Shortest, 2*length))
	return nil
}

// bounded gives a length at which the file is written anew: at its limit it is
// anyway.
func (j *Journal) bounded(length int64) int64 {
	if j.options.Limit > 0 {
		return min(length, j.options.Limit)
	}
	return length
}

func (j *Journal) beyond(length int64) bool { return j.bounded(length) < length }

func put(file File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

// Replace gives a file new content: after a loss of power it has the old or the
// new, and the new once Replace returned without an error.
func Replace(disk Disk, name string, content []byte) error {
	file, _, err := replace(disk, name, content)
	if err == nil {
		_ = file.Close()
	}
	return err
}

// replace leaves the file open. Renamed tells that the name may stand for the
// new file, whatever else failed. The folder is synced after each step: the new
// name lasts before it takes the old one's place.
func replace(disk Disk, name string, content []byte) (file File, renamed bool, err error) {
	// The name might still stand for the very file that it once replaced.
	if err = disk.Remove(newName(name)); err != nil {
		return nil, false, err
	}
	if file, err = disk.Create(newName(name)); err != nil {
		return nil, false, err
	}
	if err = put(file, content); err == nil {
		err = disk.SyncFolder()
	}
	if err == nil {
		renamed = true
		if err = disk.Rename(newName(name), name); err == nil {
			err = disk.SyncFolder()
		}
	}
	if err != nil {
		_ = file.Close()
		if !renamed {
			_ = disk.Remove(newName(name))
		}
		return nil, renamed, err
	}
	return file, true, nil
}
