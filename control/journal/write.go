package journal

import (
	"errors"
	"fmt"
	"syscall"
)

func newName(name string) string   { return name + ".new" }
func asideName(name string) string { return name + ".damaged" }

// write makes a batch last, as a frame behind the others or as part of the
// whole state in a new file.
func (journal *Journal) write(batch []entry) error {
	records := make([][]byte, 0, len(batch))
	size := int64(frameLength)
	for _, waiting := range batch {
		records = append(records, waiting.record)
		size += sizeLength + int64(len(waiting.record))
	}
	if journal.file == nil || journal.length+size > journal.rewrite {
		err := journal.renew()
		if err == nil {
			return nil
		}
		if journal.adrift {
			return fmt.Errorf("journal: %w", err)
		}
		// The old file still has its name, and what was synced is as good as
		// ever: where there is no room for another it goes on growing.
		journal.rewrite = journal.bounded(journal.length + journal.options.Shortest)
		if journal.beyond(journal.length + size) {
			return fmt.Errorf("journal: %w", err)
		}
		if err = journal.reopen(); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	framed := frame(journal.generation, journal.frames+1, records)
	if err := put(journal.file, framed); err != nil {
		// What lies behind the synced bytes is not known now: this handle is
		// never used again.
		journal.drop()
		return fmt.Errorf("journal: %w", err)
	}
	journal.frames++
	journal.length += int64(len(framed))
	return nil
}

// reopen goes on with the old file, cut to what was synced.
func (journal *Journal) reopen() error {
	if journal.file != nil {
		return nil
	}
	file, err := journal.options.Disk.Append(journal.options.Name, journal.length)
	if err == nil {
		journal.file = file
	}
	return err
}

func (journal *Journal) drop() {
	if journal.file != nil {
		_ = journal.file.Close()
		journal.file = nil
	}
}

// renew writes the whole state to a new file, which takes the old one's place.
// The batch that waits is part of that state: see Options.Whole.
func (journal *Journal) renew() error {
	err := journal.fill(journal.options.Whole())
	if errors.Is(err, syscall.ENOSPC) {
		_ = journal.options.Disk.Remove(asideName(journal.options.Name))
		_ = journal.options.Disk.SyncFolder()
	}
	return err
}

// fill makes a new file of records and gives it the journal's name.
func (journal *Journal) fill(records [][]byte) error {
	generation, frames := journal.generation+1, uint64(0)
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
	if journal.beyond(length) {
		return ErrRoom
	}
	file, renamed, err := replace(journal.options.Disk, journal.options.Name, content)
	if renamed {
		journal.drop()
		journal.adrift = err != nil
	}
	if err != nil {
		return err
	}
	journal.file, journal.generation, journal.frames, journal.length = file, generation, frames, length
	journal.rewrite = journal.bounded(max(journal.options.Shortest, 2*length))
	return nil
}

// bounded gives a length at which the file is written anew: at its limit it is
// anyway.
func (journal *Journal) bounded(length int64) int64 {
	if journal.options.Limit > 0 {
		return min(length, journal.options.Limit)
	}
	return length
}

func (journal *Journal) beyond(length int64) bool { return journal.bounded(length) < length }

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
